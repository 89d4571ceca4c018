package journal

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// snapshotArea is one of the two files that snapshots are written to.
type snapshotArea struct {
	name string
	area Area
}

// snapshotAreas hold the newest whole snapshot in one area while the next is written to the other.
type snapshotAreas struct {
	areas [2]snapshotArea
	// next is the area to write to, index that of the newest snapshot on disk.
	next  int
	index raft.Index
}

// openSnapshotAreas opens the areas without reading them. Their names on disk are those of earlier versions.
func openSnapshotAreas(disk Disk, options Options) (*snapshotAreas, error) {
	s := &snapshotAreas{}
	for i := range s.areas {
		name := fmt.Sprintf("image-%d", i)
		area, err := disk.Area(name, options.SnapshotBytes)
		if err != nil {
			return nil, err
		}
		s.areas[i] = snapshotArea{name: name, area: area}
	}
	return s, nil
}

// recover reads the newest snapshot, or nil where none was written. areBothBad says that neither area is readable: a crash
// may leave one half written, never both. It fails with a protocolversion.DiskError where a newer program wrote one.
func (s *snapshotAreas) recover(speaks protocolversion.Span) (newest *schema.Snapshot, areBothBad bool, err error) {
	bad := 0
	for i, area := range s.areas {
		snapshot, err := area.read()
		if err == nil {
			err = protocolversion.CheckDisk(speaks, "a snapshot", protocolversion.Version(snapshot.GetVersion()))
		}
		var newer *protocolversion.DiskError
		if errors.As(err, &newer) {
			return nil, false, newer
		}
		if err != nil {
			bad++
			continue
		}
		if snapshot != nil && (newest == nil || snapshot.Index > newest.Index) {
			newest = snapshot
			s.next = 1 - i
		}
	}
	s.index = raft.Index(newest.GetIndex())
	return newest, bad == len(s.areas), nil
}

// write writes a snapshot to the older area and reads it back.
func (s *snapshotAreas) write(snapshot *schema.Snapshot) error {
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	payload = compress(payload)
	target := s.areas[s.next]
	if size, limit := int64(len(payload)), target.area.Size(); size > limit-snapshotHeaderBytes {
		return &TooLargeError{What: "snapshot", Size: size, Limit: limit}
	}
	header := snapshotHeader{isCompressed: true, checksum: checksum(payload), payloadBytes: uint64(len(payload))}
	if _, err := target.area.WriteAt(append(header.encode(), payload...), 0); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	if err := target.area.Sync(); err != nil {
		return fmt.Errorf("sync snapshot: %w", err)
	}
	written, err := target.read()
	if err != nil {
		return fmt.Errorf("snapshot differs from what was written; check the disk: %w", err)
	}
	s.index = raft.Index(written.Index)
	s.next = 1 - s.next
	return nil
}

// read returns the snapshot in an area, or nil where none was ever written.
func (a snapshotArea) read() (*schema.Snapshot, error) {
	head := make([]byte, snapshotHeaderBytes)
	if _, err := a.area.ReadAt(head, 0); err != nil {
		return nil, err
	}
	if isZero(head) {
		return nil, nil
	}
	header, err := parseSnapshotHeader(a.name, head, a.area.Size())
	if err != nil {
		return nil, err
	}
	payload := make([]byte, header.payloadBytes)
	if _, err := a.area.ReadAt(payload, snapshotHeaderBytes); err != nil {
		return nil, err
	}
	if checksum(payload) != header.checksum {
		return nil, &CorruptError{a.name, snapshotHeaderBytes}
	}
	if header.isCompressed {
		if payload, err = decompress(payload); err != nil {
			return nil, &CorruptError{a.name, snapshotHeaderBytes}
		}
	}
	snapshot := &schema.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, &CorruptError{a.name, snapshotHeaderBytes}
	}
	return snapshot, nil
}

package journal

import (
	"fmt"
	"math"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// segmentReserveBytes of a segment stay free beside the largest record, for the hard state that each segment begins with.
const segmentReserveBytes = 4096

// segment is one file of the ring. Its generation is 0 until it is first written.
type segment struct {
	name       string
	area       Area
	generation generation
	// lastIndex is the highest index of an entry in it.
	lastIndex raft.Index
	// end is the offset behind its last record.
	end int64
}

func (s *segment) hasSpace(size int64) bool { return s.generation > 0 && s.end+size <= s.area.Size() }

// ring is the log on disk. Records are written to the current segment; when it is full, the ring goes on with the next one,
// which must hold nothing that is still needed. Each segment begins with the hard state, so that the newest one is never
// lost when an older segment is reused.
type ring struct {
	segments     []*segment
	segmentBytes int64
	current      int
	// written is the serial of the newest record, synced that of the newest one that is certainly on disk: the records
	// between them are one batch.
	written, synced serial
	hardState       *schema.HardState
	// snapshotIndex is the index up to which entries are covered by a snapshot.
	snapshotIndex raft.Index
}

// openRing opens the segments without reading them.
func openRing(disk Disk, options Options) (*ring, error) {
	r := &ring{segmentBytes: options.FileBytes, hardState: &schema.HardState{}}
	for i := range options.Files {
		name := fmt.Sprintf("ring-%d", i)
		area, err := disk.Area(name, options.FileBytes)
		if err != nil {
			return nil, err
		}
		r.segments = append(r.segments, &segment{name: name, area: area, end: segmentHeaderBytes})
	}
	return r, nil
}

// isNeeded tells whether a segment holds entries that no snapshot covers.
func (r *ring) isNeeded(s *segment) bool { return s.generation > 0 && s.lastIndex > r.snapshotIndex }

// isNearlyFull tells whether at most one segment is free.
func (r *ring) isNearlyFull() bool {
	needed := 0
	for _, s := range r.segments {
		if r.isNeeded(s) {
			needed++
		}
	}
	return needed >= len(r.segments)-1
}

func (r *ring) writeHardState(hardState *schema.HardState) error {
	r.hardState = hardState
	return r.write(hardStateRecord, hardState, 0)
}

func (r *ring) writeEntry(entry *schema.LogItem) error {
	return r.write(entryRecord, entry, raft.Index(entry.Index))
}

// write appends a record without syncing it, and begins the next segment first where the record doesn't fit.
func (r *ring) write(kind recordKind, message proto.Message, index raft.Index) error {
	kind, payload, err := encodePayload(kind, message)
	if err != nil {
		return err
	}
	size := record{payload: payload}.size()
	for !r.segments[r.current].hasSpace(size) {
		if size > r.segmentBytes-segmentHeaderBytes-segmentReserveBytes {
			return &TooLargeError{What: "record", Size: size, Limit: r.segmentBytes}
		}
		if err := r.rotate(); err != nil {
			return err
		}
	}
	current := r.segments[r.current]
	r.written++
	batchPosition := uint16(min(r.written-r.synced-1, math.MaxUint16))
	data := record{kind: kind, serial: r.written, batchPosition: batchPosition, payload: payload}.encode(current.generation)
	if _, err := current.area.WriteAt(data, current.end); err != nil {
		return err
	}
	current.end += size
	current.lastIndex = max(current.lastIndex, index)
	return nil
}

// encodePayload encodes a record's payload. Large entries are compressed.
func encodePayload(kind recordKind, message proto.Message) (recordKind, []byte, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return 0, nil, fmt.Errorf("encode journal record: %w", err)
	}
	if len(payload) > constants.PackFrom && kind == entryRecord {
		return compressedEntryRecord, compress(payload), nil
	}
	return kind, payload, nil
}

// rotate begins the next segment with the hard state. It fails with a RingFullError where that segment is still needed.
func (r *ring) rotate() error {
	previous := r.segments[r.current]
	next := r.current
	if previous.generation > 0 {
		next = (r.current + 1) % len(r.segments)
	}
	s := r.segments[next]
	if r.isNeeded(s) {
		return &RingFullError{}
	}
	s.generation = previous.generation + 1
	s.lastIndex = 0
	s.end = segmentHeaderBytes
	if s != previous {
		if err := r.sync(); err != nil {
			return err
		}
	}
	r.current = next
	if _, err := s.area.WriteAt(encodeSegmentHeader(s.generation), 0); err != nil {
		return err
	}
	if err := s.area.Sync(); err != nil {
		return err
	}
	return r.write(hardStateRecord, r.hardState, 0)
}

// sync returns after all records written are on disk.
func (r *ring) sync() error {
	if err := r.segments[r.current].area.Sync(); err != nil {
		return err
	}
	r.synced = r.written
	return nil
}

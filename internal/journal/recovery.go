package journal

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// State is what a journal held when it was opened.
type State struct {
	// HardState is never nil; a new journal's is empty.
	HardState *schema.HardState
	// Snapshot is the newest one, or nil.
	Snapshot *schema.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*schema.LogItem
	// Torn says that a power loss cut the tail. Nothing that was confirmed is missing.
	Torn bool
}

// replay applies a record that was read back. It fails where the payload can't be read, with a protocolversion.DiskError
// where its kind is not known.
func (s *State) replay(r record) (raft.Index, error) {
	switch r.kind {
	case hardStateRecord:
		hardState := &schema.HardState{}
		if err := proto.Unmarshal(r.payload, hardState); err != nil {
			return 0, err
		}
		s.HardState = hardState
		return 0, nil
	case entryRecord:
		return s.replayEntry(r.payload)
	case compressedEntryRecord:
		payload, err := decompress(r.payload)
		if err != nil {
			return 0, err
		}
		return s.replayEntry(payload)
	default:
		return 0, &protocolversion.DiskError{What: "a record of the journal", Own: protocolversion.Own}
	}
}

// replayEntry adds an entry. It replaces those from its index on; where it doesn't follow the ones before it, a
// snapshot was installed between them, and they are dropped.
func (s *State) replayEntry(payload []byte) (raft.Index, error) {
	entry := &schema.LogItem{}
	if err := proto.Unmarshal(payload, entry); err != nil {
		return 0, err
	}
	for len(s.Entries) > 0 && s.lastEntry().Index >= entry.Index {
		s.Entries = s.Entries[:len(s.Entries)-1]
	}
	if len(s.Entries) > 0 && s.lastEntry().Index+1 != entry.Index {
		s.Entries = nil
	}
	s.Entries = append(s.Entries, entry)
	return raft.Index(entry.Index), nil
}

func (s *State) lastEntry() *schema.LogItem { return s.Entries[len(s.Entries)-1] }

// dropCovered drops the entries that the snapshot covers, and all of them where they are of an older term than it: they
// stood behind a log that the snapshot has replaced.
func (s *State) dropCovered() {
	for len(s.Entries) > 0 && s.Entries[0].Index <= s.Snapshot.GetIndex() {
		s.Entries = s.Entries[1:]
	}
	if len(s.Entries) > 0 && s.Snapshot != nil && s.Entries[0].Term < s.Snapshot.Term {
		s.Entries = nil
	}
}

// recovery reads the ring's segments back, oldest first.
type recovery struct {
	ring  *ring
	state *State
	// last is the serial of the newest record that was read, if any was.
	last    serial
	hasLast bool
}

// recoverRing reads all records into a state, cuts a torn tail, and leaves the ring ready to go on behind it.
func recoverRing(ring *ring, state *State) error {
	r := &recovery{ring: ring, state: state}
	written, err := r.readHeaders()
	if err != nil {
		return err
	}
	if err := r.checkUnwritten(written); err != nil {
		return err
	}
	for i, s := range written {
		if i > 0 && s.generation != written[i-1].generation+1 {
			return &CorruptError{s.name, 0}
		}
		data, err := s.read()
		if err != nil {
			return err
		}
		if err := r.readRecords(s, data); err != nil {
			return err
		}
		if i == len(written)-1 {
			err = r.readTail(s, data)
		} else {
			err = r.checkContinuation(s, written[i+1])
		}
		if err != nil {
			return err
		}
		ring.current = slices.Index(ring.segments, s)
	}
	ring.written, ring.synced = r.last, r.last
	return nil
}

// readHeaders returns the segments that were written, by generation. A header that is neither whole nor empty was being
// written when the power went.
func (r *recovery) readHeaders() ([]*segment, error) {
	var written []*segment
	for _, s := range r.ring.segments {
		header := make([]byte, segmentHeaderBytes)
		if _, err := s.area.ReadAt(header, 0); err != nil {
			return nil, fmt.Errorf("read %s: %w", s.name, err)
		}
		generation, isComplete := parseSegmentHeader(header)
		if !isComplete {
			r.state.Torn = r.state.Torn || !isZero(header)
			continue
		}
		s.generation = generation
		written = append(written, s)
	}
	slices.SortFunc(written, func(a, b *segment) int { return cmp.Compare(a.generation, b.generation) })
	return written, nil
}

// checkUnwritten fails where a segment without a header holds a record of the generation that comes next: records follow a
// header only once that is synced, so that a synced header is lost.
func (r *recovery) checkUnwritten(written []*segment) error {
	next := generation(1)
	if len(written) > 0 {
		next = written[len(written)-1].generation + 1
	}
	for _, s := range r.ring.segments {
		if s.generation > 0 {
			continue
		}
		data, err := s.read()
		if err != nil {
			return err
		}
		if _, isComplete := parseRecord(data, segmentHeaderBytes, next); isComplete {
			return &CorruptError{s.name, 0}
		}
	}
	return nil
}

// readRecords replays a segment's records up to the first that is not whole or out of sequence.
func (r *recovery) readRecords(s *segment, data []byte) error {
	s.end = segmentHeaderBytes
	for {
		record, isComplete := parseRecord(data, s.end, s.generation)
		if !isComplete || r.hasLast && record.serial != r.last+1 {
			return nil
		}
		r.last, r.hasLast = record.serial, true
		index, err := r.state.replay(record)
		var newer *protocolversion.DiskError
		if errors.As(err, &newer) {
			return newer
		}
		if err != nil {
			return &CorruptError{s.name, s.end}
		}
		s.lastIndex = max(s.lastIndex, index)
		s.end += record.size()
	}
}

// checkContinuation fails where the next segment doesn't go on where this one ended.
func (r *recovery) checkContinuation(s, next *segment) error {
	data, err := next.read()
	if err != nil {
		return err
	}
	if first, isComplete := parseRecord(data, segmentHeaderBytes, next.generation); isComplete && first.serial != r.last+1 {
		return &CorruptError{s.name, s.end}
	}
	return nil
}

// readTail looks at what stands behind the newest segment's records, and notes whether a write was cut there.
func (r *recovery) readTail(s *segment, data []byte) error {
	isCut, err := r.cutTail(s, data)
	if err != nil {
		return err
	}
	isHalfWritten := hasRecordGuard(data, s.end) && headerSerial(data[s.end:]) == r.last+1
	r.state.Torn = r.state.Torn || isCut || isHalfWritten
	return nil
}

// cutTail erases whole records behind the place where a segment's records end, and tells whether there were any. Those of
// the batch that was being written when the power went may be there although one before them is lost; nothing relies on
// them, but they would seem to follow what is written next. A record of a later batch proves that a synced one is lost.
func (r *recovery) cutTail(s *segment, data []byte) (isCut bool, err error) {
	var leftover []int64
	for offset := s.end; offset+recordHeaderBytes <= int64(len(data)); offset++ {
		record, isComplete := parseRecord(data, offset, s.generation)
		if !isComplete || record.serial <= r.last {
			continue
		}
		if record.serial-serial(record.batchPosition) > r.last+1 {
			return false, &CorruptError{s.name, s.end}
		}
		leftover = append(leftover, offset)
	}
	for _, offset := range leftover {
		if _, err := s.area.WriteAt(make([]byte, recordHeaderBytes), offset); err != nil {
			return false, fmt.Errorf("erase what a power loss left in %s: %w", s.name, err)
		}
	}
	if len(leftover) == 0 {
		return false, nil
	}
	return true, s.area.Sync()
}

func (s *segment) read() ([]byte, error) {
	data, err := readAll(s.area)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", s.name, err)
	}
	return data, nil
}

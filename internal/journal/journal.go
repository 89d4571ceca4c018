package journal

import (
	"google.golang.org/protobuf/proto"

	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	ring      *ring
	snapshots *snapshotAreas
}

// Open reads a journal back, and makes it on an empty disk. It fails with a CorruptError where something that was confirmed
// may be lost, and with a protocolversion.DiskError where a version that the options don't speak wrote it.
func Open(disk Disk, options Options) (*Journal, *State, error) {
	ring, err := openRing(disk, options)
	if err != nil {
		return nil, nil, err
	}
	snapshots, err := openSnapshotAreas(disk, options)
	if err != nil {
		return nil, nil, err
	}
	speaks := options.Speaks.OrOwn()
	state := &State{HardState: &schema.HardState{}}
	newest, areBothBad, err := snapshots.recover(speaks)
	if err != nil {
		return nil, nil, err
	}
	state.Snapshot = newest
	if err := recoverRing(ring, state); err != nil {
		return nil, nil, err
	}
	if err := protocolversion.CheckDisk(speaks, "the journal", protocolversion.Version(state.HardState.Version)); err != nil {
		return nil, nil, err
	}
	hasGap := len(state.Entries) > 0 && raft.Index(state.Entries[0].Index) > snapshots.index+1
	if hasGap || areBothBad && state.HardState.Id != "" {
		return nil, nil, &CorruptError{"snapshot", 0}
	}
	state.dropCovered()
	ring.snapshotIndex = snapshots.index
	ring.hardState = proto.Clone(state.HardState).(*schema.HardState)
	return &Journal{ring: ring, snapshots: snapshots}, state, nil
}

// Append writes the hard state, where it is given and has changed, and entries, and returns after they are synced. An entry
// replaces those from its index on. It fails with a RingFullError until a snapshot is written, with a TooLargeError for an
// entry that no segment holds, and with the disk's errors.
func (j *Journal) Append(hardState *schema.HardState, entries []*schema.LogItem) error {
	isChanged := hardState != nil && !proto.Equal(hardState, j.ring.hardState)
	if !isChanged && len(entries) == 0 {
		return nil
	}
	if isChanged {
		if err := j.ring.writeHardState(proto.Clone(hardState).(*schema.HardState)); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := j.ring.writeEntry(entry); err != nil {
			return err
		}
	}
	return j.ring.sync()
}

// WriteSnapshot writes a snapshot, returns after it is synced and read back, and releases the segments whose entries it
// covers. It fails with a TooLargeError, and with the disk's errors; the snapshot before it stays whole then.
func (j *Journal) WriteSnapshot(snapshot *schema.Snapshot) error {
	if err := j.snapshots.write(snapshot); err != nil {
		return err
	}
	j.ring.snapshotIndex = j.snapshots.index
	return nil
}

// SnapshotIndex returns the index of the newest snapshot on disk, 0 without one.
func (j *Journal) SnapshotIndex() raft.Index { return j.snapshots.index }

// NeedsSnapshot tells whether the ring is so full that a snapshot must be written soon.
func (j *Journal) NeedsSnapshot() bool { return j.ring.isNearlyFull() }

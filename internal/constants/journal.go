package constants

import "time"

// The data folder (internal/journal).
const (
	// JournalFiles (files) in the ring.
	JournalFiles = 4
	// JournalFileBytes (bytes) of one preallocated file: a put of the largest configuration of entries fits several times.
	JournalFileBytes = 8 << 20
	// JournalDiskParts (parts) of a bounded disk: one for each ring file and two for each snapshot area; three quarters stay
	// free.
	JournalDiskParts = 32
	// JournalMargin (bytes) of a ring file are left beside its largest record: for its header and the hard state.
	JournalMargin = 8 << 10
	// PackFrom (bytes) is the payload from which a record is compressed: whole configurations shrink tenfold, for small records
	// it is not worth the time.
	PackFrom = 16 << 10
	// SnapshotFileBytes (bytes) of one of the two preallocated snapshot areas.
	SnapshotFileBytes = 16 << 20
	// FullDiskPause is the time between two tries to write to a full disk.
	FullDiskPause = 50 * time.Millisecond
	// MaxFullDisk is how long a machine waits for a full disk before it gives up; the others' disks carry the log meanwhile.
	MaxFullDisk = 20 * time.Second
	// SlowSync is how long one sync may take before a leader hands over.
	SlowSync = 800 * time.Millisecond
)

package journal

import (
	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
)

// Options set the sizes of a journal.
type Options struct {
	// Files is how many segments the ring has, FileBytes the size of one.
	Files     int
	FileBytes int64
	// SnapshotBytes is the size of each of the two snapshot areas.
	SnapshotBytes int64
	// Speaks are the versions whose disks are read; the zero value is this program's own.
	Speaks protocolversion.Span
}

// DefaultOptions returns the sizes for a machine whose disk sets no bound.
func DefaultOptions() Options {
	return Options{
		Files:         constants.JournalFiles,
		FileBytes:     constants.JournalFileBytes,
		SnapshotBytes: constants.SnapshotFileBytes,
	}
}

// OptionsForDisk returns sizes that fit a disk of so many bytes with room to spare; 0 is no bound.
func OptionsForDisk(diskBytes int64) Options {
	options := DefaultOptions()
	if diskBytes > 0 {
		options.FileBytes = min(options.FileBytes, diskBytes/constants.JournalDiskParts)
		options.SnapshotBytes = min(options.SnapshotBytes, 2*diskBytes/constants.JournalDiskParts)
	}
	return options
}

// Fits tells whether a record, compressed, fits a segment and a frame.
func (o Options) Fits(record *schema.Record) bool {
	limit := o.FileBytes - constants.JournalMargin
	size := int64(proto.Size(record))
	if size > constants.FrameLimit-constants.JournalMargin {
		return false
	}
	return size <= limit || compressedSizeWithin(record, limit)
}

// FitsSnapshot tells whether a snapshot, compressed, fills at most three quarters of its area: rows that no operator puts
// are added to it later.
func (o Options) FitsSnapshot(snapshot *schema.Snapshot) bool {
	limit := (o.SnapshotBytes - snapshotHeaderBytes) * 3 / 4
	return int64(proto.Size(snapshot)) <= limit || compressedSizeWithin(snapshot, limit)
}

func compressedSizeWithin(message proto.Message, limit int64) bool {
	payload, err := proto.Marshal(message)
	return err == nil && int64(len(compress(payload))) <= limit
}

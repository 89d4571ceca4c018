package journal

import "fmt"

// CorruptError says that a record or snapshot that was once confirmed can't be read. The member must not vote with what is
// left: it may have promised more than it knows.
type CorruptError struct {
	// File names the segment or area, Offset is the byte at which reading stopped.
	File   string
	Offset int64
}

// Error says what happens next.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal %s has a bad record at byte %d before its tail; this machine gives up its identity and rejoins empty",
		e.File, e.Offset)
}

// InUseError says that another process has a data folder open.
type InUseError struct {
	// Path is the folder's.
	Path string
}

// Error says what to do.
func (e *InUseError) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process; stop it or name another folder", e.Path)
}

// RingFullError says that every segment holds entries that no snapshot covers. Write a snapshot, then append again.
type RingFullError struct{}

// Error says what to do.
func (e *RingFullError) Error() string {
	return "the journal ring is full; a snapshot must be written before more is logged"
}

// TooLargeError says that a record doesn't fit a segment, or a snapshot its area.
type TooLargeError struct {
	// What is "record" or "snapshot"; Size and Limit are in bytes.
	What        string
	Size, Limit int64
}

// Error says what to do.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("a %s of %d bytes does not fit its area of %d; give the journal a larger disk or put fewer entries",
		e.What, e.Size, e.Limit)
}

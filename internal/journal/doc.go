// Package journal stores a member's Raft log, hard state and snapshots on disk.
//
// The log is written to a ring of preallocated segments, one record after the other; a segment is reused once a snapshot
// covers its entries. Snapshots are written to two areas in turn, so that a whole one is always there. Every record and
// snapshot has a checksum. Open reads everything back and tells two cases apart: a torn tail, which a power loss may leave
// and which holds nothing that was ever confirmed, and a bad record before it, which means that confirmed entries may be
// lost (CorruptError).
//
// The package doesn't decide what is logged or when a snapshot is taken. A Journal is not safe for concurrent use: one
// goroutine calls it, and calls block until the disk has synced.
package journal

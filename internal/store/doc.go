// Package store holds the replicated state of a fleet as rows.
//
// A Table is one node's copy of the rows: all of them on a member of the Raft log, those below the prefixes that it
// subscribes to on other nodes. It changes by committed records (Apply), by deltas from another node (Merge) or by a
// snapshot (Restore), remembers its latest changes for readers, and gives digests by which two nodes compare their rows.
// A View is a compiled, immutable form of a table, on which requests are decided. The keys of all rows stand in keys.go.
//
// The package does no I/O and doesn't know what rows mean beyond compiling them: rules on their contents come in by the
// RowCheck that is passed to Apply. A Table belongs to one goroutine; a View may be read by any.
package store

// Package raft implements the Raft consensus algorithm as a deterministic state machine: pre-votes, leader election,
// log replication, linearizable reads, membership changes of one member at a time, leadership transfer and snapshots.
//
// A Node owns one member's term, vote, in-memory log and progress of its peers. It does no I/O, starts no goroutine,
// holds no lock and reads no clock: one goroutine calls it, passes the time and received messages in, and carries out
// the work that Take hands out:
//
//	node.Tick(now); node.Step(now, message); node.Propose(now, record)
//	ready := node.Take()
//	// write ready.HardState, ready.Snapshot and ready.Entries to disk, then send ready.Messages
//	node.Synced(now, ready)
//	for _, entry := range node.Committed() { /* apply */ }
//
// Messages may leave only after the same Ready is on disk: a response promises what the disk holds. Times are
// durations on one monotonic clock of this process; clocks of different members are never compared.
package raft

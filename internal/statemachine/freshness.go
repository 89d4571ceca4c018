package statemachine

import (
	"time"

	"topazshed/internal/raft"
)

// confirmation says that all that was committed at an instant is at or below an index of the log.
type confirmation struct {
	index raft.Index
	at    time.Duration
}

// freshness compares what is applied with what is known to be committed.
type freshness struct {
	knownCommit raft.Index
	// awaited is the confirmation that the applied state must reach next, newest the latest one.
	awaited     confirmation
	newest      confirmation
	freshAt     time.Duration
	behindSince time.Duration
}

// ObserveCommit takes the commit index that the leader has named.
func (m *Machine) ObserveCommit(commit raft.Index) {
	m.freshness.knownCommit = max(m.freshness.knownCommit, commit)
}

// Confirm takes the word that all that was committed at an instant is at or below an index.
func (m *Machine) Confirm(index raft.Index, at time.Duration) {
	if at > m.freshness.newest.at {
		m.freshness.newest = confirmation{index: index, at: at}
	}
}

// Refresh compares the applied state with the commit index that the leader has named, and with what was confirmed.
func (m *Machine) Refresh(now time.Duration) {
	f := &m.freshness
	m.reachAwaited()
	switch {
	case m.table.Version() >= f.knownCommit:
		f.behindSince = 0
	case f.behindSince == 0:
		f.behindSince = now
	}
}

// reachAwaited counts the awaited confirmation once the state has reached it, and then awaits the newest one. One that is awaited stays, so that a state
// which is applied in bursts reaches it although newer ones keep coming.
func (m *Machine) reachAwaited() {
	f := &m.freshness
	for range 2 {
		if f.awaited.at > 0 && m.table.Version() < f.awaited.index {
			return
		}
		f.freshAt = max(f.freshAt, f.awaited.at)
		f.awaited = f.newest
	}
}

// FreshAt is the latest instant for which the applied state certainly holds all that was committed then; 0 is never.
func (m *Machine) FreshAt() time.Duration { return m.freshness.freshAt }

// BehindSince is since when the applied state has lacked what the leader had named as committed; 0 is that it lacks nothing.
func (m *Machine) BehindSince() time.Duration { return m.freshness.behindSince }

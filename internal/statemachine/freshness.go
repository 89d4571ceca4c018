package statemachine

import (
	"time"

	"topazshed/internal/raft"
)

// freshness compares what is applied with what the leader has said to be committed.
type freshness struct {
	knownCommit   raft.Index
	knownCommitAt time.Duration
	freshAt       time.Duration
	behindSince   time.Duration
}

// ObserveCommit takes the commit index that the leader has named.
func (m *Machine) ObserveCommit(now time.Duration, commit raft.Index) {
	m.freshness.knownCommit, m.freshness.knownCommitAt = commit, now
}

// Refresh compares the applied state with the commit index that the leader has named last.
func (m *Machine) Refresh(now time.Duration) {
	f := &m.freshness
	if m.table.Version() < f.knownCommit {
		if f.behindSince == 0 {
			f.behindSince = now
		}
		return
	}
	f.behindSince = 0
	if f.knownCommit > 0 {
		f.freshAt = f.knownCommitAt
	}
}

// FreshAt is the latest instant at which the applied state held all that the leader had named as committed; 0 is never.
func (m *Machine) FreshAt() time.Duration { return m.freshness.freshAt }

// BehindSince is since when the applied state has lacked what the leader had named as committed; 0 is that it lacks nothing.
func (m *Machine) BehindSince() time.Duration { return m.freshness.behindSince }

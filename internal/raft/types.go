package raft

import (
	"time"

	"topazshed/internal/constants"
)

// Term numbers elections. It never falls on one member, and at most one member leads in each term.
type Term uint64

// Index is the position of an entry in the log. The first entry has index 1; 0 stands before it.
type Index uint64

// Role is what a member does in its term.
type Role int

// The roles of a member. A learner is a Follower that has no vote.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the role's name as operators see it.
func (r Role) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// Timing sets how often a leader sends heartbeats and how long members wait before an election. All members of a
// system use the same values.
type Timing struct {
	// HeartbeatInterval is the longest pause between two messages of a leader to a follower.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest time without a leader's message after which a voter starts an election.
	ElectionTimeout time.Duration
	// ElectionJitter bounds the random time that is added to ElectionTimeout, so that two voters seldom start at once.
	ElectionJitter time.Duration
}

// DefaultTiming returns the timing of a system that sets none.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: constants.RaftHeartbeat,
		ElectionTimeout:   constants.MinRaftElection,
		ElectionJitter:    constants.RaftElectionSpread,
	}
}

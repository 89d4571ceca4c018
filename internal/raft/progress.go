package raft

import (
	"slices"
	"time"
)

// progress is what a leader knows of one other member.
//
// Invariant: match < next. While isProbing, the member's log may differ from the leader's at next-1, and one entry is
// sent at a time.
type progress struct {
	// match is the highest index up to which the member's disk is known to hold the leader's log.
	match Index
	// next is the index of the first entry to send next.
	next      Index
	isProbing bool
	// acknowledgedRound is the newest round of messages that the member has answered.
	acknowledgedRound uint64
	// question is the newest one that the member has asked; 0 is none.
	question uint64
	// heardAt is when the member last answered.
	heardAt time.Duration
	// snapshotSentAt is when a member that takes no parts was last sent a whole snapshot.
	snapshotSentAt time.Duration
	// acceptsParts says that the member takes snapshots in parts.
	acceptsParts bool
	// transfer is the snapshot that the member is being sent, or nil.
	transfer *snapshotTransfer
}

// recordResponse notes that the member has answered a round.
func (p *progress) recordResponse(now time.Duration, round uint64) {
	p.heardAt = now
	p.acknowledgedRound = max(p.acknowledgedRound, round)
}

// LastContact returns when a member last answered this leader; 0 where it never did.
func (n *Node) LastContact(id string) time.Duration {
	if p := n.progress[id]; p != nil {
		return p.heardAt
	}
	return 0
}

// Match returns the index up to which a member's disk is known to hold this leader's log.
func (n *Node) Match(id string) Index {
	if p := n.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// quorumValue returns the highest value that a majority of the voters has reached; own is this member's.
func quorumValue[T ~uint64](n *Node, own T, valueOf func(*progress) T) T {
	var values []T
	for _, voter := range n.Members().Voters {
		switch p := n.progress[voter.Id]; {
		case voter.Id == n.id:
			values = append(values, own)
		case p != nil:
			values = append(values, valueOf(p))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

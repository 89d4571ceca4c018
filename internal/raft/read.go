package raft

import "time"

// pendingRead is a linearizable read that waits for a majority to confirm this leader.
type pendingRead struct {
	id uint64
	// round is the round of messages that a majority must answer: it was sent after the read was asked for.
	round uint64
	// index is the commit index at that time; the state must be applied up to it.
	index Index
}

// ReadIndex asks for a linearizable read. Ready.Reads has the id once a majority has confirmed that this member still
// leads and the entries committed until now are applied; Ready.LostReads has it where this member stops leading
// first. It fails with a NotLeaderError where this member doesn't lead, or has committed no entry of its term yet.
func (n *Node) ReadIndex(now time.Duration, id uint64) error {
	n.now = now
	if !n.HasCommittedInTerm() {
		return &NotLeaderError{n.leader}
	}
	n.broadcastAppend()
	n.reads = append(n.reads, pendingRead{id: id, round: n.round, index: n.log.committed})
	n.confirmReads()
	return nil
}

// LeadershipConfirmedAt returns the latest time at which a majority certainly still followed this leader: when it
// sent the newest round that a majority has answered. It is 0 where none has, or this member doesn't lead.
func (n *Node) LeadershipConfirmedAt() time.Duration {
	if n.role != Leader {
		return 0
	}
	round := n.acknowledgedRound()
	if round == 0 {
		return 0
	}
	if sentAt, isKnown := n.roundSentAt[round]; isKnown {
		return sentAt
	}
	if round == n.round {
		return n.now
	}
	return 0
}

// acknowledgedRound returns the newest round that a majority has answered.
func (n *Node) acknowledgedRound() uint64 {
	return quorumValue(n, n.round, func(p *progress) uint64 { return p.acknowledgedRound })
}

// confirmReads hands out the reads whose round a majority has answered and whose entries are applied.
func (n *Node) confirmReads() {
	round := n.acknowledgedRound()
	waiting := n.reads[:0]
	for _, read := range n.reads {
		if read.round <= round && n.log.applied >= read.index {
			n.ready.Reads = append(n.ready.Reads, read.id)
		} else {
			waiting = append(waiting, read)
		}
	}
	n.reads = waiting
}

// loseReads hands out all waiting reads as lost.
func (n *Node) loseReads() {
	for _, read := range n.reads {
		n.ready.LostReads = append(n.ready.LostReads, read.id)
	}
	n.reads = nil
}

package raft

import (
	"slices"
	"time"
)

// Reads: a majority confirms that this member still leads, so that its state is the newest.

// Contact is the latest instant at which a majority certainly still followed this leader.
func (q *Node) Contact() time.Duration {
	if q.role != Leader {
		return 0
	}
	if round := majority(q, func(p *progress) uint64 { return p.ackRound }, q.round); round > 0 {
		if at, isKnown := q.sentAt[round]; isKnown {
			return at
		}
		if round == q.round {
			return q.now
		}
	}
	return 0
}

func majority[T ~uint64](q *Node, measure func(*progress) T, own T) T {
	var values []T
	for _, m := range q.Members().Voters {
		if m.Id == q.id {
			values = append(values, own)
		} else if p := q.others[m.Id]; p != nil {
			values = append(values, measure(p))
		} else {
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Read asks for a moment at which this leader's state is certainly the newest.
func (q *Node) Read(now time.Duration, ticket uint64) error {
	q.now = now
	if !q.Settled() {
		return &NotLeaderError{q.leader}
	}
	q.broadcast()
	q.reads = append(q.reads, read{ticket, q.round, q.commit})
	q.confirm()
	return nil
}

func (q *Node) confirm() {
	round := majority(q, func(p *progress) uint64 { return p.ackRound }, q.round)
	rest := q.reads[:0]
	for _, r := range q.reads {
		if r.round <= round && q.handed >= r.index {
			q.ready.Reads = append(q.ready.Reads, r.ticket)
		} else {
			rest = append(rest, r)
		}
	}
	q.reads = rest
}

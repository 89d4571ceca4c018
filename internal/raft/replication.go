package raft

import (
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// Replication: the leader sends its log, followers take it, and what a majority has on disk is committed.

func (q *Node) append(record *schema.Record) Index {
	item := &schema.LogItem{Index: uint64(q.last()) + 1, Term: uint64(q.term), Record: record}
	q.items = append(q.items, item)
	q.logBytes += proto.Size(item)
	q.unsynced = min(q.unsynced, Index(item.Index))
	return Index(item.Index)
}

// Propose appends a record at the leader and tells its index and term.
func (q *Node) Propose(now time.Duration, record *schema.Record) (Index, Term, error) {
	q.now = now
	if q.role != Leader || q.passing != "" {
		return 0, 0, &NotLeaderError{q.leader}
	}
	if record.Kind == schema.RecordKind_RECORD_MEMBERS {
		if _, at := q.membersAt(); at > q.commit || !q.Settled() {
			return 0, 0, &PendingError{}
		}
	}
	index := q.append(record)
	q.broadcast()
	q.advance()
	return index, q.term, nil
}

func (q *Node) broadcast() {
	q.round++
	q.heartbeatAt = q.now
	q.sentAt[q.round] = q.now
	delete(q.sentAt, q.round-512)
	for _, m := range q.peers() {
		q.replicate(m.Id)
	}
}

func (q *Node) replicate(id string) {
	p := q.others[id]
	if p == nil {
		p = &progress{next: q.last() + 1, heard: q.now, isProbing: true}
		q.others[id] = p
	}
	if p.next <= q.first {
		q.send(&schema.Raft{Kind: schema.RaftKind_RAFT_APPEND, To: id, Round: q.round})
		q.sendSnapshot(id, p)
		return
	}
	prev := p.next - 1
	prevTerm, _ := q.termAt(prev)
	m := &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND, To: id, Index: uint64(prev), LogTerm: uint64(prevTerm), Commit: uint64(q.commit), Round: q.round}
	bytes := 0
	for _, item := range q.items[p.next-q.first-1:] {
		if len(m.Items) >= constants.RaftBatchItems || bytes > constants.RaftBatchBytes {
			break
		}
		m.Items = append(m.Items, item)
		bytes += proto.Size(item)
		if p.isProbing {
			break
		}
	}
	if !p.isProbing {
		p.next += Index(len(m.Items))
	}
	q.send(m)
}

func (q *Node) advance() {
	if q.role != Leader {
		return
	}
	commit := majority(q, func(p *progress) Index { return p.match }, q.unsynced-1)
	if term, isThere := q.termAt(commit); isThere && commit > q.commit && term == q.term {
		q.commit = commit
		q.broadcast()
	}
	if !q.IsVoter(q.id) {
		if _, at := q.membersAt(); at <= q.commit {
			q.step(q.term, "")
		}
	}
}

func (q *Node) follow(m *schema.Raft) {
	if q.role != Follower {
		q.become(Follower)
	}
	q.leader, q.heard = m.From, q.now
	q.reset(q.now)
}

func (q *Node) accept(m *schema.Raft) {
	response := &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, To: m.From, Round: m.Round}
	items := m.Items
	index, logTerm := Index(m.Index), Term(m.LogTerm)
	for len(items) > 0 && index < q.first {
		index, logTerm = Index(items[0].Index), Term(items[0].Term)
		items = items[1:]
	}
	if index < q.first {
		response.Index = uint64(q.first)
		q.send(response)
		return
	}
	term, isThere := q.termAt(index)
	if !isThere || index > q.first && term != logTerm {
		response.Rejected, response.TakesParts = true, true
		hint := min(q.last(), index-1)
		if isThere {
			for hint > q.commit {
				hintTerm, _ := q.termAt(hint)
				if hintTerm != term {
					break
				}
				hint--
			}
		}
		response.Hint = uint64(hint)
		q.send(response)
		return
	}
	for _, item := range items {
		if own, isOwn := q.termAt(Index(item.Index)); isOwn {
			if own == Term(item.Term) {
				continue
			}
			if Index(item.Index) <= q.commit {
				panic("quorum: a committed item would be replaced")
			}
			q.logBytes -= q.bytesFrom(Index(item.Index) - 1)
			q.items = q.items[:Index(item.Index)-q.first-1]
			q.unsynced = min(q.unsynced, Index(item.Index))
		}
		q.items = append(q.items, item)
		q.logBytes += proto.Size(item)
	}
	known := index + Index(len(items))
	q.commit = max(q.commit, min(Index(m.Commit), known))
	response.Index = uint64(known)
	q.send(response)
}

func (q *Node) install(m *schema.Raft) {
	response := &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, To: m.From, Round: m.Round, Index: m.Snapshot.Index}
	if Index(m.Snapshot.Index) <= q.commit {
		response.Index = uint64(q.commit)
		q.send(response)
		return
	}
	q.first, q.firstTerm, q.base = Index(m.Snapshot.Index), Term(m.Snapshot.Term), m.Snapshot.Members
	q.items, q.logBytes = nil, 0
	q.unsynced = q.first + 1
	q.commit, q.handed = q.first, q.first
	q.snapshot, q.isBehind = m.Snapshot, true
	q.send(response)
}

func (q *Node) acknowledge(m *schema.Raft) {
	p := q.others[m.From]
	if q.role != Leader || p == nil {
		return
	}
	p.heard = q.now
	p.ackRound = max(p.ackRound, m.Round)
	p.takesParts = p.takesParts || m.TakesParts
	if m.Rejected {
		p.next = min(max(Index(m.Hint)+1, p.match+1), q.last()+1)
		p.isProbing = true
		q.replicate(m.From)
	} else {
		wasProbing := p.isProbing
		p.isProbing = false
		if Index(m.Index) > p.match {
			p.match = min(Index(m.Index), q.last())
		}
		p.next = max(p.next, p.match+1)
		q.endTransfers()
		q.advance()
		if q.role == Leader && p.next > q.first && p.next <= q.last() && (wasProbing || p.next == p.match+1) {
			q.replicate(m.From)
		}
	}
	if q.role == Leader {
		q.confirm()
	}
}

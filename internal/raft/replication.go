package raft

import (
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// roundsRemembered is how many rounds of messages a leader remembers the sending time of.
const roundsRemembered = 512

// Propose appends a record to the leader's log and returns the position at which it is committed unless another
// leader replaces it. It fails with a NotLeaderError, also during a leadership transfer, or with a
// MembershipChangePendingError.
func (n *Node) Propose(now time.Duration, record *schema.Record) (Index, Term, error) {
	n.now = now
	if n.role != Leader || n.transferee != "" {
		return 0, 0, &NotLeaderError{n.leader}
	}
	if record.Kind == schema.RecordKind_RECORD_MEMBERS {
		if err := n.checkMembershipChange(); err != nil {
			return 0, 0, err
		}
	}
	index := n.log.propose(n.term, record)
	n.broadcastAppend()
	n.advanceCommit()
	return index, n.term, nil
}

// broadcastAppend starts a new round: it sends every peer its next entries, or a heartbeat where there are none.
func (n *Node) broadcastAppend() {
	n.round++
	n.heartbeatSentAt = n.now
	n.roundSentAt[n.round] = n.now
	delete(n.roundSentAt, n.round-roundsRemembered)
	for _, peer := range n.peers() {
		n.sendAppend(peer.Id)
	}
}

// sendAppend sends a peer its next entries, or a heartbeat and a snapshot where the log no longer has them.
func (n *Node) sendAppend(id string) {
	p := n.progress[id]
	if p == nil {
		p = &progress{next: n.log.lastIndex() + 1, heardAt: n.now, isProbing: true}
		n.progress[id] = p
	}
	if p.next < n.log.firstIndex() {
		n.send(&schema.Raft{Kind: schema.RaftKind_RAFT_APPEND, To: id, Commit: uint64(n.log.committed), Round: n.round,
			Confirmation: n.answerQuestion(p)})
		n.sendSnapshot(id, p)
		return
	}
	previous := p.next - 1
	previousTerm, _ := n.log.term(previous)
	entries := n.batch(p)
	if !p.isProbing {
		p.next += Index(len(entries))
	}
	n.send(&schema.Raft{Kind: schema.RaftKind_RAFT_APPEND, To: id, Index: uint64(previous), LogTerm: uint64(previousTerm),
		Commit: uint64(n.log.committed), Round: n.round, Items: entries, Confirmation: n.answerQuestion(p)})
}

// batch returns the entries for one message: one while probing, otherwise as many as fit.
func (n *Node) batch(p *progress) []*schema.LogItem {
	var entries []*schema.LogItem
	bytes := 0
	for _, entry := range n.log.entriesFrom(p.next) {
		if len(entries) >= constants.RaftBatchItems || bytes > constants.RaftBatchBytes {
			break
		}
		entries = append(entries, entry)
		bytes += proto.Size(entry)
		if p.isProbing {
			break
		}
	}
	return entries
}

// advanceCommit commits what a majority has on disk. Entries of earlier terms are committed only along with one of
// the leader's own term.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}
	index := quorumValue(n, n.log.unsynced-1, func(p *progress) Index { return p.match })
	if term, isPresent := n.log.term(index); isPresent && index > n.log.committed && term == n.term {
		n.log.committed = index
		n.broadcastAppend()
	}
	n.stepDownIfRemoved()
}

// stepAppend takes a leader's entries and answers up to which index the log is the leader's.
func (n *Node) stepAppend(m *schema.Raft) {
	n.followSender(m)
	defer n.takeConfirmation(m)
	entries := m.Items
	previous, previousTerm := Index(m.Index), Term(m.LogTerm)
	for len(entries) > 0 && previous < n.log.snapshotIndex {
		previous, previousTerm = Index(entries[0].Index), Term(entries[0].Term)
		entries = entries[1:]
	}
	if previous < n.log.snapshotIndex {
		n.sendAppendResponse(m, n.log.snapshotIndex)
		return
	}
	term, isPresent := n.log.term(previous)
	if !isPresent || previous > n.log.snapshotIndex && term != previousTerm {
		n.rejectAppend(m, previous)
		return
	}
	n.log.merge(entries)
	last := previous + Index(len(entries))
	n.log.commitTo(min(Index(m.Commit), last))
	n.sendAppendResponse(m, last)
}

func (n *Node) sendAppendResponse(m *schema.Raft, match Index) {
	n.send(&schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, To: m.From, Round: m.Round, Index: uint64(match),
		Question: n.ask(m.From)})
}

// rejectAppend tells the leader that the logs differ at an index. The hint is where it should try next: below all
// entries of the conflicting term, but never below what is committed.
func (n *Node) rejectAppend(m *schema.Raft, conflict Index) {
	hint := min(n.log.lastIndex(), conflict-1)
	if conflictTerm, isPresent := n.log.term(conflict); isPresent {
		for hint > n.log.committed {
			if term, _ := n.log.term(hint); term != conflictTerm {
				break
			}
			hint--
		}
	}
	n.send(&schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, To: m.From, Round: m.Round,
		Rejected: true, TakesParts: true, Hint: uint64(hint), Question: n.ask(m.From)})
}

// rejectStaleTerm tells a leader of an earlier term of this member's term; other old messages get no answer.
func (n *Node) rejectStaleTerm(m *schema.Raft) {
	switch m.Kind {
	case schema.RaftKind_RAFT_APPEND, schema.RaftKind_RAFT_SNAPSHOT, schema.RaftKind_RAFT_SNAPSHOT_PART:
		n.send(&schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, To: m.From, Rejected: true})
	}
}

// stepAppendResponse moves a follower's progress and commits what a majority has now.
func (n *Node) stepAppendResponse(m *schema.Raft) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recordResponse(n.now, m.Round)
	p.question = m.Question
	p.acceptsParts = p.acceptsParts || m.TakesParts
	if m.Rejected {
		p.next = min(max(Index(m.Hint)+1, p.match+1), n.log.lastIndex()+1)
		p.isProbing = true
		n.sendAppend(m.From)
	} else {
		n.acknowledge(m.From, p, Index(m.Index))
	}
	if n.role == Leader {
		n.confirmReads()
	}
}

// acknowledge notes up to which index a follower's disk holds the log, and sends what follows.
func (n *Node) acknowledge(id string, p *progress, index Index) {
	wasProbing := p.isProbing
	p.isProbing = false
	if index > p.match {
		p.match = min(index, n.log.lastIndex())
	}
	p.next = max(p.next, p.match+1)
	n.endTransfers()
	n.advanceCommit()
	isWaiting := p.next >= n.log.firstIndex() && p.next <= n.log.lastIndex()
	if n.role == Leader && isWaiting && (wasProbing || p.next == p.match+1) {
		n.sendAppend(id)
	}
}

package raft

import (
	"time"

	"topazshed/internal/schema"
)

// Elections: pre-votes, votes, and the lead handed to another member.

// Handover asks the best follower to lead instead.
func (q *Node) Handover(now time.Duration) bool {
	q.now = now
	if q.role != Leader || q.passing != "" {
		return q.passing != ""
	}
	best := ""
	for _, m := range q.Members().Voters {
		if p := q.others[m.Id]; m.Id != q.id && p != nil && p.match >= q.commit && now-p.heard < q.options.Pace.ElectionLeast &&
			(best == "" || p.match > q.others[best].match) {
			best = m.Id
		}
	}
	if best == "" {
		return false
	}
	q.passing, q.passingAt = best, now
	q.send(&schema.Raft{Kind: schema.RaftKind_RAFT_TIMEOUT_NOW, To: best})
	return true
}

func (q *Node) campaign(isPre, isHandover bool) {
	q.leader = ""
	q.become(Candidate)
	q.isPre = isPre
	q.votes = map[string]bool{q.id: true}
	term := q.term + 1
	kind := schema.RaftKind_RAFT_PREVOTE
	if !isPre {
		q.term, q.vote = term, q.id
		kind = schema.RaftKind_RAFT_VOTE
	}
	logTerm, _ := q.termAt(q.last())
	for _, m := range q.Members().Voters {
		if m.Id != q.id {
			q.send(&schema.Raft{Kind: kind, To: m.Id, Term: uint64(term), Index: uint64(q.last()), LogTerm: uint64(logTerm), Handover: isHandover})
		}
	}
	q.count()
}

func (q *Node) count() {
	yes := 0
	voters := q.Members().Voters
	for _, m := range voters {
		if q.votes[m.Id] {
			yes++
		}
	}
	if yes <= len(voters)/2 {
		return
	}
	if q.isPre {
		q.campaign(false, false)
		return
	}
	q.become(Leader)
}

func (q *Node) isNewEnough(m *schema.Raft) bool {
	term, _ := q.termAt(q.last())
	return Term(m.LogTerm) > term || Term(m.LogTerm) == term && Index(m.Index) >= q.last()
}

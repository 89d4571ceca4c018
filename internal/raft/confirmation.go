package raft

import (
	"time"

	"topazshed/internal/schema"
)

// confirmation says that, at an instant on this member's clock, all that was committed was at or below an index.
type confirmation struct {
	index Index
	at    time.Duration
}

// Confirmed returns the newest instant on this member's clock for which it knows that all that was committed then is at or below an index. The
// instant is 0 where there is none. A leader knows it by the rounds that a majority has answered, once it has committed an entry of its own
// term (Raft dissertation, section 6.4); a follower by its leader's answers to its questions.
func (n *Node) Confirmed() (Index, time.Duration) {
	if at := n.commitConfirmedAt(); at > n.confirmed.at {
		return n.log.committed, at
	}
	return n.confirmed.index, n.confirmed.at
}

// commitConfirmedAt returns the latest instant for which this leader's commit index certainly covers all that was committed then; 0 where it
// doesn't lead, or doesn't know yet what the leaders before it have committed.
func (n *Node) commitConfirmedAt() time.Duration {
	if !n.HasCommittedInTerm() {
		return 0
	}
	return n.LeadershipConfirmedAt()
}

// ask numbers a question to the leader: as of when does this member know of all that was committed?
func (n *Node) ask(leader string) uint64 {
	question := n.questions.Next()
	n.questions.Sent(n.now, leader)
	return question
}

// answerQuestion answers the newest question of a follower. An empty answer tells it that there is nothing to confirm.
func (n *Node) answerQuestion(p *progress) *schema.CommitConfirmation {
	at := n.commitConfirmedAt()
	if at == 0 || p.question == 0 {
		return &schema.CommitConfirmation{}
	}
	return &schema.CommitConfirmation{Question: p.question, AgeMs: schema.AgeMs(n.now - at)}
}

// takeConfirmation counts the age that the leader tells back from when this member asked, however long the answer was on its way.
func (n *Node) takeConfirmation(m *schema.Raft) {
	if m.Confirmation == nil {
		n.takeUnansweredCommit(m)
		return
	}
	if m.Confirmation.Question == 0 {
		return
	}
	askedAt, isOwn := n.questions.Match(m.Confirmation.Question, m.From)
	if !isOwn {
		return
	}
	n.confirm(Index(m.Commit), askedAt-time.Duration(m.Confirmation.AgeMs)*time.Millisecond)
}

// takeUnansweredCommit takes the commit index of a leader of an earlier version, which answers no questions. It counts once it is an entry of the
// leader's own term, from when it is heard less the time for which a leader without a majority may go on after another one was elected.
func (n *Node) takeUnansweredCommit(m *schema.Raft) {
	commit := Index(m.Commit)
	if term, isPresent := n.log.term(commit); isPresent && commit > 0 && term == Term(m.Term) {
		n.confirm(commit, n.now-n.timing.ElectionTimeout)
	}
}

func (n *Node) confirm(index Index, at time.Duration) {
	if at > n.confirmed.at {
		n.confirmed = confirmation{index: index, at: at}
	}
}

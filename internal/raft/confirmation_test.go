package raft

import (
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func expectConfirmed(t *testing.T, node *Node, index Index, at time.Duration) {
	t.Helper()
	if gotIndex, gotAt := node.Confirmed(); gotIndex != index || gotAt != at {
		t.Fatalf("confirmed up to %d at %v, want %d at %v", gotIndex, gotAt, index, at)
	}
}

// Guards against a 404 for an acknowledged route (CONFIG): a leader that had committed nothing in its term confirmed what it had applied.
func TestALeaderConfirmsItsCommitIndexOnceItHasCommittedInItsTerm(t *testing.T) {
	node := electLeader(t)
	sent, round := node.now, node.round
	node.Tick(node.now + constants.RaftHeartbeat)
	acknowledge(node, "b", 3, round)
	if node.LeadershipConfirmedAt() != sent {
		t.Fatalf("leadership confirmed at %v, want %v", node.LeadershipConfirmedAt(), sent)
	}
	expectConfirmed(t, node, 0, 0)
	acknowledge(node, "b", 4, round)
	expectConfirmed(t, node, 4, sent)
}

func TestALeaderAnswersTheNewestQuestionOfAFollower(t *testing.T) {
	respond := func(node *Node, index Index, round, question uint64) {
		node.Step(node.now, &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, From: "b", To: "a", Term: 3, Index: uint64(index), Round: round, Question: question})
		takeLastMessage(node)
	}
	answerTo := func(node *Node, id string) *schema.CommitConfirmation {
		node.broadcastAppend()
		ready := node.Take()
		node.Synced(node.now, ready)
		for _, message := range ready.Messages {
			if message.To == id {
				return message.Confirmation
			}
		}
		return nil
	}
	node := electLeader(t)
	round := node.round
	node.now += 30*time.Millisecond + time.Microsecond
	respond(node, 3, round, 7)
	if got := answerTo(node, "b"); got == nil || got.Question != 0 {
		t.Fatalf("%v by a leader that has committed nothing in its term", got)
	}
	respond(node, 4, round, 8)
	if got := answerTo(node, "b"); got.GetQuestion() != 8 || got.GetAgeMs() != 31 {
		t.Fatalf("%v, want the answer to question 8, 31 ms old", got)
	}
	if got := answerTo(node, "c"); got == nil || got.Question != 0 {
		t.Fatalf("%v to a follower that has asked nothing", got)
	}
}

func TestAFollowerCountsTheAnswersAgeBackFromItsQuestion(t *testing.T) {
	const (
		asked = time.Hour
		heard = asked + 9*time.Second
	)
	answer := func(question uint64, ageMs uint32) *schema.CommitConfirmation {
		return &schema.CommitConfirmation{Question: question, AgeMs: ageMs}
	}
	for _, c := range []struct {
		name         string
		from         string
		commit       uint64
		confirmation func(question uint64) *schema.CommitConfirmation
		index        Index
		at           time.Duration
	}{
		{"however late it is heard", "b", 3, func(question uint64) *schema.CommitConfirmation { return answer(question, 40) }, 3, asked - 40*time.Millisecond},
		{"also for entries that it lacks", "b", 9, func(question uint64) *schema.CommitConfirmation { return answer(question, 0) }, 9, asked},
		{"not if the leader confirms nothing", "b", 3, func(uint64) *schema.CommitConfirmation { return answer(0, 0) }, 0, 0},
		{"not if a former incarnation asked", "b", 3, func(question uint64) *schema.CommitConfirmation { return answer(question-1, 0) }, 0, 0},
		{"not if another leader was asked", "c", 3, func(question uint64) *schema.CommitConfirmation { return answer(question, 0) }, 0, 0},
		{"a leader of an earlier version counts from when it is heard, less an election time-out", "b", 3,
			func(uint64) *schema.CommitConfirmation { return nil }, 3, heard - constants.MinRaftElection},
		{"a leader of an earlier version does not count with an entry of an older term", "b", 2,
			func(uint64) *schema.CommitConfirmation { return nil }, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			node := restore("a", &schema.HardState{Term: 2}, testLog(1, 3))
			heartbeat := &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND, From: "b", To: "a", Term: 3, Index: 3, LogTerm: 3, Confirmation: answer(0, 0)}
			node.Step(asked, heartbeat)
			question := takeLastMessage(node).GetQuestion()
			if question == 0 {
				t.Fatal("the response asks nothing")
			}
			expectConfirmed(t, node, 0, 0)
			term := uint64(3)
			if c.from != "b" {
				term = 4
			}
			node.Step(heard, &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND, From: c.from, To: "a", Term: term, Index: 3, LogTerm: 3, Commit: c.commit, Confirmation: c.confirmation(question)})
			expectConfirmed(t, node, c.index, c.at)
		})
	}
}

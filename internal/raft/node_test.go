package raft

import (
	"errors"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func testLog(terms ...uint64) []*schema.LogItem {
	items := []*schema.LogItem{{Index: 1, Term: 1, Record: &schema.Record{Kind: schema.RecordKind_RECORD_MEMBERS, Members: &schema.Members{
		Voters: []*schema.Member{{Id: "a"}, {Id: "b"}, {Id: "c"}}}}}}
	for i, term := range terms {
		items = append(items, &schema.LogItem{Index: uint64(i + 2), Term: term, Record: &schema.Record{}})
	}
	return items
}

func restore(id string, hard *schema.HardState, items []*schema.LogItem) *Node {
	node := New(time.Hour, Options{
		ID:           id,
		HardState:    hard,
		Entries:      items,
		Draw:         func(int64) int64 { return 0 },
		TakeSnapshot: func() *schema.Snapshot { return &schema.Snapshot{} },
	})
	node.Synced(time.Hour, node.Take())
	return node
}

func takeLastMessage(node *Node) *schema.Raft {
	ready := node.Take()
	node.Synced(node.now, ready)
	if len(ready.Messages) == 0 {
		return nil
	}
	return ready.Messages[len(ready.Messages)-1]
}

// voteRequest asks for a vote in term 3 for a log that ends at an index with a term.
func voteRequest(index Index, logTerm Term) *schema.Raft {
	return &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE, Term: 3, Index: uint64(index), LogTerm: uint64(logTerm)}
}

func transferVoteRequest(index Index, logTerm Term) *schema.Raft {
	request := voteRequest(index, logTerm)
	request.Handover = true
	return request
}

func preVoteRequest(index Index, logTerm Term) *schema.Raft {
	request := voteRequest(index, logTerm)
	request.Kind = schema.RaftKind_RAFT_PREVOTE
	return request
}

func TestVoteRequests(t *testing.T) {
	for _, c := range []struct {
		name      string
		hard      *schema.HardState
		isLive    bool
		request   *schema.Raft
		isGranted bool
		isIgnored bool
	}{
		{"granted to an equal log", &schema.HardState{Term: 2}, false, voteRequest(3, 2), true, false},
		{"rejected for a shorter log", &schema.HardState{Term: 2}, false, voteRequest(2, 2), false, false},
		{"rejected for an older last term, however long the log", &schema.HardState{Term: 2}, false, voteRequest(9, 1), false, false},
		{"rejected once another has the vote of the term", &schema.HardState{Term: 3, Vote: "c"}, false, voteRequest(3, 2), false, false},
		{"granted again to the same candidate", &schema.HardState{Term: 3, Vote: "b"}, false, voteRequest(3, 2), true, false},
		{"ignored in an older term", &schema.HardState{Term: 4}, false, voteRequest(3, 2), false, true},
		{"ignored while a leader is alive", &schema.HardState{Term: 2}, true, voteRequest(3, 2), false, true},
		{"granted in a leadership transfer while a leader is alive", &schema.HardState{Term: 2}, true, transferVoteRequest(3, 2), true, false},
		{"pre-vote granted without a leader", &schema.HardState{Term: 2}, false, preVoteRequest(3, 2), true, false},
		{"pre-vote rejected while a leader is alive", &schema.HardState{Term: 2}, true, preVoteRequest(3, 2), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			node := restore("a", c.hard, testLog(1, 2))
			if c.isLive {
				node.Step(time.Hour, &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND, From: "c", To: "a", Term: 2, Index: 3, LogTerm: 2})
				takeLastMessage(node)
			}
			c.request.From, c.request.To = "b", "a"
			term := node.Term()
			node.Step(time.Hour+time.Millisecond, c.request)
			response := takeLastMessage(node)
			if c.isIgnored {
				if response != nil || node.Term() != term {
					t.Fatalf("answered %v in term %d", response, node.Term())
				}
				return
			}
			if response == nil || response.Rejected == c.isGranted {
				t.Fatalf("response %v, want granted %v", response, c.isGranted)
			}
			if c.request.Kind == schema.RaftKind_RAFT_PREVOTE && node.Term() != term {
				t.Fatal("a pre-vote raised the term")
			}
		})
	}
}

func TestAppendRequests(t *testing.T) {
	items := func(index uint64, terms ...uint64) []*schema.LogItem {
		var list []*schema.LogItem
		for i, term := range terms {
			list = append(list, &schema.LogItem{Index: index + uint64(i), Term: term, Record: &schema.Record{}})
		}
		return list
	}
	for _, c := range []struct {
		name       string
		append     *schema.Raft
		isRejected bool
		last       Index
		commit     Index
	}{
		{"the next entry is appended", &schema.Raft{Index: 3, LogTerm: 2, Items: items(4, 3), Commit: 4}, false, 4, 4},
		{"a commit index beyond the entries sent counts up to them", &schema.Raft{Index: 3, LogTerm: 2, Commit: 9}, false, 3, 3},
		{"a gap is rejected", &schema.Raft{Index: 5, LogTerm: 3, Items: items(6, 3)}, true, 3, 0},
		{"another term at the previous index is rejected", &schema.Raft{Index: 3, LogTerm: 3, Items: items(4, 3)}, true, 3, 0},
		{"a conflicting tail is replaced", &schema.Raft{Index: 2, LogTerm: 1, Items: items(3, 3), Commit: 3}, false, 3, 3},
		{"entries that are present already stay", &schema.Raft{Index: 1, LogTerm: 1, Items: items(2, 1), Commit: 2}, false, 3, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			node := restore("a", &schema.HardState{Term: 3}, testLog(1, 2))
			c.append.Kind, c.append.From, c.append.To, c.append.Term = schema.RaftKind_RAFT_APPEND, "b", "a", 3
			node.Step(time.Hour, c.append)
			response := takeLastMessage(node)
			if response == nil || response.Rejected != c.isRejected || node.LastIndex() != c.last || node.CommitIndex() != c.commit {
				t.Fatalf("response %v, last %d, commit %d", response, node.LastIndex(), node.CommitIndex())
			}
		})
	}
}

func electLeader(t *testing.T) *Node {
	t.Helper()
	node := restore("a", &schema.HardState{Term: 2}, testLog(1, 2))
	node.Tick(time.Hour + constants.MinRaftElection)
	takeLastMessage(node)
	node.Step(node.now, &schema.Raft{Kind: schema.RaftKind_RAFT_PREVOTE_RESPONSE, From: "b", To: "a", Term: 2})
	takeLastMessage(node)
	node.Step(node.now, &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE_RESPONSE, From: "b", To: "a", Term: 3})
	takeLastMessage(node)
	if node.Role() != Leader || node.Term() != 3 {
		t.Fatalf("%v in term %d", node.Role(), node.Term())
	}
	return node
}

func acknowledge(node *Node, from string, index Index, round uint64) {
	response := &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, From: from, To: "a", Term: 3, Index: uint64(index), Round: round}
	node.Step(node.now, response)
	takeLastMessage(node)
}

func TestLeader(t *testing.T) {
	t.Run("an entry of an older term is committed only along with one of its own", func(t *testing.T) {
		node := electLeader(t)
		acknowledge(node, "b", 3, node.round)
		if node.CommitIndex() != 0 {
			t.Fatalf("commit %d", node.CommitIndex())
		}
		acknowledge(node, "b", 4, node.round)
		if node.CommitIndex() != 4 || !node.HasCommittedInTerm() {
			t.Fatalf("commit %d", node.CommitIndex())
		}
	})
	t.Run("it steps down when no member answers", func(t *testing.T) {
		node := electLeader(t)
		node.Tick(node.now + 2*constants.MinRaftElection)
		if node.Role() == Leader {
			t.Fatal("it still leads")
		}
	})
	t.Run("a read waits until a majority answers a later round", func(t *testing.T) {
		node := electLeader(t)
		acknowledge(node, "b", 4, node.round)
		node.Committed()
		before := node.round
		if err := node.ReadIndex(node.now, 7); err != nil {
			t.Fatal(err)
		}
		acknowledge(node, "b", 4, before)
		if len(node.ready.Reads) != 0 {
			t.Fatal("confirmed by an older round")
		}
		node.Step(node.now, &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, From: "c", To: "a", Term: 3, Index: 3, Round: node.round})
		if ready := node.Take(); len(ready.Reads) != 1 || ready.Reads[0] != 7 {
			t.Fatalf("reads %v", ready.Reads)
		}
	})
	t.Run("leadership is confirmed as of when the answered round was sent", func(t *testing.T) {
		node := electLeader(t)
		sent, round := node.now, node.round
		node.Tick(node.now + constants.RaftHeartbeat)
		acknowledge(node, "b", 3, round)
		if node.LeadershipConfirmedAt() != sent {
			t.Fatalf("confirmed at %v, sent at %v", node.LeadershipConfirmedAt(), sent)
		}
	})
	t.Run("one membership change at a time", func(t *testing.T) {
		node := electLeader(t)
		members := &schema.Members{Voters: []*schema.Member{{Id: "a"}, {Id: "b"}, {Id: "c"}, {Id: "d"}}}
		record := &schema.Record{Kind: schema.RecordKind_RECORD_MEMBERS, Members: members}
		var pending *MembershipChangePendingError
		if _, _, err := node.Propose(node.now, record); !errors.As(err, &pending) {
			t.Fatalf("%v before an entry of its own term was committed", err)
		}
		acknowledge(node, "b", 4, node.round)
		if _, _, err := node.Propose(node.now, record); err != nil {
			t.Fatal(err)
		}
		takeLastMessage(node)
		if _, _, err := node.Propose(node.now, record); !errors.As(err, &pending) {
			t.Fatalf("%v at a second change before the first was committed", err)
		}
		acknowledge(node, "b", 5, node.round)
		if node.CommitIndex() == 5 {
			t.Fatal("two of four voters committed")
		}
		acknowledge(node, "c", 5, node.round)
		if node.CommitIndex() != 5 {
			t.Fatalf("commit %d", node.CommitIndex())
		}
	})
	t.Run("an entry that is not on its own disk does not count", func(t *testing.T) {
		node := electLeader(t)
		node.Propose(node.now, &schema.Record{})
		node.Step(node.now, &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, From: "b", To: "a", Term: 3, Index: 5, Round: node.round})
		if node.CommitIndex() == 5 {
			t.Fatal("committed on one disk of three")
		}
		takeLastMessage(node)
		if node.CommitIndex() != 5 {
			t.Fatalf("commit %d", node.CommitIndex())
		}
	})
}

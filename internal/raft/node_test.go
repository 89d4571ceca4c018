package raft

import (
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func log(terms ...uint64) []*schema.LogItem {
	items := []*schema.LogItem{{Index: 1, Term: 1, Record: &schema.Record{Kind: schema.RecordKind_RECORD_MEMBERS, Members: &schema.Members{
		Voters: []*schema.Member{{Id: "a"}, {Id: "b"}, {Id: "c"}}}}}}
	for i, term := range terms {
		items = append(items, &schema.LogItem{Index: uint64(i + 2), Term: term, Record: &schema.Record{}})
	}
	return items
}

func member(id string, hard *schema.HardState, items []*schema.LogItem) *Node {
	q := New(time.Hour, Options{ID: id, Hard: hard, Items: items, Draw: func(int64) int64 { return 0 }, Whole: func() *schema.Snapshot { return &schema.Snapshot{} }})
	q.Synced(time.Hour, q.Take())
	return q
}

func last(q *Node) *schema.Raft {
	ready := q.Take()
	q.Synced(q.now, ready)
	if len(ready.Messages) == 0 {
		return nil
	}
	return ready.Messages[len(ready.Messages)-1]
}

func TestVotes(t *testing.T) {
	for _, c := range []struct {
		name    string
		hard    *schema.HardState
		isLive  bool
		request *schema.Raft
		isGiven bool
		isMute  bool
	}{
		{"to an equal log", &schema.HardState{Term: 2}, false, &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE, Term: 3, Index: 3, LogTerm: 2}, true, false},
		{"not to a shorter log", &schema.HardState{Term: 2}, false, &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE, Term: 3, Index: 2, LogTerm: 2}, false, false},
		{"not to an older last term, however long", &schema.HardState{Term: 2}, false, &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE, Term: 3, Index: 9, LogTerm: 1}, false, false},
		{"not twice in a term", &schema.HardState{Term: 3, Vote: "c"}, false, &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE, Term: 3, Index: 3, LogTerm: 2}, false, false},
		{"again to the same", &schema.HardState{Term: 3, Vote: "b"}, false, &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE, Term: 3, Index: 3, LogTerm: 2}, true, false},
		{"not in an older term", &schema.HardState{Term: 4}, false, &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE, Term: 3, Index: 3, LogTerm: 2}, false, true},
		{"not while a leader is heard", &schema.HardState{Term: 2}, true, &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE, Term: 3, Index: 3, LogTerm: 2}, false, true},
		{"but in a hand-over", &schema.HardState{Term: 2}, true, &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE, Term: 3, Index: 3, LogTerm: 2, Handover: true}, true, false},
		{"a pre-vote without a leader", &schema.HardState{Term: 2}, false, &schema.Raft{Kind: schema.RaftKind_RAFT_PREVOTE, Term: 3, Index: 3, LogTerm: 2}, true, false},
		{"no pre-vote with one", &schema.HardState{Term: 2}, true, &schema.Raft{Kind: schema.RaftKind_RAFT_PREVOTE, Term: 3, Index: 3, LogTerm: 2}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := member("a", c.hard, log(1, 2))
			if c.isLive {
				q.Receive(time.Hour, &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND, From: "c", To: "a", Term: 2, Index: 3, LogTerm: 2})
				last(q)
			}
			c.request.From, c.request.To = "b", "a"
			term := q.Term()
			q.Receive(time.Hour+time.Millisecond, c.request)
			answer := last(q)
			if c.isMute {
				if answer != nil || q.Term() != term {
					t.Fatalf("answered %v in term %d", answer, q.Term())
				}
				return
			}
			if answer == nil || answer.Rejected == c.isGiven {
				t.Fatalf("answer %v, want given %v", answer, c.isGiven)
			}
			if c.request.Kind == schema.RaftKind_RAFT_PREVOTE && q.Term() != term {
				t.Fatal("a pre-vote raised the term")
			}
		})
	}
}

func TestAccept(t *testing.T) {
	items := func(index uint64, terms ...uint64) []*schema.LogItem {
		var list []*schema.LogItem
		for i, term := range terms {
			list = append(list, &schema.LogItem{Index: index + uint64(i), Term: term, Record: &schema.Record{}})
		}
		return list
	}
	for _, c := range []struct {
		name      string
		append    *schema.Raft
		isRefused bool
		last      Index
		commit    Index
	}{
		{"the next item", &schema.Raft{Index: 3, LogTerm: 2, Items: items(4, 3), Commit: 4}, false, 4, 4},
		{"a commit beyond what was sent counts only so far", &schema.Raft{Index: 3, LogTerm: 2, Commit: 9}, false, 3, 3},
		{"a gap is declined", &schema.Raft{Index: 5, LogTerm: 3, Items: items(6, 3)}, true, 3, 0},
		{"another term at the joint is declined", &schema.Raft{Index: 3, LogTerm: 3, Items: items(4, 3)}, true, 3, 0},
		{"a conflicting tail is replaced", &schema.Raft{Index: 2, LogTerm: 1, Items: items(3, 3), Commit: 3}, false, 3, 3},
		{"what is there already stays", &schema.Raft{Index: 1, LogTerm: 1, Items: items(2, 1), Commit: 2}, false, 3, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := member("a", &schema.HardState{Term: 3}, log(1, 2))
			c.append.Kind, c.append.From, c.append.To, c.append.Term = schema.RaftKind_RAFT_APPEND, "b", "a", 3
			q.Receive(time.Hour, c.append)
			answer := last(q)
			if answer == nil || answer.Rejected != c.isRefused || q.Last() != c.last || q.Commit() != c.commit {
				t.Fatalf("answer %v, last %d, commit %d", answer, q.Last(), q.Commit())
			}
		})
	}
}

func elect(t *testing.T) *Node {
	t.Helper()
	q := member("a", &schema.HardState{Term: 2}, log(1, 2))
	q.Tick(time.Hour + constants.RaftElectionLeast)
	last(q)
	q.Receive(q.now, &schema.Raft{Kind: schema.RaftKind_RAFT_PREVOTE_RESPONSE, From: "b", To: "a", Term: 2})
	last(q)
	q.Receive(q.now, &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE_RESPONSE, From: "b", To: "a", Term: 3})
	last(q)
	if q.Role() != Leader || q.Term() != 3 {
		t.Fatalf("%v in term %d", q.Role(), q.Term())
	}
	return q
}

func ack(q *Node, from string, index Index, round uint64) {
	q.Receive(q.now, &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, From: from, To: "a", Term: 3, Index: uint64(index), Round: round})
	last(q)
}

func TestLeader(t *testing.T) {
	t.Run("an older term's item is committed only through one of its own", func(t *testing.T) {
		q := elect(t)
		ack(q, "b", 3, q.round)
		if q.Commit() != 0 {
			t.Fatalf("commit %d", q.Commit())
		}
		ack(q, "b", 4, q.round)
		if q.Commit() != 4 || !q.Settled() {
			t.Fatalf("commit %d", q.Commit())
		}
	})
	t.Run("it steps down when nobody answers", func(t *testing.T) {
		q := elect(t)
		q.Tick(q.now + 2*constants.RaftElectionLeast)
		if q.Role() == Leader {
			t.Fatal("still leads")
		}
	})
	t.Run("a read waits for a majority's word after it was asked", func(t *testing.T) {
		q := elect(t)
		ack(q, "b", 4, q.round)
		q.Committed()
		before := q.round
		if err := q.Read(q.now, 7); err != nil {
			t.Fatal(err)
		}
		ack(q, "b", 4, before)
		if len(q.ready.Reads) != 0 {
			t.Fatal("confirmed by an older round")
		}
		q.Receive(q.now, &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, From: "c", To: "a", Term: 3, Index: 3, Round: q.round})
		if ready := q.Take(); len(ready.Reads) != 1 || ready.Reads[0] != 7 {
			t.Fatalf("reads %v", ready.Reads)
		}
	})
	t.Run("its contact is when the answered round was sent", func(t *testing.T) {
		q := elect(t)
		sent, round := q.now, q.round
		q.Tick(q.now + constants.RaftHeartbeat)
		ack(q, "b", 3, round)
		if q.Contact() != sent {
			t.Fatalf("contact %v, sent %v", q.Contact(), sent)
		}
	})
	t.Run("one change of members at a time", func(t *testing.T) {
		q := elect(t)
		record := &schema.Record{Kind: schema.RecordKind_RECORD_MEMBERS, Members: &schema.Members{Voters: []*schema.Member{{Id: "a"}, {Id: "b"}, {Id: "c"}, {Id: "d"}}}}
		if _, _, err := q.Propose(q.now, record); err == nil {
			t.Fatal("accepted before an item of its own term was committed")
		}
		ack(q, "b", 4, q.round)
		if _, _, err := q.Propose(q.now, record); err != nil {
			t.Fatal(err)
		}
		last(q)
		if _, _, err := q.Propose(q.now, record); err == nil {
			t.Fatal("a second change was accepted before the first was committed")
		}
		ack(q, "b", 5, q.round)
		if q.Commit() == 5 {
			t.Fatal("two of four voters committed")
		}
		ack(q, "c", 5, q.round)
		if q.Commit() != 5 {
			t.Fatalf("commit %d", q.Commit())
		}
	})
	t.Run("an unsynced item of its own does not count", func(t *testing.T) {
		q := elect(t)
		q.Propose(q.now, &schema.Record{})
		q.Receive(q.now, &schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, From: "b", To: "a", Term: 3, Index: 5, Round: q.round})
		if q.Commit() == 5 {
			t.Fatal("committed on one disk of three")
		}
		last(q)
		if q.Commit() != 5 {
			t.Fatalf("commit %d", q.Commit())
		}
	})
}

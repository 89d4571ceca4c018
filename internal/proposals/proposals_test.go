package proposals

import (
	"errors"
	"testing"
	"time"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

var errNoLeader = errors.New("this node does not lead")

// fakeLog gives rising indexes, or refuses everything.
type fakeLog struct {
	last      raft.Index
	isRefused bool
}

func (l *fakeLog) Propose(time.Duration, *schema.Record) (raft.Index, raft.Term, error) {
	if l.isRefused {
		return 0, 0, errNoLeader
	}
	l.last++
	return l.last, 7, nil
}

type fakeState struct{ version raft.Index }

func (s *fakeState) Version() raft.Index { return s.version }

func recordOf(keys ...string) *schema.Record {
	record := &schema.Record{}
	for _, key := range keys {
		record.Rows = append(record.Rows, &schema.Row{Key: key})
	}
	return record
}

func TestProposeSkipsRowsInFlight(t *testing.T) {
	for _, c := range []struct {
		name      string
		record    *schema.Record
		applied   raft.Index
		isRefused bool
		want      bool
	}{
		{name: "another row", record: recordOf("b"), want: true},
		{name: "the row in flight", record: recordOf("a"), want: false},
		{name: "several rows, one in flight", record: recordOf("b", "a"), want: false},
		{name: "the row, once it is applied", record: recordOf("a"), applied: 1, want: true},
		{name: "no record", record: nil, want: false},
		{name: "no rows", record: recordOf(), want: false},
		{name: "a log that refuses", record: recordOf("b"), isRefused: true, want: false},
	} {
		t.Run(c.name, func(t *testing.T) {
			log, state := &fakeLog{}, &fakeState{}
			p := New(log, state)
			if !p.Propose(0, recordOf("a")) {
				t.Fatal("the first proposal was not made")
			}
			state.version, log.isRefused = c.applied, c.isRefused
			if got := p.Propose(0, c.record); got != c.want {
				t.Errorf("proposed %v, want %v", got, c.want)
			}
		})
	}
}

func TestSubmitProposesWhateverIsInFlight(t *testing.T) {
	log, state := &fakeLog{}, &fakeState{}
	p := New(log, state)
	for want := raft.Index(1); want <= 2; want++ {
		position, err := p.Submit(0, recordOf("a"))
		if err != nil || position != (Position{Index: want, Term: 7}) {
			t.Fatalf("%+v, %v", position, err)
		}
	}
	state.version = 1
	if !p.IsInFlight("a") {
		t.Error("the second proposal is not in flight")
	}
	state.version = 2
	if p.IsInFlight("a") {
		t.Error("an applied proposal is in flight")
	}
}

func TestSubmitGivesTheErrorOfTheLog(t *testing.T) {
	p := New(&fakeLog{isRefused: true}, &fakeState{})
	if _, err := p.Submit(0, recordOf("a")); !errors.Is(err, errNoLeader) {
		t.Errorf("%v", err)
	}
	if p.IsInFlight("a") {
		t.Error("a refused proposal is in flight")
	}
}

func TestAppliedProposalsAreForgotten(t *testing.T) {
	log, state := &fakeLog{}, &fakeState{}
	p := New(log, state)
	for _, key := range []string{"a", "b", "c"} {
		p.Propose(0, recordOf(key))
	}
	state.version = 3
	p.Propose(0, recordOf("d"))
	if len(p.indexes) != 1 {
		t.Errorf("%v, want only the row in flight", p.indexes)
	}
}

func TestResetForgetsAll(t *testing.T) {
	p := New(&fakeLog{}, &fakeState{})
	p.Propose(0, recordOf("a"))
	p.Reset()
	if p.IsInFlight("a") {
		t.Error("still in flight")
	}
}

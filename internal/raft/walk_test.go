package raft

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
)

// walk drives members at random: messages are lost, doubled, late and out of order; members are cut off, one way too, and killed at each step of a
// write; their clocks run at other rates; records and changes of members are proposed, logs are compacted, so that snapshots are sent.
// After every step it holds the members to what agreement promises.
type walk struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	members map[string]*walker
	names   []string
	flying  []flight
	cuts    map[[2]string]bool
	// committed is the term of every record that any member has taken for committed, by its index.
	committed map[Index]Term
	leaders   map[Term]string
	highest   Index
	proposed  int
}

type flight struct {
	at      time.Duration
	message *schema.Raft
}

// walker is one member with its disk and what it is writing.
type walker struct {
	name     string
	quorum   *Node
	rate     float64
	isUp     bool
	hard     *schema.HardState
	snapshot *schema.Snapshot
	items    []*schema.LogItem
	writing  *Ready
	readyAt  time.Duration
	applied  Index
	// members are the newest that this member has applied, base the term at the applied index.
	terms map[Index]Term
}

func newWalk(t *testing.T, seed int64, count int) *walk {
	w := &walk{t: t, random: rand.New(rand.NewSource(seed)), now: time.Hour, members: map[string]*walker{}, cuts: map[[2]string]bool{}, committed: map[Index]Term{}, leaders: map[Term]string{}}
	founding := &schema.Members{}
	for i := range count {
		name := string(rune('a' + i))
		w.names = append(w.names, name)
		if i < max(1, count-2) {
			founding.Voters = append(founding.Voters, &schema.Member{Id: name})
		}
	}
	first := &schema.LogItem{Index: 1, Term: 1, Record: &schema.Record{Kind: schema.RecordKind_RECORD_MEMBERS, Members: founding}}
	for _, name := range w.names {
		m := &walker{name: name, rate: 0.95 + w.random.Float64()/10, hard: &schema.HardState{Term: 1}, terms: map[Index]Term{}}
		if holds(founding.Voters, name) {
			m.items = []*schema.LogItem{first}
		}
		w.members[name] = m
		w.start(m)
	}
	return w
}

func (w *walk) clock(m *walker) time.Duration { return time.Duration(float64(w.now) * m.rate) }

func (w *walk) start(m *walker) {
	m.isUp, m.writing = true, nil
	m.restore(m.snapshot)
	m.quorum = New(w.clock(m), Options{ID: m.name, Hard: m.hard, Snapshot: m.snapshot, Items: slices.Clone(m.items), Draw: w.random.Int63n, Whole: func() *schema.Snapshot {
		whole := &schema.Snapshot{Rows: []*schema.Row{{Key: "k", Value: make([]byte, 200<<10)}}}
		m.quorum.Describe(whole)
		return whole
	}})
}

// restore sets the applied position to that of a snapshot.
func (m *walker) restore(snapshot *schema.Snapshot) {
	m.applied = Index(snapshot.GetIndex())
	m.terms = map[Index]Term{m.applied: Term(snapshot.GetTerm())}
}

// kill ends a member: of what it is writing a part may be on its disk.
func (w *walk) kill(m *walker) {
	m.isUp = false
	if m.writing != nil && w.random.Intn(2) == 0 {
		part := *m.writing
		part.Items = part.Items[:w.random.Intn(len(part.Items)+1)]
		if w.random.Intn(2) == 0 {
			part.Snapshot, part.Items = nil, nil
		}
		m.persist(&part)
	}
	m.writing = nil
}

func (m *walker) persist(ready *Ready) {
	if ready.Hard != nil {
		m.hard = proto.Clone(ready.Hard).(*schema.HardState)
	}
	if ready.Snapshot != nil {
		m.snapshot = ready.Snapshot
		m.items = nil
	}
	for _, item := range ready.Items {
		m.items = slices.DeleteFunc(m.items, func(other *schema.LogItem) bool { return other.Index >= item.Index })
		m.items = append(m.items, item)
	}
}

// perform begins a write, or ends the one that is due; messages leave only after it.
func (w *walk) perform(m *walker) {
	if m.writing != nil {
		if w.now < m.readyAt {
			w.apply(m)
			return
		}
		ready := *m.writing
		m.persist(&ready)
		m.writing = nil
		if ready.Snapshot != nil {
			m.restore(ready.Snapshot)
		}
		m.quorum.Synced(w.clock(m), ready)
		for _, message := range ready.Messages {
			w.send(message)
		}
		w.apply(m)
	}
	ready := m.quorum.Take()
	if ready.Hard == nil && len(ready.Items) == 0 && ready.Snapshot == nil && len(ready.Messages) == 0 {
		return
	}
	m.writing, m.readyAt = &ready, w.now+time.Duration(w.random.Intn(15))*time.Millisecond
}

func (w *walk) apply(m *walker) {
	for _, item := range m.quorum.Committed() {
		index := Index(item.Index)
		if index != m.applied+1 {
			w.t.Fatalf("%s applies record %d after %d", m.name, index, m.applied)
		}
		if term, isKnown := w.committed[index]; isKnown && term != Term(item.Term) {
			w.t.Fatalf("%s takes record %d of term %d for committed, another member that of term %d", m.name, item.Index, item.Term, term)
		}
		w.committed[index] = Term(item.Term)
		w.highest = max(w.highest, index)
		m.applied = index
		m.terms[index] = Term(item.Term)
	}
}

func (w *walk) send(message *schema.Raft) {
	link := [2]string{message.From, message.To}
	for w.random.Intn(10) > 0 {
		if !w.cuts[link] {
			w.flying = append(w.flying, flight{w.now + time.Duration(w.random.Intn(60))*time.Millisecond, proto.Clone(message).(*schema.Raft)})
		}
		if w.random.Intn(20) > 0 {
			return
		}
	}
}

func (w *walk) step() {
	w.now += 5 * time.Millisecond
	var due []flight
	w.flying = slices.DeleteFunc(w.flying, func(f flight) bool {
		if f.at <= w.now {
			due = append(due, f)
		}
		return f.at <= w.now
	})
	for _, f := range due {
		if m := w.members[f.message.To]; m.isUp {
			m.quorum.Receive(w.clock(m), f.message)
		}
	}
	for _, name := range w.names {
		m := w.members[name]
		if !m.isUp {
			continue
		}
		m.quorum.Tick(w.clock(m))
		w.perform(m)
		w.check(m)
	}
	w.trouble()
}

// check holds a member to one leader a term, and a leader to having all that is committed.
func (w *walk) check(m *walker) {
	q := m.quorum
	if q.Role() != Leader {
		return
	}
	if other := w.leaders[q.Term()]; other != "" && other != m.name {
		w.t.Fatalf("%s and %s lead in term %d", m.name, other, q.Term())
	}
	isNew := w.leaders[q.Term()] == ""
	w.leaders[q.Term()] = m.name
	if !isNew {
		return
	}
	for index := q.First() + 1; index <= w.highest; index++ {
		if term, isThere := q.termAt(index); !isThere || term != w.committed[index] {
			w.t.Fatalf("%s leads in term %d without the committed record %d of term %d", m.name, q.Term(), index, w.committed[index])
		}
	}
}

func (w *walk) trouble() {
	m := w.members[w.names[w.random.Intn(len(w.names))]]
	switch w.random.Intn(400) {
	case 0:
		if m.isUp {
			w.kill(m)
		}
	case 1, 2, 3:
		if !m.isUp {
			w.start(m)
		}
	case 4:
		other := w.names[w.random.Intn(len(w.names))]
		w.cuts[[2]string{m.name, other}] = true
	case 5:
		w.cuts = map[[2]string]bool{}
	case 6, 7, 8, 9, 10, 11, 12, 13, 14, 15:
		if m.isUp {
			if _, _, err := m.quorum.Propose(w.clock(m), &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: fmt.Sprint(w.proposed)}); err == nil {
				w.proposed++
			}
		}
	case 16, 17:
		w.changeMembers(m)
	case 18, 19:
		w.compact(m)
	case 20:
		if m.isUp {
			m.quorum.Handover(w.clock(m))
		}
	}
}

// changeMembers proposes to add or drop one voter or learner, if this member leads.
func (w *walk) changeMembers(m *walker) {
	if !m.isUp || m.quorum.Role() != Leader {
		return
	}
	members := proto.Clone(m.quorum.Members()).(*schema.Members)
	name := w.names[w.random.Intn(len(w.names))]
	isOther := func(other *schema.Member) bool { return other.Id == name }
	switch {
	case holds(members.Voters, name) && len(members.Voters) > 1:
		members.Voters = slices.DeleteFunc(members.Voters, isOther)
	case holds(members.Learners, name):
		members.Learners = slices.DeleteFunc(members.Learners, isOther)
		members.Voters = append(members.Voters, &schema.Member{Id: name})
	case !holds(members.Voters, name):
		members.Learners = append(members.Learners, &schema.Member{Id: name})
	}
	m.quorum.Propose(w.clock(m), &schema.Record{Kind: schema.RecordKind_RECORD_MEMBERS, Members: members})
}

// compact writes a snapshot of what a member has applied, and drops most of the log behind it.
func (w *walk) compact(m *walker) {
	if !m.isUp || m.writing != nil || m.applied <= Index(m.snapshot.GetIndex()) || len(m.items) == 0 || Index(m.items[len(m.items)-1].Index) < m.applied {
		return
	}
	snapshot := &schema.Snapshot{}
	m.quorum.Describe(snapshot)
	if Index(snapshot.Index) != m.applied {
		return
	}
	m.snapshot = snapshot
	m.items = slices.DeleteFunc(m.items, func(item *schema.LogItem) bool { return item.Index <= snapshot.Index })
	dropTo(m.quorum, Index(snapshot.Index))
}

// dropTo drops the log up to an index, also the records that Compact would keep for followers that are a little behind.
func dropTo(q *Node, index Index) {
	term, _ := q.termAt(index)
	members := q.base
	for _, item := range q.items[:index-q.first] {
		if item.Record.Kind == schema.RecordKind_RECORD_MEMBERS {
			members = item.Record.Members
		}
	}
	q.items = slices.Clone(q.items[index-q.first:])
	q.first, q.firstTerm, q.base = index, term, members
	q.endTransfers()
}

func TestAgreementUnderRandomTroubles(t *testing.T) {
	count := int64(40)
	if text := os.Getenv("TOPAZSHED_SEEDS"); text != "" {
		given, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatalf("TOPAZSHED_SEEDS is %q; give a number", text)
		}
		count = given
	}
	var records, terms, snapshots int
	for seed := range count {
		w := newWalk(t, seed, 3+int(seed%4))
		for range 8000 {
			w.step()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		records += int(w.highest)
		terms += len(w.leaders)
		for _, m := range w.members {
			if m.snapshot != nil {
				snapshots++
			}
		}
	}
	if records < int(count)*20 || terms < int(count)*5 || snapshots == 0 {
		t.Errorf("%d seeds committed only %d records in %d terms with %d members on snapshots", count, records, terms, snapshots)
	}
}

package raft

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
	"topazshed/internal/testseeds"
)

// simulation drives members at random. Messages are lost, repeated, late and out of order; members are partitioned, also
// in one direction only, and killed at each step of a write; their clocks run at different rates; records and membership
// changes are proposed, and logs are compacted, so that snapshots are sent. After every step it checks Raft's safety
// properties: election safety, leader completeness and state machine safety.
type simulation struct {
	t          *testing.T
	random     *rand.Rand
	now        time.Duration
	members    map[string]*simulatedMember
	names      []string
	inTransit  []inFlight
	partitions map[[2]string]bool
	// committed is the term of every record that any member has taken for committed, by its index.
	committed map[Index]Term
	leaders   map[Term]string
	highest   Index
	proposed  int
}

type inFlight struct {
	at      time.Duration
	message *schema.Raft
}

// simulatedMember is one member with its disk and what it is writing.
type simulatedMember struct {
	name     string
	node     *Node
	rate     float64
	isUp     bool
	hard     *schema.HardState
	snapshot *schema.Snapshot
	items    []*schema.LogItem
	writing  *Ready
	readyAt  time.Duration
	applied  Index
	// terms are the terms of the applied records, by index.
	terms map[Index]Term
}

func newSimulation(t *testing.T, seed int64, count int) *simulation {
	s := &simulation{
		t:          t,
		random:     rand.New(rand.NewSource(seed)),
		now:        time.Hour,
		members:    map[string]*simulatedMember{},
		partitions: map[[2]string]bool{},
		committed:  map[Index]Term{},
		leaders:    map[Term]string{},
	}
	founding := &schema.Members{}
	for i := range count {
		name := string(rune('a' + i))
		s.names = append(s.names, name)
		if i < max(1, count-2) {
			founding.Voters = append(founding.Voters, &schema.Member{Id: name})
		}
	}
	first := &schema.LogItem{Index: 1, Term: 1, Record: &schema.Record{Kind: schema.RecordKind_RECORD_MEMBERS, Members: founding}}
	for _, name := range s.names {
		m := &simulatedMember{name: name, rate: 0.95 + s.random.Float64()/10, hard: &schema.HardState{Term: 1}, terms: map[Index]Term{}}
		if containsMember(founding.Voters, name) {
			m.items = []*schema.LogItem{first}
		}
		s.members[name] = m
		s.start(m)
	}
	return s
}

func (s *simulation) clock(m *simulatedMember) time.Duration {
	return time.Duration(float64(s.now) * m.rate)
}

func (s *simulation) start(m *simulatedMember) {
	m.isUp, m.writing = true, nil
	m.restore(m.snapshot)
	m.node = New(s.clock(m), Options{
		ID:        m.name,
		HardState: m.hard,
		Snapshot:  m.snapshot,
		Entries:   slices.Clone(m.items),
		Draw:      s.random.Int63n,
		TakeSnapshot: func() *schema.Snapshot {
			snapshot := &schema.Snapshot{Rows: []*schema.Row{{Key: "k", Value: make([]byte, 200<<10)}}}
			m.node.DescribeSnapshot(snapshot)
			return snapshot
		},
	})
}

// restore sets the applied position to that of a snapshot.
func (m *simulatedMember) restore(snapshot *schema.Snapshot) {
	m.applied = Index(snapshot.GetIndex())
	m.terms = map[Index]Term{m.applied: Term(snapshot.GetTerm())}
}

// kill ends a member; part of what it is writing may be on its disk.
func (s *simulation) kill(m *simulatedMember) {
	m.isUp = false
	if m.writing != nil && s.random.Intn(2) == 0 {
		part := *m.writing
		part.Entries = part.Entries[:s.random.Intn(len(part.Entries)+1)]
		if s.random.Intn(2) == 0 {
			part.Snapshot, part.Entries = nil, nil
		}
		m.persist(&part)
	}
	m.writing = nil
}

func (m *simulatedMember) persist(ready *Ready) {
	if ready.HardState != nil {
		m.hard = proto.Clone(ready.HardState).(*schema.HardState)
	}
	if ready.Snapshot != nil {
		m.snapshot = ready.Snapshot
		m.items = nil
	}
	for _, item := range ready.Entries {
		m.items = slices.DeleteFunc(m.items, func(other *schema.LogItem) bool { return other.Index >= item.Index })
		m.items = append(m.items, item)
	}
}

// perform begins a write, or completes the one that is due; messages are sent only after it.
func (s *simulation) perform(m *simulatedMember) {
	if m.writing != nil {
		if s.now < m.readyAt {
			s.apply(m)
			return
		}
		ready := *m.writing
		m.persist(&ready)
		m.writing = nil
		if ready.Snapshot != nil {
			m.restore(ready.Snapshot)
		}
		m.node.Synced(s.clock(m), ready)
		for _, message := range ready.Messages {
			s.send(message)
		}
		s.apply(m)
	}
	ready := m.node.Take()
	if ready.HardState == nil && len(ready.Entries) == 0 && ready.Snapshot == nil && len(ready.Messages) == 0 {
		return
	}
	m.writing, m.readyAt = &ready, s.now+time.Duration(s.random.Intn(15))*time.Millisecond
}

func (s *simulation) apply(m *simulatedMember) {
	for _, item := range m.node.Committed() {
		index := Index(item.Index)
		if index != m.applied+1 {
			s.t.Fatalf("%s applies record %d after %d", m.name, index, m.applied)
		}
		if term, isKnown := s.committed[index]; isKnown && term != Term(item.Term) {
			s.t.Fatalf("%s takes record %d of term %d for committed, another member that of term %d", m.name, item.Index, item.Term, term)
		}
		s.committed[index] = Term(item.Term)
		s.highest = max(s.highest, index)
		m.applied = index
		m.terms[index] = Term(item.Term)
	}
}

func (s *simulation) send(message *schema.Raft) {
	link := [2]string{message.From, message.To}
	for s.random.Intn(10) > 0 {
		if !s.partitions[link] {
			at := s.now + time.Duration(s.random.Intn(60))*time.Millisecond
			s.inTransit = append(s.inTransit, inFlight{at, proto.Clone(message).(*schema.Raft)})
		}
		if s.random.Intn(20) > 0 {
			return
		}
	}
}

func (s *simulation) step() {
	s.now += 5 * time.Millisecond
	var due []inFlight
	s.inTransit = slices.DeleteFunc(s.inTransit, func(f inFlight) bool {
		if f.at <= s.now {
			due = append(due, f)
		}
		return f.at <= s.now
	})
	for _, f := range due {
		if m := s.members[f.message.To]; m.isUp {
			m.node.Step(s.clock(m), f.message)
		}
	}
	for _, name := range s.names {
		m := s.members[name]
		if !m.isUp {
			continue
		}
		m.node.Tick(s.clock(m))
		s.perform(m)
		s.check(m)
	}
	s.injectFault()
}

// check fails where two members lead in one term, or where a leader lacks a committed record.
func (s *simulation) check(m *simulatedMember) {
	node := m.node
	if node.Role() != Leader {
		return
	}
	if other := s.leaders[node.Term()]; other != "" && other != m.name {
		s.t.Fatalf("%s and %s lead in term %d", m.name, other, node.Term())
	}
	isNew := s.leaders[node.Term()] == ""
	s.leaders[node.Term()] = m.name
	if !isNew {
		return
	}
	for index := node.SnapshotIndex() + 1; index <= s.highest; index++ {
		if term, isPresent := node.log.term(index); !isPresent || term != s.committed[index] {
			s.t.Fatalf("%s leads in term %d without the committed record %d of term %d", m.name, node.Term(), index, s.committed[index])
		}
	}
}

func (s *simulation) injectFault() {
	m := s.members[s.names[s.random.Intn(len(s.names))]]
	switch s.random.Intn(400) {
	case 0:
		if m.isUp {
			s.kill(m)
		}
	case 1, 2, 3:
		if !m.isUp {
			s.start(m)
		}
	case 4:
		other := s.names[s.random.Intn(len(s.names))]
		s.partitions[[2]string{m.name, other}] = true
	case 5:
		s.partitions = map[[2]string]bool{}
	case 6, 7, 8, 9, 10, 11, 12, 13, 14, 15:
		if m.isUp {
			record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: fmt.Sprint(s.proposed)}
			if _, _, err := m.node.Propose(s.clock(m), record); err == nil {
				s.proposed++
			}
		}
	case 16, 17:
		s.changeMembers(m)
	case 18, 19:
		s.compact(m)
	case 20:
		if m.isUp {
			m.node.TransferLeadership(s.clock(m))
		}
	}
}

// changeMembers proposes to add or remove one voter or learner where this member leads.
func (s *simulation) changeMembers(m *simulatedMember) {
	if !m.isUp || m.node.Role() != Leader {
		return
	}
	members := proto.Clone(m.node.Members()).(*schema.Members)
	name := s.names[s.random.Intn(len(s.names))]
	isOther := func(other *schema.Member) bool { return other.Id == name }
	switch {
	case containsMember(members.Voters, name) && len(members.Voters) > 1:
		members.Voters = slices.DeleteFunc(members.Voters, isOther)
	case containsMember(members.Learners, name):
		members.Learners = slices.DeleteFunc(members.Learners, isOther)
		members.Voters = append(members.Voters, &schema.Member{Id: name})
	case !containsMember(members.Voters, name):
		members.Learners = append(members.Learners, &schema.Member{Id: name})
	}
	m.node.Propose(s.clock(m), &schema.Record{Kind: schema.RecordKind_RECORD_MEMBERS, Members: members})
}

// compact writes a snapshot of what a member has applied, and drops most of the log behind it.
func (s *simulation) compact(m *simulatedMember) {
	if !m.isUp || m.writing != nil || m.applied <= Index(m.snapshot.GetIndex()) {
		return
	}
	if len(m.items) == 0 || Index(m.items[len(m.items)-1].Index) < m.applied {
		return
	}
	snapshot := &schema.Snapshot{}
	m.node.DescribeSnapshot(snapshot)
	if Index(snapshot.Index) != m.applied {
		return
	}
	m.snapshot = snapshot
	m.items = slices.DeleteFunc(m.items, func(item *schema.LogItem) bool { return item.Index <= snapshot.Index })
	dropTo(m.node, Index(snapshot.Index))
}

// dropTo compacts the log up to an index, also the records that Compact would keep for followers that are a little behind.
func dropTo(node *Node, index Index) {
	node.log.compact(index)
	node.endTransfers()
}

func TestAgreementUnderRandomFaults(t *testing.T) {
	count := testseeds.Count(t, 40)
	var records, terms, snapshots int
	for seed := range count {
		s := newSimulation(t, seed, 3+int(seed%4))
		for range 8000 {
			s.step()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		records += int(s.highest)
		terms += len(s.leaders)
		for _, m := range s.members {
			if m.snapshot != nil {
				snapshots++
			}
		}
	}
	if records < int(count)*20 || terms < int(count)*5 || snapshots == 0 {
		t.Errorf("%d seeds committed only %d records in %d terms with %d members on snapshots", count, records, terms, snapshots)
	}
}

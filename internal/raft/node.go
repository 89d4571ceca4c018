// Package raft is the agreement of the disk machines: one leader, one log, as a machine without I/O.
package raft

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// Role is what a member does in its term.
type Role int

// The roles of a member.
const (
	Follower Role = iota
	Candidate
	Leader
)

func (r Role) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// Options make a Quorum; Draw gives a number below its argument from the seeded source.
type Options struct {
	ID       string
	Hard     *schema.HardState
	Snapshot *schema.Snapshot
	Items    []*schema.LogItem
	Draw     func(int64) int64
	Whole    func() *schema.Snapshot
	Pace     Pace
}

// Pace is how fast members hear of each other and vote anew; the zero value is the pace of the constants.
type Pace struct {
	Heartbeat      time.Duration
	ElectionLeast  time.Duration
	ElectionSpread time.Duration
}

// Ready is what the shell must do, in this order: sync, send, apply.
type Ready struct {
	Hard      *schema.HardState
	Items     []*schema.LogItem
	Snapshot  *schema.Snapshot
	Messages  []*schema.Raft
	Committed []*schema.LogItem
	Reads     []uint64
	LostReads []uint64
}

type progress struct {
	match, next Index
	ackRound    uint64
	heard       time.Duration
	snapshotAt  time.Duration
	isProbing   bool
	// takesParts says that the member takes snapshots in parts; transfer is the one that it is being sent.
	takesParts bool
	transfer   *transfer
}

type read struct {
	ticket, round uint64
	index         Index
}

// Node is one member's machine.
type Node struct {
	options     Options
	id          string
	term        Term
	vote        string
	synced      *schema.HardState
	role        Role
	leader      string
	first       Index
	firstTerm   Term
	base        *schema.Members
	items       []*schema.LogItem
	unsynced    Index
	commit      Index
	handed      Index
	snapshot    *schema.Snapshot
	isBehind    bool
	votes       map[string]bool
	isPre       bool
	others      map[string]*progress
	deadline    time.Duration
	heard       time.Duration
	heartbeatAt time.Duration
	round       uint64
	sentAt      map[uint64]time.Duration
	reads       []read
	ready       Ready
	now         time.Duration
	electedAt   time.Duration
	passing     string
	passingAt   time.Duration
	encoded     *encodedSnapshot
	received    *reception
	// logBytes is the size of the items in memory.
	logBytes int
}

// New restores a member from what its journal held.
func New(now time.Duration, options Options) *Node {
	if options.Pace == (Pace{}) {
		options.Pace = Pace{constants.RaftHeartbeat, constants.RaftElectionLeast, constants.RaftElectionSpread}
	}
	q := &Node{options: options, id: options.ID, base: &schema.Members{}, others: map[string]*progress{}, sentAt: map[uint64]time.Duration{}, now: now}
	if options.Hard != nil {
		q.term, q.vote = Term(options.Hard.Term), options.Hard.Vote
	}
	q.synced = q.hard()
	if options.Snapshot != nil {
		q.first, q.firstTerm = Index(options.Snapshot.Index), Term(options.Snapshot.Term)
		q.base = options.Snapshot.Members
		q.commit, q.handed = q.first, q.first
	}
	q.items = options.Items
	q.logBytes = q.bytesFrom(q.first)
	q.unsynced = q.last() + 1
	q.commit = max(q.commit, min(Index(options.Hard.GetCommit()), q.last()))
	q.reset(now)
	q.deadline -= q.options.Pace.ElectionLeast * 3 / 4
	return q
}

// Found makes the first member the only voter of a new system.
func (q *Node) Found(now time.Duration, record *schema.Record) {
	q.now = now
	q.term, q.vote = 1, q.id
	q.append(record)
	q.become(Leader)
}

func (q *Node) hard() *schema.HardState { return &schema.HardState{Term: uint64(q.term), Vote: q.vote} }

func (q *Node) reset(now time.Duration) {
	q.deadline = now + q.options.Pace.ElectionLeast + time.Duration(q.options.Draw(int64(q.options.Pace.ElectionSpread)))
}

func (q *Node) last() Index { return q.first + Index(len(q.items)) }

func (q *Node) termAt(index Index) (Term, bool) {
	switch {
	case index == q.first:
		return q.firstTerm, true
	case index < q.first || index > q.last():
		return 0, false
	}
	return Term(q.items[index-q.first-1].Term), true
}

// Members are the newest in the log, committed or not.
func (q *Node) Members() *schema.Members {
	members, _ := q.membersAt()
	return members
}

func (q *Node) membersAt() (*schema.Members, Index) {
	for i := len(q.items) - 1; i >= 0; i-- {
		if q.items[i].Record.Kind == schema.RecordKind_RECORD_MEMBERS {
			return q.items[i].Record.Members, Index(q.items[i].Index)
		}
	}
	return q.base, q.first
}

// MembersIndex is where in the log the newest members stand; 0 or the snapshot's index where no record of the log tells them.
func (q *Node) MembersIndex() Index {
	_, at := q.membersAt()
	return at
}

// IsVoter tells whether an id may vote.
func (q *Node) IsVoter(id string) bool { return holds(q.Members().Voters, id) }

func holds(members []*schema.Member, id string) bool {
	return slices.ContainsFunc(members, func(m *schema.Member) bool { return m.Id == id })
}

// Role, leader, term and progress of this member.
func (q *Node) Role() Role       { return q.role }
func (q *Node) LeaderID() string { return q.leader }
func (q *Node) Term() Term       { return q.term }
func (q *Node) Commit() Index    { return q.commit }
func (q *Node) Last() Index      { return q.last() }

// LogBytes is the size of the log in memory.
func (q *Node) LogBytes() int { return q.logBytes }

// First is the index of the snapshot below the log in memory.
func (q *Node) First() Index { return q.first }

// ElectedAt is when this leader was elected.
func (q *Node) ElectedAt() time.Duration { return q.electedAt }

// Heard is when a member last answered this leader.
func (q *Node) Heard(id string) time.Duration {
	if p := q.others[id]; p != nil {
		return p.heard
	}
	return 0
}

// Match is how far a member's disk is known to be.
func (q *Node) Match(id string) Index {
	if p := q.others[id]; p != nil {
		return p.match
	}
	return 0
}

// Settled tells whether this leader has committed an item of its own term.
func (q *Node) Settled() bool {
	term, _ := q.termAt(q.commit)
	return q.role == Leader && term == q.term
}

func (q *Node) send(m *schema.Raft) {
	m.From, m.Term = q.id, max(m.Term, uint64(q.term))
	q.ready.Messages = append(q.ready.Messages, m)
}

func (q *Node) peers() []*schema.Member {
	members := q.Members()
	var peers []*schema.Member
	for _, m := range slices.Concat(members.Voters, members.Learners) {
		if m.Id != q.id {
			peers = append(peers, m)
		}
	}
	return peers
}

func (q *Node) become(role Role) {
	if q.role == Leader && role != Leader {
		for _, r := range q.reads {
			q.ready.LostReads = append(q.ready.LostReads, r.ticket)
		}
		q.reads = nil
	}
	q.role = role
	q.votes = nil
	q.passing = ""
	q.reset(q.now)
	q.encoded, q.received = nil, nil
	if role == Leader {
		q.leader = q.id
		q.electedAt = q.now
		q.others = map[string]*progress{}
		q.sentAt = map[uint64]time.Duration{}
		q.append(&schema.Record{Kind: schema.RecordKind_RECORD_NOTHING})
		q.broadcast()
		q.advance()
	}
}

func (q *Node) step(term Term, leader string) {
	if term > q.term {
		q.term, q.vote = term, ""
	}
	q.become(Follower)
	q.leader = leader
}

// NotLeaderError says that another node must be asked.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this node does not lead; ask %q or try again shortly", e.Leader)
}

// PendingError says that a change of members is still under way.
type PendingError struct{}

func (e *PendingError) Error() string {
	return "a change of members is not committed yet; try again after it"
}

// Tick tells the machine the time.
func (q *Node) Tick(now time.Duration) {
	q.now = now
	if q.role == Leader {
		if now-q.heartbeatAt >= q.options.Pace.Heartbeat {
			q.broadcast()
		}
		if q.passing != "" && now-q.passingAt > q.options.Pace.ElectionLeast {
			q.passing = ""
		}
		heard := 0
		for _, m := range q.Members().Voters {
			if p := q.others[m.Id]; m.Id == q.id || p != nil && now-max(p.heard, q.electedAt) < 2*q.options.Pace.ElectionLeast {
				heard++
			}
		}
		if heard <= len(q.Members().Voters)/2 {
			q.step(q.term, "")
		}
		return
	}
	if now >= q.deadline {
		if !q.IsVoter(q.id) {
			q.leader = ""
			q.reset(now)
			return
		}
		q.campaign(true, false)
	}
}

// Receive takes a message from another member.
func (q *Node) Receive(now time.Duration, m *schema.Raft) {
	q.now = now
	if m.To != q.id {
		return
	}
	isLive := q.leader != "" && now-q.heard < q.options.Pace.ElectionLeast
	switch m.Kind {
	case schema.RaftKind_RAFT_PREVOTE:
		isFit := Term(m.Term) > q.term && !isLive && q.role != Leader && q.isNewEnough(m)
		q.send(&schema.Raft{Kind: schema.RaftKind_RAFT_PREVOTE_RESPONSE, To: m.From, Rejected: !isFit})
		return
	case schema.RaftKind_RAFT_PREVOTE_RESPONSE:
		if Term(m.Term) > q.term {
			q.step(Term(m.Term), "")
		} else if q.role == Candidate && q.isPre && !m.Rejected {
			q.votes[m.From] = true
			q.count()
		}
		return
	case schema.RaftKind_RAFT_VOTE:
		if !m.Handover && (isLive || q.role == Leader) {
			return
		}
	}
	if Term(m.Term) < q.term {
		if m.Kind == schema.RaftKind_RAFT_APPEND || m.Kind == schema.RaftKind_RAFT_SNAPSHOT || m.Kind == schema.RaftKind_RAFT_SNAPSHOT_PART {
			q.send(&schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, To: m.From, Rejected: true})
		}
		return
	}
	if Term(m.Term) > q.term {
		q.step(Term(m.Term), "")
	}
	switch m.Kind {
	case schema.RaftKind_RAFT_VOTE:
		isFit := (q.vote == "" || q.vote == m.From) && q.role == Follower && q.isNewEnough(m)
		if isFit {
			q.vote = m.From
			q.reset(now)
		}
		q.send(&schema.Raft{Kind: schema.RaftKind_RAFT_VOTE_RESPONSE, To: m.From, Rejected: !isFit})
	case schema.RaftKind_RAFT_VOTE_RESPONSE:
		if q.role == Candidate && !q.isPre && !m.Rejected {
			q.votes[m.From] = true
			q.count()
		}
	case schema.RaftKind_RAFT_APPEND:
		q.follow(m)
		q.accept(m)
	case schema.RaftKind_RAFT_SNAPSHOT:
		q.follow(m)
		q.install(m)
	case schema.RaftKind_RAFT_SNAPSHOT_PART:
		q.follow(m)
		q.takePart(m)
	case schema.RaftKind_RAFT_SNAPSHOT_PART_RESPONSE:
		q.confirmPart(m)
	case schema.RaftKind_RAFT_APPEND_RESPONSE:
		q.acknowledge(m)
	case schema.RaftKind_RAFT_TIMEOUT_NOW:
		if q.IsVoter(q.id) && q.role != Leader {
			q.campaign(false, true)
		}
	}
}

// Describe fills index, term and members of a snapshot taken at the applied index.
func (q *Node) Describe(snapshot *schema.Snapshot) {
	term, _ := q.termAt(q.handed)
	snapshot.Index, snapshot.Term = uint64(q.handed), uint64(term)
	snapshot.Members = q.base
	for _, item := range q.items {
		if Index(item.Index) <= q.handed && item.Record.Kind == schema.RecordKind_RECORD_MEMBERS {
			snapshot.Members = item.Record.Members
		}
	}
}

// Take gives the work that is due; the shell calls Synced once its disk has it.
func (q *Node) Take() Ready {
	ready := q.ready
	q.ready = Ready{}
	if hard := q.hard(); !proto.Equal(hard, q.synced) {
		ready.Hard = hard
	}
	if q.snapshot != nil {
		ready.Snapshot, q.snapshot = q.snapshot, nil
	}
	if q.unsynced <= q.last() {
		ready.Items = slices.Clone(q.items[q.unsynced-q.first-1:])
		ready.Hard = q.hard()
		ready.Hard.Commit = uint64(q.commit)
	}
	return ready
}

// Synced tells that everything of a Ready is on disk.
func (q *Node) Synced(now time.Duration, ready Ready) {
	q.now = now
	if ready.Hard != nil {
		q.synced = &schema.HardState{Term: ready.Hard.Term, Vote: ready.Hard.Vote}
	}
	if ready.Snapshot != nil && q.snapshot == nil {
		q.isBehind = false
	}
	if n := len(ready.Items); n > 0 {
		last := ready.Items[n-1]
		if term, isThere := q.termAt(Index(last.Index)); isThere && term == Term(last.Term) {
			q.unsynced = max(q.unsynced, Index(last.Index)+1)
		}
	}
	q.advance()
}

// Committed gives the items to apply next. They are on the disks of a majority, though perhaps not on this one yet;
// none follow a snapshot that is still to be installed.
func (q *Node) Committed() []*schema.LogItem {
	until := q.commit
	if until <= q.handed || q.isBehind {
		return nil
	}
	items := q.items[q.handed-q.first : until-q.first]
	q.handed = until
	if q.role == Leader {
		q.confirm()
	}
	return items
}

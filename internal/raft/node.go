package raft

import (
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/inflight"
	"topazshed/internal/schema"
)

// initialTerm is the term of the first entry of a log.
const initialTerm Term = 1

// Options restore a member from what its disk held, or make a new one with an empty log.
type Options struct {
	// ID names this member among the system's members.
	ID string
	// HardState, Snapshot and Entries are what the disk held; a new member has none. Entries follow the snapshot
	// without a gap.
	HardState *schema.HardState
	Snapshot  *schema.Snapshot
	Entries   []*schema.LogItem
	// Draw returns a random number below its argument; a seeded source makes a run repeatable.
	Draw func(int64) int64
	// TakeSnapshot returns a snapshot of the applied state, with its position filled in by DescribeSnapshot, for
	// followers that lag behind the log.
	TakeSnapshot func() *schema.Snapshot
	// Timing is DefaultTiming where it is zero.
	Timing Timing
}

// Ready is the work that is due. The caller first writes HardState, Snapshot and Entries to disk, then sends
// Messages, then calls Synced.
type Ready struct {
	// HardState is the term, vote and commit index to write, or nil where they did not change.
	HardState *schema.HardState
	// Entries replace everything on disk from the index of the first one on.
	Entries []*schema.LogItem
	// Snapshot replaces the whole log on disk and the applied state, or is nil.
	Snapshot *schema.Snapshot
	Messages []*schema.Raft
	// Reads are the ids of confirmed reads: once the committed entries are applied, the state is new enough to answer them.
	Reads []uint64
	// LostReads are the ids of reads that this member can't answer because it leads no more.
	LostReads []uint64
}

// Node is the state machine of one member. It is not safe for concurrent use.
//
// Invariants: term never falls; vote changes only from "" within a term; only a Leader has reads, a transferee or an
// encoded snapshot.
type Node struct {
	options Options
	timing  Timing
	id      string
	now     time.Duration

	term Term
	vote string
	// syncedHardState is the term and vote on disk.
	syncedHardState *schema.HardState
	role            Role
	leader          string
	log             *raftLog
	ready           Ready

	// electionAt is when a member that hears no leader starts an election, heardLeaderAt when it last heard one.
	electionAt    time.Duration
	heardLeaderAt time.Duration
	election      election

	// incoming is the snapshot that is being received in parts. installing is one that is whole and still to be
	// handed out; until it is on disk (isInstalling), nothing after it may be applied.
	incoming     *incomingSnapshot
	installing   *schema.Snapshot
	isInstalling bool

	// questions are those that this member has asked its leaders, confirmed is what the newest answer told.
	questions *inflight.Requests
	confirmed confirmation

	// The rest is a leader's state.
	progress  map[string]*progress
	electedAt time.Duration
	// round numbers the rounds of messages; roundSentAt is when the newest ones were sent.
	round           uint64
	roundSentAt     map[uint64]time.Duration
	heartbeatSentAt time.Duration
	reads           []pendingRead
	// transferee is the member that is asked to take over, or "".
	transferee        string
	transferStartedAt time.Duration
	outgoing          *outgoingSnapshot
}

// New restores a member as a follower. Its first election comes early, so that a restarted system has a leader soon.
func New(now time.Duration, options Options) *Node {
	n := &Node{
		options:     options,
		timing:      options.Timing,
		id:          options.ID,
		now:         now,
		log:         newLog(options.Snapshot, options.Entries, options.HardState),
		progress:    map[string]*progress{},
		roundSentAt: map[uint64]time.Duration{},
	}
	if n.timing == (Timing{}) {
		n.timing = DefaultTiming()
	}
	if options.HardState != nil {
		n.term, n.vote = Term(options.HardState.Term), options.HardState.Vote
	}
	n.syncedHardState = n.hardState()
	n.resetElectionTimer(now)
	n.electionAt -= n.timing.ElectionTimeout * 3 / 4
	n.questions = inflight.New(uint64(options.Draw(inflight.FirstSerialLimit)))
	return n
}

// Bootstrap begins the log of a new system with the membership of a record as its first entry. A sole voter leads at once. Where there
// are several, each of them begins with this very entry, which is committed by that, and they elect a leader.
func (n *Node) Bootstrap(now time.Duration, record *schema.Record) {
	n.now = now
	n.term = max(n.term, initialTerm)
	n.log.propose(initialTerm, record)
	if len(record.Members.Voters) == 1 {
		n.vote = n.id
		n.become(Leader)
		return
	}
	n.log.commitTo(n.log.lastIndex())
	n.become(Follower)
	n.electionAt -= n.timing.ElectionTimeout * 3 / 4
}

// Role returns what this member does in its term.
func (n *Node) Role() Role { return n.role }

// LeaderID returns the id of the leader as far as this member knows it, or "".
func (n *Node) LeaderID() string { return n.leader }

// Term returns this member's term.
func (n *Node) Term() Term { return n.term }

// CommitIndex returns the highest index that this member knows to be committed.
func (n *Node) CommitIndex() Index { return n.log.committed }

// LastIndex returns the index of the last entry in the log.
func (n *Node) LastIndex() Index { return n.log.lastIndex() }

// SnapshotIndex returns the index up to which the log is compacted.
func (n *Node) SnapshotIndex() Index { return n.log.snapshotIndex }

// LogBytes returns the encoded size of the log in memory.
func (n *Node) LogBytes() int { return n.log.bytes }

// ElectedAt returns when this member was last elected.
func (n *Node) ElectedAt() time.Duration { return n.electedAt }

// HasCommittedInTerm tells whether this member leads and has committed an entry of its own term. From then on it
// knows all that is committed.
func (n *Node) HasCommittedInTerm() bool {
	term, _ := n.log.term(n.log.committed)
	return n.role == Leader && term == n.term
}

// HasAppliedInTerm tells whether this member leads and has handed out an entry of its own term to be applied. From then on the applied state
// holds all that earlier leaders have committed.
func (n *Node) HasAppliedInTerm() bool {
	term, _ := n.log.term(n.log.applied)
	return n.role == Leader && term == n.term
}

// Tick passes the time: a leader sends heartbeats and steps down without a quorum, another voter starts an election
// after its timeout.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if now < n.electionAt {
		return
	}
	if n.IsVoter(n.id) {
		n.campaign(true, false)
		return
	}
	n.leader = ""
	n.resetElectionTimer(now)
}

func (n *Node) tickLeader() {
	if n.now-n.heartbeatSentAt >= n.timing.HeartbeatInterval {
		n.broadcastAppend()
	}
	if n.transferee != "" && n.now-n.transferStartedAt > n.timing.ElectionTimeout {
		n.transferee = ""
	}
	if !n.hasQuorum() {
		n.becomeFollower(n.term, "")
	}
}

// Step takes a message from another member. Messages may be lost, repeated, late or out of order.
func (n *Node) Step(now time.Duration, m *schema.Raft) {
	n.now = now
	if m.To != n.id {
		return
	}
	switch {
	case m.Kind == schema.RaftKind_RAFT_PREVOTE:
		n.stepPreVote(m)
	case m.Kind == schema.RaftKind_RAFT_PREVOTE_RESPONSE:
		n.stepPreVoteResponse(m)
	case n.isDisruptive(m):
	case Term(m.Term) < n.term:
		n.rejectStaleTerm(m)
	default:
		if Term(m.Term) > n.term {
			n.becomeFollower(Term(m.Term), "")
		}
		n.stepInTerm(m)
	}
}

// stepInTerm takes a message of this member's term.
func (n *Node) stepInTerm(m *schema.Raft) {
	switch m.Kind {
	case schema.RaftKind_RAFT_VOTE:
		n.stepVote(m)
	case schema.RaftKind_RAFT_VOTE_RESPONSE:
		n.stepVoteResponse(m)
	case schema.RaftKind_RAFT_APPEND:
		n.stepAppend(m)
	case schema.RaftKind_RAFT_APPEND_RESPONSE:
		n.stepAppendResponse(m)
	case schema.RaftKind_RAFT_SNAPSHOT:
		n.stepSnapshot(m)
	case schema.RaftKind_RAFT_SNAPSHOT_PART:
		n.stepSnapshotPart(m)
	case schema.RaftKind_RAFT_SNAPSHOT_PART_RESPONSE:
		n.stepSnapshotPartResponse(m)
	case schema.RaftKind_RAFT_TIMEOUT_NOW:
		n.stepTimeoutNow()
	}
}

// Take hands out the work that is due. The caller passes it to Synced once it is on disk, before it takes more.
func (n *Node) Take() Ready {
	ready := n.ready
	n.ready = Ready{}
	ready.Snapshot, n.installing = n.installing, nil
	ready.Entries = n.log.unsyncedEntries()
	if hardState := n.hardState(); !proto.Equal(hardState, n.syncedHardState) {
		ready.HardState = hardState
	}
	if len(ready.Entries) > 0 {
		ready.HardState = n.hardState()
		ready.HardState.Commit = uint64(n.log.committed)
	}
	return ready
}

// Synced notes that everything of a Ready is on disk.
func (n *Node) Synced(now time.Duration, ready Ready) {
	n.now = now
	if ready.HardState != nil {
		n.syncedHardState = &schema.HardState{Term: ready.HardState.Term, Vote: ready.HardState.Vote}
	}
	if ready.Snapshot != nil && n.installing == nil {
		n.isInstalling = false
	}
	if count := len(ready.Entries); count > 0 {
		n.log.synced(ready.Entries[count-1])
	}
	n.advanceCommit()
}

// Committed returns the entries to apply next, and counts them as applied. They are on the disks of a majority,
// though perhaps not on this one yet. None follow a snapshot that is still to be installed.
func (n *Node) Committed() []*schema.LogItem {
	if n.log.committed <= n.log.applied || n.isInstalling {
		return nil
	}
	entries := n.log.takeCommitted()
	if n.role == Leader {
		n.confirmReads()
	}
	return entries
}

func (n *Node) hardState() *schema.HardState {
	return &schema.HardState{Term: uint64(n.term), Vote: n.vote}
}

func (n *Node) send(m *schema.Raft) {
	m.From = n.id
	m.Term = max(m.Term, uint64(n.term))
	n.ready.Messages = append(n.ready.Messages, m)
}

// become takes a role in the present term, and forgets what belonged to the former role.
func (n *Node) become(role Role) {
	if n.role == Leader && role != Leader {
		n.loseReads()
	}
	n.role = role
	n.election = election{}
	n.transferee = ""
	n.resetElectionTimer(n.now)
	n.outgoing, n.incoming = nil, nil
	if role == Leader {
		n.startLeading()
	}
}

// startLeading appends an empty entry, since only an entry of its own term lets a leader commit those of earlier ones.
func (n *Node) startLeading() {
	n.leader = n.id
	n.electedAt = n.now
	n.progress = map[string]*progress{}
	n.roundSentAt = map[uint64]time.Duration{}
	n.log.propose(n.term, &schema.Record{Kind: schema.RecordKind_RECORD_NOTHING})
	n.broadcastAppend()
	n.advanceCommit()
}

// becomeFollower follows a leader, or none that is known yet, in a term that is at least this member's.
func (n *Node) becomeFollower(term Term, leader string) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.become(Follower)
	n.leader = leader
}

// followSender follows the member that sent a leader's message of this term.
func (n *Node) followSender(m *schema.Raft) {
	if n.role != Follower {
		n.become(Follower)
	}
	n.leader, n.heardLeaderAt = m.From, n.now
	n.resetElectionTimer(n.now)
}

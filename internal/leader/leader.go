// Package leader holds the duties of the node that leads the control plane: who keeps the log, which nodes there are
// and which leases they have, which version the fleet uses, which back ends there are, who owns which shard, and which
// proxy group is active.
//
// A Leader owns what the leader has heard and what it has planned; none of that is replicated, and a leader that
// resigns forgets it. It changes the replicated state only by records that it proposes to the log. It has no sockets,
// files or clocks: the control machine calls it with the time, from one goroutine, and sends the lease calls that it
// gives back.
//
// Each duty has a file of its own. What depends on whether the fleet carries entries or routes lies behind the
// interface workload.
package leader

import (
	"log/slog"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// Log is the replicated log as the leader sees it; *raft.Node implements it.
type Log interface {
	// Propose appends a record; it fails at a node that doesn't lead.
	Propose(now time.Duration, record *schema.Record) (raft.Index, raft.Term, error)
	// Members are those of the newest change, committed or not, and MembershipIndex is its index.
	Members() *schema.Members
	MembershipIndex() raft.Index
	// Match is the index up to which a member's disk is known to have the log, and LastContact is when it last answered.
	Match(id string) raft.Index
	LastContact(id string) time.Duration
	// CommitIndex and LastIndex are the indexes of the newest committed item and of the newest item.
	CommitIndex() raft.Index
	LastIndex() raft.Index
	// LeadershipConfirmedAt is the latest instant at which a majority certainly still followed this leader.
	LeadershipConfirmedAt() time.Duration
	// Term is the term in which this node leads, or led.
	Term() raft.Term
}

// Proposer hands records of rows to the log and knows which rows have a proposal in flight; *proposals.Proposer
// implements it.
type Proposer interface {
	// Propose hands a record to the log; it tells whether it did. It doesn't if there is nothing to change, or if one
	// of the rows has a proposal in flight.
	Propose(now time.Duration, record *schema.Record) bool
	// IsInFlight tells whether a row has a proposal in flight.
	IsInFlight(key string) bool
}

// Options make a Leader.
type Options struct {
	// Self is the identity of this node.
	Self string
	// Epoch is the time of day at which this node's clock would have stood at 0; zero is unknown.
	Epoch time.Time
	// Speaks are the versions that this process speaks.
	Speaks protocolversion.Span
	// RiseAfter is how long all must have been able to read a version before the fleet uses it.
	RiseAfter time.Duration
	// LostAfter is the time without an answer after which a node or a voter counts as lost.
	LostAfter time.Duration
	// Log and Proposer are nil at a node that keeps no log, which never leads.
	Log      Log
	Proposer Proposer
	Logger   *slog.Logger
	// Routes are the figures of a fleet that carries routes; nil is a fleet of entries.
	Routes *RouteOptions
}

// Leader holds the duties of one node for the time that it leads.
type Leader struct {
	options   Options
	log       *slog.Logger
	fleet     *Fleet
	version   *versionRise
	workload  workload
	isLeading bool
	// plannedAt is when the duties were last performed; 0 has them performed at the next step.
	plannedAt time.Duration
}

// New makes the duties of a node that doesn't lead yet.
func New(options Options) *Leader {
	l := &Leader{
		options: options,
		log:     options.Logger,
		fleet:   NewFleet(),
		version: newVersionRise(options.Speaks, options.RiseAfter),
	}
	signer := signer{node: options.Self, epoch: options.Epoch}
	if options.Routes != nil {
		l.workload = newRoutes(options.Routes, signer)
	} else {
		l.workload = newEntries(signer)
	}
	return l
}

// Fleet gives the registry of the nodes that report to this leader.
func (l *Leader) Fleet() *Fleet { return l.fleet }

// Elect notes that this node leads; it tells whether that is news.
func (l *Leader) Elect(state State) bool {
	if l.isLeading {
		return false
	}
	l.isLeading = true
	l.log.Info("this node leads", "term", l.options.Log.Term(), "index", state.Table.Version())
	l.fleet.Elected(state.Now)
	l.workload.elected()
	return true
}

// Resign notes that this node doesn't lead; it tells whether that is news.
func (l *Leader) Resign() bool {
	if !l.isLeading {
		return false
	}
	l.isLeading = false
	l.log.Info("this node does not lead any more", "term", l.options.Log.Term())
	l.fleet.Reset()
	l.workload.resigned()
	return true
}

// PlanNow has the duties performed at the next step, and not only after their regular pause.
func (l *Leader) PlanNow() { l.plannedAt = 0 }

// Take gives the leader news of the platform or of back ends.
func (l *Leader) Take(now time.Duration, input Input) {
	if l.workload.take(now, input) {
		l.PlanNow()
	}
}

// RowsApplied tells the leader which rows a committed record has changed.
func (l *Leader) RowsApplied(rows []*schema.Row) {
	if l.workload.isUrgent(rows) {
		l.PlanNow()
	}
}

// TakeHeartbeat takes a node's heartbeat. It tells whether the leader accepts it: the node must be known or describe
// itself, and must speak what the fleet uses.
func (l *Leader) TakeHeartbeat(state State, heartbeat *schema.Heartbeat) bool {
	reported := heartbeat.Node
	if reported == nil || reported.Address != "" && !l.isFit(state, reported) {
		return false
	}
	row := state.View.Nodes[reported.Id]
	node := l.fleet.Describe(reported, row)
	if node == nil {
		return false
	}
	if row == nil || row.State != node.State {
		l.PlanNow()
	}
	l.fleet.Heard(state.Now, node, heartbeat)
	l.workload.report(state.Now, node, heartbeat)
	return true
}

// GrantLease gives a node whose row is in place a lease to serve by the rows that it has, and tells its length; 0 is
// none. The node must have applied the newest fence. The lease ends while a majority certainly still followed this
// leader.
func (l *Leader) GrantLease(state State, id string, newestFence raft.Index) time.Duration {
	row, record := state.View.Nodes[id], l.fleet.Node(id)
	isInPlace := row != nil && record != nil && row.State == record.Node.State && row.State != schema.NodeState_NODE_LOST
	if !isInPlace || record.Version < newestFence {
		return 0
	}
	length := l.options.Log.LeadershipConfirmedAt() + constants.LeaseDuration - state.Now
	if length <= 0 {
		return 0
	}
	l.fleet.GiveLease(state.Now, id, length)
	return length
}

// Step performs the duties if they are due: members of the log first, then nodes, then the fleet's version, then what
// the fleet carries. It gives the lease calls that must be sent to back ends.
func (l *Leader) Step(state State) []LeaseCall {
	if state.Now-l.plannedAt < constants.FailoverPlanEvery {
		return nil
	}
	l.plannedAt = state.Now
	l.planMembers(state)
	l.planNodes(state)
	l.planVersion(state)
	return l.workload.plan(&turn{
		State:    state,
		fleet:    l.fleet,
		log:      l.options.Log,
		proposer: l.options.Proposer,
		logger:   l.log,
	})
}

// ToleratedLosses gives how many more voters may be lost before there is no majority, and the voters that are
// unresponsive already.
func (l *Leader) ToleratedLosses(state State) (tolerated uint32, unresponsive []string) {
	return ToleratedLosses(l.membershipFacts(state))
}

func (l *Leader) planMembers(state State) {
	members, reason := NextMembers(l.membershipFacts(state))
	if members == nil {
		return
	}
	record := &schema.Record{Kind: schema.RecordKind_RECORD_MEMBERS, Members: members, Reason: reason}
	if _, _, err := l.options.Log.Propose(state.Now, record); err == nil {
		l.log.Info("change of the log's members proposed", "reason", reason)
	}
}

func (l *Leader) membershipFacts(state State) MembershipFacts {
	members := l.options.Log.Members()
	facts := MembershipFacts{
		Now:               state.Now,
		Self:              l.options.Self,
		Members:           members,
		Progress:          map[string]MemberProgress{},
		Heard:             l.fleet.nodes,
		Rows:              state.View.Nodes,
		IsFit:             func(node *schema.Node) bool { return l.isFit(state, node) },
		ReplacesByAddress: l.workload.admissionRules().ReplacesByAddress,
		LostAfter:         l.options.LostAfter,
	}
	for _, m := range allMembers(members) {
		facts.Progress[m.Id] = l.progress(state.Now, m.Id)
	}
	return facts
}

// progress gives how far a member of the log is. The time before this node led doesn't count as time without an answer.
func (l *Leader) progress(now time.Duration, id string) MemberProgress {
	if id == l.options.Self {
		return MemberProgress{}
	}
	log := l.options.Log
	match, heard := log.Match(id), log.LastContact(id)
	hasMembers := match >= log.MembershipIndex()
	hasNearlyAll := match+constants.LearnerGap >= log.CommitIndex()
	return MemberProgress{
		SinceHeard:  now - max(heard, l.fleet.electedAt),
		HasCaughtUp: hasMembers && hasNearlyAll && now-heard < memberAnswersWithin,
	}
}

func (l *Leader) planNodes(state State) {
	rules := l.workload.admissionRules()
	rules.LostAfter = l.options.LostAfter
	plan := l.fleet.PlanNodes(NodeFacts{
		State:   state,
		Rules:   rules,
		Members: l.options.Log.Members(),
		IsFit:   func(node *schema.Node) bool { return l.isFit(state, node) },
	})
	for _, conflict := range plan.Conflicts {
		l.log.Error("node is not admitted", "reason", conflict.Error())
	}
	for _, id := range plan.Lost {
		l.workload.forget(id)
	}
	if !l.options.Proposer.Propose(state.Now, plan.Record) {
		return
	}
	for _, row := range plan.Record.Rows {
		l.log.Info("row of a node or place changes", "row", row.Key, "gone", row.Gone)
	}
}

// Package controlplane composes the control plane of one node of its parts: the log (raft), the replicated state
// (statemachine), membership, bootstrap, heartbeats, replication to readers, the leader's duties and operators'
// requests.
//
// A Machine dispatches frames to the parts (receive.go), steps them in a fixed order (tick.go), and collects what they
// want done as effects (effects.go), which a Driver performs (driver.go). It does no I/O, reads no clock and draws only
// from the source that it is given, so that the simulator plays one seed as one history. One goroutine calls a Machine;
// what Local gives may be read by any.
package controlplane

import (
	"log/slog"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/bootstrap"
	"topazshed/internal/heartbeat"
	"topazshed/internal/inflight"
	"topazshed/internal/leader"
	"topazshed/internal/membership"
	"topazshed/internal/operations"
	"topazshed/internal/proposals"
	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/replication"
	"topazshed/internal/schema"
	"topazshed/internal/statemachine"
	"topazshed/internal/timing"
)

// Machine is the control plane of one node. Its parts own their state; what it holds itself is what several of them share.
type Machine struct {
	options Options
	timing  timing.Timing
	log     *slog.Logger
	self    *schema.Node
	speaks  protocolversion.Span
	// workload is what depends on whether the fleet carries entries or routes.
	workload workload

	// raft and proposals are nil on a reader, which keeps no log.
	raft         *raft.Node
	proposals    *proposals.Proposer
	state        *statemachine.Machine
	peerSampler  *membership.Sampler
	bootstrap    *bootstrap.Machine
	heartbeats   *heartbeat.Sender
	subscription *replication.Subscription
	publisher    *replication.Publisher
	duties       *leader.Leader
	operations   *operations.Manager

	// now is the time of the call in progress, tickedAt that of the last tick; thawedAt is when the process last went on after a stall.
	now       time.Duration
	tickedAt  time.Duration
	thawedAt  time.Duration
	leader    leaderHint
	elections electionLog
	// peers are the nodes of this region by id, with the times at which each was last heard; addresses are where members of
	// the log sent from.
	peers     map[string]time.Duration
	addresses map[string]string
	// listAt is when the platform's list was last read completely, listFault why the last read was not.
	listAt    time.Duration
	listFault string
	// staleResponses counts responses that no part waits for.
	staleResponses uint64
	effects        Effects
	// refused is why this node takes no part any more.
	refused error
}

// New restores a node from its journal, or makes an empty one.
func New(now time.Duration, options Options) *Machine {
	c := &Machine{
		options:   options,
		log:       options.Log,
		self:      proto.Clone(options.Self).(*schema.Node),
		speaks:    options.Speaks.OrOwn(),
		state:     statemachine.New(options.Speaks.OrOwn()),
		peers:     map[string]time.Duration{},
		addresses: map[string]string{},
		now:       now,
		tickedAt:  now,
	}
	c.workload = newWorkload(c)
	c.timing = c.workload.timing()
	// The order of the draws is fixed: one seed is one history in the simulator.
	c.heartbeats = c.newHeartbeatSender(c.firstSerial())
	c.subscription = c.newSubscription(c.firstSerial())
	c.publisher = replication.NewPublisher(c.state.Table(), c.timing.DeltaInterval)
	c.peerSampler = c.newPeerSampler()
	c.bootstrap = c.newBootstrap()
	if options.Self.Disk {
		c.loadLog()
	}
	c.duties = c.newDuties()
	c.operations = newOperations(c)
	if c.raft != nil {
		c.apply()
		c.learnMembers()
	}
	return c
}

func (c *Machine) newPeerSampler() *membership.Sampler {
	return membership.New(membership.Options{
		Self:        c.self,
		Seeds:       c.options.Seeds,
		Draw:        c.options.Draw,
		Timing:      c.timing.Sampler,
		PrefersHome: c.options.Routes != nil,
	})
}

// loadLog restores the state and the log from what the journal held.
func (c *Machine) loadLog() {
	c.guardState(c.state.Load(c.now, c.options.Snapshot))
	c.raft = raft.New(c.now, raft.Options{
		ID:           c.self.Id,
		HardState:    c.workload.restorable(c.options.HardState),
		Snapshot:     c.options.Snapshot,
		Entries:      c.options.Entries,
		Draw:         c.options.Draw,
		TakeSnapshot: c.Snapshot,
		Timing:       c.timing.Raft,
	})
	c.proposals = proposals.New(c.raft, c.state.Table())
}

// firstSerial draws where this incarnation begins to number its requests, so that a response to a former incarnation's is known as stale.
func (c *Machine) firstSerial() uint64 { return uint64(c.options.Draw(inflight.FirstSerialLimit)) }

// IsLeading tells whether this node leads and its rows hold all that earlier leaders have committed.
func (c *Machine) IsLeading() bool { return c.raft != nil && c.raft.HasAppliedInTerm() }

// isFull tells whether this node keeps the log as a voter or a learner, and so holds all rows.
func (c *Machine) isFull() bool {
	if c.raft == nil {
		return false
	}
	isSelf := func(member *schema.Member) bool { return member.Id == c.self.Id }
	return slices.ContainsFunc(c.members(), isSelf)
}

// learnMembers tells the peer sampler of the members of the log that no row names.
func (c *Machine) learnMembers() {
	for _, member := range c.members() {
		if c.state.View().Nodes[member.Id] == nil {
			c.peerSampler.Learn(&schema.Node{Id: member.Id, Address: member.Address, Disk: true})
		}
	}
}

// Stop marks the node as stopping and tells the leader, so that nobody sends requests to it any more; a leader hands over.
func (c *Machine) Stop(now time.Duration) {
	c.now = now
	c.self.State = schema.NodeState_NODE_STOPPING
	c.self.Incarnation++
	c.sendHeartbeat()
	if c.raft != nil && c.raft.Role() == raft.Leader {
		c.raft.TransferLeadership(now)
	}
}

// SlowDisk tells that a write to the disk took too long or failed; a leader hands over.
func (c *Machine) SlowDisk(now time.Duration) {
	if c.raft != nil && c.raft.Role() == raft.Leader {
		c.raft.TransferLeadership(now)
	}
}

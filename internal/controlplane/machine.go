// Package controlplane is the control machine of one node: agreement, membership, spread and failover assignment without I/O.
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
	"topazshed/internal/store"
	"topazshed/internal/timing"
)

// Machine is the machine.
type Machine struct {
	options        Options
	timing         timing.Timing
	log            *slog.Logger
	self           *schema.Node
	quorum         *raft.Node
	state          *statemachine.Machine
	table          *store.Table
	view           *store.View
	peerSampler    *membership.Sampler
	bootstrap      *bootstrap.Machine
	effects        Effects
	now            time.Duration
	tickedAt       time.Duration
	thawedAt       time.Duration
	leader         string
	leaderAt       time.Duration
	heartbeats     *heartbeat.Sender
	subscription   *replication.Subscription
	publisher      *replication.Publisher
	operations     *operations.Manager
	staleResponses uint64
	listAt         time.Duration
	listFault      string
	peers          map[string]time.Duration
	proposals      *proposals.Proposer
	duties         *leader.Leader
	addresses      map[string]string
	workload       workload
	speaks         protocolversion.Span
	refused        error
}

// New restores a node from its journal, or makes an empty one.
func New(now time.Duration, options Options) *Machine {
	c := &Machine{
		options:   options,
		log:       options.Log,
		self:      proto.Clone(options.Self).(*schema.Node),
		state:     statemachine.New(options.Speaks.OrOwn()),
		peers:     map[string]time.Duration{},
		addresses: map[string]string{},
		now:       now,
		tickedAt:  now,
		speaks:    options.Speaks.OrOwn(),
	}
	c.table, c.view = c.state.Table(), c.state.View()
	c.workload = newWorkload(c)
	c.timing = c.workload.timing()
	c.heartbeats = c.newHeartbeatSender(c.firstSerial())
	c.subscription = c.newSubscription(c.firstSerial())
	c.publisher = replication.NewPublisher(c.table, c.timing.DeltaInterval)
	c.peerSampler = membership.New(membership.Options{Self: c.self, Seeds: options.Seeds, Draw: options.Draw, Timing: c.timing.Sampler, PrefersHome: c.options.Routes != nil})
	c.bootstrap = c.newBootstrap()
	if options.Self.Disk {
		c.guardState(c.state.Load(now, options.Snapshot))
		c.quorum = raft.New(now, raft.Options{
			ID:           c.self.Id,
			HardState:    c.workload.restorable(options.Hard),
			Snapshot:     options.Snapshot,
			Entries:      options.Items,
			Draw:         options.Draw,
			TakeSnapshot: c.Whole,
			Timing:       c.timing.Raft,
		})
		c.proposals = proposals.New(c.quorum, c.table)
	}
	c.duties = c.newDuties()
	c.operations = newOperations(c)
	if c.quorum != nil {
		c.apply()
		c.learnMembers()
	}
	return c
}

// firstSerial draws where this incarnation begins to number its requests, so that a response to a former incarnation's is known as stale.
func (c *Machine) firstSerial() uint64 { return uint64(c.options.Draw(inflight.FirstSerialLimit)) }

// IsLeading tells whether this node leads and has settled.
func (c *Machine) IsLeading() bool { return c.quorum != nil && c.quorum.HasCommittedInTerm() }

func (c *Machine) isFull() bool {
	return c.quorum != nil && (c.quorum.IsVoter(c.self.Id) || slices.ContainsFunc(c.quorum.Members().Learners, func(m *schema.Member) bool { return m.Id == c.self.Id }))
}

func (c *Machine) learnMembers() {
	if c.quorum == nil {
		return
	}
	for _, m := range slices.Concat(c.quorum.Members().Voters, c.quorum.Members().Learners) {
		if node := c.view.Nodes[m.Id]; node == nil {
			c.peerSampler.Learn(&schema.Node{Id: m.Id, Address: m.Address, Disk: true})
		}
	}
}

// Stop marks the node as stopping: it is told to the leader and no match names it any more.
func (c *Machine) Stop(now time.Duration) {
	c.now = now
	c.self.State = schema.NodeState_NODE_STOPPING
	c.self.Incarnation++
	c.sendHeartbeat()
	if c.quorum != nil && c.quorum.Role() == raft.Leader {
		c.quorum.TransferLeadership(now)
	}
}

// SlowDisk tells that a sync took too long or failed; a leader hands over.
func (c *Machine) SlowDisk(now time.Duration) {
	if c.quorum != nil && c.quorum.Role() == raft.Leader {
		c.quorum.TransferLeadership(now)
	}
}

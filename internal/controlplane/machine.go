// Package controlplane is the control machine of one node: agreement, membership, spread and failover assignment without I/O.
package controlplane

import (
	"log/slog"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/bootstrap"
	"topazshed/internal/constants"
	"topazshed/internal/discovery"
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

// Options make a Core. Hard, Snapshot and Items are what the journal held; Draw is the seeded source.
type Options struct {
	Self     *schema.Node
	Seeds    []string
	System   string
	Hard     *schema.HardState
	Snapshot *schema.Snapshot
	Items    []*schema.LogItem
	Draw     func(int64) int64
	Log      *slog.Logger
	Restart  bool
	// Rejoin says that the system was founded before, so that this node never founds one.
	Rejoin bool
	// Routed says that this fleet carries routes: attempt ids are never sent twice, so that reservations and fences are not needed.
	Routed *Routed
	// Epoch is the time of day at which this node's clock would have stood at 0; records of failover assignment tell by it when they were made.
	Epoch time.Time
	// Speaks are the versions that this process speaks; the zero value is the program's own.
	Speaks protocolversion.Span
	// RiseAfter is how long all must have read a version before the fleet uses it; 0 is the time of the constants.
	RiseAfter time.Duration
}

// Send is a frame for an address.
type Send struct {
	To    string
	Frame *schema.Frame
}

// Effects are what the shell performs: sync, then send and answer.
type Effects struct {
	Quorum    raft.Ready
	Hard      *schema.HardState
	Sends     []Send
	Responses []LocalResponse
	Calls     []leader.LeaseCall
	IsWork    bool
}

// Local is what the hot path of this node may rely on; it is never changed once published.
type Local struct {
	View         *store.View
	HeldPrefixes map[string]bool
	IsFull       bool
	FreshAt      time.Duration
	LeaseUntil   time.Duration
	ThawedAt     time.Duration
	Fences       map[string]time.Duration
	Opened       map[string]time.Duration
	BehindAt     time.Duration
	TickAt       time.Duration
	PeersAt      time.Duration
	Leader       string
	System       string
	Role         string
	Term         uint64
	Commit       uint64
	Members      *schema.Members
	ListAt       time.Duration
	ListFault    string
	Suspects     []string
	Rows         int
	IsStopping   bool
	First        uint64
	// Strays are the answers that belonged to nothing that this life of the process waits for.
	StaleResponses uint64
}

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
	routed         *routedState
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
	c.timing = timing.ForEntries()
	if options.Routed != nil {
		c.timing = timing.ForRoutes(options.Routed.Quiet)
		c.routed = newRoutedState(options)
	}
	c.heartbeats = c.newHeartbeatSender(c.firstSerial())
	c.subscription = c.newSubscription(c.firstSerial())
	c.publisher = replication.NewPublisher(c.table, c.timing.DeltaInterval)
	c.peerSampler = membership.New(membership.Options{Self: c.self, Seeds: options.Seeds, Draw: options.Draw, Timing: c.timing.Sampler, PrefersHome: c.routed != nil})
	c.bootstrap = c.newBootstrap()
	if options.Self.Disk {
		c.guardState(c.state.Load(now, options.Snapshot))
		c.quorum = raft.New(now, raft.Options{
			ID:           c.self.Id,
			HardState:    c.restored(options.Hard),
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

// Whole gives the snapshot at the applied index, for a follower or for the disk.
func (c *Machine) Whole() *schema.Snapshot {
	whole := c.table.Whole()
	c.quorum.DescribeSnapshot(whole)
	whole.Version = c.shownFleet()
	return whole
}

// IsLeading tells whether this node leads and has settled.
func (c *Machine) IsLeading() bool { return c.quorum != nil && c.quorum.HasCommittedInTerm() }

func (c *Machine) isFull() bool {
	return c.quorum != nil && (c.quorum.IsVoter(c.self.Id) || slices.ContainsFunc(c.quorum.Members().Learners, func(m *schema.Member) bool { return m.Id == c.self.Id }))
}

func (c *Machine) send(to string, frame *schema.Frame) {
	if to == "" || to == c.self.Address {
		return
	}
	frame.System, frame.From, frame.Address = c.bootstrap.System(), c.self.Id, c.self.Address
	c.effects.Sends = append(c.effects.Sends, Send{to, frame})
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

// SetListRead takes a read of the platform's list; only the leader uses it.
func (c *Machine) SetListRead(now time.Duration, sweep discovery.ListRead) {
	c.now = now
	c.listFault = sweep.Reason
	if sweep.IsWhole {
		c.listAt = now
	}
	c.duties.Take(now, leader.ListRead{ListRead: sweep})
}

// SlowDisk tells that a sync took too long or failed; a leader hands over.
func (c *Machine) SlowDisk(now time.Duration) {
	if c.quorum != nil && c.quorum.Role() == raft.Leader {
		c.quorum.TransferLeadership(now)
	}
}

// Receive takes a frame from another node.
func (c *Machine) Receive(now time.Duration, f *schema.Frame) {
	c.now = now
	if c.refused != nil {
		return
	}
	if f.System != "" && c.bootstrap.System() != "" && f.System != c.bootstrap.System() {
		c.log.Warn("frame of another system declined", "from", f.From, "system", f.System)
		return
	}
	c.peerSampler.Heard(now, f.From)
	if node := c.view.Nodes[f.From]; node != nil && node.Region == c.self.Region {
		c.peers[f.From] = now
	}
	switch body := f.Body.(type) {
	case *schema.Frame_Raft:
		if c.quorum == nil || c.bootstrap.System() != "" && f.System == "" {
			return
		}
		if isFromLeader(body.Raft.Kind) {
			c.bootstrap.Adopt(f.System)
		}
		if c.bootstrap.System() == "" {
			return
		}
		c.addresses[f.From] = f.Address
		c.quorum.Step(now, body.Raft)
		if c.quorum.LeaderID() == f.From {
			c.leader, c.leaderAt = f.Address, now
			if body.Raft.Kind == schema.RaftKind_RAFT_APPEND {
				c.state.ObserveCommit(now, raft.Index(body.Raft.Commit))
			}
		}
	case *schema.Frame_DiscoverRequest:
		c.peerSampler.Learn(body.DiscoverRequest.Node)
		c.answerDiscovery(f.Address, body.DiscoverRequest)
	case *schema.Frame_DiscoverResponse:
		if c.guard(protocolversion.Version(body.DiscoverResponse.FleetVersion)) != nil {
			return
		}
		c.peerSampler.Learn(body.DiscoverResponse.Nodes...)
		c.bootstrap.TakeAnswer(now, f.Address, body.DiscoverResponse)
		if c.leader == "" {
			c.leader = body.DiscoverResponse.Leader
		}
	case *schema.Frame_Shuffle:
		for _, s := range c.peerSampler.Shuffle(f.Address, body.Shuffle) {
			s.Frame.GetShuffle().System, s.Frame.GetShuffle().Leader = c.bootstrap.System(), c.leader
			c.send(s.To, s.Frame)
		}
		c.bootstrap.Adopt(body.Shuffle.System)
		if c.leader == "" || now-c.leaderAt > constants.NodeLostAfter && body.Shuffle.Leader != "" {
			c.leader = body.Shuffle.Leader
		}
	case *schema.Frame_Probe:
		c.send(f.Address, &schema.Frame{Body: &schema.Frame_ProbeResponse{ProbeResponse: &schema.ProbeResponse{Subject: c.self.Id, Serial: body.Probe.Serial, Incarnation: c.self.Incarnation}}})
	case *schema.Frame_ProbeResponse:
	case *schema.Frame_Heartbeat:
		c.receiveHeartbeat(f, body.Heartbeat)
	case *schema.Frame_HeartbeatResponse:
		c.takeHeartbeatResponse(f.Address, body.HeartbeatResponse)
	case *schema.Frame_Subscribe:
		c.sendAll(c.publisher.Subscribe(now, c.confirmation(), f.Address, body.Subscribe))
	case *schema.Frame_Delta:
		c.takeDelta(f.Address, body.Delta)
	case *schema.Frame_DigestRequest:
		c.sendAll(c.publisher.CompareDigests(f.Address, body.DigestRequest))
	case *schema.Frame_DigestResponse:
		if c.quorum == nil {
			c.sendAll(c.subscription.TakeDigests(now, f.Address, body.DigestResponse))
		}
	case *schema.Frame_OperatorRequest:
		c.operations.ReceiveRequest(now, f.Address, f.Call, body.OperatorRequest)
	case *schema.Frame_OperatorResponse:
		c.operations.ReceiveResponse(now, f.Address, operations.Ticket(f.Call), body.OperatorResponse)
	}
}

// isFromLeader tells whether only a leader sends messages of that kind.
func isFromLeader(kind schema.RaftKind) bool {
	switch kind {
	case schema.RaftKind_RAFT_APPEND, schema.RaftKind_RAFT_SNAPSHOT, schema.RaftKind_RAFT_SNAPSHOT_PART:
		return true
	}
	return false
}

// Tick tells the time; the shell calls it every constants.Tick, in a routed fleet every constants.RoutedTick.
func (c *Machine) Tick(now time.Duration) {
	c.now = now
	if c.refused != nil {
		return
	}
	if now-c.tickedAt > time.Second {
		c.thawedAt = now
		c.log.Warn("this process stood still and refreshes before it serves", "milliseconds", (now - c.tickedAt).Milliseconds())
	}
	c.tickedAt = now
	for _, s := range c.peerSampler.Tick(now) {
		if shuffle := s.Frame.GetShuffle(); shuffle != nil {
			shuffle.System, shuffle.Leader = c.bootstrap.System(), c.leader
		}
		c.send(s.To, s.Frame)
	}
	if c.bootstrap.System() == "" {
		c.findSystem()
		return
	}
	if c.quorum != nil {
		c.quorum.Tick(now)
		c.lead()
		c.state.Refresh(c.now)
	}
	if c.heartbeats.IsDue(now) {
		c.sendHeartbeat()
	}
	if c.quorum == nil {
		c.seekMembers()
		c.sendAll(c.subscription.Tick(now))
	}
	c.publishDeltas()
	c.operations.Tick(now)
	if c.quorum == nil {
		c.perform(c.subscription.DropUnwanted(now))
	}
}

// publish takes rows that have changed into the view.
func (c *Machine) publish(changed []*schema.Row) {
	isOperatorChange, err := c.state.Publish(c.now, changed)
	if c.guardState(err) != nil {
		return
	}
	if isOperatorChange {
		c.heartbeats.Hasten()
	}
	c.bootstrap.Adopt(c.view.System)
}

// guardState takes the newest view after the state has changed; an error of the state ends this node's part.
func (c *Machine) guardState(err error) error {
	c.view = c.state.View()
	if err != nil {
		c.refuse(err)
	}
	return c.refused
}

// Local gives what the hot path may rely on now.
func (c *Machine) Local() *Local {
	l := &Local{View: c.view, HeldPrefixes: c.subscription.Held(), IsFull: c.isFull(), FreshAt: c.rowsFreshAt(), LeaseUntil: c.heartbeats.LeaseUntil(), Fences: c.state.Fences(), Opened: c.state.Opened(), BehindAt: c.state.BehindSince(), ThawedAt: c.thawedAt, TickAt: c.tickedAt,
		Leader: c.leader, System: c.bootstrap.System(), ListAt: c.listAt, ListFault: c.listFault, Suspects: c.peerSampler.Suspects(), Rows: c.table.Size(),
		IsStopping: c.self.State == schema.NodeState_NODE_STOPPING, Role: "reader",
		StaleResponses: c.staleResponses + c.heartbeats.StaleResponses() + c.subscription.StaleResponses() + c.operations.StaleResponses()}
	if c.quorum != nil {
		l.Role, l.Term, l.Commit, l.Members, l.First = c.quorum.Role().String(), uint64(c.quorum.Term()), uint64(c.quorum.CommitIndex()), c.quorum.Members(), uint64(c.quorum.SnapshotIndex())
		if c.quorum.Role() == raft.Leader {
			l.FreshAt = c.quorum.LeadershipConfirmedAt()
		}
	}
	if c.routed != nil {
		return l
	}
	count := 0
	var instants []time.Duration
	for id, node := range c.view.Nodes {
		if node.Region == c.self.Region && node.State == schema.NodeState_NODE_READY {
			count++
			if id != c.self.Id {
				instants = append(instants, c.peers[id])
			}
		}
	}
	if need := count / 2; need > 0 && len(instants) >= need {
		slices.Sort(instants)
		l.PeersAt = instants[len(instants)-need]
	} else if need == 0 && count > 0 {
		l.PeersAt = c.now
	}
	return l
}

// Take gives the effects that are due.
func (c *Machine) Take() Effects {
	if c.refused != nil {
		return Effects{}
	}
	effects := c.effects
	c.effects = Effects{}
	if c.quorum != nil && c.bootstrap.System() != "" {
		effects.Quorum = c.quorum.Take()
		for _, m := range effects.Quorum.Messages {
			before := len(c.effects.Sends)
			c.send(c.addressOf(m.To), &schema.Frame{Body: &schema.Frame_Raft{Raft: m}})
			effects.Sends = append(effects.Sends, c.effects.Sends[before:]...)
			c.effects.Sends = c.effects.Sends[:before]
		}
		if effects.Quorum.HardState != nil {
			effects.Hard = proto.Clone(effects.Quorum.HardState).(*schema.HardState)
			effects.Hard.Id, effects.Hard.System, effects.Hard.Version = c.self.Id, c.bootstrap.System(), c.shownFleet()
		}
	}
	effects.IsWork = effects.Hard != nil || len(effects.Quorum.Entries) > 0 || effects.Quorum.Snapshot != nil || len(effects.Sends) > 0 || len(effects.Responses) > 0 || len(effects.Calls) > 0 ||
		len(effects.Quorum.Reads) > 0 || len(effects.Quorum.LostReads) > 0
	return effects
}

// TakeUnbound applies what a majority has on disk and gives the effects that rest on nothing unwritten, while this disk is busy.
func (c *Machine) TakeUnbound() Effects {
	if c.quorum != nil {
		c.apply()
		c.state.Refresh(c.now)
		c.publishDeltas()
	}
	if c.refused != nil {
		return Effects{}
	}
	effects := Effects{Sends: c.effects.Sends, Responses: c.effects.Responses, Calls: c.effects.Calls}
	c.effects = Effects{}
	return effects
}

func (c *Machine) addressOf(id string) string {
	if address := c.addresses[id]; address != "" {
		return address
	}
	if record := c.duties.Fleet().Node(id); record != nil && c.now-record.LastHeard < constants.NodeLostAfter {
		return record.Node.Address
	}
	for _, node := range c.peerSampler.Known() {
		if node.Id == id {
			return node.Address
		}
	}
	if node := c.view.Nodes[id]; node != nil {
		return node.Address
	}
	for _, m := range slices.Concat(c.quorum.Members().Voters, c.quorum.Members().Learners) {
		if m.Id == id {
			return m.Address
		}
	}
	return ""
}

// Synced tells that the effects are on disk; committed items are applied now.
func (c *Machine) Synced(now time.Duration, effects Effects) {
	c.now = now
	if c.quorum == nil {
		return
	}
	if effects.Quorum.Snapshot != nil {
		if c.guardState(c.state.Restore(now, effects.Quorum.Snapshot)) != nil {
			return
		}
	}
	c.quorum.Synced(now, effects.Quorum)
	defer c.state.Refresh(now)
	c.apply()
	for _, ticket := range effects.Quorum.Reads {
		c.operations.ReadConfirmed(now, ticket)
	}
	for _, ticket := range effects.Quorum.LostReads {
		c.operations.ReadLost(now, ticket)
	}
	c.publishDeltas()
}

// apply applies what is committed. A node that doesn't know a record, or the fleet's version, applies nothing any more.
func (c *Machine) apply() {
	items := c.quorum.Committed()
	if c.refused != nil {
		return
	}
	applied, err := c.state.Apply(items)
	var changed []*schema.Row
	for _, item := range applied {
		c.noteApplied(item)
		changed = append(changed, item.Rows...)
	}
	if err != nil {
		c.refuse(err)
		return
	}
	c.publish(changed)
	c.operations.Resume(c.now)
}

// noteApplied tells the parts that wait for it that an item of the log is applied.
func (c *Machine) noteApplied(applied statemachine.AppliedItem) {
	item := applied.Item
	if applied.Void != nil {
		c.log.Info("record void", "index", item.Index, "reason", applied.Void.Error())
	}
	if members := item.Record.Members; item.Record.Kind == schema.RecordKind_RECORD_MEMBERS {
		c.log.Info("members", "voters", len(members.Voters), "learners", len(members.Learners), "reason", item.Record.Reason)
	}
	position := proposals.Position{Index: raft.Index(item.Index), Term: raft.Term(item.Term)}
	if c.operations.Applied(c.now, position, applied.Void != nil) {
		c.duties.PlanNow()
	}
	c.duties.RowsApplied(applied.Rows)
}

// Compactable tells whether a new snapshot should be written.
func (c *Machine) Compactable() bool {
	return c.quorum != nil && c.state.NeedsSnapshot(c.quorum.LogBytes())
}

// Compacted tells that a snapshot of that index is on disk.
func (c *Machine) Compacted(index raft.Index) {
	c.state.SnapshotWritten(index)
	c.quorum.Compact(index)
}

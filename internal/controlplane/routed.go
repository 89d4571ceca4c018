package controlplane

import (
	"slices"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/discovery"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/sharding"
)

// Routed are the figures of a routed fleet's deployment.
type Routed struct {
	// HoldMost is the longest hold that back ends take.
	HoldMost time.Duration
	// ListLag is how far the list is behind what it tells of.
	ListLag time.Duration
	// Zones are the deployment's, each with its region; back ends may lie in one that has no machine.
	Zones map[string]string
	// Quiet is how long after trouble a calm machine must keep every bound again; 0 is unknown.
	Quiet time.Duration
	// ColdRate is how many requests a second the whole fleet may send to a cold back end.
	ColdRate func(*schema.ServicePolicy) int
	// Fits tells whether a record can be logged; nil is always.
	Fits func(*schema.Record) bool
	// FitsWhole tells whether a snapshot of the whole state fits the disk; nil is always.
	FitsWhole func(*schema.Snapshot) bool
	// Heat gives the requests by key since it was last asked.
	Load func(since time.Duration) []*schema.ShardLoad
	// Health reports give the back ends that failed this node's requests, or served it although they are failing, since it was last asked; nil is none.
	HealthReports func() []*schema.HealthReport
}

type nodeLoad struct {
	at    time.Duration
	loads []*schema.ShardLoad
}

// LeaseCall is a call to a back end, with the granter's life that made it.
type LeaseCall struct {
	sharding.Call
	Incarnation uint64
}

type routedState struct {
	options       *Routed
	leaseManager  *sharding.LeaseManager
	watch         *discovery.Watch
	outlierQuorum *discovery.OutlierQuorum
	listing       *discovery.Listing
	incarnation   uint64
	loads         map[string][]nodeLoad
	loadAt        time.Duration
	dead          map[string]bool
	// relayed are the heartbeats that this node took for the leader since it last told it.
	relayed        map[string]*schema.Heartbeat
	heartbeatTo    string
	heartbeatState schema.NodeState
}

func newRoutedState(options Options) *routedState {
	r := &routedState{options: options.Routed, loads: map[string][]nodeLoad{}, dead: map[string]bool{}, relayed: map[string]*schema.Heartbeat{}}
	r.resign(options)
	return r
}

func (r *routedState) resign(options Options) {
	r.leaseManager = sharding.New(sharding.Options{MaxLease: options.Routed.HoldMost})
	r.watch = discovery.NewWatch(options.Routed.ListLag)
	r.outlierQuorum = discovery.NewOutlierQuorum()
	r.listing = nil
	r.loads = map[string][]nodeLoad{}
	r.incarnation++
	r.dead = map[string]bool{}
}

func (r *routedState) takeLoad(now time.Duration) []*schema.ShardLoad {
	if r.options.Load == nil || now-r.loadAt < constants.LoadEvery {
		return nil
	}
	span := now - r.loadAt
	r.loadAt = now
	return r.options.Load(span)
}

func (r *routedState) noteLoad(now time.Duration, node string, loads []*schema.ShardLoad) {
	reports := append(r.loads[node], nodeLoad{now, loads})
	r.loads[node] = reports[max(0, len(reports)-constants.LoadReports):]
}

func (r *routedState) load(now time.Duration) map[string][]float64 {
	sums := map[string][]float64{}
	for id, reports := range r.loads {
		if now-reports[len(reports)-1].at > constants.LoadReports*constants.LoadEvery {
			delete(r.loads, id)
			continue
		}
		span := float64(0)
		for _, report := range reports {
			for _, load := range report.loads[:min(1, len(report.loads))] {
				span += float64(load.SpanMs)
			}
		}
		for _, report := range reports {
			for _, load := range report.loads {
				sum := sums[load.Service]
				if sum == nil {
					sum = make([]float64, constants.LoadBuckets)
					sums[load.Service] = sum
				}
				for i, bucket := range load.Buckets[:min(len(load.Buckets), len(load.BusyMs))] {
					if bucket < constants.LoadBuckets && span > 0 {
						sum[bucket] += float64(load.BusyMs[i]) / span
					}
				}
			}
		}
	}
	return sums
}

// SetListing takes a read of the platform's list of a routed fleet; only the leader uses it.
func (c *Machine) SetListing(now time.Duration, listing discovery.Listing) {
	c.now = now
	c.listFault = listing.Reason
	if listing.IsWhole {
		c.listAt = now
	}
	if c.routed != nil && c.IsLeading() {
		c.routed.listing = &listing
		c.planAt = 0
	}
}

// SetDead tells that a back end's process has surely ended, so that it holds no keys any more.
func (c *Machine) SetDead(instance string) {
	if c.routed != nil {
		c.routed.dead[instance] = true
		c.planAt = 0
	}
}

// LeaseAnswered takes what became of a call to a back end; an answer for a former granter is worth nothing.
func (c *Machine) LeaseAnswered(now time.Duration, incarnation uint64, answer sharding.Answer) {
	c.now = now
	if c.routed != nil && c.routed.incarnation == incarnation {
		c.routed.leaseManager.Answered(now, answer)
		c.planAt = 0
	}
}

func (c *Machine) leadRouted() {
	r := c.routed
	listing := r.listing
	r.listing = nil
	if record := r.watch.Plan(discovery.WatchFacts{Now: c.now, View: c.view, Table: c.table, Listing: listing, ColdRate: r.options.ColdRate}); record != nil && c.propose(record) {
		c.log.Info("back ends changed", "rows", len(record.Rows))
	} else if record != nil {
		r.listing = listing
	}
	if record := r.outlierQuorum.Plan(c.now, c.view, c.table); record != nil && c.propose(record) {
		c.log.Info("back ends failing or well again", "rows", len(record.Rows))
	}
	for _, record := range failover.PlanRoutes(c.view, c.table) {
		c.sign(record)
		if c.propose(record) {
			c.log.Info("standing", "change", record.Reason, "evidence", record.Evidence)
		}
	}
	effects := r.leaseManager.Step(sharding.Facts{Now: c.now, View: c.view, Table: c.table, IsLeading: true, ElectedAt: c.electedAt, LeaseAt: c.quorum.LeadershipConfirmedAt(),
		Load: r.load(c.now), Dead: c.isEnded})
	for _, record := range effects.Records {
		c.propose(record)
	}
	for _, call := range effects.Calls {
		c.effects.Calls = append(c.effects.Calls, LeaseCall{call, r.incarnation})
	}
}

// noteOwners lets the leader look at its keys at once when a record changes who holds them or who may: each move of keys takes two records.
func (c *Machine) noteOwners(rows []*schema.Row) {
	if c.routed != nil && slices.ContainsFunc(rows, func(row *schema.Row) bool { return strings.HasPrefix(row.Key, "s/") }) {
		c.planAt = 0
	}
}

// isEnded tells that a back end's process has surely ended: it was refused twice at its address, or two whole reads of the list lacked it.
func (c *Machine) isEnded(instance string) bool {
	if c.routed.dead[instance] {
		return true
	}
	for _, service := range c.view.Services {
		if service.Backend(instance) != nil {
			return false
		}
	}
	return len(c.view.Services) > 0
}

// restored is what a voter may take from its disk at a start. Only a routed fleet serves on its own last state before a leader has told it
// the newest; a fleet of entries must not even hold it, since a leader that has not settled yet would seem to confirm it.
func (c *Machine) restored(hard *schema.HardState) *schema.HardState {
	if c.routed != nil || hard == nil {
		return hard
	}
	return &schema.HardState{Term: hard.Term, Vote: hard.Vote, Id: hard.Id, System: hard.System}
}

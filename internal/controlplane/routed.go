package controlplane

import (
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/leader"
	"topazshed/internal/schema"
	"topazshed/internal/sharding"
)

// Routed are the figures of the deployment of a fleet of routes.
type Routed struct {
	// HoldMost is the longest lease of a shard that back ends take.
	HoldMost time.Duration
	// ListLag is how far the platform's list is behind the back ends that it names.
	ListLag time.Duration
	// Zones are the deployment's, each with its region; back ends may lie in one that has no machine.
	Zones map[string]string
	// Quiet is how long after a fault an undisturbed node must keep every bound again; 0 is unknown.
	Quiet time.Duration
	// ColdRate is how many requests a second the whole fleet may send to a back end that warms up.
	ColdRate func(*schema.ServicePolicy) int
	// Fits tells whether a record can be logged; nil is always.
	Fits func(*schema.Record) bool
	// FitsWhole tells whether a snapshot of the whole state fits the disk; nil is always.
	FitsWhole func(*schema.Snapshot) bool
	// Load gives how long back ends worked on each part of the keys since it was last called; nil is none.
	Load func(since time.Duration) []*schema.ShardLoad
	// HealthReports gives the back ends that failed this node's requests, or served them although they are ejected, since it
	// was last called; nil is none.
	HealthReports func() []*schema.HealthReport
}

type routedState struct {
	options *Routed
}

func newRoutedState(options Options) *routedState {
	return &routedState{options: options.Routed}
}

// SetListing takes a read of the platform's list in a fleet of routes; only the leader uses it.
func (c *Machine) SetListing(now time.Duration, listing discovery.Listing) {
	c.now = now
	c.listFault = listing.Reason
	if listing.IsWhole {
		c.listAt = now
	}
	if c.IsLeading() {
		c.duties.Take(now, leader.Listing{Listing: listing})
	}
}

// SetDead tells that a back end's process has surely ended, so that it owns no shards any more.
func (c *Machine) SetDead(instance string) {
	c.duties.Take(c.now, leader.BackendEnded{Instance: instance})
}

// LeaseAnswered takes what became of a lease call.
func (c *Machine) LeaseAnswered(now time.Duration, incarnation uint64, answer sharding.Answer) {
	c.now = now
	c.duties.Take(now, leader.LeaseAnswer{Incarnation: incarnation, Answer: answer})
}

// restored is what a voter may take from its disk at a start. Only nodes of a fleet of routes serve by their own last
// state before a leader has sent them the newest. A node of a fleet of entries must not take the commit index: a leader
// that has committed nothing in its own term yet would seem to confirm it.
func (c *Machine) restored(hard *schema.HardState) *schema.HardState {
	if c.routed != nil || hard == nil {
		return hard
	}
	return &schema.HardState{Term: hard.Term, Vote: hard.Vote, Id: hard.Id, System: hard.System}
}

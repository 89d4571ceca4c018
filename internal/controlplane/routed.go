package controlplane

import (
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/leader"
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

type routedState struct {
	options *Routed
}

func newRoutedState(options Options) *routedState {
	return &routedState{options: options.Routed}
}

// SetListing takes a read of the platform's list of a routed fleet; only the leader uses it.
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

// restored is what a voter may take from its disk at a start. Only a routed fleet serves on its own last state before a leader has told it
// the newest; a fleet of entries must not even hold it, since a leader that has not settled yet would seem to confirm it.
func (c *Machine) restored(hard *schema.HardState) *schema.HardState {
	if c.routed != nil || hard == nil {
		return hard
	}
	return &schema.HardState{Term: hard.Term, Vote: hard.Vote, Id: hard.Id, System: hard.System}
}

package controlplane

import (
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/leader"
	"topazshed/internal/sharding"
)

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

package controlplane

import (
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/leader"
	"topazshed/internal/sharding"
)

// SetListRead takes a read of the platform's list by a fleet of entries; only the leader plans on it.
func (c *Machine) SetListRead(now time.Duration, read discovery.ListRead) {
	c.noteListRead(now, read.IsComplete, read.Reason)
	c.duties.Take(now, leader.ListRead{ListRead: read})
}

// SetListing takes a read of the platform's list by a fleet of routes; only the leader plans on it.
func (c *Machine) SetListing(now time.Duration, listing discovery.Listing) {
	c.noteListRead(now, listing.IsComplete, listing.Reason)
	if c.IsLeading() {
		c.duties.Take(now, leader.Listing{Listing: listing})
	}
}

// noteListRead keeps when the list was last read whole, and why the newest read is not.
func (c *Machine) noteListRead(now time.Duration, isComplete bool, reason string) {
	c.now = now
	c.listFault = reason
	if isComplete {
		c.listAt = now
	}
}

// LeaseAnswered takes what became of a lease call.
func (c *Machine) LeaseAnswered(now time.Duration, incarnation uint64, answer sharding.Answer) {
	c.now = now
	c.duties.Take(now, leader.LeaseAnswer{Incarnation: incarnation, Answer: answer})
}

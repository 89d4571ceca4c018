package controlplane

import (
	"time"

	"topazshed/internal/replication"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// newSubscription makes the reader's side of replication; a node that keeps the log has one too and never steps it.
func (c *Machine) newSubscription(firstSerial uint64) *replication.Subscription {
	options := replication.SubscriptionOptions{
		Region:          c.self.Region,
		Seeds:           c.options.Seeds,
		FirstSerial:     firstSerial,
		Draw:            c.options.Draw,
		Log:             c.log,
		Base:            store.CommonPrefixes,
		RenewEvery:      c.timing.SubscribeInterval,
		DigestEvery:     c.timing.DigestInterval,
		ConfirmedWithin: c.timing.ConfirmedWithin,
	}
	if c.options.Routes != nil {
		options.Base = store.RoutedPrefixes
		options.BaseOnly = true
		options.PrefersHome = true
		options.RemoteAfter = c.timing.RemoteSourceAfter
	}
	return replication.NewSubscription(options, c.state.Table(), fleetView{c})
}

// confirmation is what this node may tell its subscribers about its rows now.
func (c *Machine) confirmation() replication.Confirmation {
	if !c.isFull() {
		return replication.Confirmation{}
	}
	confirmation := replication.Confirmation{IsMember: true, Age: c.now - c.state.FreshAt()}
	if c.options.Routes != nil {
		confirmation.Leader = c.leader.address
	}
	return confirmation
}

// publishDeltas sends its subscribers what has changed.
func (c *Machine) publishDeltas() {
	c.sendAll(c.publisher.Tick(c.now, c.confirmation()))
}

// takeDelta takes rows from the source; a node that keeps the log asks for none.
func (c *Machine) takeDelta(from string, delta *schema.Delta) {
	if c.raft != nil {
		c.staleResponses++
		return
	}
	c.perform(c.subscription.TakeDelta(c.now, from, delta))
}

// perform carries out what the subscription asks for.
func (c *Machine) perform(effects replication.Effects) {
	c.sendAll(effects.Sends)
	if effects.Leader != nil {
		c.leader.observe(effects.Leader.Address, effects.Leader.SeenAt)
	}
	if effects.IsInstalled {
		c.publish(effects.Changed)
	}
}

// rowsFreshAt is the latest instant for which a majority has confirmed this node's rows.
func (c *Machine) rowsFreshAt() time.Duration {
	if c.raft == nil {
		return c.subscription.FreshAt()
	}
	return c.state.FreshAt()
}

// rowsConfirmedAt is about when a majority last confirmed this node's rows.
func (c *Machine) rowsConfirmedAt() time.Duration {
	if c.raft == nil {
		return c.subscription.ConfirmedAt()
	}
	return c.state.FreshAt()
}

// Want asks for the rows of a service for the next minutes; a node that keeps the log has all rows.
func (c *Machine) Want(now time.Duration, service string) {
	c.now = now
	if c.raft == nil {
		c.sendAll(c.subscription.Want(now, service))
	}
}

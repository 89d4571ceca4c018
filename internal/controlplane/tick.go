package controlplane

import "time"

// stalledAfter is the time between two ticks after which this process must have stood still.
const stalledAfter = time.Second

// Tick tells the time and steps the parts in a fixed order: membership, the log, the leader's duties, heartbeats, the
// reader's subscription, the deltas to subscribers, operators' requests. A node that belongs to no system only looks for
// one. The owner calls it every constants.Tick, in a fleet of routes every constants.RoutedTick.
func (c *Machine) Tick(now time.Duration) {
	c.now = now
	if c.refused != nil {
		return
	}
	c.noteStall()
	c.sendSampler(c.peerSampler.Tick(now))
	if c.bootstrap.System() == "" {
		c.findSystem()
		return
	}
	if c.raft != nil {
		c.findSystem()
		c.raft.Tick(now)
		c.lead()
		c.refresh()
	}
	if c.heartbeats.IsDue(now) {
		c.sendHeartbeat()
	}
	if c.raft == nil {
		c.seekMembers()
		c.sendAll(c.subscription.Tick(now))
	}
	c.publishDeltas()
	c.operations.Tick(now)
	if c.raft == nil {
		c.perform(c.subscription.DropUnwanted(now))
	}
}

// noteStall notes when this process has stood still, so that what it knows may be old.
func (c *Machine) noteStall() {
	if stalled := c.now - c.tickedAt; stalled > stalledAfter {
		c.thawedAt = c.now
		c.log.Warn("this process stood still and refreshes before it serves", "milliseconds", stalled.Milliseconds())
	}
	c.tickedAt = c.now
}

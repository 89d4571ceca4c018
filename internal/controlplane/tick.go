package controlplane

import (
	"time"
)

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

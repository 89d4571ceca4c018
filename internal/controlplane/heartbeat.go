package controlplane

import "topazshed/internal/schema"

func (c *Machine) takeHeartbeatRouted(f *schema.Frame, b *schema.Heartbeat) {
	if c.IsLeading() {
		for _, heartbeat := range b.Relayed {
			c.noteHeartbeat(heartbeat)
		}
		b.Relayed = nil
		c.noteHeartbeat(b)
		return
	}
	if c.quorum == nil {
		return
	}
	c.heartbeats.Relay(b)
}

func (c *Machine) noteHeartbeat(b *schema.Heartbeat) { c.duties.TakeHeartbeat(c.leaderState(), b) }

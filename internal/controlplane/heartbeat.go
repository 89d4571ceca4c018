package controlplane

import "topazshed/internal/schema"

// receiveHeartbeat takes another node's report. In a fleet of routes it may have come through a relay, and is not answered.
func (c *Machine) receiveHeartbeat(f *schema.Frame, report *schema.Heartbeat) {
	if c.routed != nil {
		c.receiveRelayedHeartbeat(report)
		return
	}
	c.takeHeartbeat(f, report)
}

// receiveRelayedHeartbeat gives a report and those that came with it to the leader's duties, or keeps them to relay them to the leader.
func (c *Machine) receiveRelayedHeartbeat(report *schema.Heartbeat) {
	if c.IsLeading() {
		for _, relayed := range report.Relayed {
			c.noteHeartbeat(relayed)
		}
		report.Relayed = nil
		c.noteHeartbeat(report)
		return
	}
	if c.quorum != nil {
		c.heartbeats.Relay(report)
	}
}

func (c *Machine) noteHeartbeat(report *schema.Heartbeat) {
	c.duties.TakeHeartbeat(c.leaderState(), report)
}

// takeHeartbeat takes a report of a fleet of entries and answers it: with a lease where this node leads, with the
// leader's address otherwise.
func (c *Machine) takeHeartbeat(f *schema.Frame, report *schema.Heartbeat) {
	response := &schema.HeartbeatResponse{Leader: c.leader, Serial: report.Serial, Version: uint64(c.state.Version())}
	if c.IsLeading() && c.duties.TakeHeartbeat(c.leaderState(), report) {
		response.Leader, response.Accepted = c.self.Address, true
		lease := c.duties.GrantLease(c.leaderState(), report.Node.Id, c.state.NewestFence())
		response.LeaseMs = uint32(lease.Milliseconds())
	}
	if f.From == c.self.Id {
		c.takeHeartbeatResponse(f.Address, response)
		return
	}
	c.send(f.Address, &schema.Frame{Body: &schema.Frame_HeartbeatResponse{HeartbeatResponse: response}})
}

package controlplane

import (
	"topazshed/internal/heartbeat"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

func (c *Machine) newHeartbeatSender(firstSerial uint64) *heartbeat.Sender {
	options := heartbeat.Options{
		Self:        c.self,
		Seeds:       c.options.Seeds,
		FirstSerial: firstSerial,
		Draw:        c.options.Draw,
		Interval:    c.timing.HeartbeatInterval,
	}
	if c.routed != nil {
		options.IsRelayed = true
		options.Load = c.routed.options.Load
		options.HealthReports = c.routed.options.HealthReports
	}
	return heartbeat.NewSender(options, fleetView{c})
}

// sendHeartbeat reports this node to the leader, or to itself if it leads.
func (c *Machine) sendHeartbeat() {
	if c.bootstrap.System() == "" {
		return
	}
	outgoing := c.heartbeats.Send(c.now, c.heartbeatFacts())
	switch {
	case outgoing.To != "":
		c.send(outgoing.To, &schema.Frame{Body: &schema.Frame_Heartbeat{Heartbeat: outgoing.Heartbeat}})
	case c.routed != nil:
		c.duties.TakeHeartbeat(c.leaderState(), outgoing.Heartbeat)
	default:
		c.takeHeartbeatResponse(c.self.Address, c.answerHeartbeat(outgoing.Heartbeat))
	}
}

func (c *Machine) heartbeatFacts() heartbeat.Facts {
	facts := heartbeat.Facts{
		Node:     c.spoken(c.peerSampler.Self()),
		Version:  c.state.Version(),
		Suspects: c.peerSampler.Suspects(),
		Leader:   heartbeat.Leader{Address: c.leader, SeenAt: c.leaderAt},
		IsLeader: c.quorum != nil && c.quorum.Role() == raft.Leader,
	}
	if source, isAlive := c.subscription.LiveSource(c.now); isAlive && c.quorum == nil {
		facts.Relay = source
	}
	return facts
}

// receiveHeartbeat takes the heartbeat of another node. In a fleet of routes the leader takes it with those that it relays, and other members of
// the log pass it on; in a fleet of entries each gets a response.
func (c *Machine) receiveHeartbeat(f *schema.Frame, report *schema.Heartbeat) {
	switch {
	case c.routed != nil && c.IsLeading():
		c.takeRelayed(report)
	case c.routed != nil && c.quorum != nil:
		c.heartbeats.Relay(report)
	case c.routed != nil:
		// Only members of the log relay.
	case f.From == c.self.Id:
		c.takeHeartbeatResponse(f.Address, c.answerHeartbeat(report))
	default:
		c.send(f.Address, &schema.Frame{Body: &schema.Frame_HeartbeatResponse{HeartbeatResponse: c.answerHeartbeat(report)}})
	}
}

// takeRelayed lets the leader take the heartbeats that came with another one, and then that one.
func (c *Machine) takeRelayed(report *schema.Heartbeat) {
	for _, relayed := range report.Relayed {
		c.duties.TakeHeartbeat(c.leaderState(), relayed)
	}
	report.Relayed = nil
	c.duties.TakeHeartbeat(c.leaderState(), report)
}

// answerHeartbeat gives the response to a heartbeat: a lease from the leader, and where the leader is from the others.
func (c *Machine) answerHeartbeat(report *schema.Heartbeat) *schema.HeartbeatResponse {
	response := &schema.HeartbeatResponse{Leader: c.leader, Serial: report.Serial, Version: uint64(c.state.Version())}
	if !c.IsLeading() || !c.duties.TakeHeartbeat(c.leaderState(), report) {
		return response
	}
	lease := c.duties.GrantLease(c.leaderState(), report.Node.Id, c.state.NewestFence())
	response.Leader = c.self.Address
	response.Accepted = true
	response.LeaseMs = uint32(lease.Milliseconds())
	return response
}

// takeHeartbeatResponse takes the lease that a response grants, and the leader that it tells of.
func (c *Machine) takeHeartbeatResponse(from string, response *schema.HeartbeatResponse) {
	if leader := c.heartbeats.TakeResponse(c.now, from, response, c.leader); leader != nil {
		c.leader, c.leaderAt = leader.Address, leader.SeenAt
	}
}

// SetHealthReports takes this node's health checks of back ends.
func (c *Machine) SetHealthReports(reports []*schema.HealthReport) {
	c.heartbeats.SetHealthReports(reports)
}

// SetReservationReplica takes this node's state as a replica of reservations: the number of its set, and whether it has caught up.
func (c *Machine) SetReservationReplica(set uint64, isReady bool) {
	c.heartbeats.SetReservationReplica(set, isReady)
}

// SetOldestIndex takes the lowest index that a request in flight still uses; 0 is none.
func (c *Machine) SetOldestIndex(index uint64) { c.heartbeats.SetOldestIndex(index) }

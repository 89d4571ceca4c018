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
		c.noteHeartbeat(outgoing.Heartbeat)
	default:
		c.takeHeartbeat(&schema.Frame{From: c.self.Id, Address: c.self.Address}, outgoing.Heartbeat)
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

// takeHeartbeatResponse takes the lease that a response grants, and the leader that it tells of.
func (c *Machine) takeHeartbeatResponse(from string, response *schema.HeartbeatResponse) {
	if leader := c.heartbeats.TakeResponse(c.now, from, response, c.leader); leader != nil {
		c.leader, c.leaderAt = leader.Address, leader.SeenAt
	}
}

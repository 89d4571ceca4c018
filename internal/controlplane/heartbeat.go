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
	if routes := c.options.Routes; routes != nil {
		options.IsRelayed = true
		options.Load = routes.Load
		options.HealthReports = routes.HealthReports
	}
	return heartbeat.NewSender(options, fleetView{c})
}

// sendHeartbeat reports this node to the leader, or to itself if it leads.
func (c *Machine) sendHeartbeat() {
	if c.bootstrap.System() == "" {
		return
	}
	outgoing := c.heartbeats.Send(c.now, c.heartbeatFacts())
	if outgoing.To == "" {
		c.workload.takeOwnHeartbeat(outgoing.Heartbeat)
		return
	}
	c.send(outgoing.To, &schema.Frame{Body: &schema.Frame_Heartbeat{Heartbeat: outgoing.Heartbeat}})
}

func (c *Machine) heartbeatFacts() heartbeat.Facts {
	facts := heartbeat.Facts{
		Node:     c.spoken(c.peerSampler.Self()),
		Version:  c.state.Version(),
		Suspects: c.peerSampler.Suspects(),
		Leader:   heartbeat.Leader{Address: c.leader.address, SeenAt: c.leader.seenAt},
		IsLeader: c.raft != nil && c.raft.Role() == raft.Leader,
	}
	if source, isAlive := c.subscription.LiveSource(c.now); isAlive && c.raft == nil {
		facts.Relay = source
	}
	return facts
}

// takeHeartbeatResponse takes the lease that a response grants, and the leader that it names.
func (c *Machine) takeHeartbeatResponse(from string, response *schema.HeartbeatResponse) {
	if leader := c.heartbeats.TakeResponse(c.now, from, response, c.leader.address); leader != nil {
		c.leader.observe(leader.Address, leader.SeenAt)
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

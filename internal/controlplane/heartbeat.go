package controlplane

import (
	"maps"
	"slices"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// sendRelayedHeartbeat reports to the relay, a disk machine of the own region; relays report to the leader what they were told since.
func (c *Machine) sendRelayedHeartbeat(b *schema.Heartbeat) {
	r := c.routed
	to := c.heartbeatTarget()
	if c.serial%constants.FullHeartbeatEvery != 1 && r.heartbeatTo == to && r.heartbeatState == c.self.State {
		b.Node = &schema.Node{Id: c.self.Id, State: c.self.State, Incarnation: c.self.Incarnation, Disk: c.self.Disk}
	}
	r.heartbeatTo, r.heartbeatState = to, c.self.State
	if c.quorum != nil && c.quorum.Role() == raft.Leader {
		c.noteHeartbeat(b)
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.relayed)) {
		b.Relayed = append(b.Relayed, r.relayed[id])
	}
	r.relayed = map[string]*schema.Heartbeat{}
	c.send(r.heartbeatTo, &schema.Frame{Body: &schema.Frame_Heartbeat{Heartbeat: b}})
}

func (c *Machine) heartbeatTarget() string {
	isLeaderKnown := c.leader != "" && c.leader != c.self.Address && c.now-c.leaderAt <= constants.NodeLostAfter
	source, isSourceAlive := c.subscription.LiveSource(c.now)
	switch {
	case c.view.Nodes[c.self.Id] == nil && c.leader != "" && c.leader != c.self.Address && c.serial%2 == 0:
		return c.leader
	case c.quorum == nil && isSourceAlive:
		return source
	case isLeaderKnown:
		return c.leader
	}
	return c.pick(func(node *schema.Node) bool { return node.Disk && node.Address != c.self.Address })
}

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
	for _, heartbeat := range append(b.Relayed, b) {
		heartbeat.Relayed = nil
		if was := c.routed.relayed[heartbeat.Node.GetId()]; was != nil {
			if heartbeat.Node.Address == "" && was.Node.Address != "" && was.Node.State == heartbeat.Node.State {
				heartbeat.Node = was.Node
			}
			if len(heartbeat.Load) == 0 {
				heartbeat.Load = was.Load
			}
			heartbeat.Health = append(was.Health, heartbeat.Health...)
		}
		c.routed.relayed[heartbeat.Node.GetId()] = heartbeat
		if heartbeat.Node.State == schema.NodeState_NODE_STOPPING || heartbeat.Node.Address != "" && c.view.Nodes[heartbeat.Node.Id] == nil {
			c.heartbeatAt = 0
		}
	}
}

func (c *Machine) noteHeartbeat(b *schema.Heartbeat) { c.duties.TakeHeartbeat(c.leaderState(), b) }

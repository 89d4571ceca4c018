package controlplane

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

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

func (c *Machine) noteHeartbeat(b *schema.Heartbeat) {
	if b.Node == nil {
		return
	}
	if b.Node.Address != "" && !c.isFitNode(b.Node) {
		return
	}
	g := c.nodes[b.Node.Id]
	if g == nil {
		g = &nodeRecord{firstHeard: c.now}
		if row := c.view.Nodes[b.Node.Id]; row != nil {
			g.node = row
		}
	}
	if b.Node.Address == "" {
		if g.node == nil {
			return
		}
		node := proto.Clone(g.node).(*schema.Node)
		node.State, node.Incarnation = b.Node.State, b.Node.Incarnation
		b.Node = node
	}
	c.nodes[b.Node.Id] = g
	if row := c.view.Nodes[b.Node.Id]; row == nil || row.State != b.Node.State {
		c.planAt = 0
	}
	g.heard, g.version, g.suspects, g.node = c.now, b.Version, b.Suspects, b.Node
	if len(b.Load) > 0 {
		c.routed.noteLoad(c.now, b.Node.Id, b.Load)
	}
	c.routed.outlierQuorum.Report(c.now, b.Node.Id, b.Node.Zone, b.Health)
}

// newestAt is the newest incarnation that was heard of at each address: an older one there is no more.
func (c *Machine) newestAt() map[string]uint64 {
	if c.routed == nil {
		return nil
	}
	newest := make(map[string]uint64, len(c.nodes))
	for _, g := range c.nodes {
		newest[g.node.GetAddress()] = max(newest[g.node.GetAddress()], g.node.GetIncarnation())
	}
	return newest
}

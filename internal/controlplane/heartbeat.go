package controlplane

import (
	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
)

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

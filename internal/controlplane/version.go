package controlplane

import (
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
)

// Refused is why this node takes no part any more: the fleet uses a version that it does not speak, or the log holds a
// record that it does not know. It is nil while the node takes part.
func (c *Machine) Refused() error { return c.refused }

// refuse ends this node's part; only the first reason counts.
func (c *Machine) refuse(err error) {
	if c.refused == nil {
		c.refused = err
		c.log.Error("this node takes no part", "reason", err.Error())
	}
}

// guard ends this node's part if it doesn't speak the fleet's version, and gives why this node takes no part; nil if it does.
func (c *Machine) guard(fleet protocolversion.Version) error {
	if err := protocolversion.CheckFleet(c.speaks, fleet); err != nil {
		c.refuse(err)
	}
	return c.refused
}

// shownFleet is the fleet's version as it is sent: 0 stands for the first one.
func (c *Machine) shownFleet() uint32 {
	if c.state.View().FleetVersion == protocolversion.First {
		return 0
	}
	return uint32(c.state.View().FleetVersion)
}

// spoken names in a node the versions that this process speaks.
func (c *Machine) spoken(node *schema.Node) *schema.Node {
	node.SpeaksLow, node.SpeaksHigh = c.speaks.Wire()
	return node
}

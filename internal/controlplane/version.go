package controlplane

import (
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
)

// Refused is why this node takes no part any more: the fleet uses what it does not speak, or the log holds what it does not know.
func (c *Machine) Refused() error { return c.refused }

func (c *Machine) refuse(err error) {
	if c.refused == nil {
		c.refused = err
		c.log.Error("this node takes no part", "reason", err.Error())
	}
}

func (c *Machine) guard(fleet protocolversion.Version) error {
	if err := protocolversion.CheckFleet(c.speaks, fleet); err != nil {
		c.refuse(err)
	}
	return c.refused
}

// shownFleet is the fleet's version as it is told: the first one is left out.
func (c *Machine) shownFleet() uint32 {
	if c.view.FleetVersion == protocolversion.First {
		return 0
	}
	return uint32(c.view.FleetVersion)
}

func (c *Machine) spoken(node *schema.Node) *schema.Node {
	node.SpeaksLow, node.SpeaksHigh = c.speaks.Wire()
	return node
}

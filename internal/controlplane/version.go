package controlplane

import (
	"maps"
	"slices"

	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
	"topazshed/internal/store"
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
	if c.view.Fleet == protocolversion.First {
		return 0
	}
	return uint32(c.view.Fleet)
}

func (c *Machine) spoken(node *schema.Node) *schema.Node {
	node.SpeaksLow, node.SpeaksHigh = c.speaks.Wire()
	return node
}

// isFitNode tells whether a node speaks what the fleet uses, or is about to use.
func (c *Machine) isFitNode(node *schema.Node) bool {
	fleet := c.view.Fleet
	if c.proposals.IsInFlight(store.VersionKey) {
		fleet = max(fleet, c.proposed)
	}
	span, err := protocolversion.ReadSpan(node.GetSpeaksLow(), node.GetSpeaksHigh())
	if err == nil {
		err = protocolversion.CheckFleet(span, fleet)
	}
	if err != nil && c.refusedNodes[node.GetId()] != node.GetIncarnation() {
		c.refusedNodes[node.GetId()] = node.GetIncarnation()
		c.log.Error("node is declined", "node", node.GetId(), "reason", err.Error())
	}
	return err == nil
}

// readers are all who must read what the fleet uses: members of the log, nodes of the table, and nodes heard of that are not in it yet.
func (c *Machine) readers() []protocolversion.Reader {
	isVoter := map[string]bool{}
	known := map[string]bool{}
	for _, m := range slices.Concat(c.quorum.Members().Voters, c.quorum.Members().Learners) {
		isVoter[m.Id], known[m.Id] = true, true
	}
	for id := range c.view.Nodes {
		known[id] = true
	}
	for id, g := range c.nodes {
		if c.now-g.heard <= constants.NodeLostAfter {
			known[id] = true
		}
	}
	var readers []protocolversion.Reader
	for _, id := range slices.Sorted(maps.Keys(known)) {
		r := protocolversion.Reader{ID: id, Span: protocolversion.Span{Low: protocolversion.First, High: protocolversion.First}, IsVoter: isVoter[id]}
		row, g := c.view.Nodes[id], c.nodes[id]
		if row != nil && g != nil {
			span, err := protocolversion.ReadSpan(row.SpeaksLow, row.SpeaksHigh)
			isSame := g.node.GetSpeaksLow() == row.SpeaksLow && g.node.GetSpeaksHigh() == row.SpeaksHigh
			r.IsHeard = err == nil && isSame && c.now-g.heard <= constants.NodeLostAfter
			if err == nil {
				r.Span = span
			}
		}
		readers = append(readers, r)
	}
	return readers
}

// planVersion lets the fleet rise once all have been able to read a version for long enough. Nothing may be under way in the log, so that
// nobody joins between the decision and the record.
func (c *Machine) planVersion() {
	next, _ := protocolversion.Rise(c.view.Fleet, c.speaks, c.readers())
	if next != c.risingTo || next == c.view.Fleet {
		c.risingTo, c.risingFrom = next, c.now
		return
	}
	after := c.options.RiseAfter
	if after == 0 {
		after = constants.FleetRiseAfter
	}
	if c.now-c.risingFrom < after || c.table.Version() < c.quorum.LastIndex() {
		return
	}
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "the fleet's version rises",
		Guards: []*schema.Guard{{Key: store.VersionKey, Index: c.table.Get(store.VersionKey).GetIndex()}},
		Rows:   []*schema.Row{store.EncodeRow(store.VersionKey, &schema.FleetVersion{Version: uint32(next)})}}
	if c.propose(record) {
		c.proposed = next
		c.log.Info("the fleet's version rises", "version", next)
	}
}

package controlplane

import (
	"maps"
	"slices"

	"topazshed/internal/frame"
	"topazshed/internal/schema"
)

// fleetView is what a machine's parts may know of the nodes around it.
type fleetView struct{ machine *Machine }

// HasSystem tells whether the node has joined a system.
func (v fleetView) HasSystem() bool { return v.machine.bootstrap.System() != "" }

// HasState tells whether the node holds rows of its system.
func (v fleetView) HasState() bool { return v.machine.state.View().System != "" }

// IsListed tells whether the rows have a node of that id.
func (v fleetView) IsListed(id string) bool { return v.machine.state.View().Nodes[id] != nil }

// Addresses gives the addresses of the other nodes that fit: first those that the peer sampler knows, then those of the rows that are not lost.
func (v fleetView) Addresses(isFit func(*schema.Node) bool) []string {
	var addresses []string
	for _, node := range v.machine.peerSampler.Known() {
		if isFit(node) {
			addresses = append(addresses, node.Address)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.machine.state.View().Nodes)) {
		node := v.machine.state.View().Nodes[id]
		isOther := id != v.machine.self.Id && node.State != schema.NodeState_NODE_LOST
		if isOther && isFit(node) && !slices.Contains(addresses, node.Address) {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

// ReadyDiskNodes gives the ready nodes of a region that have a disk, in order of their ids.
func (v fleetView) ReadyDiskNodes(region string) []*schema.Node {
	var nodes []*schema.Node
	for _, id := range slices.Sorted(maps.Keys(v.machine.state.View().Nodes)) {
		node := v.machine.state.View().Nodes[id]
		if node.Disk && node.Region == region && node.State == schema.NodeState_NODE_READY {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// sendSampler sends what the peer sampler wants sent; shuffles also tell of the system and its leader.
func (c *Machine) sendSampler(envelopes []frame.Envelope) {
	for _, envelope := range envelopes {
		if shuffle := envelope.Frame.GetShuffle(); shuffle != nil {
			shuffle.System, shuffle.Leader = c.bootstrap.System(), c.leader.address
		}
		c.send(envelope.To, envelope.Frame)
	}
}

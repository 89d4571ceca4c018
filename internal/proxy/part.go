package proxy

import (
	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Part is a proxy's rank among those that may reach a back end, and their count.
type Part struct{ Rank, Of int }

// Share is this proxy's whole part of a number that all proxies of a part have together.
func (p Part) Share(whole int) int {
	of := max(1, p.Of)
	share := whole / of
	if p.Rank < whole%of {
		share++
	}
	return share
}

// partOf counts the nodes that fulfil a condition in the groups to which the service's failover assignments of some regions may lead.
func partOf(view *store.View, service *store.Service, self string, isMeant func(region string) bool, isAble func(*schema.Node) bool) Part {
	groups := groupsOf(service, isMeant)
	part := Part{}
	for id, node := range view.Nodes {
		zone := view.Zones[node.Zone]
		if zone == nil || !groups[uint64(zone.Residue)] || !isAble(node) {
			continue
		}
		part.Of++
		if id < self {
			part.Rank++
		}
	}
	return part
}

// groupsOf are the residues of the groups that the service's failover assignments name.
func groupsOf(service *store.Service, isMeant func(region string) bool) map[uint64]bool {
	groups := map[uint64]bool{}
	if service == nil {
		return groups
	}
	for _, rows := range service.Assignments {
		for region, row := range rows {
			if isMeant(region) {
				groups[row.Number%constants.Increment] = true
			}
		}
	}
	return groups
}

// readyPart gives self's part among the ready proxies that may reach the service's back ends in a region. It is counted only when the
// returned function is called.
func readyPart(view *store.View, service *store.Service, self, ownerRegion string) func() Part {
	return func() Part {
		isMeant := func(region string) bool { return region == ownerRegion }
		isReady := func(node *schema.Node) bool { return node.State == schema.NodeState_NODE_READY }
		return partOf(view, service, self, isMeant, isReady)
	}
}

// anyPart is self's part among all proxies that may send requests of the service.
func anyPart(view *store.View, service *store.Service, self string) Part {
	return partOf(view, service, self, func(string) bool { return true }, func(*schema.Node) bool { return true })
}

package failover

import (
	"fmt"
	"slices"
	"strings"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// evidence tells what a region's failover assignment rests on: which of its zones are emptied or dark, and whether a service has ready back ends in the others.
func evidence(view *store.View, service *store.Service, region string, all, open []string) string {
	var facts []string
	for _, name := range all {
		zone := view.Zones[name]
		switch {
		case slices.Contains(open, name):
		case zone.GetEmptied():
			facts = append(facts, fmt.Sprintf("%s is emptied (%s)", name, zone.GetReason()))
		default:
			lost := 0
			for _, node := range view.Nodes {
				if node.Zone == name {
					lost++
				}
			}
			facts = append(facts, fmt.Sprintf("%s is dark: its machines, %d, are lost", name, lost))
		}
	}
	if len(facts) > constants.EvidenceMost {
		facts = append(facts[:constants.EvidenceMost], fmt.Sprintf("%d more districts are emptied or dark", len(facts)-constants.EvidenceMost))
	}
	if len(facts) == 0 {
		facts = append(facts, "no district of "+region+" is emptied or dark")
	}
	if service != nil {
		ready := 0
		for _, backend := range service.Backends {
			if backend.State == schema.BackendState_BACKEND_READY && slices.Contains(open, backend.Zone) {
				ready++
			}
		}
		facts = append(facts, fmt.Sprintf("%s has %d ready back ends in the others", service.Name, ready))
	}
	return strings.Join(facts, "; ")
}

// PlaceName names what a number's residue stands for in a routed fleet.
func PlaceName(view *store.View, number uint64) string {
	if group := groupOf(view, number); group != nil {
		return group.Name
	}
	if region := regionNumbered(view, number); region != "" {
		return "region " + region
	}
	return "nobody"
}

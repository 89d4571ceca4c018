package failover

import (
	"fmt"
	"slices"
	"strings"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// evidence says what a change of a region's row rests on: which of its zones are emptied or have lost their nodes, and
// how many ready back ends a service, if there is one, has in the open zones.
func evidence(view *store.View, service *store.Service, region string, zones, open []string) string {
	var facts []string
	for _, name := range zones {
		if !slices.Contains(open, name) {
			facts = append(facts, whyClosed(view, name))
		}
	}
	if surplus := len(facts) - constants.MaxEvidence; surplus > 0 {
		facts = append(facts[:constants.MaxEvidence], fmt.Sprintf("%d more zones are emptied or unreachable", surplus))
	}
	if len(facts) == 0 {
		facts = append(facts, "no zone of "+region+" is emptied or unreachable")
	}
	if service != nil {
		facts = append(facts, fmt.Sprintf("%s has %d ready back ends in the others", service.Name, countReady(service, open)))
	}
	return strings.Join(facts, "; ")
}

// whyClosed says why a zone is not open: it is emptied, or all its nodes are lost.
func whyClosed(view *store.View, name string) string {
	if zone := view.Zones[name]; zone.GetEmptied() {
		return fmt.Sprintf("%s is emptied (%s)", name, zone.GetReason())
	}
	lost := 0
	for _, node := range view.Nodes {
		if node.Zone == name {
			lost++
		}
	}
	return fmt.Sprintf("%s is unreachable: its nodes, %d, are lost", name, lost)
}

// countReady counts a service's ready back ends in some zones.
func countReady(service *store.Service, zones []string) int {
	count := 0
	for _, backend := range service.Backends {
		if backend.State == schema.BackendState_BACKEND_READY && slices.Contains(zones, backend.Zone) {
			count++
		}
	}
	return count
}

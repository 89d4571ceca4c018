package failover

import (
	"cmp"
	"slices"
	"strings"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// ActiveGroup is what an origin region resolves to in a fleet of routes: a set of zones of one region, and the numbers
// that were followed to it.
type ActiveGroup struct {
	Region string
	Group  string
	Zones  []string
	Trail  Trail
}

// HasZone reports whether a zone belongs to the group.
func (g ActiveGroup) HasZone(zone string) bool { return slices.Contains(g.Zones, zone) }

// assignmentOf returns a service's row in a region, else the region's default row, or nil.
func assignmentOf(view *store.View, service, region string) *schema.FailoverAssignment {
	if known := view.Services[service]; known != nil {
		if own := known.Assignments[""][region]; own != nil {
			return own
		}
	}
	return view.DefaultAssignments[region]
}

// ResolveRegion follows an origin region through the service's row, or the region's default one, to the one active
// group, with one hop between regions at most. Its error is a *ResolveError.
func ResolveRegion(view *store.View, service, origin string) (ActiveGroup, error) {
	var active ActiveGroup
	region := origin
	for range maxRegions {
		assignment := assignmentOf(view, service, region)
		if assignment == nil {
			return active, resolveErrorf("service %s has no failover assignment in region %q", service, region)
		}
		number := Number(assignment.Number)
		active.Trail = append(active.Trail, number)
		if group := groupOf(view, number); group != nil {
			if group.Region != region {
				return active, resolveErrorf("number %d names group %s outside region %s", number, group.Name, region)
			}
			active.Region, active.Group, active.Zones = region, group.Name, group.Zones
			return active, nil
		}
		region = regionOf(view, number, routeIncrement)
	}
	return active, resolveErrorf("service %s has no active group in region %s", service, origin)
}

// ActiveGroups returns the owner of work that arrived in a region, then the active groups of the other allowed
// regions, which may take work that the owner has no capacity for. The origin is the region of arrival if it is a home
// region, else a home region drawn by the caller's token, so that it stays the same for one piece of work.
func ActiveGroups(view *store.View, service string, homes []string, arrival, token string) []ActiveGroup {
	allowed := homes
	if len(allowed) == 0 {
		for name := range view.Regions {
			allowed = append(allowed, name)
		}
	}
	var groups []ActiveGroup
	for _, origin := range originOrder(allowed, arrival, token) {
		active, err := ResolveRegion(view, service, origin)
		isKnown := slices.ContainsFunc(groups, func(other ActiveGroup) bool { return other.Region == active.Region })
		if err == nil && !isKnown && slices.Contains(allowed, active.Region) {
			groups = append(groups, active)
		}
	}
	return groups
}

// originOrder sorts regions: that of the arrival first, the others by their rendezvous weight for the token.
func originOrder(regions []string, arrival, token string) []string {
	order := slices.Clone(regions)
	slices.SortFunc(order, func(a, b string) int {
		if a == arrival || b == arrival {
			return compareTrueFirst(a == arrival, b == arrival)
		}
		if byWeight := cmp.Compare(store.RendezvousWeight(token, b), store.RendezvousWeight(token, a)); byWeight != 0 {
			return byWeight
		}
		return strings.Compare(a, b)
	})
	return order
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

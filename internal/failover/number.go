package failover

import (
	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Number is a failover number. Of two numbers of one row the higher one is newer; 0 is no number. The number modulo an
// increment is a residue, which names a group if it is even and a region if it is odd.
type Number uint64

// The increments of both kinds of fleets.
const (
	entryIncrement Number = constants.Increment
	routeIncrement Number = constants.GroupIncrement
)

// next returns the smallest number with a residue that is above this one and not below the increment.
func (n Number) next(residue uint32, increment Number) Number {
	next := n - n%increment + Number(residue)
	for next <= n || next < increment {
		next += increment
	}
	return next
}

// names reports whether the number's residue is the given one.
func (n Number) names(residue uint32, increment Number) bool {
	return n > 0 && Number(residue) == n%increment
}

// isGroupResidue reports whether a group may have a residue: an even one below the increment.
func isGroupResidue(residue uint32, increment Number) bool {
	return residue%2 == 0 && Number(residue) < increment
}

// isRegionResidue reports whether a region may have a residue: an odd one below the increment.
func isRegionResidue(residue uint32, increment Number) bool {
	return residue%2 == 1 && Number(residue) < increment
}

// zoneOf returns the zone whose proxies are the group that a number names in a fleet of entries, or nil.
func zoneOf(view *store.View, number Number) *schema.Zone {
	for _, zone := range view.Zones {
		if number.names(zone.Residue, entryIncrement) {
			return zone
		}
	}
	return nil
}

// groupOf returns the group that a number names in a fleet of routes, or nil.
func groupOf(view *store.View, number Number) *schema.Group {
	for _, group := range view.Groups {
		if number.names(group.Residue, routeIncrement) {
			return group
		}
	}
	return nil
}

// regionOf returns the region that a number names, or "".
func regionOf(view *store.View, number, increment Number) string {
	for _, region := range view.Regions {
		if number.names(region.Residue, increment) {
			return region.Name
		}
	}
	return ""
}

// EntryOwnerName returns the name of the zone or region that a number names in a fleet of entries, for operators.
func EntryOwnerName(view *store.View, number Number) string {
	if zone := zoneOf(view, number); zone != nil {
		return zone.Name
	}
	return regionName(view, number, entryIncrement)
}

// RouteOwnerName returns the name of the group or region that a number names in a fleet of routes, for operators.
func RouteOwnerName(view *store.View, number Number) string {
	if group := groupOf(view, number); group != nil {
		return group.Name
	}
	return regionName(view, number, routeIncrement)
}

func regionName(view *store.View, number, increment Number) string {
	if region := regionOf(view, number, increment); region != "" {
		return "region " + region
	}
	return "nobody"
}

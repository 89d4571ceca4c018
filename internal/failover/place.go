package failover

import (
	"fmt"
	"slices"
	"strings"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Place is what an origin region resolves to in a routed fleet: the active group and the numbers that were followed to it.
type Place struct {
	Region string
	Group  string
	Zones  []string
	Trail  Trail
}

// Holds tells whether a zone belongs to the place's group.
func (p Place) Holds(zone string) bool { return slices.Contains(p.Zones, zone) }

func nextOf(old uint64, residue uint32) uint64 {
	number := old - old%constants.GroupIncrement + uint64(residue)
	for number <= old || number < constants.GroupIncrement {
		number += constants.GroupIncrement
	}
	return number
}

func rowOf(view *store.View, service, region string) *schema.FailoverAssignment {
	row := view.Defaults[region]
	if known := view.Services[service]; known != nil {
		if own := known.Assignments[""][region]; own != nil {
			row = own
		}
	}
	return row
}

func groupOf(view *store.View, number uint64) *schema.Group {
	for _, group := range view.Groups {
		if number > 0 && uint64(group.Residue) == number%constants.GroupIncrement {
			return group
		}
	}
	return nil
}

func regionNumbered(view *store.View, number uint64) string {
	for _, region := range view.Regions {
		if number > 0 && uint64(region.Residue) == number%constants.GroupIncrement {
			return region.Name
		}
	}
	return ""
}

// Locate follows an origin region through the service's row, or the region's own, to the one active group; one hop between regions at most.
func Locate(view *store.View, service, origin string) (Place, error) {
	place := Place{}
	region := origin
	for range 2 {
		row := rowOf(view, service, region)
		if row == nil {
			return place, &ResolveError{fmt.Sprintf("service %s has no standing in region %q", service, region)}
		}
		place.Trail = append(place.Trail, row.Number)
		if group := groupOf(view, row.Number); group != nil {
			if group.Region != region {
				return place, &ResolveError{fmt.Sprintf("number %d names group %s outside region %s", row.Number, group.Name, region)}
			}
			place.Region, place.Group, place.Zones = region, group.Name, group.Zones
			return place, nil
		}
		region = regionNumbered(view, row.Number)
	}
	return place, &ResolveError{fmt.Sprintf("service %s has no active group in region %s", service, origin)}
}

// Places gives the owner of work that arrived in a region, then the active groups of the other allowed regions, where work that the owner can't bear may go.
// The origin is the arrival's region if it is a home, else a home drawn by the caller's token, so that it stays the same for one piece of work.
func Places(view *store.View, service string, homes []string, arrival, token string) []Place {
	allowed := homes
	if len(allowed) == 0 {
		for name := range view.Regions {
			allowed = append(allowed, name)
		}
	}
	order := slices.Clone(allowed)
	slices.SortFunc(order, func(a, b string) int {
		if (a == arrival) != (b == arrival) {
			if a == arrival {
				return -1
			}
			return 1
		}
		if wa, wb := store.Weigh(token, a), store.Weigh(token, b); wa != wb {
			if wa > wb {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	var places []Place
	for _, origin := range order {
		place, err := Locate(view, service, origin)
		if err != nil || !slices.Contains(allowed, place.Region) || slices.ContainsFunc(places, func(other Place) bool { return other.Region == place.Region }) {
			continue
		}
		places = append(places, place)
	}
	return places
}

func groupName(region string, all, zones []string) string {
	if len(all) == len(zones) {
		return region
	}
	return region + ":" + strings.Join(zones, "+")
}

// PlanPlaces gives the records that bring the rows of a routed fleet in line with its zones, machines and back ends.
func PlanPlaces(view *store.View, table *store.Table) []*schema.Record {
	all, open := map[string][]string{}, map[string][]string{}
	for name, zone := range view.Zones {
		all[zone.Region] = append(all[zone.Region], name)
		if !zone.Emptied && !isDark(view, name) {
			open[zone.Region] = append(open[zone.Region], name)
		}
	}
	var regions []string
	for name := range view.Regions {
		slices.Sort(all[name])
		slices.Sort(open[name])
		regions = append(regions, name)
	}
	slices.Sort(regions)
	var records []*schema.Record
	nextResidue := uint32(0)
	for _, group := range view.Groups {
		nextResidue = max(nextResidue, group.Residue+2)
	}
	made := map[string]*schema.Group{}
	groups := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "groups"}
	residue := func(region string, zones []string) (uint32, bool) {
		name := groupName(region, all[region], zones)
		group := view.Groups[name]
		if planned := made[name]; planned != nil {
			return planned.Residue, true
		}
		if group != nil && slices.Equal(group.Zones, zones) {
			return group.Residue, true
		}
		fresh := &schema.Group{Name: name, Region: region, Zones: zones}
		if group != nil {
			fresh.Residue = group.Residue
		} else if nextResidue >= constants.GroupIncrement {
			return 0, false
		} else {
			fresh.Residue = nextResidue
			nextResidue += 2
		}
		made[name] = fresh
		groups.Guards = append(groups.Guards, &schema.Guard{Key: store.GroupKey(name), Index: table.Get(store.GroupKey(name)).GetIndex()})
		groups.Rows = append(groups.Rows, store.EncodeRow(store.GroupKey(name), fresh))
		return fresh.Residue, true
	}
	fit := func(service *store.Service, region string) bool {
		return service == nil || slices.ContainsFunc(service.Backends, func(b *schema.Backend) bool {
			return b.State == schema.BackendState_BACKEND_READY && slices.Contains(open[region], b.Zone)
		})
	}
	target := func(service *store.Service, region string) (uint32, string, bool) {
		if len(open[region]) > 0 && fit(service, region) {
			number, isThere := residue(region, open[region])
			return number, "its open districts", isThere
		}
		best := ""
		for _, other := range regions {
			if other != region && len(open[other]) > 0 && fit(service, other) && (best == "" || store.Weigh(region, other) > store.Weigh(region, best)) {
				best = other
			}
		}
		if best == "" {
			return 0, "", false
		}
		return view.Regions[best].Residue, "no open district with back ends; work goes to " + best, true
	}
	move := func(key string, row *schema.FailoverAssignment, was uint64, to uint32, reason string, of *store.Service) {
		row.Number, row.Reason = nextOf(was, to), reason
		records = append(records, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "standing of " + row.Service + " in " + row.Region,
			Evidence: evidence(view, of, row.Region, all[row.Region], open[row.Region]),
			Guards:   []*schema.Guard{{Key: key, Index: table.Get(key).GetIndex()}}, Rows: []*schema.Row{store.EncodeRow(key, row)}})
	}
	for _, region := range regions {
		to, reason, isThere := target(nil, region)
		if row := view.Defaults[region]; isThere && (row == nil || row.Number%constants.GroupIncrement != uint64(to)) {
			move(store.DefaultKey(region), &schema.FailoverAssignment{Region: region}, row.GetNumber(), to, reason, nil)
		}
		for _, name := range sortedNames(view.Services) {
			service := view.Services[name]
			own, isOwnThere := service.Assignments[""][region], false
			isOwnThere = own != nil
			to, reason, isServiceThere := target(service, region)
			row := rowOf(view, name, region)
			if !isServiceThere || len(service.Backends) == 0 || row == nil && !isOwnThere || row.Number%constants.GroupIncrement == uint64(to) {
				continue
			}
			if defaultTo, _, isDefault := target(nil, region); !isOwnThere && isDefault && defaultTo == to {
				continue
			}
			move(store.AssignmentKey(name, "", region), &schema.FailoverAssignment{Service: name, Region: region}, row.Number, to, reason, service)
		}
	}
	if len(groups.Rows) > 0 {
		return []*schema.Record{groups}
	}
	return records
}

func sortedNames(services map[string]*store.Service) []string {
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func isDark(view *store.View, zone string) bool {
	count := 0
	for _, node := range view.Nodes {
		if node.Zone == zone {
			if node.State != schema.NodeState_NODE_LOST {
				return false
			}
			count++
		}
	}
	return count > 0
}

func checkPlace(table *store.Table, row *schema.Row) (bool, error) {
	old := table.Get(row.Key)
	switch {
	case strings.HasPrefix(row.Key, "group/"):
		fresh, before := store.DecodeRow[schema.Group](row), store.DecodeRow[schema.Group](old)
		if fresh.Residue%2 != 0 || fresh.Residue >= constants.GroupIncrement {
			return true, fmt.Errorf("group %s has residue %d; groups take even ones below the increment", fresh.Name, fresh.Residue)
		}
		if before != nil && (before.Residue != fresh.Residue || before.Region != fresh.Region) {
			return true, fmt.Errorf("group %s would be renumbered; name a new group instead", fresh.Name)
		}
		return true, nil
	case strings.HasPrefix(row.Key, "standing/"):
		was, is := store.DecodeRow[schema.FailoverAssignment](old).GetNumber(), store.DecodeRow[schema.FailoverAssignment](row).GetNumber()
		if is <= was {
			return true, fmt.Errorf("number of %s would go from %d to %d; numbers only rise", row.Key, was, is)
		}
		return true, nil
	}
	return false, nil
}

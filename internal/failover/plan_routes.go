package failover

import (
	"maps"
	"slices"
	"strings"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// PlanRoutes returns the records that bring the rows of a fleet of routes in line with its zones, nodes and back ends,
// with their guards. It never lowers a number. Groups that are not in the table yet come first, in one record alone.
func PlanRoutes(view *store.View, table *store.Table) []*schema.Record {
	p := newRoutePlanner(view, table)
	for _, region := range p.regions {
		p.planRegion(region)
	}
	if len(p.groups.Rows) > 0 {
		return []*schema.Record{p.groups}
	}
	return p.records
}

// routePlanner plans the groups and the region map of a fleet of routes.
type routePlanner struct {
	view    *store.View
	table   *store.Table
	regions []string
	// zones are all zones of each region, openZones those that are not emptied and whose nodes are not all lost.
	zones     map[string][]string
	openZones map[string][]string
	records   []*schema.Record
	// groups is the record of the new groups, newGroups has them by name.
	groups      *schema.Record
	newGroups   map[string]*schema.Group
	nextResidue uint32
}

func newRoutePlanner(view *store.View, table *store.Table) *routePlanner {
	p := &routePlanner{
		view:      view,
		table:     table,
		regions:   slices.Sorted(maps.Keys(view.Regions)),
		zones:     map[string][]string{},
		openZones: map[string][]string{},
		groups:    &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "groups"},
		newGroups: map[string]*schema.Group{},
	}
	for _, name := range slices.Sorted(maps.Keys(view.Zones)) {
		zone := view.Zones[name]
		p.zones[zone.Region] = append(p.zones[zone.Region], name)
		if !zone.Emptied && !hasLostAllNodes(view, name) {
			p.openZones[zone.Region] = append(p.openZones[zone.Region], name)
		}
	}
	for _, group := range view.Groups {
		p.nextResidue = max(p.nextResidue, group.Residue+2)
	}
	return p
}

func hasLostAllNodes(view *store.View, zone string) bool {
	count := 0
	for _, node := range view.Nodes {
		if node.Zone != zone {
			continue
		}
		if node.State != schema.NodeState_NODE_LOST {
			return false
		}
		count++
	}
	return count > 0
}

// planRegion plans the default row of a region, and the rows of those services that differ from it.
func (p *routePlanner) planRegion(region string) {
	common, hasCommon := p.decide(nil, region)
	if row := p.view.DefaultAssignments[region]; hasCommon && (row == nil || !Number(row.Number).names(common.residue, routeIncrement)) {
		fresh := &schema.FailoverAssignment{Region: region}
		p.move(store.DefaultAssignmentKey(region), fresh, Number(row.GetNumber()), common, nil)
	}
	for _, name := range slices.Sorted(maps.Keys(p.view.Services)) {
		service := p.view.Services[name]
		next, isFound := p.decide(service, region)
		row := assignmentOf(p.view, name, region)
		if !isFound || len(service.Backends) == 0 || row == nil || Number(row.Number).names(next.residue, routeIncrement) {
			continue
		}
		if hasOwn := service.Assignments[""][region] != nil; !hasOwn && hasCommon && common.residue == next.residue {
			continue
		}
		fresh := &schema.FailoverAssignment{Service: name, Region: region}
		p.move(store.AssignmentKey(name, "", region), fresh, Number(row.Number), next, service)
	}
}

// decide returns what the row of a region should name, for one service or, without one, as the default. It finds
// nothing if no region can serve.
func (p *routePlanner) decide(service *store.Service, region string) (next decision, isFound bool) {
	if p.canServe(service, region) {
		residue, hasResidue := p.residueOfOpenZones(region)
		return decision{residue: residue, reason: "its open zones"}, hasResidue
	}
	best := ""
	for _, other := range p.regions {
		if other != region && p.canServe(service, other) && (best == "" || store.RendezvousWeight(region, other) > store.RendezvousWeight(region, best)) {
			best = other
		}
	}
	if best == "" {
		return decision{}, false
	}
	return decision{p.view.Regions[best].Residue, "no open zone with back ends; work goes to " + best, true}, true
}

// canServe reports whether a region has open zones, and ready back ends of a service in them.
func (p *routePlanner) canServe(service *store.Service, region string) bool {
	open := p.openZones[region]
	if service == nil {
		return len(open) > 0
	}
	return slices.ContainsFunc(service.Backends, func(backend *schema.Backend) bool {
		return backend.State == schema.BackendState_BACKEND_READY && slices.Contains(open, backend.Zone)
	})
}

// residueOfOpenZones returns the residue of the group of a region's open zones, and plans that group if it does not
// exist. It fails once all residues are taken.
func (p *routePlanner) residueOfOpenZones(region string) (residue uint32, isFound bool) {
	zones := p.openZones[region]
	name := groupName(region, p.zones[region], zones)
	if planned := p.newGroups[name]; planned != nil {
		return planned.Residue, true
	}
	known := p.view.Groups[name]
	if known != nil && slices.Equal(known.Zones, zones) {
		return known.Residue, true
	}
	fresh := &schema.Group{Name: name, Region: region, Zones: zones}
	switch {
	case known != nil:
		fresh.Residue = known.Residue
	case Number(p.nextResidue) >= routeIncrement:
		return 0, false
	default:
		fresh.Residue = p.nextResidue
		p.nextResidue += 2
	}
	p.newGroups[name] = fresh
	key := store.GroupKey(name)
	p.groups.Guards = append(p.groups.Guards, &schema.Guard{Key: key, Index: p.table.Get(key).GetIndex()})
	p.groups.Rows = append(p.groups.Rows, store.EncodeRow(key, fresh))
	return fresh.Residue, true
}

// groupName names a set of a region's zones: by the region if it has all of them.
func groupName(region string, all, zones []string) string {
	if len(all) == len(zones) {
		return region
	}
	return region + ":" + strings.Join(zones, "+")
}

// move plans a row with the next number for a decision.
func (p *routePlanner) move(key string, row *schema.FailoverAssignment, former Number, next decision, service *store.Service) {
	row.Number = uint64(former.next(next.residue, routeIncrement))
	row.Reason = next.reason
	p.records = append(p.records, &schema.Record{
		Kind:     schema.RecordKind_RECORD_ROWS,
		Reason:   "failover assignment of " + row.Service + " in " + row.Region,
		Evidence: evidence(p.view, service, row.Region, p.zones[row.Region], p.openZones[row.Region]),
		Guards:   []*schema.Guard{{Key: key, Index: p.table.Get(key).GetIndex()}},
		Rows:     []*schema.Row{store.EncodeRow(key, row)},
	})
}

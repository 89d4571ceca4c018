package failover

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Released reports whether every lease that was given before an index of the log has been released or has lapsed, and
// since when in milliseconds.
type Released func(index uint64) (isReleased bool, sinceMillis uint64)

// PlanEntries returns the records that bring the rows of a fleet of entries in line with its zones, proxies and back
// ends, with their guards. It never lowers a number.
func PlanEntries(view *store.View, table *store.Table, released Released) []*schema.Record {
	var records []*schema.Record
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		service := view.Services[name]
		for _, entry := range service.Entries {
			p := &entryPlanner{view: view, table: table, service: service, entry: entry, released: released}
			if record := p.plan(); record != nil {
				records = append(records, record)
			}
		}
		if record := removeSlots(table, service); record != nil {
			records = append(records, record)
		}
	}
	return records
}

// removeSlots removes the shard slots of a service that has no entry left.
func removeSlots(table *store.Table, service *store.Service) *schema.Record {
	if len(service.Entries) > 0 {
		return nil
	}
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "service has no entry left"}
	table.Each(store.ServicePrefix(service.Name)+"slot/", func(row *schema.Row) {
		record.Rows = append(record.Rows, store.Tombstone(row.Key))
	})
	if len(record.Rows) == 0 {
		return nil
	}
	return record
}

// entryPlanner plans the rows of one entry.
type entryPlanner struct {
	view     *store.View
	table    *store.Table
	service  *store.Service
	entry    *schema.Entry
	released Released
	record   *schema.Record
	// homes are the regions in which the entry's traffic may be, usable those of them that have a usable zone.
	homes  []string
	usable []string
	// usableZones are the zones of each home region that could be the active group, best first.
	usableZones map[string][]string
}

// decision is what a row of the region map should name, and why.
type decision struct {
	residue uint32
	reason  string
	// isFar is true if work moves from one region to another.
	isFar bool
}

func (p *entryPlanner) plan() *schema.Record {
	p.record = &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "failover assignment of " + p.entry.Service + p.entry.Path}
	p.homes = Homes(p.view, p.entry)
	p.usableZones = map[string][]string{}
	for _, region := range p.homes {
		zones := usableZones(p.view, p.entry, region)
		p.usableZones[region] = zones
		if len(zones) > 0 {
			p.usable = append(p.usable, region)
		}
	}
	for _, region := range p.homes {
		p.planRegion(region)
	}
	if IsEntity(p.entry) {
		p.planEntity()
	}
	if len(p.record.Rows) == 0 {
		return nil
	}
	return p.record
}

// planRegion moves the row of one region if its group can't serve any more, or else takes its fence off once it may.
func (p *entryPlanner) planRegion(region string) {
	key := store.AssignmentKey(p.entry.Service, p.entry.Path, region)
	current := p.service.Assignments[p.entry.Path][region]
	if next, hasChanged := p.decide(region, current); hasChanged {
		p.put(key, &schema.FailoverAssignment{
			Service: p.entry.Service,
			Path:    p.entry.Path,
			Region:  region,
			Number:  uint64(Number(current.GetNumber()).next(next.residue, entryIncrement)),
			Reason:  next.reason,
			Fenced:  current != nil,
			Far:     next.isFar || current.GetFenced() && current.GetFar(),
		})
		return
	}
	if current.GetFenced() && p.mayUnfence(key, current.Far) {
		p.put(key, &schema.FailoverAssignment{
			Service: current.Service,
			Path:    current.Path,
			Region:  current.Region,
			Number:  current.Number,
			Reason:  current.Reason,
		})
	}
}

// decide returns what the row of a region should name, if it is something else than now.
func (p *entryPlanner) decide(region string, current *schema.FailoverAssignment) (next decision, hasChanged bool) {
	if zones := p.usableZones[region]; len(zones) > 0 {
		return p.decideZone(region, zones, current)
	}
	if len(p.usable) > 0 {
		if current != nil && slices.Contains(p.usable, regionOf(p.view, Number(current.Number), entryIncrement)) {
			return decision{}, false
		}
		other := p.usable[int(store.RendezvousWeight(p.entry.Service, p.entry.Path, region)%uint64(len(p.usable)))]
		reason := "no usable group in region " + region + "; taken over by region " + other
		return decision{p.view.Regions[other].Residue, reason, true}, true
	}
	if zones := zonesOfRegion(p.view, region); current == nil && len(zones) > 0 {
		return decision{p.view.Zones[zones[0]].Residue, "no back end and no proxy is known yet", false}, true
	}
	return decision{}, false
}

// decideZone keeps a usable zone, and otherwise takes the best one.
func (p *entryPlanner) decideZone(region string, zones []string, current *schema.FailoverAssignment) (next decision, hasChanged bool) {
	next = decision{residue: p.view.Zones[zones[0]].Residue, reason: "best usable group of its region"}
	if current == nil {
		return next, true
	}
	zone := zoneOf(p.view, Number(current.Number))
	switch {
	case zone == nil:
		next.reason = "region " + region + " is usable again"
		next.isFar = true
	case slices.Contains(zones, zone.Name):
		return decision{}, false
	default:
		next.reason = whyUnusable(p.view, zone)
	}
	return next, true
}

// planEntity moves the entity to another region if its region has no usable group, or else takes its fence off once it may.
func (p *entryPlanner) planEntity() {
	key := store.EntityKey(p.entry.Service, p.entry.Path)
	current := p.service.Entities[p.entry.Path]
	options := p.usable
	if len(options) == 0 && current == nil {
		options = p.homes
	}
	region := ""
	if current != nil {
		region = regionOf(p.view, Number(current.Number), entryIncrement)
	}
	if len(options) == 0 || slices.Contains(options, region) {
		if current.GetFenced() && p.mayUnfence(key, true) {
			p.put(key, &schema.Entity{
				Service: current.Service,
				Path:    current.Path,
				Region:  current.Region,
				Number:  current.Number,
				Reason:  current.Reason,
				Far:     current.Far,
			})
		}
		return
	}
	next := options[int(store.RendezvousWeight(p.entry.Service, p.entry.Path)%uint64(len(options)))]
	reason := "first region of the entry"
	if current != nil {
		reason = "region " + region + " has no usable group"
	}
	p.put(key, &schema.Entity{
		Service: p.entry.Service,
		Path:    p.entry.Path,
		Region:  next,
		Number:  uint64(Number(current.GetNumber()).next(p.view.Regions[next].Residue, entryIncrement)),
		Reason:  reason,
		Fenced:  current != nil,
		Far:     current != nil,
	})
}

// mayUnfence reports whether the fence of a row may be taken off: no lease is left from before it and, if work moved
// between regions, the reservations that the former region's replicas remember have lapsed as well.
func (p *entryPlanner) mayUnfence(key string, isFar bool) bool {
	row := p.table.Get(key)
	if row == nil {
		return false
	}
	isReleased, sinceMillis := p.released(row.Index)
	return isReleased && (!isFar || sinceMillis >= uint64(constants.ReservationWindow.Milliseconds()))
}

// put adds a row to the record, guarded by the index of the present one.
func (p *entryPlanner) put(key string, message proto.Message) {
	p.record.Guards = append(p.record.Guards, &schema.Guard{Key: key, Index: p.table.Get(key).GetIndex()})
	p.record.Rows = append(p.record.Rows, store.EncodeRow(key, message))
}

// Homes returns the regions in which an entry's traffic may be, sorted.
func Homes(view *store.View, entry *schema.Entry) []string {
	var homes []string
	for name := range view.Regions {
		if len(entry.HomeRegions) == 0 || slices.Contains(entry.HomeRegions, name) {
			homes = append(homes, name)
		}
	}
	slices.Sort(homes)
	return homes
}

// usableZones returns the zones of a region that could be an entry's active group, best first: those with back ends of
// its service, then by the rendezvous weight of entry and zone, so that entries spread over zones.
func usableZones(view *store.View, entry *schema.Entry, region string) []string {
	backends := readyBackends(view, entry, region)
	if len(backends) == 0 {
		return nil
	}
	hasProxy := map[string]bool{}
	for _, node := range view.Nodes {
		if node.State == schema.NodeState_NODE_READY {
			hasProxy[node.Zone] = true
		}
	}
	var names []string
	for name, zone := range view.Zones {
		if zone.Region == region && !zone.Emptied && hasProxy[name] {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(
			compareTrueFirst(backends[a] > 0, backends[b] > 0),
			cmp.Compare(store.RendezvousWeight(entry.Service, entry.Path, b), store.RendezvousWeight(entry.Service, entry.Path, a)),
		)
	})
	return names
}

// readyBackends counts the back ends of an entry's service that can serve in a region, by zone.
func readyBackends(view *store.View, entry *schema.Entry, region string) map[string]int {
	service := view.Services[entry.Service]
	if service == nil {
		return nil
	}
	counts := map[string]int{}
	for _, backend := range service.Backends {
		zone := view.Zones[backend.Zone]
		isOpen := zone != nil && zone.Region == region && !zone.Emptied
		if isOpen && !backend.Failing && backend.State == schema.BackendState_BACKEND_READY {
			counts[backend.Zone]++
		}
	}
	return counts
}

func zonesOfRegion(view *store.View, region string) []string {
	var names []string
	for name, zone := range view.Zones {
		if zone.Region == region {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// whyUnusable says why a zone can't be the active group any more.
func whyUnusable(view *store.View, zone *schema.Zone) string {
	if zone.Emptied {
		return "zone " + zone.Name + " was emptied: " + zone.Reason
	}
	for _, node := range view.Nodes {
		if node.Zone == zone.Name && node.State == schema.NodeState_NODE_READY {
			return "no usable back end beside zone " + zone.Name
		}
	}
	return "all proxies of zone " + zone.Name + " are lost or stopping"
}

// Package failover decides which proxy group is active for an entry in a region, by failover numbers.
package failover

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Next is the smallest number above the old one in a residue class; the first is one increment up.
func Next(old uint64, residue uint32) uint64 {
	number := old - old%constants.Increment + uint64(residue)
	for number <= old || number < constants.Increment {
		number += constants.Increment
	}
	return number
}

// Origin is the immutable record that travels with a request: a region, or the entry itself.
type Origin struct {
	Region  string
	Service string
	Path    string
}

func (o Origin) String() string {
	if o.Region != "" {
		return "region=" + o.Region
	}
	return "entry=" + o.Service + o.Path
}

// OriginError says that an origin record is not well formed or does not fit its entry.
type OriginError struct{ Text string }

func (e *OriginError) Error() string {
	return fmt.Sprintf("origin %q does not fit; send the origin record of the directory's outcome unchanged", e.Text)
}

// ParseOrigin reads an origin record.
func ParseOrigin(text string) (Origin, error) {
	kind, rest, _ := strings.Cut(text, "=")
	switch {
	case kind == "region" && rest != "" && len(rest) < 32 && !strings.ContainsAny(rest, "/ "):
		return Origin{Region: rest}, nil
	case kind == "entry":
		if service, path, isCut := strings.Cut(rest, "/"); isCut && service != "" {
			return Origin{Service: service, Path: "/" + path}, nil
		}
	}
	return Origin{}, &OriginError{text}
}

// IsBound tells whether all work of an entry follows its one entity row: it has methods that must not be repeated.
func IsBound(entry *schema.Entry) bool {
	return entry.Keyed || slices.ContainsFunc(entry.Methods, func(method string) bool { return !slices.Contains(entry.SafeMethods, method) })
}

// Owner is what an origin resolves to.
type Owner struct {
	Region string
	Zone   string
	Number uint64
	Trail  Trail
	Fenced bool
	Fence  string
	Far    bool
	Moved  bool
}

// Trail is the numbers that were followed, in order: entity row, region rows. The first that differs decides which is newer.
type Trail []uint64

func (t Trail) String() string {
	parts := make([]string, len(t))
	for i, number := range t {
		parts[i] = strconv.FormatUint(number, 10)
	}
	return strings.Join(parts, ".")
}

// ParseTrail reads a trail.
func ParseTrail(text string) (Trail, error) {
	var trail Trail
	for _, part := range strings.Split(text, ".") {
		number, err := strconv.ParseUint(part, 10, 64)
		if err != nil || number == 0 || len(trail) == 3 {
			return nil, fmt.Errorf("trail %q is not well formed; only proxies send it", text)
		}
		trail = append(trail, number)
	}
	return trail, nil
}

// IsNewer tells whether a trail was resolved on newer rows than another.
func (t Trail) IsNewer(other Trail) bool { return slices.Compare(t, other) > 0 }

// ResolveError says that an origin resolves to no group, so that nobody may serve it.
type ResolveError struct{ Reason string }

func (e *ResolveError) Error() string {
	return e.Reason + "; ask the directory again after the time in Retry-After"
}

// Resolve follows origin, entity row, region map and residue to the one owner; one hop between regions at most.
func Resolve(view *store.View, entry *schema.Entry, origin Origin) (Owner, error) {
	service := view.Services[entry.Service]
	if service == nil {
		return Owner{}, &ResolveError{"service " + entry.Service + " is not known here"}
	}
	region := origin.Region
	var owner Owner
	hold := func(isFenced, isFar bool, key string) {
		if isFenced {
			owner.Fenced, owner.Far, owner.Fence = true, owner.Far || isFar, key
		}
	}
	if IsBound(entry) {
		if origin.Service != entry.Service || origin.Path != entry.Path {
			return Owner{}, &OriginError{origin.String()}
		}
		entity := service.Entities[entry.Path]
		if entity == nil {
			return Owner{}, &ResolveError{"entry " + entry.Service + entry.Path + " has no entity row yet"}
		}
		region = regionOf(view, entity.Number)
		owner.Moved = entity.Far
		hold(entity.Fenced, true, store.EntityKey(entry.Service, entry.Path))
		owner.Trail = append(owner.Trail, entity.Number)
	} else if region == "" {
		return Owner{}, &OriginError{origin.String()}
	}
	for hop := 0; hop < 2; hop++ {
		if len(entry.HomeRegions) > 0 && !slices.Contains(entry.HomeRegions, region) {
			return Owner{}, &ResolveError{fmt.Sprintf("region %q is no home region of entry %s%s", region, entry.Service, entry.Path)}
		}
		row := service.Assignments[entry.Path][region]
		if row == nil {
			return Owner{}, &ResolveError{fmt.Sprintf("entry %s%s has no standing in region %q", entry.Service, entry.Path, region)}
		}
		hold(row.Fenced, row.Far, store.AssignmentKey(entry.Service, entry.Path, region))
		owner.Trail = append(owner.Trail, row.Number)
		if zone := zoneOf(view, row.Number); zone != nil {
			if zone.Region != region {
				return Owner{}, &ResolveError{fmt.Sprintf("number %d names district %s outside region %s", row.Number, zone.Name, region)}
			}
			owner.Region, owner.Zone, owner.Number = region, zone.Name, row.Number
			return owner, nil
		}
		region = regionOf(view, row.Number)
	}
	return Owner{}, &ResolveError{"entry " + entry.Service + entry.Path + " has no active group"}
}

func zoneOf(view *store.View, number uint64) *schema.Zone {
	for _, zone := range view.Zones {
		if number > 0 && uint64(zone.Residue) == number%constants.Increment {
			return zone
		}
	}
	return nil
}

func regionOf(view *store.View, number uint64) string {
	for _, region := range view.Regions {
		if number > 0 && uint64(region.Residue) == number%constants.Increment {
			return region.Name
		}
	}
	return ""
}

// GroupName names what a number's residue stands for.
func GroupName(view *store.View, number uint64) string {
	if zone := zoneOf(view, number); zone != nil {
		return zone.Name
	}
	if region := regionOf(view, number); region != "" {
		return "region " + region
	}
	return "nobody"
}

// Check is asked of every row before it is applied: numbers never fall and residues are never given anew.
func Check(table *store.Table, row *schema.Row) error {
	if isPlace, err := checkPlace(table, row); isPlace {
		return err
	}
	if isVersion, err := checkVersion(table, row); isVersion {
		return err
	}
	old := table.Get(row.Key)
	var was, is uint64
	switch {
	case strings.HasPrefix(row.Key, "district/"):
		fresh := store.DecodeRow[schema.Zone](row)
		if fresh.Residue%2 != 0 || fresh.Residue >= constants.Increment {
			return fmt.Errorf("district %s has residue %d; groups take even ones below the increment", fresh.Name, fresh.Residue)
		}
		if before := store.DecodeRow[schema.Zone](old); before != nil && (before.Residue != fresh.Residue || before.Region != fresh.Region) {
			return fmt.Errorf("district %s would be renumbered; name a new district instead", fresh.Name)
		}
		return nil
	case strings.HasPrefix(row.Key, "region/"):
		fresh := store.DecodeRow[schema.Region](row)
		if fresh.Residue%2 != 1 || fresh.Residue >= constants.Increment {
			return fmt.Errorf("region %s has residue %d; regions take odd ones below the increment", fresh.Name, fresh.Residue)
		}
		if before := store.DecodeRow[schema.Region](old); before != nil && before.Residue != fresh.Residue {
			return fmt.Errorf("region %s would be renumbered; name a new region instead", fresh.Name)
		}
		return nil
	case strings.Contains(row.Key, "/standing/"):
		is = store.DecodeRow[schema.FailoverAssignment](row).GetNumber()
		was = store.DecodeRow[schema.FailoverAssignment](old).GetNumber()
	case strings.Contains(row.Key, "/entity/"):
		is = store.DecodeRow[schema.Entity](row).GetNumber()
		was = store.DecodeRow[schema.Entity](old).GetNumber()
	case strings.HasPrefix(row.Key, "keepers/"):
		is = store.DecodeRow[schema.ReplicaSet](row).GetNumber()
		was = store.DecodeRow[schema.ReplicaSet](old).GetNumber()
	case row.Key == store.HeadKey:
		is = store.DecodeRow[schema.CatalogHead](row).GetVersion()
		was = store.DecodeRow[schema.CatalogHead](old).GetVersion()
	default:
		return nil
	}
	if is < was || is == 0 {
		return fmt.Errorf("%s would fall from %d to %d; numbers only rise", row.Key, was, is)
	}
	return nil
}

// Homes are the regions in which an entry's traffic may be, in a fixed order.
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

// Usable tells which zones of a region could be an entry's active group, best first.
func Usable(view *store.View, entry *schema.Entry, region string) []string {
	service := view.Services[entry.Service]
	if service == nil {
		return nil
	}
	near := map[string]int{}
	inRegion := 0
	for _, backend := range service.Backends {
		zone := view.Zones[backend.Zone]
		if zone == nil || zone.Region != region || zone.Emptied || backend.Failing || backend.State != schema.BackendState_BACKEND_READY {
			continue
		}
		near[backend.Zone]++
		inRegion++
	}
	if inRegion == 0 {
		return nil
	}
	proxies := map[string]int{}
	for _, node := range view.Nodes {
		if node.State == schema.NodeState_NODE_READY {
			proxies[node.Zone]++
		}
	}
	var names []string
	for name, zone := range view.Zones {
		if zone.Region == region && !zone.Emptied && proxies[name] > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if (near[a] > 0) != (near[b] > 0) {
			if near[a] > 0 {
				return -1
			}
			return 1
		}
		if store.Weigh(entry.Service, entry.Path, a) > store.Weigh(entry.Service, entry.Path, b) {
			return -1
		}
		return 1
	})
	return names
}

// Released tells the planner whether every lease that was given before an index has been given back or has lapsed, and since when in milliseconds.
type Released func(index uint64) (isReleased bool, sinceMillis uint64)

// Plan derives the rows that should change now, with their guards; it never lowers a number.
func Plan(view *store.View, table *store.Table, released Released) []*schema.Record {
	var records []*schema.Record
	names := make([]string, 0, len(view.Services))
	for name := range view.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		service := view.Services[name]
		for _, entry := range service.Entries {
			if record := planEntry(view, table, service, entry, released); record != nil {
				records = append(records, record)
			}
		}
		if record := tidy(table, service); record != nil {
			records = append(records, record)
		}
	}
	return records
}

func tidy(table *store.Table, service *store.Service) *schema.Record {
	if len(service.Entries) > 0 {
		return nil
	}
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "service has no entry left"}
	table.Each(store.ServicePrefix(service.Name)+"slot/", func(row *schema.Row) { record.Rows = append(record.Rows, store.Tombstone(row.Key)) })
	if len(record.Rows) == 0 {
		return nil
	}
	return record
}

func planEntry(view *store.View, table *store.Table, service *store.Service, entry *schema.Entry, released Released) *schema.Record {
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "standing of " + entry.Service + entry.Path}
	guard := func(key string) uint64 {
		var index uint64
		if row := table.Get(key); row != nil {
			index = row.Index
		}
		record.Guards = append(record.Guards, &schema.Guard{Key: key, Index: index})
		return index
	}
	homes := Homes(view, entry)
	usable := map[string][]string{}
	alive := []string{}
	for _, region := range homes {
		usable[region] = Usable(view, entry, region)
		if len(usable[region]) > 0 {
			alive = append(alive, region)
		}
	}
	clear := func(index uint64, isFar bool) bool {
		isReleased, since := released(index)
		return isReleased && (!isFar || since >= uint64(constants.ReservationWindow.Milliseconds()))
	}
	for _, region := range homes {
		key := store.AssignmentKey(entry.Service, entry.Path, region)
		row := service.Assignments[entry.Path][region]
		target, reason, isFar := "", "", false
		var residue uint32
		if groups := usable[region]; len(groups) > 0 {
			target = groups[0]
			residue = view.Zones[target].Residue
			reason = "best usable group of its region"
			if row != nil {
				if current := zoneOf(view, row.Number); current != nil && slices.Contains(groups, current.Name) {
					target = ""
				} else if current != nil {
					reason = why(view, entry, region, current)
				} else {
					reason, isFar = "region "+region+" is usable again", true
				}
			}
		} else if len(alive) > 0 {
			next := alive[int(store.Weigh(entry.Service, entry.Path, region)%uint64(len(alive)))]
			target, residue, isFar = next, view.Regions[next].Residue, true
			reason = "no usable group in region " + region + "; taken over by region " + next
			if row != nil {
				if current := regionOf(view, row.Number); slices.Contains(alive, current) {
					target = ""
				}
			}
		} else if row == nil && len(regionGroups(view, region)) > 0 {
			target = regionGroups(view, region)[0]
			residue = view.Zones[target].Residue
			reason = "no back end and no proxy is known yet"
		}
		switch {
		case target != "":
			guard(key)
			fresh := &schema.FailoverAssignment{Service: entry.Service, Path: entry.Path, Region: region, Reason: reason, Fenced: row != nil, Far: isFar || row.GetFenced() && row.GetFar()}
			fresh.Number = Next(row.GetNumber(), residue)
			record.Rows = append(record.Rows, store.EncodeRow(key, fresh))
		case row.GetFenced():
			if at := table.Get(key); at != nil && clear(at.Index, row.Far) {
				guard(key)
				fresh := &schema.FailoverAssignment{Service: row.Service, Path: row.Path, Region: row.Region, Number: row.Number, Reason: row.Reason}
				record.Rows = append(record.Rows, store.EncodeRow(key, fresh))
			}
		}
	}
	if IsBound(entry) {
		planEntity(view, table, service, entry, homes, alive, record, guard, clear)
	}
	if len(record.Rows) == 0 {
		return nil
	}
	return record
}

func planEntity(view *store.View, table *store.Table, service *store.Service, entry *schema.Entry, homes, alive []string, record *schema.Record, guard func(string) uint64, clear func(uint64, bool) bool) {
	key := store.EntityKey(entry.Service, entry.Path)
	row := service.Entities[entry.Path]
	options := alive
	if len(options) == 0 && row == nil {
		options = homes
	}
	current := ""
	if row != nil {
		current = regionOf(view, row.Number)
	}
	if len(options) == 0 || slices.Contains(options, current) {
		if row.GetFenced() {
			if at := table.Get(key); at != nil && clear(at.Index, true) {
				guard(key)
				record.Rows = append(record.Rows, store.EncodeRow(key, &schema.Entity{Service: row.Service, Path: row.Path, Region: row.Region, Number: row.Number, Reason: row.Reason, Far: row.Far}))
			}
		}
		return
	}
	next := options[int(store.Weigh(entry.Service, entry.Path)%uint64(len(options)))]
	reason := "first region of the entry"
	if row != nil {
		reason = "region " + current + " has no usable group"
	}
	guard(key)
	record.Rows = append(record.Rows, store.EncodeRow(key, &schema.Entity{Service: entry.Service, Path: entry.Path, Region: next,
		Number: Next(row.GetNumber(), view.Regions[next].Residue), Reason: reason, Fenced: row != nil, Far: row != nil}))
}

func regionGroups(view *store.View, region string) []string {
	var names []string
	for name, zone := range view.Zones {
		if zone.Region == region {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func why(view *store.View, entry *schema.Entry, region string, current *schema.Zone) string {
	if current.Emptied {
		return "district " + current.Name + " was emptied: " + current.Reason
	}
	for _, node := range view.Nodes {
		if node.Zone == current.Name && node.State == schema.NodeState_NODE_READY {
			return "no usable back end beside district " + current.Name
		}
	}
	return "all proxies of district " + current.Name + " are lost or stopping"
}

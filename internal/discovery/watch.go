package discovery

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// WatchFacts are what a Watch plans on.
type WatchFacts struct {
	Now   time.Duration
	View  *store.View
	Table *store.Table
	// Listing is nil if nothing new was read.
	Listing *Listing
	// ColdRate returns how many requests a second a back end bears while it warms up.
	ColdRate func(*schema.ServicePolicy) int
}

// Watch plans the rows of back ends in a fleet of routes, by the list.
type Watch struct {
	// lag is how far the list may be behind.
	lag time.Duration
	// missingReads counts the whole reads in a row that lacked a listed back end.
	missingReads map[backendID]int
	// countedAt is when the last listing began whose missing back ends were counted.
	countedAt time.Duration
	// coldUntil holds when a back end has warmed up.
	coldUntil map[backendID]time.Duration
	// settling holds the zones that were given back to traffic and may be cold.
	settling map[string]settlingZone
}

// settlingZone is a zone as it was first seen after it was given back to traffic: the index of its row, and when.
type settlingZone struct {
	index uint64
	since time.Duration
}

// NewWatch returns a Watch for a list that may be behind by lag.
func NewWatch(lag time.Duration) *Watch {
	return &Watch{
		lag:          lag,
		missingReads: map[backendID]int{},
		coldUntil:    map[backendID]time.Duration{},
		settling:     map[string]settlingZone{},
	}
}

// Plan returns the record that brings the rows in line with the list, or nil if nothing changes.
func (w *Watch) Plan(facts WatchFacts) *schema.Record {
	w.noteSettling(facts)
	if facts.Listing == nil {
		return nil
	}
	changes := newChanges(facts.Table, "back ends")
	listed := w.takeListed(facts, changes)
	if facts.Listing.IsComplete {
		w.removeMissing(facts, changes, listed)
		w.endSettling(facts, changes)
	}
	return changes.recordOrNil()
}

// noteSettling notes the zones that settle. One whose row has another index was emptied and given back once more.
func (w *Watch) noteSettling(facts WatchFacts) {
	for name, zone := range facts.View.Zones {
		if !zone.Settling {
			delete(w.settling, name)
			continue
		}
		index := facts.Table.Get(store.ZoneKey(name)).Index
		if noted, isNoted := w.settling[name]; !isNoted || noted.index != index {
			w.settling[name] = settlingZone{index: index, since: facts.Now}
		}
	}
}

// takeListed writes the rows of back ends whose line in the list differs from them.
func (w *Watch) takeListed(facts WatchFacts, changes *changes) (listed map[backendID]bool) {
	listed = map[backendID]bool{}
	for _, item := range facts.Listing.Items {
		id := newBackendID(item.Service, item.Instance)
		if !isNamed(item.Service, item.Instance, item.Address) || listed[id] {
			continue
		}
		listed[id] = true
		delete(w.missingReads, id)
		service := facts.View.Services[item.Service]
		var old *schema.Backend
		if service != nil {
			old = service.Backend(item.Instance)
		}
		if fresh := w.rowOf(facts, id, item, service, old); !proto.Equal(old, fresh) {
			changes.putBackend(fresh)
		}
	}
	return listed
}

// rowOf returns the row of a listed back end. A draining one stays so at its address, since the list lags behind.
func (w *Watch) rowOf(facts WatchFacts, id backendID, item Listed, service *store.Service, old *schema.Backend) *schema.Backend {
	fresh := &schema.Backend{
		Service:  item.Service,
		Instance: item.Instance,
		Address:  item.Address,
		Zone:     item.Zone,
		Slots:    item.Slots,
		State:    schema.BackendState_BACKEND_READY,
	}
	isSame := old.GetAddress() == item.Address
	if item.IsDraining || isSame && old.GetState() == schema.BackendState_BACKEND_DRAINING {
		fresh.State = schema.BackendState_BACKEND_DRAINING
	}
	if item.ColdLeft > 0 {
		w.coldUntil[id] = max(w.coldUntil[id], item.ReadAt+item.ColdLeft+constants.ColdAfter)
	}
	fresh.Cold = facts.Now < w.coldUntil[id]
	if !fresh.Cold {
		delete(w.coldUntil, id)
	}
	fresh.Failing = !fresh.Cold && isSame && old.GetFailing()
	switch {
	case fresh.Cold && len(old.GetSlowStartSenders()) == 0:
		fresh.SlowStartSenders = w.slowStartSenders(facts, fresh, service)
	case fresh.Cold || fresh.Failing:
		fresh.SlowStartSenders = old.GetSlowStartSenders()
	}
	return fresh
}

// removeMissing takes out the back ends that enough whole reads in a row lacked. It keeps them all if they are most of
// their service and the list has none of that service.
func (w *Watch) removeMissing(facts WatchFacts, changes *changes, listed map[backendID]bool) {
	missing := w.countMissing(facts, listed)
	for _, name := range slices.Sorted(maps.Keys(missing)) {
		instances := missing[name]
		isMost := len(instances)*100 > len(facts.View.Services[name].Backends)*constants.EndpointFloor
		isListed := slices.ContainsFunc(facts.Listing.Items, func(item Listed) bool { return item.Service == name })
		if isMost && !isListed {
			continue
		}
		slices.Sort(instances)
		for _, instance := range instances {
			changes.removeBackend(name, instance)
		}
	}
}

// countMissing counts a listing once, however often it is planned on, and returns by service the instances that enough
// listings lacked.
func (w *Watch) countMissing(facts WatchFacts, listed map[backendID]bool) map[string][]string {
	isCounted := w.countedAt == facts.Listing.BegunAt
	w.countedAt = facts.Listing.BegunAt
	missing := map[string][]string{}
	for _, service := range facts.View.Services {
		for _, backend := range service.Backends {
			id := idOf(backend)
			if listed[id] {
				continue
			}
			if !isCounted {
				w.missingReads[id]++
			}
			if w.missingReads[id] >= constants.EndpointMissingReads {
				missing[service.Name] = append(missing[service.Name], backend.Instance)
			}
		}
	}
	return missing
}

// endSettling marks the zones as settled that were given back to traffic long enough before this read began for the
// list to show it.
func (w *Watch) endSettling(facts WatchFacts, changes *changes) {
	for _, name := range slices.Sorted(maps.Keys(w.settling)) {
		if facts.Listing.BegunAt < w.settling[name].since+w.lag+constants.SettleMargin {
			continue
		}
		fresh := proto.Clone(facts.View.Zones[name]).(*schema.Zone)
		fresh.Settling = false
		changes.put(store.ZoneKey(name), fresh)
	}
}

// slowStartSenders returns the nodes that alone may send to a back end that warms up: as many as can share its cold
// rate, of its zone or else of its region.
func (w *Watch) slowStartSenders(facts WatchFacts, backend *schema.Backend, service *store.Service) []string {
	coldRate := 1
	if service != nil && service.Policy != nil {
		coldRate = facts.ColdRate(service.Policy)
	}
	var inZone, inRegion []string
	region := facts.View.Zones[backend.Zone].GetRegion()
	for id, node := range facts.View.Nodes {
		switch {
		case node.State != schema.NodeState_NODE_READY:
		case node.Zone == backend.Zone:
			inZone = append(inZone, id)
		case node.Region == region:
			inRegion = append(inRegion, id)
		}
	}
	senders := inZone
	if len(senders) == 0 {
		senders = inRegion
	}
	slices.Sort(senders)
	return senders[:min(len(senders), max(1, min(coldRate, constants.MaxSlowStartSenders)))]
}

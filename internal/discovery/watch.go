package discovery

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Listed is one back end of a routed fleet as its list tells it.
type Listed struct {
	Service    string
	Instance   string
	Address    string
	Zone       string
	Slots      uint32
	IsDraining bool
	ColdLeft   time.Duration
}

// Listing is one read of the list; BegunAt is when its first page was asked for.
type Listing struct {
	Items   []Listed
	BegunAt time.Duration
	IsWhole bool
	Reason  string
}

// WatchFacts is what a Watch plans on; Listing is nil if nothing new was read.
type WatchFacts struct {
	Now      time.Duration
	View     *store.View
	Table    *store.Table
	Listing  *Listing
	ColdRate func(*schema.ServicePolicy) int
}

// Watch brings the rows of a routed fleet's back ends in line with the list.
type Watch struct {
	lag       time.Duration
	missing   map[string]int
	countedAt time.Duration
	coldUntil map[string]time.Duration
	settledAt map[string]time.Duration
}

// NewWatch makes one for a list that is so far behind.
func NewWatch(lag time.Duration) *Watch {
	return &Watch{lag: lag, missing: map[string]int{}, coldUntil: map[string]time.Duration{}, settledAt: map[string]time.Duration{}}
}

// Plan gives the record that is due, or nil.
func (w *Watch) Plan(f WatchFacts) *schema.Record {
	for name, zone := range f.View.Zones {
		if !zone.Settling {
			delete(w.settledAt, name)
		} else if _, isNoted := w.settledAt[name]; !isNoted {
			w.settledAt[name] = f.Now
		}
	}
	if f.Listing == nil {
		return nil
	}
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "back ends"}
	put := func(key string, message proto.Message) {
		record.Guards = append(record.Guards, &schema.Guard{Key: key, Index: f.Table.Get(key).GetIndex()})
		record.Rows = append(record.Rows, store.EncodeRow(key, message))
	}
	listed := map[string]bool{}
	for _, item := range f.Listing.Items {
		if item.Service == "" || item.Instance == "" || item.Address == "" || strings.Contains(item.Service+item.Instance, "/") {
			continue
		}
		name := item.Service + "/" + item.Instance
		if listed[name] {
			continue
		}
		listed[name] = true
		delete(w.missing, name)
		service := f.View.Services[item.Service]
		var old *schema.Backend
		if service != nil {
			old = service.Backend(item.Instance)
		}
		fresh := &schema.Backend{Service: item.Service, Instance: item.Instance, Address: item.Address, Zone: item.Zone, Slots: item.Slots, State: schema.BackendState_BACKEND_READY}
		if item.IsDraining || old.GetState() == schema.BackendState_BACKEND_DRAINING && old.GetAddress() == item.Address {
			fresh.State = schema.BackendState_BACKEND_DRAINING
		}
		fresh.Failing = old.GetFailing() && old.GetAddress() == item.Address
		if item.ColdLeft > 0 {
			w.coldUntil[name] = max(w.coldUntil[name], f.Listing.BegunAt+item.ColdLeft+constants.ColdAfter)
		}
		if fresh.Cold = f.Now < w.coldUntil[name]; fresh.Cold {
			fresh.SlowStartSenders = old.GetSlowStartSenders()
			if fresh.Failing = false; !old.GetCold() {
				fresh.SlowStartSenders = w.slowStartSenders(f, fresh, service)
			}
		} else {
			delete(w.coldUntil, name)
			if fresh.Failing {
				fresh.SlowStartSenders = old.SlowStartSenders
			}
		}
		if !proto.Equal(old, fresh) {
			put(store.BackendKey(item.Service, item.Instance), fresh)
		}
	}
	if !f.Listing.IsWhole {
		return whole(record)
	}
	isCounted := w.countedAt == f.Listing.BegunAt
	w.countedAt = f.Listing.BegunAt
	gone := map[string][]string{}
	for _, service := range f.View.Services {
		for _, backend := range service.Backends {
			name := backend.Service + "/" + backend.Instance
			if listed[name] {
				continue
			}
			if !isCounted {
				w.missing[name]++
			}
			if w.missing[name] >= constants.EndpointMissingReads {
				gone[service.Name] = append(gone[service.Name], backend.Instance)
			}
		}
	}
	for name, instances := range gone {
		if service := f.View.Services[name]; len(instances)*100 > len(service.Backends)*constants.EndpointFloor && !slices.ContainsFunc(f.Listing.Items, func(i Listed) bool { return i.Service == name }) {
			continue
		}
		slices.Sort(instances)
		for _, instance := range instances {
			key := store.BackendKey(name, instance)
			record.Guards = append(record.Guards, &schema.Guard{Key: key, Index: f.Table.Get(key).GetIndex()})
			record.Rows = append(record.Rows, store.Tombstone(key))
		}
	}
	for name, at := range w.settledAt {
		if f.Listing.BegunAt >= at+w.lag+constants.SettleMargin {
			fresh := proto.Clone(f.View.Zones[name]).(*schema.Zone)
			fresh.Settling = false
			put(store.ZoneKey(name), fresh)
		}
	}
	return whole(record)
}

func whole(record *schema.Record) *schema.Record {
	if len(record.Rows) == 0 {
		return nil
	}
	return record
}

func (w *Watch) slowStartSenders(f WatchFacts, backend *schema.Backend, service *store.Service) []string {
	coldRate := 1
	if service != nil && service.Policy != nil {
		coldRate = f.ColdRate(service.Policy)
	}
	var near, far []string
	region := f.View.Zones[backend.Zone].GetRegion()
	for id, node := range f.View.Nodes {
		switch {
		case node.State != schema.NodeState_NODE_READY:
		case node.Zone == backend.Zone:
			near = append(near, id)
		case node.Region == region:
			far = append(far, id)
		}
	}
	if len(near) == 0 {
		near = far
	}
	slices.Sort(near)
	return near[:min(len(near), max(1, min(coldRate, constants.SlowStartSendersMost)))]
}

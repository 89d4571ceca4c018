// Package discovery turns the platform's paged, lagging list into the back ends that the log should hold.
package discovery

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Item is one line of the platform's list.
type Item struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Zone     string `json:"district"`
	State    string `json:"state"`
}

// Page is one page of the list.
type Page struct {
	Page     int    `json:"page"`
	Pages    int    `json:"pages"`
	Total    int    `json:"total"`
	Revision uint64 `json:"revision"`
	Backends []Item `json:"backends"`
}

// RoutedItem is one line of the list of a fleet that carries routes.
type RoutedItem struct {
	Item
	// Slots are the requests that it works on at once, ColdLeftMS is how long it stays slow.
	Slots      uint32 `json:"slots"`
	ColdLeftMS int64  `json:"cold_left_ms"`
}

// RoutedPage is one page of that list.
type RoutedPage struct {
	Page
	Backends []RoutedItem `json:"backends"`
}

// ListRead is a whole read of the list.
type ListRead struct {
	Items   []Item
	IsWhole bool
	Reason  string
}

// Join checks the pages of one sweep; missing, repeated or differing ones make it partial.
func Join(pages []Page) ListRead {
	listRead := ListRead{}
	seen := map[int]bool{}
	instances := map[string]bool{}
	for _, page := range pages {
		if seen[page.Page] {
			listRead.Reason = fmt.Sprintf("page %d came twice", page.Page)
		}
		seen[page.Page] = true
		if page.Pages != pages[0].Pages || page.Revision != pages[0].Revision || page.Total != pages[0].Total {
			listRead.Reason = "the list changed between its pages"
		}
		for _, item := range page.Backends {
			if item.Service == "" || item.Instance == "" || item.Address == "" || strings.Contains(item.Service+item.Instance, "/") {
				listRead.Reason = "an item lacks service, instance or address"
				continue
			}
			if instances[item.Service+"/"+item.Instance] {
				continue
			}
			instances[item.Service+"/"+item.Instance] = true
			listRead.Items = append(listRead.Items, item)
		}
	}
	if listRead.Reason == "" {
		switch {
		case len(pages) == 0 || len(seen) != pages[0].Pages:
			listRead.Reason = "pages are missing"
		case len(listRead.Items) != pages[0].Total:
			listRead.Reason = fmt.Sprintf("%d of %d back ends came", len(listRead.Items), pages[0].Total)
		case len(listRead.Items) == 0:
			listRead.Reason = "the list is empty"
		}
	}
	listRead.IsWhole = listRead.Reason == ""
	return listRead
}

// Endpoints remembers at the leader how long a back end has been missing and who finds it failing.
type Endpoints struct {
	missing       map[string]int
	healthReports map[string]map[string]bool
	coldAt        map[string]time.Duration
}

// New makes an empty endpoint list.
func New() *Endpoints {
	return &Endpoints{missing: map[string]int{}, healthReports: map[string]map[string]bool{}, coldAt: map[string]time.Duration{}}
}

// Report takes one node's probes.
func (r *Endpoints) Report(node string, healthReports []*schema.HealthReport) {
	fresh := map[string]bool{}
	for _, healthReport := range healthReports {
		fresh[healthReport.Instance] = healthReport.Failing
	}
	r.healthReports[node] = fresh
}

// Drop forgets a lost node's probes.
func (r *Endpoints) Drop(node string) { delete(r.healthReports, node) }

func (r *Endpoints) isFailing(instance string) bool {
	bad, good := 0, 0
	for _, healthReports := range r.healthReports {
		if isBad, isSeen := healthReports[instance]; isSeen && isBad {
			bad++
		} else if isSeen {
			good++
		}
	}
	return bad > 0 && bad >= good+min(good, 1) && (bad >= 2 || good == 0)
}

// Plan gives the record that brings the rows in line with a sweep and the probes; sweep may be nil.
func (r *Endpoints) Plan(now time.Duration, view *store.View, table *store.Table, listRead *ListRead) *schema.Record {
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "back ends"}
	put := func(b *schema.Backend) {
		key := store.BackendKey(b.Service, b.Instance)
		guard := &schema.Guard{Key: key}
		if row := table.Get(key); row != nil {
			guard.Index = row.Index
		}
		record.Guards = append(record.Guards, guard)
		record.Rows = append(record.Rows, store.EncodeRow(key, b))
	}
	known := map[string]*schema.Backend{}
	count := map[string]int{}
	for _, service := range view.Services {
		for _, backend := range service.Backends {
			known[backend.Service+"/"+backend.Instance] = backend
			count[backend.Service]++
		}
	}
	listed := map[string]bool{}
	if listRead != nil {
		for _, item := range listRead.Items {
			name := item.Service + "/" + item.Instance
			listed[name] = true
			delete(r.missing, name)
			state := schema.BackendState_BACKEND_READY
			if item.State == "draining" {
				state = schema.BackendState_BACKEND_DRAINING
			}
			old := known[name]
			if old != nil && old.State == schema.BackendState_BACKEND_DRAINING && old.Address == item.Address {
				state = schema.BackendState_BACKEND_DRAINING
			}
			if old == nil || old.Address != item.Address || old.State != state || old.Zone != item.Zone {
				put(&schema.Backend{Service: item.Service, Instance: item.Instance, Address: item.Address, Zone: item.Zone, State: state, Cold: count[item.Service] > 0 && (old == nil || old.Cold || old.Address != item.Address)})
				known[name] = nil
			}
		}
	}
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	slices.Sort(names)
	lost := map[string]int{}
	for _, name := range names {
		backend := known[name]
		if backend == nil {
			continue
		}
		if listRead != nil && listRead.IsWhole && !listed[name] {
			r.missing[name]++
			if r.missing[name] >= constants.EndpointMissingReads {
				lost[backend.Service]++
			}
		}
	}
	for _, name := range names {
		backend := known[name]
		if backend == nil {
			continue
		}
		isFailing := r.isFailing(backend.Instance)
		if r.missing[name] >= constants.EndpointMissingReads && listRead != nil && listRead.IsWhole && !listed[name] {
			isTooMany := lost[backend.Service]*100 > count[backend.Service]*constants.EndpointFloor
			if !isTooMany || isFailing {
				key := store.BackendKey(backend.Service, backend.Instance)
				record.Guards = append(record.Guards, &schema.Guard{Key: key, Index: table.Get(key).GetIndex()})
				record.Rows = append(record.Rows, store.Tombstone(key))
				delete(r.missing, name)
				continue
			}
		}
		isBack := backend.Failing && !isFailing
		if isBack || backend.Cold && r.coldAt[name] == 0 {
			r.coldAt[name] = now
		}
		isCold := (backend.Cold || isBack) && now-r.coldAt[name] < constants.ColdRamp
		if !isCold {
			delete(r.coldAt, name)
		}
		if isFailing != backend.Failing || isCold != backend.Cold {
			put(&schema.Backend{Service: backend.Service, Instance: backend.Instance, Address: backend.Address, Zone: backend.Zone,
				State: backend.State, Failing: isFailing, Cold: isCold})
		}
	}
	if len(record.Rows) == 0 {
		return nil
	}
	return record
}

package store

import (
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strings"

	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// Service is the compiled slice of one service; it is never changed once published.
type Service struct {
	Name        string
	Entries     []*schema.Entry
	Assignments map[string]map[string]*schema.FailoverAssignment
	Entities    map[string]*schema.Entity
	Backends    []*schema.Backend
	Slots       map[uint32]*schema.ShardSlot
	Policy      *schema.ServicePolicy
	Spans       []*schema.ShardRange
	// isSorted says that Backends stand in the order of their instances, as the table gives them.
	isSorted bool
}

// Span gives the span that a key lies in, or nil.
func (s *Service) Span(key uint32) *schema.ShardRange {
	i := sort.Search(len(s.Spans), func(i int) bool { return s.Spans[i].Last >= key })
	if i < len(s.Spans) && s.Spans[i].First <= key {
		return s.Spans[i]
	}
	return nil
}

// Backend gives the back end of that instance, or nil.
func (s *Service) Backend(instance string) *schema.Backend {
	if s.isSorted {
		at, isThere := slices.BinarySearchFunc(s.Backends, instance, func(b *schema.Backend, instance string) int { return strings.Compare(b.Instance, instance) })
		if !isThere {
			return nil
		}
		return s.Backends[at]
	}
	for _, backend := range s.Backends {
		if backend.Instance == instance {
			return backend
		}
	}
	return nil
}

// View is the compiled snapshot that requests are decided on; it is never changed once published.
type View struct {
	Version     raft.Index
	System      string
	Head        *schema.CatalogHead
	Nodes       map[string]*schema.Node
	Regions     map[string]*schema.Region
	Zones       map[string]*schema.Zone
	ReplicaSets map[string]*schema.ReplicaSet
	Services    map[string]*Service
	Groups      map[string]*schema.Group
	Hosts       map[string][]*schema.Route
	Limits      *schema.Limits
	Defaults    map[string]*schema.FailoverAssignment
	// Fleet is the version that the fleet uses.
	Fleet protocolversion.Version
}

// Route matches a host and path to the route with the longest fitting prefix, or nil.
func (v *View) Route(host, path string) *schema.Route {
	for _, route := range v.Hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// NewView makes an empty view.
func NewView() *View {
	return &View{Head: &schema.CatalogHead{}, Nodes: map[string]*schema.Node{}, Regions: map[string]*schema.Region{},
		Zones: map[string]*schema.Zone{}, ReplicaSets: map[string]*schema.ReplicaSet{}, Services: map[string]*Service{},
		Groups: map[string]*schema.Group{}, Hosts: map[string][]*schema.Route{}, Limits: &schema.Limits{}, Defaults: map[string]*schema.FailoverAssignment{}, Fleet: protocolversion.First}
}

// Entry matches a path to the service's entry with the longest fitting path.
func (s *Service) Entry(path string) *schema.Entry {
	for _, entry := range s.Entries {
		if path == entry.Path || strings.HasPrefix(path, strings.TrimSuffix(entry.Path, "/")+"/") {
			return entry
		}
	}
	return nil
}

func update[T any](table map[string]*T, isCloned *bool, key string, value *T) map[string]*T {
	if !*isCloned {
		table = maps.Clone(table)
		*isCloned = true
	}
	if value == nil {
		delete(table, key)
	} else {
		table[key] = value
	}
	return table
}

// With gives a view that has the changed rows; what did not change is shared.
func (v *View) With(table *Table, changed []*schema.Row) *View {
	fresh := *v
	fresh.Version = table.Version()
	var nodes, regions, zones, replicas, groups, defaults bool
	hosts := map[string]bool{}
	touched := map[string]bool{}
	for _, row := range changed {
		kind, rest, _ := strings.Cut(row.Key, "/")
		switch kind {
		case "node":
			fresh.Nodes = update(fresh.Nodes, &nodes, rest, DecodeRow[schema.Node](row))
		case "region":
			fresh.Regions = update(fresh.Regions, &regions, rest, DecodeRow[schema.Region](row))
		case "district":
			fresh.Zones = update(fresh.Zones, &zones, rest, DecodeRow[schema.Zone](row))
		case "keepers":
			fresh.ReplicaSets = update(fresh.ReplicaSets, &replicas, rest, DecodeRow[schema.ReplicaSet](row))
		case "group":
			fresh.Groups = update(fresh.Groups, &groups, rest, DecodeRow[schema.Group](row))
		case "limits":
			if limits := DecodeRow[schema.Limits](row); limits != nil {
				fresh.Limits = limits
			}
		case "standing":
			fresh.Defaults = update(fresh.Defaults, &defaults, rest, DecodeRow[schema.FailoverAssignment](row))
		case "route":
			host, _, _ := strings.Cut(rest, "/")
			hosts[host] = true
		case "system":
			fresh.System = string(row.Value)
		case "catalog":
			if row.Key == VersionKey {
				fresh.Fleet = protocolversion.InUse(DecodeRow[schema.FleetVersion](row).GetVersion())
			}
			if row.Key == HeadKey {
				if head := DecodeRow[schema.CatalogHead](row); head != nil {
					fresh.Head = head
				}
			}
		case "s":
			name, _, _ := strings.Cut(rest, "/")
			touched[name] = true
		}
	}
	if len(hosts) > 0 {
		fresh.Hosts = maps.Clone(fresh.Hosts)
		for host := range hosts {
			if routes := compileHost(table, host); len(routes) > 0 {
				fresh.Hosts[host] = routes
			} else {
				delete(fresh.Hosts, host)
			}
		}
	}
	if len(touched) > 0 {
		fresh.Services = maps.Clone(fresh.Services)
		for name := range touched {
			if service := compile(table, name); service != nil {
				fresh.Services[name] = service
			} else {
				delete(fresh.Services, name)
			}
		}
	}
	return &fresh
}

func compileHost(table *Table, host string) []*schema.Route {
	var routes []*schema.Route
	table.Each(RouteKey(host, "/"), func(row *schema.Row) {
		if route := DecodeRow[schema.Route](row); route != nil {
			routes = append(routes, route)
		}
	})
	sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	return routes
}

func compile(table *Table, name string) *Service {
	service := &Service{Name: name, Assignments: map[string]map[string]*schema.FailoverAssignment{}, Entities: map[string]*schema.Entity{}, Slots: map[uint32]*schema.ShardSlot{}}
	prefix := ServicePrefix(name)
	isThere := false
	table.Each(prefix, func(row *schema.Row) {
		isThere = true
		kind, _, _ := strings.Cut(strings.TrimPrefix(row.Key, prefix), "/")
		switch kind {
		case "entry":
			if entry := DecodeRow[schema.Entry](row); entry != nil {
				service.Entries = append(service.Entries, entry)
			}
		case "standing":
			if assignment := DecodeRow[schema.FailoverAssignment](row); assignment != nil {
				if service.Assignments[assignment.Path] == nil {
					service.Assignments[assignment.Path] = map[string]*schema.FailoverAssignment{}
				}
				service.Assignments[assignment.Path][assignment.Region] = assignment
			}
		case "entity":
			if entity := DecodeRow[schema.Entity](row); entity != nil {
				service.Entities[entity.Path] = entity
			}
		case "backend":
			if backend := DecodeRow[schema.Backend](row); backend != nil {
				service.Backends = append(service.Backends, backend)
			}
		case "policy":
			service.Policy = DecodeRow[schema.ServicePolicy](row)
		case "span":
			if span := DecodeRow[schema.ShardRange](row); span != nil {
				service.Spans = append(service.Spans, span)
			}
		case "slot":
			if slot := DecodeRow[schema.ShardSlot](row); slot != nil {
				service.Slots[slot.Slot] = slot
			}
		}
	})
	if !isThere {
		return nil
	}
	service.isSorted = slices.IsSortedFunc(service.Backends, func(a, b *schema.Backend) int { return strings.Compare(a.Instance, b.Instance) })
	sort.SliceStable(service.Entries, func(a, b int) bool { return len(service.Entries[a].Path) > len(service.Entries[b].Path) })
	return service
}

// Compile makes a view of a whole table.
func Compile(table *Table) *View { return NewView().With(table, table.Rows(All)) }

// Weigh is the rendezvous weight of some names, the same on every node.
func Weigh(parts ...string) uint64 {
	sum := fnv.New64a()
	for _, part := range parts {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	x := sum.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

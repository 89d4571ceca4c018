package store

import (
	"maps"
	"sort"
	"strings"

	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// View is the compiled form of a table, on which requests are decided. It is never changed once it is published: With makes
// a new one, which shares what has not changed.
type View struct {
	// Version is the table's version.
	Version raft.Index
	// System is the system's id, or "".
	System string
	// Head and Limits are never nil.
	Head        *schema.CatalogHead
	Limits      *schema.Limits
	Nodes       map[string]*schema.Node
	Regions     map[string]*schema.Region
	Zones       map[string]*schema.Zone
	ReplicaSets map[string]*schema.ReplicaSet
	Services    map[string]*Service
	Groups      map[string]*schema.Group
	// Hosts are the routes by host, the longest prefix first.
	Hosts map[string][]*schema.Route
	// DefaultAssignments are the failover assignments of regions.
	DefaultAssignments map[string]*schema.FailoverAssignment
	// FleetVersion is the protocol version that the fleet uses.
	FleetVersion protocolversion.Version
}

// NewView makes the view of an empty table.
func NewView() *View {
	return &View{
		Head:               &schema.CatalogHead{},
		Limits:             &schema.Limits{},
		Nodes:              map[string]*schema.Node{},
		Regions:            map[string]*schema.Region{},
		Zones:              map[string]*schema.Zone{},
		ReplicaSets:        map[string]*schema.ReplicaSet{},
		Services:           map[string]*Service{},
		Groups:             map[string]*schema.Group{},
		Hosts:              map[string][]*schema.Route{},
		DefaultAssignments: map[string]*schema.FailoverAssignment{},
		FleetVersion:       protocolversion.First,
	}
}

// Compile makes the view of a whole table.
func Compile(table *Table) *View { return NewView().With(table, table.Rows(AllPrefixes)) }

// Route returns the route of a host with the longest prefix that a path begins with, or nil.
func (v *View) Route(host, path string) *schema.Route {
	for _, route := range v.Hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// With returns the view of a table in which these rows have changed since this view; tombstones are deleted rows.
func (v *View) With(table *Table, changed []*schema.Row) *View {
	update := newViewUpdate(v, table)
	for _, row := range changed {
		update.addRow(row)
	}
	update.compileHosts()
	update.compileServices()
	return &update.view
}

// viewUpdate is a view that is being made of an earlier one. Maps are copied before their first change.
type viewUpdate struct {
	view  View
	table *Table
	// isCopied says for which kinds of rows the view has a map of its own.
	isCopied map[string]bool
	// hosts and services have changed rows and are compiled anew from the table.
	hosts, services map[string]bool
}

func newViewUpdate(former *View, table *Table) *viewUpdate {
	update := &viewUpdate{
		view:     *former,
		table:    table,
		isCopied: map[string]bool{},
		hosts:    map[string]bool{},
		services: map[string]bool{},
	}
	update.view.Version = table.Version()
	return update
}

func (u *viewUpdate) addRow(row *schema.Row) {
	kind, name, _ := strings.Cut(row.Key, "/")
	view := &u.view
	switch kind {
	case kindNode:
		setRow(u, kind, &view.Nodes, name, DecodeRow[schema.Node](row))
	case kindRegion:
		setRow(u, kind, &view.Regions, name, DecodeRow[schema.Region](row))
	case kindZone:
		setRow(u, kind, &view.Zones, name, DecodeRow[schema.Zone](row))
	case kindReplicaSet:
		setRow(u, kind, &view.ReplicaSets, name, DecodeRow[schema.ReplicaSet](row))
	case kindGroup:
		setRow(u, kind, &view.Groups, name, DecodeRow[schema.Group](row))
	case kindDefaultAssignment:
		setRow(u, kind, &view.DefaultAssignments, name, DecodeRow[schema.FailoverAssignment](row))
	case kindRoute:
		host, _, _ := strings.Cut(name, "/")
		u.hosts[host] = true
	case kindService:
		service, _, _ := strings.Cut(name, "/")
		u.services[service] = true
	case kindLimits:
		if limits := DecodeRow[schema.Limits](row); limits != nil {
			view.Limits = limits
		}
	case kindSystem:
		view.System = string(row.Value)
	case kindCatalog:
		u.addCatalogRow(row)
	}
}

func (u *viewUpdate) addCatalogRow(row *schema.Row) {
	switch row.Key {
	case FleetVersionKey:
		u.view.FleetVersion = protocolversion.InUse(DecodeRow[schema.FleetVersion](row).GetVersion())
	case CatalogHeadKey:
		if head := DecodeRow[schema.CatalogHead](row); head != nil {
			u.view.Head = head
		}
	}
}

// setRow puts a value into a view's map of a kind, or deletes it where the value is nil.
func setRow[T any](u *viewUpdate, kind string, values *map[string]*T, name string, value *T) {
	if !u.isCopied[kind] {
		*values = maps.Clone(*values)
		u.isCopied[kind] = true
	}
	if value == nil {
		delete(*values, name)
		return
	}
	(*values)[name] = value
}

func (u *viewUpdate) compileHosts() {
	if len(u.hosts) == 0 {
		return
	}
	u.view.Hosts = maps.Clone(u.view.Hosts)
	for host := range u.hosts {
		if routes := compileHost(u.table, host); len(routes) > 0 {
			u.view.Hosts[host] = routes
		} else {
			delete(u.view.Hosts, host)
		}
	}
}

func (u *viewUpdate) compileServices() {
	if len(u.services) == 0 {
		return
	}
	u.view.Services = maps.Clone(u.view.Services)
	for name := range u.services {
		if service := compileService(u.table, name); service != nil {
			u.view.Services[name] = service
		} else {
			delete(u.view.Services, name)
		}
	}
}

// compileHost returns the routes of a host, the longest prefix first.
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

package adminapi

import (
	"slices"
	"strings"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// addRouted adds what a node of a fleet of routes knows: services, groups, key ranges and failover assignments.
func (s *Server) addRouted(status *Status, view *store.View) {
	status.Routed = &RoutedStatus{}
	routesTo := status.Routed.countRoutes(view)
	s.addRoutedAssignments(status, view)
	for _, service := range view.Services {
		status.Routed.addService(service, routesTo[service.Name])
	}
	for _, group := range view.Groups {
		status.Routed.Groups = append(status.Routed.Groups, GroupStatus{group.Name, group.Region, group.Zones, group.Residue})
	}
	status.Routed.sort()
}

// countRoutes counts all routes, and gives how many lead to each service.
func (r *RoutedStatus) countRoutes(view *store.View) map[string]int {
	routesTo := map[string]int{}
	for _, routes := range view.Hosts {
		r.Routes += len(routes)
		for _, route := range routes {
			for _, target := range route.Targets {
				if target.Weight > 0 {
					routesTo[target.Service]++
				}
			}
		}
	}
	return routesTo
}

func (s *Server) addRoutedAssignments(status *Status, view *store.View) {
	name := s.numberName(view)
	add := func(row *schema.FailoverAssignment, kind string) {
		status.Assignments = append(status.Assignments, Assignment{
			Service: row.Service,
			Path:    row.Path,
			Kind:    kind,
			Region:  row.Region,
			Active:  name(row.Number),
			Number:  row.Number,
			Reason:  row.Reason,
		})
	}
	for _, row := range view.DefaultAssignments {
		add(row, kindRegion)
	}
	for _, service := range view.Services {
		for _, row := range service.Assignments[""] {
			add(row, kindService)
		}
	}
}

func (r *RoutedStatus) addService(service *store.Service, routes int) {
	summary := ServiceStatus{Name: service.Name, Keyed: service.Policy.GetKeyed(), Routes: routes}
	for _, backend := range service.Backends {
		switch {
		case backend.State == schema.BackendState_BACKEND_DRAINING:
			summary.Draining++
		case backend.Cold:
			summary.Cold++
			summary.Ready++
		default:
			summary.Ready++
		}
	}
	if summary.Keyed {
		summary.Unheld = countUnowned(service)
		for _, span := range service.ShardRanges {
			r.Spans = append(r.Spans, SpanStatus{span.Service, span.First, span.Last, span.Instance, span.Fence, span.Releasing})
		}
	}
	r.Services = append(r.Services, summary)
}

// countUnowned counts the keys that no back end owns.
func countUnowned(service *store.Service) int {
	owned := 0
	for _, span := range service.ShardRanges {
		if span.Instance != "" && !span.Releasing && span.Last >= span.First {
			owned += int(span.Last-span.First) + 1
		}
	}
	return constants.Keys - owned
}

func (r *RoutedStatus) sort() {
	slices.SortFunc(r.Services, func(a, b ServiceStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(r.Groups, func(a, b GroupStatus) int { return int(a.Residue) - int(b.Residue) })
	slices.SortFunc(r.Spans, func(a, b SpanStatus) int {
		if order := strings.Compare(a.Service, b.Service); order != 0 {
			return order
		}
		return int(a.First) - int(b.First)
	})
}

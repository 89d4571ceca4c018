package sharding

import (
	"slices"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// homeRegions says in which regions the routes to one service allow it to be served.
type homeRegions struct {
	// routesTo counts, by region, the routes with home regions that allow it.
	routesTo map[string]int
	// hasFreeRoute is true if a route without home regions leads to the service.
	hasFreeRoute bool
}

func homeRegionsOf(view *store.View) map[string]*homeRegions {
	all := map[string]*homeRegions{}
	for _, routes := range view.Hosts {
		for _, route := range routes {
			for _, target := range route.Targets {
				if target.Weight == 0 {
					continue
				}
				homes := all[target.Service]
				if homes == nil {
					homes = &homeRegions{routesTo: map[string]int{}}
					all[target.Service] = homes
				}
				homes.add(route)
			}
		}
	}
	return all
}

func (h *homeRegions) add(route *schema.Route) {
	for _, region := range route.HomeRegions {
		h.routesTo[region]++
	}
	h.hasFreeRoute = h.hasFreeRoute || len(route.HomeRegions) == 0
}

// listEligible returns the instances that may get shards, sorted; warming ones only if there is no other.
func (p *planner) listEligible() []string {
	var usable []string
	isWarming := map[string]bool{}
	for _, backend := range p.service.Backends {
		if !p.isUsable(backend) {
			continue
		}
		usable = append(usable, backend.Instance)
		isWarming[backend.Instance] = backend.Cold || p.facts.View.Zones[backend.Zone].GetSettling()
	}
	var warm, warming []string
	for _, instance := range p.inHomeRegions(usable) {
		if isWarming[instance] {
			warming = append(warming, instance)
		} else {
			warm = append(warm, instance)
		}
	}
	if len(warm) == 0 {
		warm = warming
	}
	slices.Sort(warm)
	return warm
}

func (p *planner) isUsable(backend *schema.Backend) bool {
	if backend.State != schema.BackendState_BACKEND_READY || backend.Failing || p.manager.ended[backend.Instance] {
		return false
	}
	_, isExcluded := p.state.excludedUntil[backend.Instance]
	return !isExcluded && !p.isInEmptiedZone(backend) && !p.hasSharedAddress(backend)
}

func (p *planner) isInEmptiedZone(backend *schema.Backend) bool {
	zone := p.facts.View.Zones[backend.Zone]
	return zone != nil && zone.Emptied
}

// hasSharedAddress reports whether another back end is listed at the same address, so that one of them must have ended.
func (p *planner) hasSharedAddress(backend *schema.Backend) bool {
	return p.sharesAddress(backend.Instance, backend.Address)
}

func (p *planner) sharesAddress(instance, address string) bool {
	return slices.ContainsFunc(p.manager.listedAt(p.facts.View, address), func(other string) bool {
		return other != instance && !p.manager.ended[other]
	})
}

// inHomeRegions keeps the instances that the most routes with home regions allow. It returns none if only such routes
// lead to the service and none of them allows any of the instances, since they could serve nobody.
func (p *planner) inHomeRegions(instances []string) []string {
	homes := p.manager.homeRegions[p.service.Name]
	if homes == nil || len(homes.routesTo) == 0 {
		return instances
	}
	var kept []string
	most := 0
	for _, instance := range instances {
		count := homes.routesTo[p.regionOf(p.service.Backend(instance))]
		if count > most {
			most = count
			kept = nil
		}
		if count == most && count > 0 {
			kept = append(kept, instance)
		}
	}
	if most == 0 && homes.hasFreeRoute {
		return instances
	}
	return kept
}

func (p *planner) regionOf(backend *schema.Backend) string {
	return p.facts.View.Zones[backend.GetZone()].GetRegion()
}

// isOutsideHomeRegions reports whether fewer routes allow an owner's region than that of the eligible instances.
func (p *planner) isOutsideHomeRegions(backend *schema.Backend) bool {
	homes := p.manager.homeRegions[p.service.Name]
	if homes == nil || len(homes.routesTo) == 0 || len(p.eligible) == 0 {
		return false
	}
	return homes.routesTo[p.regionOf(backend)] < homes.routesTo[p.regionOf(p.service.Backend(p.eligible[0]))]
}

package sharding

import (
	"maps"

	"topazshed/internal/constants"
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

// equal reports whether the same routes are allowed in the same regions.
func (h *homeRegions) equal(other *homeRegions) bool {
	if h == nil || other == nil {
		return h == other
	}
	return h.hasFreeRoute == other.hasFreeRoute && maps.Equal(h.routesTo, other.routesTo)
}

// settleHomes takes the home regions of the newest configuration into force once they have been the same for a while:
// other ones may move every key of the service. The first layout follows them at once.
func (p *planner) settleHomes() {
	newest := p.manager.homeRegions[p.service.Name]
	switch {
	case !p.state.hasHomes || len(p.shards) == 0:
		p.state.hasHomes = true
		p.state.homes = newest
	case newest.equal(p.state.homes):
		p.state.homesChangedAt = 0
	case p.state.homesChangedAt == 0 || !newest.equal(p.state.nextHomes):
		p.state.nextHomes = newest
		p.state.homesChangedAt = p.facts.Now
	case p.facts.Now-p.state.homesChangedAt >= constants.KeyHomesSettle:
		p.state.homes = newest
		p.state.homesChangedAt = 0
	}
}

// inHomeRegions keeps the instances that the most routes with home regions allow. It returns none if only such routes
// lead to the service and none of them allows any of the instances, since they could serve nobody.
func (p *planner) inHomeRegions(instances []string) []string {
	homes := p.state.homes
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

// isOutsideHomeRegions reports whether fewer routes allow an owner's region than that of the eligible instances.
func (p *planner) isOutsideHomeRegions(backend *schema.Backend) bool {
	homes := p.state.homes
	if homes == nil || len(homes.routesTo) == 0 || len(p.eligible) == 0 {
		return false
	}
	return homes.routesTo[p.regionOf(backend)] < homes.routesTo[p.regionOf(p.service.Backend(p.eligible[0]))]
}

// moveHome moves shards into the home regions of the service's routes, some at a time, since it may be all of them.
func (p *planner) moveHome() {
	moving := 0
	for _, s := range p.shards {
		if s.isReleasing || p.isChanging(s) {
			moving++
		}
	}
	for _, s := range p.shards {
		if moving >= constants.MaxKeyHomeMoves {
			return
		}
		backend := p.service.Backend(s.owner)
		if backend == nil || !p.isSettled(s) || !p.isOutsideHomeRegions(backend) {
			continue
		}
		if target := p.lightest(s.owner); target != "" {
			p.moveRange(s, s.keyRange, target, "move keys into home regions")
			moving++
		}
	}
}

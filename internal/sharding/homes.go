package sharding

import (
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// homes are the regions that the routes to one service allow: how many of those with home regions allow each.
type homes struct {
	allowed map[string]int
	isFree  bool
}

func homesOf(view *store.View) map[string]*homes {
	all := map[string]*homes{}
	for _, routes := range view.Hosts {
		for _, route := range routes {
			for _, target := range route.Targets {
				if target.Weight == 0 {
					continue
				}
				h := all[target.Service]
				if h == nil {
					h = &homes{allowed: map[string]int{}}
					all[target.Service] = h
				}
				for _, region := range route.HomeRegions {
					h.allowed[region]++
				}
				h.isFree = h.isFree || len(route.HomeRegions) == 0
			}
		}
	}
	return all
}

// atHome keeps the instances that the most routes with home regions allow; where only such routes lead, others could serve nobody.
func (s *step) atHome(instances []string) []string {
	h := s.g.homes[s.service.Name]
	if h == nil || len(h.allowed) == 0 {
		return instances
	}
	var kept []string
	most := 0
	for _, instance := range instances {
		count := h.allowed[s.regionOf(s.service.Backend(instance))]
		if count > most {
			most, kept = count, nil
		}
		if count == most && count > 0 {
			kept = append(kept, instance)
		}
	}
	if most == 0 && h.isFree {
		return instances
	}
	return kept
}

func (s *step) regionOf(backend *schema.Backend) string {
	return s.f.View.Zones[backend.GetZone()].GetRegion()
}

// isAbroad tells that an owner lies where fewer routes allow it than where an eligible one lies.
func (s *step) isAbroad(backend *schema.Backend) bool {
	h := s.g.homes[s.service.Name]
	if h == nil || len(h.allowed) == 0 || len(s.eligible) == 0 {
		return false
	}
	return h.allowed[s.regionOf(backend)] < h.allowed[s.regionOf(s.service.Backend(s.eligible[0]))]
}

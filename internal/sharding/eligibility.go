package sharding

import (
	"slices"

	"topazshed/internal/schema"
)

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

func (p *planner) regionOf(backend *schema.Backend) string {
	return p.facts.View.Zones[backend.GetZone()].GetRegion()
}

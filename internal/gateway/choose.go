package gateway

import (
	"slices"
	"time"

	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Situation is all that a choice among back ends rests on.
type Situation struct {
	Now     time.Duration
	View    *store.View
	Self    *schema.Node
	Loads   *Loads
	Draw    func(int64) int64
	Route   *schema.Route
	Service string
	Key     uint32
	HasKey  bool
	// Token draws the home region of a request that arrived in another one, so that it stays the same for all its attempts.
	Token string
	// Tried are the instances that get no further attempt.
	Tried []string
	// AreRowsUnconfirmed says that a majority has not confirmed the rows lately. What they give this node of a slow start is void then, since
	// others may have been given it meanwhile.
	AreRowsUnconfirmed bool
}

// Refusal is why no back end may be tried now, as it stands in the body of the response.
type Refusal string

// The refusals of a choice; each says that the request was sent nowhere.
const (
	RefusalNone      Refusal = ""
	RefusalNoService Refusal = "no-service"
	RefusalNoGroup   Refusal = "no-standing"
	RefusalNoKey     Refusal = "no-key"
	RefusalMoving    Refusal = "key-moving"
	RefusalBusy      Refusal = "busy"
	RefusalCold      Refusal = "cold"
	RefusalBudget    Refusal = "retry-budget"
	RefusalNotReady  Refusal = "not-ready"
)

// Choice is the back end to try, or why there is none.
type Choice struct {
	Backend *schema.Backend
	Refusal Refusal
	// IsCold says that the attempt is held of this node's share of a cold back end; see Loads.HoldCold.
	IsCold bool
}

// leastTargetMs bounds from below the latency target that a route may set, in milliseconds.
const leastTargetMs = 100

// targetOf is a route's latency target.
func targetOf(route *schema.Route) time.Duration {
	return time.Duration(max(route.TargetMs, leastTargetMs)) * time.Millisecond
}

// isOpen tells whether a back end may get requests at all.
func isOpen(view *store.View, backend *schema.Backend) bool {
	zone := view.Zones[backend.Zone]
	return zone != nil && !zone.Emptied && backend.State == schema.BackendState_BACKEND_READY
}

// isCold tells whether a back end is warming up.
func isCold(view *store.View, backend *schema.Backend) bool {
	return backend.Cold || view.Zones[backend.Zone].GetSettling()
}

// Choose picks the back end for the next attempt. The owner group of the origin comes first, near before far; what it can't bear goes to
// the active groups of the other allowed regions.
func Choose(s Situation) Choice {
	service := s.View.Services[s.Service]
	if service == nil || len(service.Backends) == 0 {
		return Choice{Refusal: RefusalNoService}
	}
	groups := failover.ActiveGroups(s.View, s.Service, s.Route.HomeRegions, s.Self.Region, s.Token)
	if len(groups) == 0 {
		return Choice{Refusal: RefusalNoGroup}
	}
	if service.Policy.GetKeyed() {
		return s.chooseOwner(service, groups)
	}
	return s.chooseFree(service, groups)
}

// chooseOwner gives the one back end that owns the request's key.
func (s *Situation) chooseOwner(service *store.Service, groups []failover.ActiveGroup) Choice {
	if !s.HasKey {
		return Choice{Refusal: RefusalNoKey}
	}
	backend := s.ownerOf(service)
	if backend == nil {
		return Choice{Refusal: RefusalMoving}
	}
	if !s.isAllowed(groups, s.View.Zones[backend.Zone].Region) {
		return Choice{Refusal: RefusalMoving}
	}
	reading := s.Loads.Read(s.Now, backend.Instance)
	if reading.IsResting {
		return Choice{Refusal: RefusalBusy}
	}
	isColdOwner := isCold(s.View, backend)
	if s.isColdUnknown(reading, isColdOwner) {
		return Choice{Refusal: RefusalCold}
	}
	if isColdOwner && s.View.Nodes[s.Self.Id] == nil {
		// The nodes that are in the rows share it.
		return Choice{Refusal: RefusalCold}
	}
	if isColdOwner && !s.Loads.HoldCold(s.Now, backend.Instance, service.Policy, len(s.View.Nodes)) {
		return Choice{Refusal: RefusalCold}
	}
	return Choice{Backend: backend, IsCold: isColdOwner}
}

// isColdUnknown tells whether a back end is in slow start, by the rows or its own word, and no confirmed row gives this node a share of it.
func (s *Situation) isColdUnknown(reading Reading, isColdByRows bool) bool {
	if isColdByRows {
		return s.AreRowsUnconfirmed
	}
	return reading.SaysCold
}

// ownerOf is the untried, open back end that owns the request's key, or nil.
func (s *Situation) ownerOf(service *store.Service) *schema.Backend {
	shard := service.ShardRange(s.Key)
	if shard == nil || !owns(service, s.Key, shard.Instance) || slices.Contains(s.Tried, shard.Instance) {
		return nil
	}
	backend := service.Backend(shard.Instance)
	if backend == nil || !isOpen(s.View, backend) {
		return nil
	}
	return backend
}

// owns tells whether a back end owns a key and goes on to.
func owns(service *store.Service, key uint32, instance string) bool {
	shard := service.ShardRange(key)
	return shard != nil && !shard.Releasing && shard.Instance == instance
}

// isAllowed tells whether a request may go to a region: one with an active group, or any unless the route names home regions.
func (s *Situation) isAllowed(groups []failover.ActiveGroup, region string) bool {
	if slices.ContainsFunc(groups, func(g failover.ActiveGroup) bool { return g.Region == region }) {
		return true
	}
	return len(s.Route.HomeRegions) == 0 || slices.Contains(s.Route.HomeRegions, region)
}

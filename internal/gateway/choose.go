package gateway

import (
	"cmp"
	"slices"
	"time"

	"topazshed/internal/constants"
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
	Token   string
	Tried   []string
}

// Refusal is why no back end may be tried now.
type Refusal string

// The refusals of a choice; each says that the request was sent nowhere.
const (
	RefusalNone      Refusal = ""
	RefusalNoService Refusal = "no-service"
	RefusalNoPlace   Refusal = "no-standing"
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
	Place   failover.ActiveGroup
	Refusal Refusal
	// IsCold says that the attempt was counted for a cold back end.
	IsCold bool
}

type candidate struct {
	backend *schema.Backend
	place   failover.ActiveGroup
	reading Reading
	cost    float64
	isCold  bool
	outTo   time.Duration
}

func isOpen(view *store.View, backend *schema.Backend) bool {
	zone := view.Zones[backend.Zone]
	return zone != nil && !zone.Emptied && backend.State == schema.BackendState_BACKEND_READY
}

func isCold(view *store.View, backend *schema.Backend) bool {
	return backend.Cold || view.Zones[backend.Zone].GetSettling()
}

// Choose picks the back end for the next attempt. The owner group of the origin comes first, near before far;
// what it can't bear goes to the active groups of the other allowed regions.
func Choose(s Situation) Choice {
	service := s.View.Services[s.Service]
	if service == nil || len(service.Backends) == 0 {
		return Choice{Refusal: RefusalNoService}
	}
	places := failover.ActiveGroups(s.View, s.Service, s.Route.HomeRegions, s.Self.Region, s.Token)
	if len(places) == 0 {
		return Choice{Refusal: RefusalNoPlace}
	}
	if service.Policy.GetKeyed() {
		return s.chooseOwner(service, places)
	}
	return s.chooseFree(service, places)
}

func (s Situation) chooseOwner(service *store.Service, places []failover.ActiveGroup) Choice {
	if !s.HasKey {
		return Choice{Refusal: RefusalNoKey}
	}
	span := service.Span(s.Key)
	if span == nil || span.Releasing || slices.Contains(s.Tried, span.Instance) {
		return Choice{Refusal: RefusalMoving}
	}
	backend := service.Backend(span.Instance)
	if backend == nil || !isOpen(s.View, backend) {
		return Choice{Refusal: RefusalMoving}
	}
	region := s.View.Zones[backend.Zone].Region
	at := slices.IndexFunc(places, func(p failover.ActiveGroup) bool { return p.Region == region })
	if at < 0 {
		if len(s.Route.HomeRegions) > 0 && !slices.Contains(s.Route.HomeRegions, region) {
			return Choice{Refusal: RefusalMoving}
		}
		at = 0
	}
	if s.Loads.Read(s.Now, backend.Instance).IsResting {
		return Choice{Refusal: RefusalBusy}
	}
	isColdOne := isCold(s.View, backend)
	if isColdOne && !s.Loads.MayCold(s.Now, backend.Instance, service.Policy, len(s.View.Nodes)) {
		return Choice{Refusal: RefusalCold}
	}
	return Choice{Backend: backend, Place: places[at], IsCold: isColdOne}
}

// strain is how much longer a back end takes for what it seems to have in flight: the other nodes near it are taken to send as much as this one.
func (s Situation) strain(c candidate) float64 {
	sharers := 0
	for _, node := range s.View.Nodes {
		if node.Zone == s.Self.Zone && node.State == schema.NodeState_NODE_READY {
			sharers++
		}
	}
	use := float64(c.reading.InFlight*max(1, sharers)) / float64(max(1, c.backend.Slots))
	return 1 + constants.StrainBelow*use + constants.StrainAbove*max(0, use-constants.StrainFrom)
}

func (s Situation) chooseFree(service *store.Service, places []failover.ActiveGroup) Choice {
	refusal := RefusalBusy
	var best *candidate
	aim := float64(time.Duration(max(s.Route.TargetMs, 100)) * time.Millisecond)
	var resting, out []candidate
	open := 0
	for rank, place := range places {
		for _, backend := range service.Backends {
			if !isOpen(s.View, backend) || !place.HasZone(backend.Zone) || slices.Contains(s.Tried, backend.Instance) {
				continue
			}
			c := candidate{backend: backend, place: place, reading: s.Loads.Read(s.Now, backend.Instance), isCold: isCold(s.View, backend)}
			delay := float64(c.reading.Delay)
			if delay == 0 {
				delay = aim * constants.UnknownDelay
			}
			c.cost = delay * s.strain(c)
			switch {
			case rank > 0:
				c.cost += aim * constants.RegionPenalty * float64(rank)
			case backend.Zone != s.Self.Zone:
				c.cost += aim * constants.ZonePenalty
			}
			c.cost *= 1 + float64(s.Draw(1000))/1000*constants.CostJitter
			open++
			if c.reading.IsResting {
				resting = append(resting, c)
				continue
			}
			if backend.Failing && !c.isCold && !slices.Contains(backend.SlowStartSenders, s.Self.Id) {
				c.outTo = s.Now + constants.OutlierOutMost
				out = append(out, c)
				continue
			}
			if standing, until := s.Loads.OutlierStatus(s.Now, s.Service, backend.Instance); standing == OutlierEjected && !c.isCold {
				c.outTo = until
				out = append(out, c)
				continue
			}
			if c.isCold {
				if len(backend.SlowStartSenders) == 0 || !slices.Contains(backend.SlowStartSenders, s.Self.Id) {
					refusal = RefusalCold
					continue
				}
				c.cost *= constants.ColdPenalty
			}
			if best == nil || c.cost < best.cost {
				if c.isCold && !s.Loads.MayCold(s.Now, backend.Instance, service.Policy, len(backend.SlowStartSenders)) {
					refusal = RefusalCold
					continue
				}
				best = &c
			}
		}
	}
	// So many may be out and no more: above that, those whose time is over first are used, dearer than the sound ones.
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.outTo, b.outTo) })
	for i := range max(0, len(out)-max(1, open*constants.OutlierFloor/100)) {
		if out[i].cost *= constants.OutlierPenalty; best == nil || out[i].cost < best.cost {
			best = &out[i]
		}
	}
	if best == nil {
		resting = append(out, resting...)
		for i := range resting {
			if c := &resting[i]; !c.isCold && (best == nil || c.cost < best.cost) {
				best = c
			}
		}
	}
	if best == nil {
		return Choice{Refusal: refusal}
	}
	return Choice{Backend: best.backend, Place: best.place, IsCold: best.isCold}
}

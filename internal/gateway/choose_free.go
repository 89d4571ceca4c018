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

// candidate is a back end that may be chosen, and what it would cost: about the time that the request would take there, in nanoseconds.
type candidate struct {
	backend *schema.Backend
	cost    float64
	isCold  bool
	// ejectedUntil is when an ejected one may be used again.
	ejectedUntil time.Duration
}

// costDraws is how many different random parts of the jitter there are.
const costDraws = 1000

// freeSearch looks for the cheapest back end of a service without keys.
type freeSearch struct {
	// Situation is a copy: behind a pointer it would be allocated for each choice.
	Situation
	service *store.Service
	target  float64
	// sharers are the ready nodes in this one's zone.
	sharers int

	best    candidate
	refusal Refusal
	// open counts the untried back ends that may get requests.
	open    int
	resting []candidate
	ejected []candidate
}

// chooseFree searches again where other requests have taken the room at the cold back end that was found.
func (s *Situation) chooseFree(service *store.Service, groups []failover.ActiveGroup) Choice {
	for range constants.MaxSearches {
		choice := s.searchFree(service, groups)
		if !choice.IsCold || s.Loads.HoldCold(s.Now, choice.Backend.Instance, service.Policy, len(choice.Backend.SlowStartSenders)) {
			return choice
		}
	}
	return Choice{Refusal: RefusalCold}
}

func (s *Situation) searchFree(service *store.Service, groups []failover.ActiveGroup) Choice {
	search := freeSearch{
		Situation: *s,
		service:   service,
		target:    float64(targetOf(s.Route)),
		sharers:   s.countSharers(),
		refusal:   RefusalBusy,
	}
	for rank, group := range groups {
		for _, backend := range service.Backends {
			if isOpen(s.View, backend) && group.HasZone(backend.Zone) && !slices.Contains(s.Tried, backend.Instance) {
				search.consider(rank, backend)
			}
		}
	}
	search.readmitEjected()
	if search.best.backend == nil {
		search.fallBack()
	}
	if search.best.backend == nil {
		return Choice{Refusal: search.refusal}
	}
	return Choice{Backend: search.best.backend, IsCold: search.best.isCold}
}

// countSharers counts the ready nodes of this node's zone; they are taken to send as much as this one to the back ends near them.
func (s *Situation) countSharers() int {
	sharers := 0
	for _, node := range s.View.Nodes {
		if node.Zone == s.Self.Zone && node.State == schema.NodeState_NODE_READY {
			sharers++
		}
	}
	return max(1, sharers)
}

// consider weighs one open, untried back end. Its order of draws is part of a seed's history.
func (f *freeSearch) consider(rank int, backend *schema.Backend) {
	reading := f.Loads.Read(f.Now, backend.Instance)
	c := candidate{backend: backend, isCold: isCold(f.View, backend)}
	c.cost = f.cost(rank, backend, reading)
	f.open++
	if f.isColdUnknown(reading, c.isCold) {
		f.refusal = RefusalCold
		return
	}
	if reading.IsResting {
		f.resting = append(f.resting, c)
		return
	}
	if until, isEjected := f.ejectedUntil(backend); isEjected && !c.isCold {
		c.ejectedUntil = until
		f.ejected = append(f.ejected, c)
		return
	}
	if c.isCold {
		if !slices.Contains(backend.SlowStartSenders, f.Self.Id) {
			f.refusal = RefusalCold
			return
		}
		c.cost *= constants.ColdPenalty
	}
	if !f.isBetter(c) {
		return
	}
	if c.isCold && !f.Loads.HasColdRoom(f.Now, backend.Instance, f.service.Policy, len(backend.SlowStartSenders)) {
		f.refusal = RefusalCold
		return
	}
	f.best = c
}

func (f *freeSearch) isBetter(c candidate) bool {
	return f.best.backend == nil || c.cost < f.best.cost
}

// cost is a back end's delay under its load, with penalties for distance and some jitter.
func (f *freeSearch) cost(rank int, backend *schema.Backend, reading Reading) float64 {
	delay := float64(reading.Delay)
	if delay == 0 {
		delay = f.target * constants.UnknownDelay
	}
	cost := delay * f.strain(backend, reading)
	switch {
	case rank > 0:
		cost += f.target * constants.RegionPenalty * float64(rank)
	case backend.Zone != f.Self.Zone:
		cost += f.target * constants.ZonePenalty
	}
	return cost * (1 + float64(f.Draw(costDraws))/costDraws*constants.CostJitter)
}

// strain is the factor by which a back end takes longer for what it seems to have in flight from this node and its sharers.
func (f *freeSearch) strain(backend *schema.Backend, reading Reading) float64 {
	use := float64(reading.InFlight*f.sharers) / float64(max(1, backend.Slots))
	return 1 + constants.StrainBelow*use + constants.StrainAbove*max(0, use-constants.StrainFrom)
}

// ejectedUntil tells whether the fleet or this node ejects a back end, and until when. A few nodes go on trying one that the fleet ejects.
func (f *freeSearch) ejectedUntil(backend *schema.Backend) (until time.Duration, isEjected bool) {
	if backend.Failing && !slices.Contains(backend.SlowStartSenders, f.Self.Id) {
		return f.Now + constants.MaxOutlierOut, true
	}
	status, until := f.Loads.OutlierStatus(f.Now, f.Service, backend.Instance)
	return until, status == OutlierEjected
}

// readmitEjected lets back ends take part that are ejected beyond the share that may be: those whose time is over first, at a higher cost.
func (f *freeSearch) readmitEjected() {
	slices.SortFunc(f.ejected, func(a, b candidate) int { return cmp.Compare(a.ejectedUntil, b.ejectedUntil) })
	mostEjected := max(1, f.open*constants.OutlierFloor/100)
	for i := range max(0, len(f.ejected)-mostEjected) {
		f.ejected[i].cost *= constants.OutlierPenalty
		if f.isBetter(f.ejected[i]) {
			f.best = f.ejected[i]
		}
	}
}

// fallBack takes the cheapest back end that is ejected or rests, since there is no other.
func (f *freeSearch) fallBack() {
	for _, c := range append(f.ejected, f.resting...) {
		if !c.isCold && f.isBetter(c) {
			f.best = c
		}
	}
}

package gateway

import (
	"sync"
	"time"

	"topazshed/internal/constants"
)

type gauge struct {
	delay float64
	count int
	at    time.Duration
}

func (g *gauge) note(now time.Duration, took, weight float64) {
	if g.count == 0 || now-g.at > constants.PressureFresh {
		g.delay, g.count = took, 0
	}
	g.delay += weight * (took - g.delay)
	g.count++
	g.at = now
}

func (g *gauge) isFresh(now time.Duration) bool {
	return g != nil && g.count >= constants.PressureLeast && now-g.at <= constants.PressureFresh
}

// Pressure tells how long back ends take now, waits in their queues included: what a new request must expect.
type Pressure struct {
	lock      sync.Mutex
	instances map[string]*gauge
	services  map[string]*gauge
}

// NewPressure knows nothing yet.
func NewPressure() *Pressure {
	return &Pressure{instances: map[string]*gauge{}, services: map[string]*gauge{}}
}

// Note counts an attempt that ended after a while, with an answer or without.
func (p *Pressure) Note(now time.Duration, service, instance string, took time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, of := range []struct {
		gauges map[string]*gauge
		name   string
		weight float64
	}{{p.instances, instance, constants.PressureWeight}, {p.services, service, constants.PressureServiceWeight}} {
		g := of.gauges[of.name]
		if g == nil {
			g = &gauge{}
			of.gauges[of.name] = g
		}
		g.note(now, float64(took), of.weight)
	}
}

// Expect is how long a back end takes now; that of its whole service if it was seldom asked of late, and 0 if nothing is known.
func (p *Pressure) Expect(now time.Duration, service, instance string) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, g := range []*gauge{p.instances[instance], p.services[service]} {
		if g.isFresh(now) {
			return time.Duration(g.delay)
		}
	}
	return 0
}

// Keep forgets the back ends that are no longer known.
func (p *Pressure) Keep(isKnown func(id string) bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for id := range p.instances {
		if !isKnown(id) {
			delete(p.instances, id)
		}
	}
}

// Shed is the share of new requests, in parts of one, to be refused at once, because what they must expect is too long for their aim.
// The lowest rank (a high number) is shed first; who comes back after a refusal is shed last of its rank.
func Shed(expect, aim time.Duration, priority uint32, isBack bool) float64 {
	above := constants.ShedRanks - min(int(priority), constants.ShedRanks)
	share := constants.ShedSlope * (float64(expect)/float64(aim) - constants.ShedFrom - constants.ShedRank*float64(above))
	share = max(0, min(share, constants.ShedMost))
	if isBack {
		return share * share
	}
	return share
}

// ComeBack spreads the return of refused callers evenly from a half of a mean time to one and a half of it,
// within what they heed: a part of the time that they have left.
func ComeBack(mean, left time.Duration, draw func(int64) int64) time.Duration {
	mean = max(constants.RefuseLeast, min(mean, time.Duration(float64(left)*constants.RefuseHeeded/1.5)))
	return mean/2 + time.Duration(draw(int64(mean)))
}

package gateway

import (
	"sync"
	"time"

	"topazshed/internal/constants"
)

// movingDelay is a moving average of the times that attempts took, in nanoseconds.
type movingDelay struct {
	delay float64
	count int
	at    time.Duration
}

func (d *movingDelay) note(now time.Duration, took, weight float64) {
	if d.count == 0 || now-d.at > constants.PressureFresh {
		d.delay = took
		d.count = 0
	}
	d.delay += weight * (took - d.delay)
	d.count++
	d.at = now
}

func (d *movingDelay) isFresh(now time.Duration) bool {
	return d != nil && d.count >= constants.MinPressure && now-d.at <= constants.PressureFresh
}

// Pressure tells how long back ends take now, waits in their queues included: what a new request must expect. Its methods may be called
// from any goroutine.
type Pressure struct {
	lock      sync.Mutex
	instances map[string]*movingDelay
	services  map[string]*movingDelay
}

// NewPressure makes one that knows nothing yet.
func NewPressure() *Pressure {
	return &Pressure{instances: map[string]*movingDelay{}, services: map[string]*movingDelay{}}
}

// Note counts an attempt that ended after a while, with a response or without.
func (p *Pressure) Note(now time.Duration, service, instance string, took time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delayOf(p.instances, instance).note(now, float64(took), constants.PressureWeight)
	delayOf(p.services, service).note(now, float64(took), constants.PressureServiceWeight)
}

func delayOf(delays map[string]*movingDelay, name string) *movingDelay {
	d := delays[name]
	if d == nil {
		d = &movingDelay{}
		delays[name] = d
	}
	return d
}

// Expect is how long a back end takes now; that of its whole service if few of its attempts ended lately, and 0 if nothing is known.
func (p *Pressure) Expect(now time.Duration, service, instance string) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	if d := p.instances[instance]; d.isFresh(now) {
		return time.Duration(d.delay)
	}
	if d := p.services[service]; d.isFresh(now) {
		return time.Duration(d.delay)
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

// Shed is the share of new requests, in parts of one, to be refused at once, because what they must expect is too long for their latency
// target. The lowest priority (a high number) is shed first; a caller that came back after a refusal is shed last of its priority.
func Shed(expect, target time.Duration, priority uint32, isBack bool) float64 {
	above := constants.ShedRanks - min(int(priority), constants.ShedRanks)
	share := constants.ShedSlope * (float64(expect)/float64(target) - constants.ShedFrom - constants.ShedRank*float64(above))
	share = max(0, min(share, constants.MaxShed))
	if isBack {
		return share * share
	}
	return share
}

// ComeBack is when a refused caller may come back: drawn evenly from a half of a mean time to one and a half of it, so that callers don't
// return together, and within the part of the time that the caller has left which callers heed.
func ComeBack(mean, left time.Duration, draw func(int64) int64) time.Duration {
	heeded := time.Duration(float64(left) * constants.RefuseHeeded / 1.5)
	mean = max(constants.MinRefuse, min(mean, heeded))
	return mean/2 + time.Duration(draw(int64(mean)))
}

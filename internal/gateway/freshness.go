package gateway

import (
	"time"

	"topazshed/internal/constants"
)

// idleBound bounds how long a service's connections may lie idle.
type idleBound struct {
	// bound applies until a time; after that it is lifted in steps.
	bound time.Duration
	until time.Duration
	// keptFor is how long it was kept the last time.
	keptFor time.Duration
}

// mostSteps bounds how often a bound doubles while it is lifted.
const mostSteps = 16

// Freshness is how long a connection may have lain idle and still be used. Back ends may drop idle connections without notice; what is sent
// next on one is reset, and may have run. Each such reset bounds the idle time for a while. It is pure and holds no lock.
type Freshness struct {
	bounds map[string]*idleBound
}

// NewFreshness makes one without bounds.
func NewFreshness() *Freshness { return &Freshness{bounds: map[string]*idleBound{}} }

// Forgot notes that a connection to a service that had lain idle so long was reset at once, and tells whether its back end had dropped it.
// If the bound in force would not have let it through, it had not: a back end that resets what it should answer is not taken for one that
// drops idle connections.
func (f *Freshness) Forgot(now time.Duration, service string, idle time.Duration) bool {
	if idle <= constants.MinFresh || idle > f.Bound(now, service, true) {
		return false
	}
	b := f.bounds[service]
	if b == nil {
		b = &idleBound{keptFor: constants.FreshKept / 2}
		f.bounds[service] = b
	}
	b.keptFor = min(2*b.keptFor, constants.MaxFreshKept)
	b.bound = constants.MinFresh
	b.until = now + b.keptFor
	return true
}

// Bound is the longest idle time of a connection that may be used for a service now. A request that may not be repeated heeds the bounds of
// all services, since it can't be sent again. A bound that is over is lifted in steps, each twice as long as the one before.
func (f *Freshness) Bound(now time.Duration, service string, isRepeatable bool) time.Duration {
	bound := constants.IdleDefault
	for name, b := range f.bounds {
		if isRepeatable && name != service {
			continue
		}
		allowed := b.bound
		if now > b.until {
			steps := min(int((now-b.until)/constants.FreshStep)+1, mostSteps)
			allowed <<= steps
		}
		if allowed >= constants.IdleDefault && now-b.until > constants.MaxFreshKept {
			delete(f.bounds, name)
			continue
		}
		bound = min(bound, allowed)
	}
	return bound
}

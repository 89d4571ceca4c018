package gateway

import (
	"time"

	"topazshed/internal/constants"
)

type lesson struct {
	bound time.Duration
	until time.Duration
	kept  time.Duration
}

// Freshness is how long a connection may have lain idle and still be used, as forgotten ones taught it; it is a pure state machine.
// Back ends may forget idle connections without notice, and what is sent next on one is reset: that may have run.
type Freshness struct {
	lessons map[string]*lesson
}

// NewFreshness makes one that was taught nothing yet.
func NewFreshness() *Freshness { return &Freshness{lessons: map[string]*lesson{}} }

// Forgot notes that a connection to a service that had lain idle so long was reset at once, and tells whether it was a forgotten one: one that
// the lessons in force would not have let through is none, so that a back end which resets what it should answer is not taken for a forgetful one.
func (f *Freshness) Forgot(now time.Duration, service string, idle time.Duration) bool {
	if idle <= constants.FreshLeast || idle > f.Bound(now, service, true) {
		return false
	}
	l := f.lessons[service]
	if l == nil {
		l = &lesson{kept: constants.FreshKept / 2}
		f.lessons[service] = l
	}
	l.kept = min(2*l.kept, constants.FreshKeptMost)
	l.bound, l.until = constants.FreshLeast, now+l.kept
	return true
}

// Bound is the longest idle time of a connection that may be used for a service now. What may not be repeated heeds the lessons of all services,
// since it can't be sent again. A lesson that is over is forgotten in steps, each twice as long as the one before.
func (f *Freshness) Bound(now time.Duration, service string, isRepeatable bool) time.Duration {
	bound := constants.IdleDefault
	for of, l := range f.lessons {
		if isRepeatable && of != service {
			continue
		}
		allowed := l.bound
		if now > l.until {
			steps := min(int((now-l.until)/constants.FreshStep)+1, 16)
			allowed <<= steps
		}
		if allowed >= constants.IdleDefault && now-l.until > constants.FreshKeptMost {
			delete(f.lessons, of)
			continue
		}
		bound = min(bound, allowed)
	}
	return bound
}

package proxy

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"topazshed/internal/budget"
	"topazshed/internal/constants"
	"topazshed/internal/stripe"
)

// loadStripe holds the back ends, proxies and services whose names fall on one stripe.
type loadStripe struct {
	lock     sync.Mutex
	inFlight map[string]int
	// failures counts the failed health checks and attempts in a row.
	failures map[string]int
	// down are the instances that refused a connection, and returnedAt when those that were down answered again.
	down       map[string]bool
	returnedAt map[string]time.Duration
	ramps      map[string]*ramp
	budgets    budget.Buckets
	// keyInFlight counts attempts by service and key, serviceInFlight by service.
	keyInFlight     map[string]int
	serviceInFlight map[string]int
}

// Loads are a proxy's tables: attempts in flight, health of back ends, slow starts, repeat budgets and keyed attempts. Its methods may be
// called from any goroutine; each locks one stripe, or the keyed attempts, and never two at once.
type Loads struct {
	stripes [stripe.Count]loadStripe
	now     func() time.Duration
	keyed   keyedAttempts
}

// NewLoads makes empty tables that read the time from a monotonic clock.
func NewLoads(now func() time.Duration) *Loads {
	l := &Loads{now: now, keyed: keyedAttempts{attempts: map[uint64]keyedAttempt{}}}
	for i := range l.stripes {
		s := &l.stripes[i]
		s.inFlight = map[string]int{}
		s.failures = map[string]int{}
		s.down = map[string]bool{}
		s.returnedAt = map[string]time.Duration{}
		s.ramps = map[string]*ramp{}
		s.budgets = budget.Buckets{}
		s.keyInFlight = map[string]int{}
		s.serviceInFlight = map[string]int{}
	}
	return l
}

// lockStripe locks the stripe of a name; the caller unlocks it.
func (l *Loads) lockStripe(name string) *loadStripe {
	s := &l.stripes[stripe.Of(name)]
	s.lock.Lock()
	return s
}

// InFlight is the count of attempts that this proxy has at an instance.
func (l *Loads) InFlight(instance string) int {
	s := l.lockStripe(instance)
	defer s.lock.Unlock()
	return s.inFlight[instance]
}

// Begin counts an attempt, End takes it off.
func (l *Loads) Begin(instance string) {
	s := l.lockStripe(instance)
	defer s.lock.Unlock()
	s.inFlight[instance]++
}

// End takes an attempt off.
func (l *Loads) End(instance string) {
	s := l.lockStripe(instance)
	defer s.lock.Unlock()
	s.inFlight[instance]--
	if s.inFlight[instance] <= 0 {
		delete(s.inFlight, instance)
	}
}

// Report takes the result of a health check or an attempt; an instance that was down and answers again is taken as cold by this proxy.
func (l *Loads) Report(instance string, err error) {
	s := l.lockStripe(instance)
	defer s.lock.Unlock()
	if err == nil {
		delete(s.failures, instance)
		if s.down[instance] {
			delete(s.down, instance)
			s.returnedAt[instance] = l.now()
		}
		return
	}
	s.failures[instance]++
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.down[instance] = true
		delete(s.ramps, instance)
	}
}

// IsBad tells whether the last health checks of an instance failed.
func (l *Loads) IsBad(instance string) bool {
	s := l.lockStripe(instance)
	defer s.lock.Unlock()
	return s.failures[instance] >= constants.HealthCheckFailures
}

// serviceKey is the name of a service's key in keyInFlight.
func serviceKey(service, key string) string { return service + "\x00" + key }

// KeyInFlight gives the attempts in flight of one key and of its whole service.
func (l *Loads) KeyInFlight(service, key string) (ofKey, ofService int) {
	s := l.lockStripe(service)
	defer s.lock.Unlock()
	return s.keyInFlight[serviceKey(service, key)], s.serviceInFlight[service]
}

// BeginKey counts an attempt of a key, or of none; EndKey takes it off.
func (l *Loads) BeginKey(service, key string) {
	s := l.lockStripe(service)
	defer s.lock.Unlock()
	s.serviceInFlight[service]++
	if key != "" {
		s.keyInFlight[serviceKey(service, key)]++
	}
}

// EndKey takes an attempt of a key off.
func (l *Loads) EndKey(service, key string) {
	s := l.lockStripe(service)
	defer s.lock.Unlock()
	s.serviceInFlight[service]--
	if key == "" {
		return
	}
	name := serviceKey(service, key)
	s.keyInFlight[name]--
	if s.keyInFlight[name] <= 0 {
		delete(s.keyInFlight, name)
	}
}

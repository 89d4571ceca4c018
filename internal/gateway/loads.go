package gateway

import (
	"sync"
	"time"

	"topazshed/internal/budget"
	"topazshed/internal/constants"
	"topazshed/internal/stripe"
)

// Bounds are what a deployment lets the whole fleet do.
type Bounds struct {
	// RetryRatio is the share of first requests that may be repeated, in parts of one.
	RetryRatio float64
	// RetryWindow is the sliding window of the retry budget.
	RetryWindow time.Duration
	// RetrySlack is how many repeats a window the fleet may make beyond that share.
	RetrySlack float64
	// ColdExcess and ColdMargin bound the requests a second to a cold back end: so many times its cold rate, and so many more.
	ColdExcess float64
	ColdMargin float64
	// ApplyWithin is how long after its acknowledgement a configuration must be in force at every node; 0 is unknown.
	ApplyWithin time.Duration
}

// instanceLoad is what this node knows of one back end.
type instanceLoad struct {
	inFlight int
	// delay is the moving average of the times that served requests took, in nanoseconds.
	delay     float64
	failures  int
	restUntil time.Duration
	// coldSends are when requests had left for it within the last second, while it was cold; coldHeld are those that have not left yet.
	coldSends []time.Duration
	coldHeld  int
	// askedAt is when it was last asked whether it is in slow start, and told; 0 is never. sentSinceAsked counts the requests that were sent on
	// that answer, coldUntil is when the slow start ends that it told of.
	askedAt        time.Duration
	sentSinceAsked int
	coldUntil      time.Duration
}

// loadStripe holds the back ends and services whose names fall on one stripe.
type loadStripe struct {
	lock      sync.Mutex
	instances map[string]*instanceLoad
	budgets   budget.Buckets
	// keyLoad is how many milliseconds back ends worked on keys, by service and bucket of keys.
	keyLoad map[string]map[uint32]uint32
	// usual is how long a service's back ends usually work on a key.
	usual map[string]time.Duration
}

// Loads are a gateway's tables of back ends and services: attempts in flight, delays, slow starts, retry budgets, load by key, and
// outliers. Its methods may be called from any goroutine; each locks one stripe, or the outliers, and never two at once.
type Loads struct {
	stripes  [stripe.Count]loadStripe
	outliers lockedOutliers
	bounds   Bounds
	begun    time.Duration
}

// NewLoads makes empty tables. begun is when this process began: an earlier process of this node may have spent its share of the budgets.
func NewLoads(begun time.Duration, bounds Bounds) *Loads {
	l := &Loads{bounds: bounds, begun: begun, outliers: lockedOutliers{Outliers: NewOutliers()}}
	for i := range l.stripes {
		s := &l.stripes[i]
		s.instances = map[string]*instanceLoad{}
		s.budgets = budget.Buckets{}
		s.keyLoad = map[string]map[uint32]uint32{}
		s.usual = map[string]time.Duration{}
	}
	return l
}

// lockStripe locks the stripe of a name; the caller unlocks it.
func (l *Loads) lockStripe(name string) *loadStripe {
	s := &l.stripes[stripe.Of(name)]
	s.lock.Lock()
	return s
}

func (s *loadStripe) instance(id string) *instanceLoad {
	i := s.instances[id]
	if i == nil {
		i = &instanceLoad{}
		s.instances[id] = i
	}
	return i
}

// Begin counts an attempt at a back end.
func (l *Loads) Begin(id string) {
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	s.instance(id).inFlight++
}

// End takes an attempt off; the time that a served one took counts for the back end's delay.
func (l *Loads) End(id string, took time.Duration, isServed bool) {
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	i := s.instance(id)
	i.inFlight = max(0, i.inFlight-1)
	if !isServed {
		return
	}
	i.failures = 0
	i.restUntil = 0
	weight := constants.DelayWeight
	if i.delay == 0 {
		weight = 1
	}
	i.delay += weight * (float64(took) - i.delay)
}

// restDoublings bounds how often the rest of a back end doubles.
const restDoublings = 8

// Fail notes that a back end was not reached or broke off; after several failures in a row it rests for a time that grows.
func (l *Loads) Fail(now time.Duration, id string) {
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	i := s.instance(id)
	i.failures++
	if i.failures >= constants.FailuresToRest {
		doublings := min(i.failures-constants.FailuresToRest, restDoublings)
		i.restUntil = now + min(constants.MaxRest, constants.MinRest<<doublings)
	}
}

// Reading is what the choice among back ends sees of one.
type Reading struct {
	InFlight int
	// Delay is 0 if no request was served yet.
	Delay     time.Duration
	IsResting bool
	// SaysCold tells that the back end has said that it is in slow start until later than now.
	SaysCold bool
}

// Read gives a back end's reading.
func (l *Loads) Read(now time.Duration, id string) Reading {
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	i := s.instances[id]
	if i == nil {
		return Reading{}
	}
	return Reading{
		InFlight:  i.inFlight,
		Delay:     time.Duration(i.delay),
		IsResting: now < i.restUntil,
		SaysCold:  now < i.coldUntil,
	}
}

// Failing are the back ends that rest now, in no order.
func (l *Loads) Failing(now time.Duration) []string {
	var ids []string
	for n := range l.stripes {
		s := &l.stripes[n]
		s.lock.Lock()
		for id, i := range s.instances {
			if now < i.restUntil {
				ids = append(ids, id)
			}
		}
		s.lock.Unlock()
	}
	return ids
}

// Keep forgets the back ends that are no longer known and have no attempt in flight.
func (l *Loads) Keep(isKnown func(id string) bool) {
	l.keepOutliers(isKnown)
	for n := range l.stripes {
		s := &l.stripes[n]
		s.lock.Lock()
		for id, i := range s.instances {
			if i.inFlight == 0 && !isKnown(id) {
				delete(s.instances, id)
			}
		}
		s.lock.Unlock()
	}
}

package gateway

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"topazshed/internal/budget"
	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const shards = 16

func shardOf(name string) int { return int(store.Weigh(name) % shards) }

// Bounds are what a deployment lets the whole fleet do.
type Bounds struct {
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	ColdExcess  float64
	ColdMargin  float64
}

type instance struct {
	inFlight int
	delay    float64
	at       time.Duration
	failures int
	restedTo time.Duration
	sends    []time.Duration
}

type shard struct {
	lock      sync.Mutex
	instances map[string]*instance
	windows   map[string]*budget.Bucket
	keyLoad   map[string]map[uint32]uint32
	usual     map[string]time.Duration
}

type judged struct {
	lock sync.Mutex
	*Outliers
}

// Loads are the hot tables of a gateway: attempts in flight, delays, cold parts, retry budgets and key heat, sharded with a lock each.
type Loads struct {
	shards [shards]shard
	judged judged
	bounds Bounds
	since  time.Duration
}

// NewLoads makes empty tables; since is when this process began, whose former life may have spent its part of the slack.
func NewLoads(since time.Duration, bounds Bounds) *Loads {
	l := &Loads{bounds: bounds, since: since, judged: judged{Outliers: NewOutliers()}}
	for i := range l.shards {
		l.shards[i] = shard{instances: map[string]*instance{}, windows: map[string]*budget.Bucket{}, keyLoad: map[string]map[uint32]uint32{}, usual: map[string]time.Duration{}}
	}
	return l
}

func (l *Loads) in(name string) (*shard, func()) {
	s := &l.shards[shardOf(name)]
	s.lock.Lock()
	return s, s.lock.Unlock
}

func (s *shard) instance(id string) *instance {
	i := s.instances[id]
	if i == nil {
		i = &instance{}
		s.instances[id] = i
	}
	return i
}

// Begin counts an attempt at a back end.
func (l *Loads) Begin(id string) {
	s, free := l.in(id)
	defer free()
	s.instance(id).inFlight++
}

// End takes an attempt off; a served one teaches the back end's delay.
func (l *Loads) End(now time.Duration, id string, took time.Duration, isServed bool) {
	s, free := l.in(id)
	defer free()
	i := s.instance(id)
	i.inFlight = max(0, i.inFlight-1)
	if !isServed {
		return
	}
	i.failures, i.restedTo = 0, 0
	weight := constants.DelayWeight
	if i.delay == 0 {
		weight = 1
	}
	i.delay += weight * (float64(took) - i.delay)
	i.at = now
}

// Start notes that an attempt was sent to a back end.
func (l *Loads) Start(now time.Duration, id string) {
	l.judged.lock.Lock()
	defer l.judged.lock.Unlock()
	l.judged.Outliers.Start(now, id)
}

// Stop notes that the attempt which was sent then has ended.
func (l *Loads) Stop(id string, started time.Duration) {
	l.judged.lock.Lock()
	defer l.judged.lock.Unlock()
	l.judged.Outliers.Stop(id, started)
}

// Judge takes the verdict on an attempt that took so long.
func (l *Loads) Judge(now time.Duration, service, id string, verdict Verdict, took time.Duration) {
	l.judged.lock.Lock()
	defer l.judged.lock.Unlock()
	l.judged.Outliers.Judge(now, service, id, verdict, took)
}

// IsOverdue tells that an attempt at a service which has taken so long takes much longer than is usual there.
func (l *Loads) IsOverdue(service string, took time.Duration) bool {
	l.judged.lock.Lock()
	defer l.judged.lock.Unlock()
	return l.judged.Outliers.IsOverdue(service, took)
}

// TakeHealthReports gives the back ends that failed requests, or that served although they are failing, since it was last asked.
func (l *Loads) TakeHealthReports(now time.Duration, isFailing func(id string) bool) []*schema.HealthReport {
	l.judged.lock.Lock()
	defer l.judged.lock.Unlock()
	return l.judged.Outliers.TakeHealthReports(now, isFailing)
}

// OutlierStatus assignment is how this node takes a back end.
func (l *Loads) OutlierStatus(now time.Duration, service, id string) (OutlierStatus, time.Duration) {
	l.judged.lock.Lock()
	defer l.judged.lock.Unlock()
	return l.judged.Outliers.Status(now, service, id)
}

// Fail notes that a back end was not reached or broke off; it rests for a time that grows.
func (l *Loads) Fail(now time.Duration, id string) {
	s, free := l.in(id)
	defer free()
	i := s.instance(id)
	i.failures++
	if i.failures >= constants.FailuresToRest {
		i.restedTo = now + min(constants.RestMost, constants.RestLeast<<min(i.failures-constants.FailuresToRest, 8))
	}
}

// Reading is what the choice among back ends sees of one.
type Reading struct {
	InFlight  int
	Delay     time.Duration
	IsResting bool
}

// Read gives a back end's reading.
func (l *Loads) Read(now time.Duration, id string) Reading {
	s, free := l.in(id)
	defer free()
	i := s.instances[id]
	if i == nil {
		return Reading{}
	}
	return Reading{i.inFlight, time.Duration(i.delay), now < i.restedTo}
}

// Failing are the back ends that rest now.
func (l *Loads) Failing(now time.Duration) []string {
	var ids []string
	for n := range l.shards {
		s := &l.shards[n]
		s.lock.Lock()
		for id, i := range s.instances {
			if now < i.restedTo {
				ids = append(ids, id)
			}
		}
		s.lock.Unlock()
	}
	return ids
}

// ColdRate is how many requests all nodes together may send in a second to a cold back end.
func (l *Loads) ColdRate(policy *schema.ServicePolicy) int {
	return int(policy.GetColdRate()*l.bounds.ColdExcess+l.bounds.ColdMargin) - constants.ColdSpare
}

// MayCold counts a request to a cold back end if this node's part, one of so many, allows it. A young process's former life may have spent
// the part of the second that it began in.
func (l *Loads) MayCold(now time.Duration, id string, policy *schema.ServicePolicy, parts int) bool {
	if now-l.since < constants.ColdSecond {
		return false
	}
	allowed := l.ColdRate(policy) / max(1, parts)
	s, free := l.in(id)
	defer free()
	i := s.instance(id)
	for len(i.sends) > 0 && now-i.sends[0] >= constants.ColdSecond {
		i.sends = i.sends[1:]
	}
	if len(i.sends) >= allowed {
		return false
	}
	i.sends = append(i.sends, now)
	return true
}

// ColdSent moves a request to a cold back end that was counted when it was chosen to when it is sent: a connection was made in between.
func (l *Loads) ColdSent(chosen, now time.Duration, id string) {
	s, free := l.in(id)
	defer free()
	i := s.instance(id)
	if at := slices.Index(i.sends, chosen); at >= 0 {
		i.sends = append(slices.Delete(i.sends, at, at+1), now)
	}
}

func (s *shard) window(service string) *budget.Bucket {
	w := s.windows[service]
	if w == nil {
		w = &budget.Bucket{}
		s.windows[service] = w
	}
	return w
}

// First counts a request for a service.
func (l *Loads) First(now time.Duration, service string) {
	s, free := l.in(service)
	defer free()
	s.window(service).Gain(now, int(l.bounds.RetryRatio*budget.Whole), constants.RepeatMargin)
}

// MayRepeat counts one more arrival of a request if this node's part of the fleet's retry budget allows it.
// A young process's former life may have spent that part, so that its own first requests must have paid for all its repeats too.
func (l *Loads) MayRepeat(now time.Duration, service string, nodes int) bool {
	s, free := l.in(service)
	defer free()
	w := s.window(service)
	if nodes == 0 || now-l.since < l.bounds.RetryWindow && w.Earned() < budget.Whole {
		return false
	}
	return w.Take(now, int(l.bounds.RetrySlack*budget.Whole)/nodes, l.bounds.RetryWindow+constants.RepeatMargin)
}

// KeyLoad notes how long a back end worked on a key. What is far above the usual was spent in a queue, and what was turned away tells nothing
// of its work, so that both count as bounded by the usual.
func (l *Loads) KeyLoad(service string, key uint32, busy time.Duration, isServed bool) {
	s, free := l.in(service)
	defer free()
	usual := s.usual[service]
	switch {
	case !isServed && usual > 0:
		busy = usual
	case usual == 0:
		usual = busy
	case busy > usual:
		usual += usual / constants.UsualStep
	default:
		usual -= usual / constants.UsualStep
	}
	s.usual[service] = usual
	busy = min(busy, constants.LoadCap*usual)
	of := s.keyLoad[service]
	if of == nil {
		of = map[uint32]uint32{}
		s.keyLoad[service] = of
	}
	of[key/(constants.Keys/constants.LoadBuckets)%constants.LoadBuckets] += uint32(busy.Milliseconds())
}

// TakeKeyLoad gives what was noted since it was last asked.
func (l *Loads) TakeKeyLoad(span time.Duration) []*schema.ShardLoad {
	var keyLoads []*schema.ShardLoad
	for n := range l.shards {
		s := &l.shards[n]
		s.lock.Lock()
		for service, of := range s.keyLoad {
			keyLoad := &schema.ShardLoad{Service: service, SpanMs: uint32(span.Milliseconds())}
			for _, bucket := range slices.Sorted(maps.Keys(of)) {
				keyLoad.Buckets, keyLoad.BusyMs = append(keyLoad.Buckets, bucket), append(keyLoad.BusyMs, of[bucket])
			}
			keyLoads = append(keyLoads, keyLoad)
		}
		s.keyLoad = map[string]map[uint32]uint32{}
		s.lock.Unlock()
	}
	slices.SortFunc(keyLoads, func(a, b *schema.ShardLoad) int { return strings.Compare(a.Service, b.Service) })
	return keyLoads
}

// Keep forgets the back ends that are no longer known.
func (l *Loads) Keep(isKnown func(id string) bool) {
	l.judged.lock.Lock()
	l.judged.Outliers.Keep(isKnown)
	l.judged.lock.Unlock()
	for n := range l.shards {
		s := &l.shards[n]
		s.lock.Lock()
		for id, i := range s.instances {
			if i.inFlight == 0 && !isKnown(id) {
				delete(s.instances, id)
			}
		}
		s.lock.Unlock()
	}
}

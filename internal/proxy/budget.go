package proxy

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"topazshed/internal/budget"
	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

const shards = 16

func shardOf(name string) int {
	sum := uint32(2166136261)
	for i := range len(name) {
		sum = (sum ^ uint32(name[i])) * 16777619
	}
	return int(sum % shards)
}

type ramp struct {
	seenAt time.Duration
	begun  []time.Duration
}

type loadShard struct {
	lock     sync.Mutex
	inFlight map[string]int
	bad      map[string]int
	down     map[string]bool
	back     map[string]time.Duration
	ramps    map[string]*ramp
	windows  map[string]*budget.Bucket
	keys     map[string]int
	all      map[string]int
}

// Loads are the hot tables of a proxy: attempts in flight, ramps, budgets and keys, in shards with a lock each.
type Loads struct {
	shards [shards]loadShard
	now    func() time.Duration
	lock   sync.Mutex
	serial uint64
	keyed  map[uint64]keyedAttempt
}

type keyedAttempt struct {
	version uint64
	until   time.Duration
}

// NewLoads makes empty tables.
func NewLoads(now func() time.Duration) *Loads {
	l := &Loads{now: now, keyed: map[uint64]keyedAttempt{}}
	for i := range l.shards {
		l.shards[i] = loadShard{inFlight: map[string]int{}, bad: map[string]int{}, down: map[string]bool{}, back: map[string]time.Duration{}, ramps: map[string]*ramp{}, windows: map[string]*budget.Bucket{}, keys: map[string]int{}, all: map[string]int{}}
	}
	return l
}

func (l *Loads) in(name string) (*loadShard, func()) {
	s := &l.shards[shardOf(name)]
	s.lock.Lock()
	return s, s.lock.Unlock
}

// InFlight is the count of attempts that this proxy has at a back end.
func (l *Loads) InFlight(instance string) int {
	s, free := l.in(instance)
	defer free()
	return s.inFlight[instance]
}

// Begin counts an attempt, End takes it off.
func (l *Loads) Begin(instance string) {
	s, free := l.in(instance)
	defer free()
	s.inFlight[instance]++
}

// End takes an attempt off.
func (l *Loads) End(instance string) {
	s, free := l.in(instance)
	defer free()
	if s.inFlight[instance]--; s.inFlight[instance] <= 0 {
		delete(s.inFlight, instance)
	}
}

// Report takes a probe's or attempt's result for a back end; one that was down and answers again is taken as cold here.
func (l *Loads) Report(instance string, err error) {
	s, free := l.in(instance)
	defer free()
	if err == nil {
		delete(s.bad, instance)
		if s.down[instance] {
			delete(s.down, instance)
			s.back[instance] = l.now()
		}
		return
	}
	s.bad[instance]++
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.down[instance] = true
		delete(s.ramps, instance)
	}
}

// IsBad tells whether the last probes of a back end failed.
func (l *Loads) IsBad(instance string) bool {
	s, free := l.in(instance)
	defer free()
	return s.bad[instance] >= constants.HealthCheckFailures
}

// MayBegin holds a cold back end to this proxy's part of a rising rate and counts the attempt where it may begin; the part is asked for only then.
func (l *Loads) MayBegin(now time.Duration, backend *schema.Backend, ask func() Part, coldRate uint32) bool {
	s, free := l.in(backend.Instance)
	defer free()
	at, isBack := s.back[backend.Instance]
	if isBack && now-at >= constants.ColdRamp {
		delete(s.back, backend.Instance)
		isBack = false
	}
	if !backend.Cold && !isBack {
		delete(s.ramps, backend.Instance)
		return true
	}
	r := s.ramps[backend.Instance]
	if r == nil {
		r = &ramp{seenAt: now}
		s.ramps[backend.Instance] = r
	}
	age := min(now-r.seenAt, constants.ColdRamp)
	last := r.lastOr(now - time.Hour)
	for len(r.begun) > 0 && now-r.begun[0] >= time.Second+constants.ColdMargin {
		r.begun = r.begun[1:]
	}
	rate := float64(coldRate) * (1 + float64(age)/float64(constants.ColdRamp))
	part := ask()
	allowed := part.Share(int(rate))
	if share := rate / float64(max(1, part.Of)); share < 1 {
		allowed = 1
		if float64(now-last) < float64(time.Second)/share {
			return false
		}
	}
	if len(r.begun) >= allowed {
		return false
	}
	r.begun = append(r.begun, now)
	return true
}

func (r *ramp) lastOr(otherwise time.Duration) time.Duration {
	if len(r.begun) == 0 {
		return otherwise
	}
	return r.begun[len(r.begun)-1]
}

// First counts a first attempt of a service.
func (l *Loads) First(now time.Duration, service string) {
	s, free := l.in(service)
	defer free()
	w := s.windows[service]
	if w == nil {
		w = &budget.Bucket{}
		s.windows[service] = w
	}
	w.Gain(now, budget.Whole*constants.RepeatShare/100, constants.RepeatMargin)
}

// Share is this proxy's whole part of a number that all proxies of a part have together.
func (p Part) Share(whole int) int {
	of := max(1, p.Of)
	share := whole / of
	if p.Rank < whole%of {
		share++
	}
	return share
}

// Repeat tells whether one more attempt fits the repeat budget, and counts it; the allowance is shared out in whole attempts.
func (l *Loads) Repeat(now time.Duration, service string, part Part) bool {
	s, free := l.in(service)
	defer free()
	w := s.windows[service]
	return w != nil && w.Take(now, part.Share(constants.RepeatAllowance)*budget.Whole, constants.RepeatWindow+constants.RepeatMargin)
}

// KeyInFlight gives the attempts in flight of one key and of its whole service.
func (l *Loads) KeyInFlight(service, key string) (int, int) {
	s, free := l.in(service)
	defer free()
	return s.keys[service+"\x00"+key], s.all[service]
}

// BeginKey counts an attempt of a key; EndKey takes it off.
func (l *Loads) BeginKey(service, key string) {
	s, free := l.in(service)
	defer free()
	s.all[service]++
	if key != "" {
		s.keys[service+"\x00"+key]++
	}
}

// EndKey takes an attempt of a key off.
func (l *Loads) EndKey(service, key string) {
	s, free := l.in(service)
	defer free()
	s.all[service]--
	if name := service + "\x00" + key; key != "" {
		if s.keys[name]--; s.keys[name] <= 0 {
			delete(s.keys, name)
		}
	}
}

// BeginKeyed notes the snapshot version that a keyed attempt was begun on; the closure ends it, at once or, without a whole answer, after its afterglow.
func (l *Loads) BeginKeyed(version uint64) func(isOpen bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.serial++
	id := l.serial
	l.keyed[id] = keyedAttempt{version: version}
	return func(isOpen bool) {
		l.lock.Lock()
		defer l.lock.Unlock()
		if isOpen {
			l.keyed[id] = keyedAttempt{version, l.now() + constants.KeyedAfterglow}
		} else {
			delete(l.keyed, id)
		}
	}
}

// Floor is the lowest snapshot version that a running keyed attempt was begun on, or none.
func (l *Loads) Floor() uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	var floor uint64
	now := l.now()
	for id, attempt := range l.keyed {
		if attempt.until > 0 && now >= attempt.until {
			delete(l.keyed, id)
		} else if floor == 0 || attempt.version < floor {
			floor = attempt.version
		}
	}
	return floor
}

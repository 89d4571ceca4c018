package gateway

import (
	"maps"
	"math"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// Verdict is what an attempt tells of its back end.
type Verdict int

// The verdicts on attempts.
const (
	// VerdictHealthy: a whole answer that may be passed on.
	VerdictHealthy Verdict = iota
	// VerdictFailed: an error of the back end's own, a broken or untrustworthy answer, silence, or no connection.
	VerdictFailed
	// VerdictRefused: the back end says that it did not run the request. Full ones say so too, so that it counts only beside the others of the service.
	VerdictRefused
)

// OutlierStatus assignment is how a node takes a back end.
type OutlierStatus int

// The failover assignments of a back end at a node.
const (
	// OutlierHealthy: it gets its share.
	OutlierHealthy OutlierStatus = iota
	// OutlierEjected: it is ejected, and gets a request only if nothing else is left.
	OutlierEjected
	// OutlierOnTrial: its time out is over, and one request at a time shows whether it is well.
	OutlierOnTrial
)

type suspect struct {
	good, bad float64
	at        time.Duration
	standing  OutlierStatus
	strikes   int
	until     time.Duration
	trials    int
	healthyAt time.Duration
	started   []time.Duration
	service   string
	// hasFailed and hasServed are what was not told yet.
	hasFailed, hasServed bool
}

type tally struct {
	good, bad float64
	at        time.Duration
	usual     time.Duration
}

// Outliers judges the back ends of services by what becomes of attempts, each beside the others of its service; it is a pure state machine.
// Health answers play no part, so that a lying one neither ejects a back end nor keeps it in.
type Outliers struct {
	suspects map[string]*suspect
	tallies  map[string]*tally
}

// NewOutliers makes one that has seen nothing.
func NewOutliers() *Outliers {
	return &Outliers{suspects: map[string]*suspect{}, tallies: map[string]*tally{}}
}

func faded(span time.Duration) float64 {
	return math.Exp2(-float64(span) / float64(constants.OutlierHalfLife))
}

func (o *Outliers) suspect(now time.Duration, id string) *suspect {
	s := o.suspects[id]
	if s == nil {
		s = &suspect{at: now}
		o.suspects[id] = s
	}
	return s
}

func (o *Outliers) tally(now time.Duration, service string) *tally {
	t := o.tallies[service]
	if t == nil {
		t = &tally{at: now}
		o.tallies[service] = t
	}
	return t
}

// Start notes that an attempt was sent.
func (o *Outliers) Start(now time.Duration, id string) {
	s := o.suspect(now, id)
	s.started = append(s.started, now)
}

// Stop notes that the attempt that was sent then has ended, whatever came of it.
func (o *Outliers) Stop(id string, started time.Duration) {
	if s := o.suspects[id]; s != nil {
		if at := slices.Index(s.started, started); at >= 0 {
			s.started = slices.Delete(s.started, at, at+1)
		}
	}
}

// Judge takes the verdict on an attempt that took so long.
func (o *Outliers) Judge(now time.Duration, service, id string, verdict Verdict, took time.Duration) {
	s, t := o.suspect(now, id), o.tally(now, service)
	s.service = service
	own, all := faded(now-s.at), faded(now-t.at)
	s.good, s.bad, s.at = s.good*own, s.bad*own, now
	t.good, t.bad, t.at = t.good*all, t.bad*all, now
	if verdict == VerdictHealthy {
		s.good++
		t.good++
		s.hasServed = true
		if t.usual == 0 {
			t.usual = took
		}
		t.usual += time.Duration(constants.OutlierUsualWeight * float64(took-t.usual))
		o.pass(now, s)
		return
	}
	s.bad++
	t.bad++
	o.fail(now, s, t, verdict)
}

func (o *Outliers) pass(now time.Duration, s *suspect) {
	switch s.standing {
	case OutlierEjected, OutlierOnTrial:
		if now < s.until {
			return
		}
		if s.trials++; s.trials < constants.OutlierTrials {
			return
		}
		s.standing, s.healthyAt, s.good, s.bad = OutlierHealthy, now, 0, 0
	case OutlierHealthy:
		if s.strikes > 0 && now-s.healthyAt >= constants.OutlierForgiven {
			s.strikes = 0
		}
	}
}

func (o *Outliers) fail(now time.Duration, s *suspect, t *tally, verdict Verdict) {
	switch {
	case s.standing == OutlierEjected && now < s.until:
		return
	case s.standing != OutlierHealthy:
	default:
		// The others' share is that of the service without this back end.
		others := (t.bad - s.bad) / max(1, t.bad+t.good-s.bad-s.good)
		least := constants.OutlierShare + constants.OutlierOver*max(0, others)
		if verdict == VerdictRefused && s.bad < constants.OutlierRefusals || s.bad < least*(s.bad+s.good) {
			return
		}
	}
	if s.strikes > 0 && s.standing == OutlierHealthy && now-s.healthyAt >= constants.OutlierForgiven {
		s.strikes = 0
	}
	s.hasFailed = true
	s.standing, s.trials = OutlierEjected, 0
	s.until = now + min(constants.OutlierOutMost, constants.OutlierOut<<min(s.strikes, 8))
	s.strikes++
}

// Status assignment is how a back end stands now, and until when it is out. One that has not answered for much longer than is usual counts as out until it does.
func (o *Outliers) Status(now time.Duration, service, id string) (OutlierStatus, time.Duration) {
	s := o.suspects[id]
	switch {
	case s == nil:
		return OutlierHealthy, 0
	case o.isOverdue(now, service, s):
		return OutlierEjected, max(s.until, now+constants.OutlierOut)
	case s.standing == OutlierHealthy:
		return OutlierHealthy, 0
	case now < s.until, len(s.started) > 0:
		return OutlierEjected, s.until
	}
	return OutlierOnTrial, 0
}

// IsOverdue tells that an attempt at a service which has taken so long takes much longer than is usual there.
func (o *Outliers) IsOverdue(service string, took time.Duration) bool {
	t := o.tallies[service]
	return t != nil && t.usual > 0 && took > max(constants.OutlierOverdueLeast, constants.OutlierOverdue*t.usual)
}

func (o *Outliers) isOverdue(now time.Duration, service string, s *suspect) bool {
	return len(s.started) > 0 && o.IsOverdue(service, now-s.started[0])
}

// TakeHealthReports gives the back ends that were ejected or did not answer since it was last asked, and those that served although they are failing for the whole fleet.
func (o *Outliers) TakeHealthReports(now time.Duration, isFailing func(id string) bool) []*schema.HealthReport {
	var healthReports []*schema.HealthReport
	for _, id := range slices.Sorted(maps.Keys(o.suspects)) {
		s := o.suspects[id]
		if s.hasFailed || o.isOverdue(now, s.service, s) {
			healthReports = append(healthReports, &schema.HealthReport{Instance: id, Failing: true})
		} else if s.hasServed && isFailing(id) {
			healthReports = append(healthReports, &schema.HealthReport{Instance: id})
		}
		s.hasFailed, s.hasServed = false, false
	}
	return healthReports
}

// Keep forgets the back ends that are no longer known and have no attempt in flight.
func (o *Outliers) Keep(isKnown func(id string) bool) {
	for id, s := range o.suspects {
		if len(s.started) == 0 && !isKnown(id) {
			delete(o.suspects, id)
		}
	}
}

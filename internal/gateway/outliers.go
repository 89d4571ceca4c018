package gateway

import (
	"maps"
	"math"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// Verdict is what an attempt says about its back end.
type Verdict int

// The verdicts on attempts.
const (
	// VerdictHealthy: a whole response that may be passed on.
	VerdictHealthy Verdict = iota
	// VerdictFailed: an error of the back end's own, a broken or untrustworthy response, a time-out, or no connection.
	VerdictFailed
	// VerdictRefused: the back end says that it did not run the request. Full ones say so too, so that it counts only in comparison with the
	// others of the service.
	VerdictRefused
)

// OutlierStatus is how a node treats a back end.
type OutlierStatus int

// The ways to treat a back end.
const (
	// OutlierHealthy: it gets its share.
	OutlierHealthy OutlierStatus = iota
	// OutlierEjected: it gets a request only if nothing else is left.
	OutlierEjected
	// OutlierOnTrial: its ejection is over, and one request at a time shows whether it is well.
	OutlierOnTrial
)

// ejectionDoublings bounds how often the time of ejection doubles.
const ejectionDoublings = 8

// verdictCounts count verdicts; older ones count less.
type verdictCounts struct {
	good, bad float64
	at        time.Duration
}

// decayTo lets the counts lose weight for the time since they were last changed.
func (c *verdictCounts) decayTo(now time.Duration) {
	factor := math.Exp2(-float64(now-c.at) / float64(constants.OutlierHalfLife))
	c.good *= factor
	c.bad *= factor
	c.at = now
}

// backendRecord is what is known of one back end.
type backendRecord struct {
	verdictCounts
	status OutlierStatus
	// ejections counts those that were not forgiven; each is longer than the one before.
	ejections    int
	ejectedUntil time.Duration
	// trials counts the good verdicts since the ejection was over.
	trials    int
	healthyAt time.Duration
	// started are when the attempts in flight were sent, the oldest first.
	started []time.Duration
	service string
	// hasFailed and hasServed are what was not reported yet.
	hasFailed, hasServed bool
}

// serviceRecord is what is known of all back ends of a service together.
type serviceRecord struct {
	verdictCounts
	// usual is the moving average of the times that good attempts took.
	usual time.Duration
}

// Outliers ejects the back ends of services that fail more attempts than the others of their service. Health checks play no part, so that
// a wrong one neither ejects a back end nor keeps it in. It is pure and holds no lock.
type Outliers struct {
	backends map[string]*backendRecord
	services map[string]*serviceRecord
}

// NewOutliers makes one without records.
func NewOutliers() *Outliers {
	return &Outliers{backends: map[string]*backendRecord{}, services: map[string]*serviceRecord{}}
}

func (o *Outliers) backend(now time.Duration, id string) *backendRecord {
	b := o.backends[id]
	if b == nil {
		b = &backendRecord{verdictCounts: verdictCounts{at: now}}
		o.backends[id] = b
	}
	return b
}

func (o *Outliers) service(now time.Duration, name string) *serviceRecord {
	s := o.services[name]
	if s == nil {
		s = &serviceRecord{verdictCounts: verdictCounts{at: now}}
		o.services[name] = s
	}
	return s
}

// Start notes that an attempt was sent.
func (o *Outliers) Start(now time.Duration, id string) {
	b := o.backend(now, id)
	b.started = append(b.started, now)
}

// Stop notes that the attempt which was sent at started has ended, whatever came of it.
func (o *Outliers) Stop(id string, started time.Duration) {
	b := o.backends[id]
	if b == nil {
		return
	}
	if at := slices.Index(b.started, started); at >= 0 {
		b.started = slices.Delete(b.started, at, at+1)
	}
}

// Judge takes the verdict on an attempt that took so long.
func (o *Outliers) Judge(now time.Duration, service, id string, verdict Verdict, took time.Duration) {
	b, s := o.backend(now, id), o.service(now, service)
	b.service = service
	b.decayTo(now)
	s.decayTo(now)
	if verdict != VerdictHealthy {
		b.bad++
		s.bad++
		b.fail(now, s, verdict)
		return
	}
	b.good++
	s.good++
	b.hasServed = true
	if s.usual == 0 {
		s.usual = took
	}
	s.usual += time.Duration(constants.OutlierUsualWeight * float64(took-s.usual))
	b.succeed(now)
}

// succeed counts a good verdict: enough of them after an ejection make a back end healthy again.
func (b *backendRecord) succeed(now time.Duration) {
	if b.status == OutlierHealthy {
		b.forgive(now)
		return
	}
	if now < b.ejectedUntil {
		return
	}
	b.trials++
	if b.trials < constants.OutlierTrials {
		return
	}
	b.status = OutlierHealthy
	b.healthyAt = now
	b.good = 0
	b.bad = 0
}

// forgive forgets the ejections of a back end that has been healthy for long enough.
func (b *backendRecord) forgive(now time.Duration) {
	if b.ejections > 0 && now-b.healthyAt >= constants.OutlierForgiven {
		b.ejections = 0
	}
}

// fail counts a bad verdict: it ejects a back end on trial at once, and a healthy one once it stands out.
func (b *backendRecord) fail(now time.Duration, service *serviceRecord, verdict Verdict) {
	if b.status == OutlierEjected && now < b.ejectedUntil {
		return
	}
	if b.status == OutlierHealthy {
		if !b.standsOut(service, verdict) {
			return
		}
		b.forgive(now)
	}
	b.hasFailed = true
	b.status = OutlierEjected
	b.trials = 0
	b.ejectedUntil = now + min(constants.MaxOutlierOut, constants.OutlierOut<<min(b.ejections, ejectionDoublings))
	b.ejections++
}

// standsOut tells whether a back end's share of bad verdicts is well above that of the others of its service.
func (b *backendRecord) standsOut(service *serviceRecord, verdict Verdict) bool {
	if verdict == VerdictRefused && b.bad < constants.OutlierRefusals {
		return false
	}
	others := (service.bad - b.bad) / max(1, service.bad+service.good-b.bad-b.good)
	least := constants.OutlierShare + constants.OutlierOver*max(0, others)
	return b.bad >= least*(b.bad+b.good)
}

// Status is how a back end is treated now, and until when it is ejected. One that has not answered for much longer than is usual counts as
// ejected until it does.
func (o *Outliers) Status(now time.Duration, service, id string) (OutlierStatus, time.Duration) {
	b := o.backends[id]
	switch {
	case b == nil:
		return OutlierHealthy, 0
	case o.isOverdue(now, service, b):
		return OutlierEjected, max(b.ejectedUntil, now+constants.OutlierOut)
	case b.status == OutlierHealthy:
		return OutlierHealthy, 0
	case now < b.ejectedUntil, len(b.started) > 0:
		return OutlierEjected, b.ejectedUntil
	}
	return OutlierOnTrial, 0
}

// IsOverdue tells that an attempt at a service which has taken so long takes much longer than is usual there.
func (o *Outliers) IsOverdue(service string, took time.Duration) bool {
	s := o.services[service]
	return s != nil && s.usual > 0 && took > max(constants.MinOutlierOverdue, constants.OutlierOverdue*s.usual)
}

func (o *Outliers) isOverdue(now time.Duration, service string, b *backendRecord) bool {
	return len(b.started) > 0 && o.IsOverdue(service, now-b.started[0])
}

// TakeHealthReports gives the back ends that were ejected or overdue since the last call, and those that served although they are failing
// for the whole fleet, in the order of their ids.
func (o *Outliers) TakeHealthReports(now time.Duration, isFailing func(id string) bool) []*schema.HealthReport {
	var reports []*schema.HealthReport
	for _, id := range slices.Sorted(maps.Keys(o.backends)) {
		b := o.backends[id]
		if b.hasFailed || o.isOverdue(now, b.service, b) {
			reports = append(reports, &schema.HealthReport{Instance: id, Failing: true})
		} else if b.hasServed && isFailing(id) {
			reports = append(reports, &schema.HealthReport{Instance: id})
		}
		b.hasFailed = false
		b.hasServed = false
	}
	return reports
}

// Keep forgets the back ends that are no longer known and have no attempt in flight.
func (o *Outliers) Keep(isKnown func(id string) bool) {
	for id, b := range o.backends {
		if len(b.started) == 0 && !isKnown(id) {
			delete(o.backends, id)
		}
	}
}

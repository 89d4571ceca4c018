package proxy

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// ramp is the slow start of one back end at this proxy.
type ramp struct {
	seenAt time.Duration
	// begun are when attempts began within the last second.
	begun []time.Duration
}

// longAgo is further back than any ramp looks.
const longAgo = time.Hour

// lastBegun is when the last attempt began, as far as it is still known.
func (r *ramp) lastBegun(now time.Duration) time.Duration {
	if len(r.begun) == 0 {
		return now - longAgo
	}
	return r.begun[len(r.begun)-1]
}

// forgetOld forgets the attempts that have left the window of a second.
func (r *ramp) forgetOld(now time.Duration) {
	for len(r.begun) > 0 && now-r.begun[0] >= time.Second+constants.ColdMargin {
		r.begun = r.begun[1:]
	}
}

// MayBegin holds a cold back end to this proxy's part of a rising rate, and counts the attempt if it may begin. The rate rises from
// coldRate attempts a second to twice that within constants.ColdRamp. The part is asked for only if the back end is cold.
func (l *Loads) MayBegin(now time.Duration, backend *schema.Backend, ask func() Part, coldRate uint32) bool {
	s := l.lockStripe(backend.Instance)
	defer s.lock.Unlock()
	isBack := s.hasJustReturned(now, backend.Instance)
	if !backend.Cold && !isBack {
		delete(s.ramps, backend.Instance)
		return true
	}
	return s.ramp(now, backend.Instance).mayBegin(now, ask(), coldRate)
}

// hasJustReturned tells whether an instance was down and has answered again only within the length of a ramp.
func (s *loadStripe) hasJustReturned(now time.Duration, instance string) bool {
	at, isReturned := s.returnedAt[instance]
	if isReturned && now-at >= constants.ColdRamp {
		delete(s.returnedAt, instance)
		return false
	}
	return isReturned
}

func (s *loadStripe) ramp(now time.Duration, instance string) *ramp {
	r := s.ramps[instance]
	if r == nil {
		r = &ramp{seenAt: now}
		s.ramps[instance] = r
	}
	return r
}

func (r *ramp) mayBegin(now time.Duration, part Part, coldRate uint32) bool {
	last := r.lastBegun(now)
	r.forgetOld(now)
	age := min(now-r.seenAt, constants.ColdRamp)
	rate := float64(coldRate) * (1 + float64(age)/float64(constants.ColdRamp))
	allowed := part.Share(int(rate))
	// Less than one attempt a second is spread over several seconds.
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

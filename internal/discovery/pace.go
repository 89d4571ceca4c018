package discovery

import (
	"fmt"
	"time"

	"topazshed/internal/constants"
)

// Pace says when the list may be called next, which takes only so many calls a second from all nodes together.
type Pace struct {
	usable   float64
	turns    []time.Duration
	begun    time.Duration
	reported int
}

// NewPace makes one for a list that takes so many calls a second; 0 is no bound.
func NewPace(rate float64) *Pace { return &Pace{usable: rate * constants.ListRateShare} }

// BusyError tells that the list refused one page again and again.
type BusyError struct{ Refusals int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("one page was refused %d times for too many calls; raise the list's rate, or find who else calls it", e.Refusals)
}

// Begin tells that a read of the list begins, and gives when.
func (p *Pace) Begin(now time.Duration) time.Duration {
	p.begun, p.reported = now, 0
	return now
}

// Part gives when the read began, and whether the back ends that it has given so far are to be taken now: a long read's pages as they come.
func (p *Pace) Part(now time.Duration, count int) (time.Duration, bool) {
	isDue := count > p.reported && now-p.begun >= constants.ListTellAfter
	if isDue {
		p.reported = count
	}
	return p.begun, isDue
}

// Turn counts a call and gives how long it must wait; refusals are how often its page was refused.
func (p *Pace) Turn(now time.Duration, refusals int) (time.Duration, error) {
	if refusals > constants.ListRefusals {
		return 0, &BusyError{refusals}
	}
	at := now
	if refusals > 0 {
		at += constants.ListRefused << (refusals - 1)
	}
	if p.usable <= 0 {
		return at - now, nil
	}
	most := max(1, int(p.usable))
	if len(p.turns) >= most {
		at = max(at, p.turns[len(p.turns)-most]+max(constants.ListSecond, time.Duration(float64(most)/p.usable*float64(time.Second))))
	}
	p.turns = append(p.turns, at)
	p.turns = p.turns[max(0, len(p.turns)-most):]
	return at - now, nil
}

package discovery

import (
	"fmt"
	"slices"
	"time"

	"topazshed/internal/constants"
)

// ListLimiter limits the rate of calls to the platform's list, which takes only so many from all nodes together.
type ListLimiter struct {
	// rate is the usable part of the list's rate, in calls a second; 0 is no bound.
	rate float64
	// calls are the latest reserved calls, as many as the rate allows in one second.
	calls []time.Duration
	// begunAt is when the read under way began, reported how many of its back ends were taken before its end, and examined how many
	// were looked at.
	begunAt  time.Duration
	reported int
	examined int
	// stamped are the back ends that this read has found, each with the time at which it was found.
	stamped []Listed
	// draining are the back ends that this read has found draining, wasDraining those of the read before.
	draining, wasDraining map[backendID]bool
}

// NewListLimiter returns a limiter for a list that takes rate calls a second; 0 is no bound.
func NewListLimiter(rate float64) *ListLimiter {
	return &ListLimiter{rate: rate * constants.ListRateShare, draining: map[backendID]bool{}}
}

// BusyError says that the list refused one page again and again.
type BusyError struct{ Refusals int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("one page was refused %d times for too many calls; raise the list's rate, or find who else calls it", e.Refusals)
}

// BeginRead notes that a read of the list begins, and returns when.
func (l *ListLimiter) BeginRead(now time.Duration) (begunAt time.Duration) {
	l.begunAt = now
	l.reported = 0
	l.examined = 0
	l.stamped = nil
	l.draining, l.wasDraining = map[backendID]bool{}, l.draining
	return now
}

// Stamp returns the back ends that the read under way has found so far, and notes that the new ones among them were found by now. The result
// is never changed.
func (l *ListLimiter) Stamp(now time.Duration, items []Listed) []Listed {
	for _, item := range items[min(len(l.stamped), len(items)):] {
		item.ReadAt = now
		l.stamped = append(l.stamped, item)
	}
	return slices.Clone(l.stamped)
}

// Partial returns when the read under way began, and whether the back ends that it has found so far are to be taken now:
// at once where one has begun to drain, and the pages of a long read as they come.
func (l *ListLimiter) Partial(now time.Duration, items []Listed) (begunAt time.Duration, isDue bool) {
	isDue = l.findsDraining(items) || len(items) > l.reported && now-l.begunAt >= constants.ListTellAfter
	if isDue {
		l.reported = len(items)
	}
	return l.begunAt, isDue
}

// findsDraining looks at what is new in a read, and tells whether a back end drains that did not in the read before.
func (l *ListLimiter) findsDraining(items []Listed) bool {
	isNews := false
	for _, item := range items[min(l.examined, len(items)):] {
		if id := newBackendID(item.Service, item.Instance); item.IsDraining {
			isNews = isNews || !l.wasDraining[id]
			l.draining[id] = true
		}
	}
	l.examined = len(items)
	return isNews
}

// Reserve counts a call and returns how long it must wait; refusals is how often the list has refused its page. It
// fails with a *BusyError once these are too many.
func (l *ListLimiter) Reserve(now time.Duration, refusals int) (wait time.Duration, err error) {
	if refusals > constants.ListRefusals {
		return 0, &BusyError{refusals}
	}
	at := now
	if refusals > 0 {
		at += constants.ListRefused << (refusals - 1)
	}
	if l.rate <= 0 {
		return at - now, nil
	}
	burst := max(1, int(l.rate))
	if len(l.calls) >= burst {
		period := time.Duration(float64(burst) / l.rate * float64(time.Second))
		at = max(at, l.calls[len(l.calls)-burst]+max(constants.ListWindow, period))
	}
	l.calls = append(l.calls, at)
	l.calls = l.calls[max(0, len(l.calls)-burst):]
	return at - now, nil
}

// Package checker judges a run by what was seen from outside: by callers, back ends, the platform and operators.
//
// It owns the history of a run (history.go), the twelve rules on what must never happen (one function a rule, by theme
// in requests.go, configurations.go and backends.go), and what callers conclude from an answer (caller.go). It knows
// nothing of the product's inside and imports none of its packages, so that a fault there can't hide itself. The
// simulator feeds it from one goroutine, the fleet of real processes from many: see History for the lock.
package checker

import (
	"fmt"
	"sort"
	"time"
)

// The bounds of the rules.
const (
	// drainBound is how long after the list showed it a draining or vanished back end may still get requests.
	drainBound = 2500 * time.Millisecond
	// effectBound is how long after its acceptance a configuration may be unknown somewhere.
	effectBound = 2500 * time.Millisecond
	// emptyBound is how long after its acceptance the emptying of a zone may be unknown somewhere.
	emptyBound = 5 * time.Second
	// In any retryWindow a service may get retryAllowance retries and retryShare of its first attempts.
	retryWindow    = 10 * time.Second
	retryShare     = 0.2
	retryAllowance = 10
	// ColdPeriod is how long a back end warms up after its start. In any coldWindow of it, it may get coldLimit requests.
	ColdPeriod = 8 * time.Second
	coldWindow = time.Second
	coldLimit  = 12
)

// Verdict is what the checker found on one rule.
type Verdict struct {
	Rule string `json:"rule"`
	// Violations tell each time that the rule was broken.
	Violations []string `json:"broken,omitempty"`
	// Count is how many things were judged; of rule cold, the most requests in one window.
	Count int `json:"count"`
	// Worst is the longest that was seen of what Bound bounds.
	Worst time.Duration `json:"worst_ns,omitempty"`
	Bound time.Duration `json:"bound_ns,omitempty"`
}

func (v *Verdict) addViolation(format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}

func (v *Verdict) observe(span time.Duration) { v.Worst = max(v.Worst, span) }

// Check judges a history and gives one verdict a rule. It sorts the history's arrivals and matches by time.
func Check(h *History) []*Verdict {
	h.Lock()
	defer h.Unlock()
	sort.Slice(h.Arrivals, func(a, b int) bool { return h.Arrivals[a].At < h.Arrivals[b].At })
	sort.Slice(h.Matches, func(a, b int) bool { return h.Matches[a].At < h.Matches[b].At })
	return []*Verdict{
		checkOnce(h),
		checkSeal(h),
		checkAllowed(h),
		checkGone(h),
		checkEffect(h),
		checkReadBack(h),
		checkDropped(h),
		checkRepeats(h),
		checkCold(h),
		checkHome(h),
		checkEmptied(h),
		checkKeys(h),
	}
}

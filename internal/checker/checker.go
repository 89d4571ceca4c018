// Package checker holds the outside history of a run and judges it against what must never happen; fleet runs and simulated runs feed it alike.
package checker

import (
	"fmt"
	"sort"
	"time"
)

// Verdict is the checker's word on one rule.
type Verdict struct {
	Rule       string        `json:"rule"`
	Violations []string      `json:"broken,omitempty"`
	Count      int           `json:"count"`
	Worst      time.Duration `json:"worst_ns,omitempty"`
	Bound      time.Duration `json:"bound_ns,omitempty"`
}

const (
	drainBound     = 2500 * time.Millisecond
	effectBound    = 2500 * time.Millisecond
	emptyBound     = 5 * time.Second
	retryShare     = 0.2
	retryAllowance = 10
	coldLimit      = 12
)

func (v *Verdict) addViolation(form string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(form, args...))
}

func (v *Verdict) observe(d time.Duration) { v.Worst = max(v.Worst, d) }

// Check judges a history by what was seen from outside, one verdict a rule.
func Check(h *History) []*Verdict {
	h.Lock()
	defer h.Unlock()
	sort.Slice(h.Arrivals, func(a, b int) bool { return h.Arrivals[a].At < h.Arrivals[b].At })
	return []*Verdict{checkOnce(h), checkSeal(h), checkAllowed(h), checkGone(h), checkEffect(h), checkReadBack(h), checkDropped(h), checkRepeats(h), checkCold(h), checkHome(h), checkEmptied(h), checkKeys(h)}
}

package gateway

import (
	"time"

	"topazshed/internal/budget"
	"topazshed/internal/constants"
)

// First counts a request for a service.
func (l *Loads) First(now time.Duration, service string) {
	s := l.lockStripe(service)
	defer s.lock.Unlock()
	s.budgets.Of(service).Gain(now, int(l.bounds.RetryRatio*budget.Whole), constants.RepeatMargin)
}

// MayRepeat counts one more attempt at a request if this node's share of the fleet's retry budget allows it; nodes is the fleet's size.
// An earlier process of this node may have spent the share of the present window, so that within the first window this one's own first
// requests must have paid for all its repeats.
func (l *Loads) MayRepeat(now time.Duration, service string, nodes int) bool {
	s := l.lockStripe(service)
	defer s.lock.Unlock()
	bucket := s.budgets.Of(service)
	isYoung := now-l.begun < l.bounds.RetryWindow
	if nodes == 0 || isYoung && bucket.Earned() < budget.Whole {
		return false
	}
	return bucket.Take(now, int(l.bounds.RetrySlack*budget.Whole)/nodes, l.bounds.RetryWindow+constants.RepeatMargin)
}

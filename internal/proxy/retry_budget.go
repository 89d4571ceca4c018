package proxy

import (
	"time"

	"topazshed/internal/budget"
	"topazshed/internal/constants"
)

// First counts a first attempt of a service.
func (l *Loads) First(now time.Duration, service string) {
	s := l.lockStripe(service)
	defer s.lock.Unlock()
	s.budgets.Of(service).Gain(now, budget.Whole*constants.RepeatShare/100, constants.RepeatMargin)
}

// MayRepeat tells whether one more attempt fits the service's repeat budget, and counts it. The allowance beyond the share of first
// attempts is divided among the proxies in whole attempts. A service without first attempts has no budget.
func (l *Loads) MayRepeat(now time.Duration, service string, part Part) bool {
	s := l.lockStripe(service)
	defer s.lock.Unlock()
	bucket := s.budgets[service]
	if bucket == nil {
		return false
	}
	return bucket.Take(now, part.Share(constants.RepeatAllowance)*budget.Whole, constants.RepeatWindow+constants.RepeatMargin)
}

package gateway

import (
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// ColdRate is how many requests a second all nodes together may send to a cold back end.
func (l *Loads) ColdRate(policy *schema.ServicePolicy) int {
	return int(policy.GetColdRate()*l.bounds.ColdExcess+l.bounds.ColdMargin) - constants.ColdSpare
}

// MayCold counts a request to a cold back end if this node's share, one of so many, allows it. An earlier process of this node may have
// spent the share of the second that this one began in.
func (l *Loads) MayCold(now time.Duration, id string, policy *schema.ServicePolicy, shares int) bool {
	if now-l.begun < constants.ColdWindow {
		return false
	}
	allowed := l.ColdRate(policy) / max(1, shares)
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	i := s.instance(id)
	for len(i.coldSends) > 0 && now-i.coldSends[0] >= constants.ColdWindow {
		i.coldSends = i.coldSends[1:]
	}
	if len(i.coldSends) >= allowed {
		return false
	}
	i.coldSends = append(i.coldSends, now)
	return true
}

// ColdSent moves a request to a cold back end from when it was chosen, and counted, to when it is sent: connecting took time in between.
func (l *Loads) ColdSent(chosen, now time.Duration, id string) {
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	i := s.instance(id)
	if at := slices.Index(i.coldSends, chosen); at >= 0 {
		i.coldSends = append(slices.Delete(i.coldSends, at, at+1), now)
	}
}

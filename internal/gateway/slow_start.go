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

// HasColdRoom tells whether this node's share, one of so many, allows one more request to a cold back end.
func (l *Loads) HasColdRoom(now time.Duration, id string, policy *schema.ServicePolicy, shares int) bool {
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	return l.hasColdRoom(s.instance(id), now, policy, shares)
}

// HoldCold holds one request of this node's share of a cold back end, if there is room. It counts until ColdSent or ReleaseCold says what became
// of it, since connecting and writing take time.
func (l *Loads) HoldCold(now time.Duration, id string, policy *schema.ServicePolicy, shares int) bool {
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	i := s.instance(id)
	if !l.hasColdRoom(i, now, policy, shares) {
		return false
	}
	i.coldHeld++
	return true
}

// hasColdRoom needs the lock of the back end's stripe. An earlier process of this node may have spent the share of the second that this one
// began in.
func (l *Loads) hasColdRoom(i *instanceLoad, now time.Duration, policy *schema.ServicePolicy, shares int) bool {
	if now-l.begun < constants.ColdWindow {
		return false
	}
	i.coldSends = slices.DeleteFunc(i.coldSends, func(at time.Duration) bool { return now-at >= constants.ColdWindow })
	return i.coldHeld+len(i.coldSends) < l.ColdRate(policy)/max(1, shares)
}

// ColdSent notes that a request that was held for a cold back end has left now.
func (l *Loads) ColdSent(now time.Duration, id string) {
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	i := s.instance(id)
	i.coldHeld = max(0, i.coldHeld-1)
	i.coldSends = append(i.coldSends, now)
}

// ReleaseCold notes that a request that was held for a cold back end is not sent.
func (l *Loads) ReleaseCold(id string) {
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	i := s.instance(id)
	i.coldHeld = max(0, i.coldHeld-1)
}

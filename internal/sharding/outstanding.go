package sharding

import (
	"maps"
	"slices"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// pendingCall is a call without an answer so far.
type pendingCall struct {
	call   Call
	sentAt time.Duration
	// outstanding is what the call may give to the back end; only lease calls have one.
	outstanding *outstandingCall
}

// outstandingCall is a lease that a back end may have because of one call.
type outstandingCall struct {
	service  string
	instance string
	fence    Fence
	// ranges are the keys that the back end may still have a lease on.
	ranges []keyRange
	// until is when the lease has certainly lapsed, once the call has ended.
	until time.Duration
	// isInFlight is true until the call has ended.
	isInFlight bool
}

// lapseAfter is how long after the arrival of a lease its owner may still use it: back ends' clocks may run slower
// than the leader's.
func lapseAfter(duration time.Duration) time.Duration {
	return duration*100/(100-constants.KeyClockSlow) + constants.KeyLeaseMargin
}

// inherit assumes that each range's owner has a lease for as long as the calls of the leader before may have given it one.
func (m *LeaseManager) inherit(facts Facts) {
	until := facts.Now + constants.KeyPredecessorMargin + lapseAfter(m.leaseDuration)
	facts.Table.Each(servicesPrefix, func(row *schema.Row) {
		if !strings.Contains(row.Key, "/"+shardRangePart) {
			return
		}
		r := store.DecodeRow[schema.ShardRange](row)
		if r == nil {
			return
		}
		fence := Fence(r.Fence)
		if r.Releasing {
			fence--
		}
		m.outstandingCalls = append(m.outstandingCalls, &outstandingCall{
			service:  r.Service,
			instance: r.Instance,
			fence:    fence,
			ranges:   []keyRange{{Key(r.First), Key(r.Last)}},
			until:    until,
		})
	})
}

// expirePending ends the calls whose answer is long overdue.
func (m *LeaseManager) expirePending(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(m.pending)) {
		pending := m.pending[id]
		if now >= pending.sentAt+pending.call.Timeout+constants.KeyAnswerLost {
			m.Answered(now, Answer{ID: id, Result: Unknown})
		}
	}
}

// dropLapsed forgets the calls by which no back end can have a lease any more.
func (m *LeaseManager) dropLapsed(now time.Duration) {
	m.outstandingCalls = slices.DeleteFunc(m.outstandingCalls, func(c *outstandingCall) bool {
		return c.hasLapsed(now) || len(c.ranges) == 0
	})
}

func (c *outstandingCall) hasLapsed(now time.Duration) bool { return !c.isInFlight && c.until <= now }

// subtractReleased notes that an owner has given up a range: it refuses every lower fence from now on.
func (m *LeaseManager) subtractReleased(call Call) {
	released := keyRange{call.First, call.Last}
	for _, c := range m.outstandingCalls {
		if c.service != call.Service || c.instance != call.Instance || c.fence >= call.Fence {
			continue
		}
		var rest []keyRange
		for _, keys := range c.ranges {
			rest = append(rest, keys.without(released)...)
		}
		c.ranges = rest
	}
}

// hasLapsed reports whether no back end can have a lease on any of a shard's keys.
func (p *planner) hasLapsed(s shard) bool {
	for _, c := range p.manager.outstandingCalls {
		if c.service != p.service.Name || c.hasLapsed(p.facts.Now) || p.isVoid(c) {
			continue
		}
		if slices.ContainsFunc(c.ranges, s.overlaps) {
			return false
		}
	}
	return true
}

// isVoid reports whether the lease that a call gave has certainly ended with its owner's process.
func (p *planner) isVoid(c *outstandingCall) bool { return p.manager.ended[c.instance] }

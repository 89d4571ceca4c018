package sharding

import (
	"time"

	"topazshed/internal/constants"
)

// Answered takes the end of a call. It ignores an answer to a call that it does not know, or whose answer it has already taken.
func (m *LeaseManager) Answered(now time.Duration, answer Answer) {
	pending := m.pending[answer.ID]
	if pending == nil {
		return
	}
	delete(m.pending, answer.ID)
	if answer.Result == Replaced {
		m.ended[pending.call.Instance] = true
	}
	state := m.services[pending.call.Service]
	switch pending.call.Kind {
	case ReleaseLease:
		m.releaseAnswered(now, state, pending, answer)
	case Probe:
		state.probeAnswered(now, pending, answer)
	default:
		m.leaseAnswered(now, state, pending, answer)
	}
}

// shardID identifies the shard that a call is about.
func (c Call) shardID() shardID {
	return shardID{keyRange{c.First, c.Last}, c.Instance, c.Fence}
}

func (m *LeaseManager) releaseAnswered(now time.Duration, state *serviceState, pending *pendingCall, answer Answer) {
	progress := state.releases[pending.call.shardID()]
	progress.isWaiting = false
	progress.nextAt = now + constants.KeyRetryPause
	if answer.Result == Done {
		progress.isReleased = true
		progress.handover = answer.Handover
		m.subtractReleased(pending.call)
	}
}

func (s *serviceState) probeAnswered(now time.Duration, pending *pendingCall, answer Answer) {
	instance := pending.call.Instance
	progress := s.unresponsive[instance]
	switch {
	case answer.Result == Done:
		delete(s.unresponsive, instance)
	case progress != nil:
		progress.isWaiting = false
		progress.nextAt = now + constants.KeyRetryPause
	}
}

func (m *LeaseManager) leaseAnswered(now time.Duration, state *serviceState, pending *pendingCall, answer Answer) {
	instance := pending.call.Instance
	progress := state.leases[pending.call.shardID()]
	progress.isWaiting = false
	pending.outstanding.isInFlight = false
	pending.outstanding.until = now + lapseAfter(pending.call.LeaseDuration)
	if answer.Result == Done {
		progress.isGranted = true
		progress.nextAt = pending.sentAt + m.leaseDuration/constants.KeyRenewParts
		progress.refusals = 0
		delete(state.failingSince, instance)
		delete(state.excludedUntil, instance)
		return
	}
	progress.nextAt = now + constants.KeyRetryPause
	switch answer.Result {
	case Refused:
		progress.refusals++
		progress.isRefused = true
		return
	case Failed, Replaced:
		pending.outstanding.until = now
	case Unsent:
		pending.outstanding.until = now
		state.markUnresponsive(instance, now)
	default:
		pending.outstanding.until += constants.KeyArrivalMargin
		state.markUnresponsive(instance, now)
	}
	if _, isKnown := state.failingSince[instance]; !isKnown {
		state.failingSince[instance] = max(pending.sentAt, now-constants.KeyLeaseWait)
	}
}

package sharding

import (
	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// renewLease notes that a lease call for a shard is due, or sends a probe if the owner was unresponsive. It raises the fence
// if the owner refused it.
func (p *planner) renewLease(s shard, backend *schema.Backend) {
	lease := p.leaseProgressOf(s)
	if lease.isRefused && !lease.isWaiting && !p.isChanging(s) && !p.isWithdrawn(s) {
		p.raiseFence(s, lease)
		return
	}
	if !p.mayCall(&lease.callProgress) || p.isWithdrawn(s) {
		return
	}
	if probe := p.state.unresponsive[s.owner]; probe != nil {
		p.probe(s, backend, probe)
		return
	}
	if lease.isGranted && p.isDoubted(s.owner) {
		return
	}
	p.dueLeases = append(p.dueLeases, dueLease{s, backend, lease})
}

// grant sends a lease call.
func (p *planner) grant(due dueLease) {
	s := due.shard
	due.progress.isWaiting = true
	outstanding := &outstandingCall{
		service:    p.service.Name,
		instance:   s.owner,
		fence:      s.fence,
		ranges:     []keyRange{s.keyRange},
		isInFlight: true,
	}
	p.manager.outstandingCalls = append(p.manager.outstandingCalls, outstanding)
	call := newCall(GrantLease, s, due.backend)
	call.LeaseDuration = p.manager.leaseDuration
	call.Handover = s.handover
	call.Timeout = constants.KeyLeaseWait
	p.send(call, outstanding)
}

func (p *planner) leaseProgressOf(s shard) *leaseProgress {
	progress := p.state.leases[s.id()]
	if progress == nil {
		progress = &leaseProgress{}
		p.state.leases[s.id()] = progress
	}
	return progress
}

// raiseFence proposes a higher fence for the owner, which has seen a higher one than the row's.
func (p *planner) raiseFence(s shard, lease *leaseProgress) {
	raised := s
	raised.fence += Fence(lease.refusals)
	p.propose("raise the fence", 0, []shard{s}, []shard{raised})
}

// probe asks whether an unresponsive owner can be reached again.
func (p *planner) probe(s shard, backend *schema.Backend, progress *callProgress) {
	if progress.isWaiting || p.facts.Now < progress.nextAt {
		return
	}
	progress.isWaiting = true
	call := newCall(Probe, s, backend)
	call.Timeout = constants.KeyProbeWait
	p.send(call, nil)
}

// release asks the owner of a shard that moves to finish its work on it and to give it up.
func (p *planner) release(s shard, backend *schema.Backend) {
	progress := p.state.releases[s.id()]
	if progress == nil {
		progress = &releaseProgress{}
		p.state.releases[s.id()] = progress
	}
	if progress.isReleased || !p.mayCall(&progress.callProgress) || !p.manager.budget.mayRelease() {
		return
	}
	progress.isWaiting = true
	call := newCall(ReleaseLease, s, backend)
	call.Timeout = constants.KeyReleaseWait
	p.send(call, nil)
}

// mayCall reports whether the next call is due and the leader's own lease from a majority allows one.
func (p *planner) mayCall(progress *callProgress) bool {
	return !progress.isWaiting && p.facts.Now >= progress.nextAt && p.facts.Now-p.facts.LeaseAt < constants.KeyLeaseTime
}

func newCall(kind CallKind, s shard, backend *schema.Backend) Call {
	return Call{Kind: kind, Instance: s.owner, Address: backend.Address, First: s.first, Last: s.last, Fence: s.fence}
}

func (p *planner) send(call Call, outstanding *outstandingCall) {
	p.manager.lastCallID++
	call.ID = p.manager.lastCallID
	call.Service = p.service.Name
	p.manager.budget.note(call)
	p.manager.pending[call.ID] = &pendingCall{call: call, sentAt: p.facts.Now, outstanding: outstanding}
	p.effects.Calls = append(p.effects.Calls, call)
}

// isDoubted reports whether an instance is so slow to answer a lease call that the renewals of its other shards had
// better wait for that answer.
func (p *planner) isDoubted(instance string) bool {
	if p.doubted == nil {
		p.doubted = map[string]bool{}
		for _, pending := range p.manager.pending {
			isLease := pending.call.Kind == GrantLease && pending.call.Service == p.service.Name
			if isLease && p.facts.Now-pending.sentAt >= constants.KeyDoubt {
				p.doubted[pending.call.Instance] = true
			}
		}
	}
	return p.doubted[instance]
}

package sharding

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// assign proposes new owners for a shard that no back end can have a lease on.
func (p *planner) assign(s shard) {
	if len(p.eligible) == 0 || p.isChanging(s) {
		return
	}
	weight := p.keyLoad.weight(s.keyRange)
	p.weights[p.nextOwner(s)] -= weight
	var fresh []shard
	if release := p.state.releases[s.id()]; release != nil && release.isReleased && s.isReleasing {
		fresh = p.assignParts(s, 1, release.handover)
	} else {
		count := 1 + int(weight*float64(len(p.eligible))*constants.KeyLeaveParts)
		fresh = p.assignParts(s, min(count, len(p.eligible), constants.MaxKeyPieces, int(s.width())), "")
	}
	p.manager.withdrawn[s.rowKey] = s.rowIndex
	p.propose(p.assignReason(s), 0, []shard{s}, fresh)
}

// assignReason tells why no back end can have a lease on a shard that gets a new owner.
func (p *planner) assignReason(s shard) string {
	if release := p.state.releases[s.id()]; release != nil && release.isReleased && s.isReleasing {
		return "assign keys: released"
	}
	isVoid := slices.ContainsFunc(p.manager.outstandingCalls, func(c *outstandingCall) bool {
		isOfShard := c.service == p.service.Name && slices.ContainsFunc(c.ranges, s.overlaps)
		return isOfShard && !c.hasLapsed(p.facts.Now)
	})
	if isVoid {
		return "assign keys: owner's process ended"
	}
	return "assign keys: lease lapsed"
}

// assignParts divides a shard into parts of about equal weight and gives each to an eligible instance.
func (p *planner) assignParts(s shard, count int, handover string) []shard {
	fence := s.fence
	if !s.isReleasing {
		fence++
	}
	var parts []shard
	first := s.first
	for left := count; left > 0; left-- {
		last := s.last
		if left > 1 {
			share := p.keyLoad.weight(keyRange{first, s.last}) / float64(left)
			last = p.keyLoad.cut(first, s.last-Key(left-1), share)
		}
		target := p.state.targets[s.first]
		if count > 1 || !slices.Contains(p.eligible, target) {
			target = p.lightest("")
		}
		part := shard{keyRange: keyRange{first, last}, owner: target, fence: fence, handover: handover}
		p.weights[target] += p.keyLoad.weight(part.keyRange)
		parts = append(parts, part)
		first = last + 1
	}
	return parts
}

// moveRange proposes to take a part of a shard off its owner, for a target.
func (p *planner) moveRange(s shard, part keyRange, target, reason string) {
	p.movePieces(s, split(s.keyRange, part, target), reason)
}

// movePieces proposes to take those pieces of a shard off its owner that have a target.
func (p *planner) movePieces(s shard, pieces []piece, reason string) {
	handover := s.handover
	if lease := p.state.leases[s.id()]; lease != nil && lease.isGranted {
		handover = ""
	}
	var fresh []shard
	width := uint32(0)
	for _, piece := range pieces {
		part := shard{keyRange: piece.keyRange, owner: s.owner, fence: s.fence, handover: handover}
		if piece.target != "" {
			part.isReleasing = true
			part.fence = s.fence + 1
			part.handover = ""
			weight := p.keyLoad.weight(piece.keyRange)
			p.weights[s.owner] -= weight
			p.weights[piece.target] += weight
			p.state.targets[piece.first] = piece.target
			width += piece.width()
		}
		fresh = append(fresh, part)
	}
	p.propose(reason, width, []shard{s}, fresh)
}

// evacuation is the removal of all shards from an owner that leaves, a part at a time.
type evacuation struct {
	startedAt time.Duration
	// width is how many keys the owner had at the start.
	width uint32
}

// dueWidth is how many of the keys should be on their way by now.
func (e evacuation) dueWidth(now time.Duration, isGradual bool) uint32 {
	steps := uint32((now-e.startedAt)/constants.KeyLeaveStep) + 1
	if !isGradual || steps >= constants.KeyLeaveParts {
		return e.width
	}
	return (e.width*steps + constants.KeyLeaveParts - 1) / constants.KeyLeaveParts
}

// mustLeave reports whether an owner is to lose all its shards, and whether it loses them a part at a time.
func (p *planner) mustLeave(backend *schema.Backend) (mustLeave, isGradual bool) {
	_, isExcluded := p.state.excludedUntil[backend.Instance]
	mustLeave = isExcluded ||
		backend.Failing ||
		backend.State == schema.BackendState_BACKEND_DRAINING ||
		p.isInEmptiedZone(backend)
	return mustLeave, !isExcluded
}

// evacuate takes shards off the owners that leave.
func (p *planner) evacuate() {
	isLeaving := map[string]bool{}
	for _, backend := range p.service.Backends {
		mustLeave, isGradual := p.mustLeave(backend)
		if !mustLeave || p.lightest(backend.Instance) == "" || p.manager.ended[backend.Instance] {
			continue
		}
		left, moving := p.ownedWidth(backend.Instance)
		if left == 0 {
			continue
		}
		isLeaving[backend.Instance] = true
		current := p.evacuationOf(backend.Instance, left)
		moved := moving + current.width - left
		p.moveOff(backend.Instance, current.dueWidth(p.facts.Now, isGradual), moved)
	}
	maps.DeleteFunc(p.state.evacuations, func(instance string, _ evacuation) bool { return !isLeaving[instance] })
}

// ownedWidth is how many keys an instance owns that are not being released, and how many of them a proposed record takes off it.
func (p *planner) ownedWidth(instance string) (owned, moving uint32) {
	for _, s := range p.shards {
		if s.owner != instance || s.isReleasing {
			continue
		}
		owned += s.width()
		if p.isChanging(s) {
			moving += p.state.proposed[s.rowKey].width
		}
	}
	return owned, moving
}

// evacuationOf returns an owner's evacuation, and begins it anew if the owner has more keys than at its start.
func (p *planner) evacuationOf(instance string, owned uint32) evacuation {
	current, isKnown := p.state.evacuations[instance]
	if !isKnown || owned > current.width {
		current = evacuation{p.facts.Now, owned}
		p.state.evacuations[instance] = current
	}
	return current
}

// moveOff takes shards off an owner until as many keys as are due have been moved.
func (p *planner) moveOff(instance string, due, moved uint32) {
	for _, s := range p.shards {
		if due <= moved {
			return
		}
		if s.owner != instance || s.isReleasing || p.isChanging(s) || p.isWithdrawn(s) {
			continue
		}
		width := min(due-moved, s.width())
		part := keyRange{s.first, s.first + Key(width) - 1}
		p.moveRange(s, part, p.lightest(instance), "take keys off a leaving back end")
		moved += width
	}
}

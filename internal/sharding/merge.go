package sharding

import (
	"slices"

	"topazshed/internal/constants"
)

// coalesce moves a small shard with little load to the owner of an adjacent one, so that both can be merged. It moves
// one shard after the other, and only in the calm, to keep the number of shards low enough that hot ranges can be cut
// out when they must.
func (b *balancer) coalesce() {
	hasRoom := len(b.shards)*constants.KeyCoalesceParts <= b.maxShards()*(constants.KeyCoalesceParts-1)
	if hasRoom || b.moves > 0 || b.facts.Now-b.state.unevenSince < constants.KeyCoalescePause {
		return
	}
	best, target := -1, ""
	for i, s := range b.shards {
		load := b.keyLoad.sum(s.keyRange)
		if !b.isSettled(s) || load > constants.KeyCoalesceLoad*b.mean || best >= 0 && s.width() >= b.shards[best].width() {
			continue
		}
		for _, side := range []int{i - 1, i + 1} {
			if side >= 0 && side < len(b.shards) && b.mayJoin(s, b.shards[side], load) {
				best, target = i, b.shards[side].owner
			}
		}
	}
	if best >= 0 {
		b.moveRange(b.shards[best], b.shards[best].keyRange, target, "coalesce shard ranges")
		b.state.unevenSince = b.facts.Now
	}
}

// mayJoin reports whether a shard may move to the owner of an adjacent one without making the load of either owner uneven.
func (b *balancer) mayJoin(s, adjacent shard, load float64) bool {
	if !b.isSettled(adjacent) || adjacent.owner == s.owner || !slices.Contains(b.eligible, adjacent.owner) {
		return false
	}
	from, to := b.loads[s.owner], b.loads[adjacent.owner]
	return to+load <= max(from, constants.KeyCoalesceShare*b.mean) && from-load >= min(to, b.mean/constants.KeyCoalesceShare)
}

// merge joins adjacent settled shards of one owner, also of differing fences: the highest is not below any that the
// owner has seen on them.
func (p *planner) merge() {
	for i := 0; i < len(p.shards); {
		end := p.mergeEnd(i)
		if end-i > 1 {
			p.proposeMerge(p.shards[i:end])
		}
		i = end
	}
}

// mergeEnd returns the index behind the last shard that can be merged with the one at an index.
func (p *planner) mergeEnd(start int) int {
	first := p.shards[start]
	end := start + 1
	if _, isLeaving := p.state.evacuations[first.owner]; isLeaving || !p.isSettled(first) {
		return end
	}
	for end < len(p.shards) && p.shards[end].owner == first.owner && p.isSettled(p.shards[end]) {
		end++
	}
	return end
}

func (p *planner) proposeMerge(shards []shard) {
	merged := shard{
		keyRange: keyRange{shards[0].first, shards[len(shards)-1].last},
		owner:    shards[0].owner,
	}
	for _, s := range shards {
		merged.fence = max(merged.fence, s.fence)
	}
	p.propose("merge shard ranges", 0, shards, []shard{merged})
}

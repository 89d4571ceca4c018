package sharding

import (
	"cmp"
	"slices"

	"topazshed/internal/constants"
)

// balancer plans moves that even out the load of a service's owners.
type balancer struct {
	*planner
	// loads are the requests in flight by instance, the planned moves counted.
	loads map[string]float64
	// mean is the mean load of an eligible instance.
	mean float64
	// moves counts the shards that are on their way or planned to be.
	moves int
	// plans holds how shards are to be divided, by first key.
	plans map[Key][]piece
}

// balance moves the hottest small ranges from the most to the least loaded owners, several at a time, once the load
// has been uneven for a while. In the calm it makes shards fewer.
func (p *planner) balance() {
	if p.keyLoad.total < constants.MinKeyLoad || len(p.eligible) < 2 {
		p.state.isUneven = false
		return
	}
	b := p.newBalancer()
	_, _, isUneven := b.extremes()
	if !isUneven && !p.state.isUneven {
		b.coalesce()
		return
	}
	if isUneven != p.state.isUneven {
		p.state.isUneven = isUneven
		p.state.unevenSince = p.facts.Now
		return
	}
	if p.facts.Now-p.state.unevenSince < constants.KeyUnevenFor {
		return
	}
	b.plan()
	for _, s := range p.shards {
		pieces := b.plans[s.first]
		if slices.ContainsFunc(pieces, func(piece piece) bool { return piece.target != "" }) {
			p.movePieces(s, pieces, "move hot keys")
			p.state.unevenSince = p.facts.Now
		}
	}
}

func (p *planner) newBalancer() *balancer {
	b := &balancer{
		planner: p,
		loads:   map[string]float64{},
		mean:    p.keyLoad.total / float64(len(p.eligible)),
		plans:   map[Key][]piece{},
	}
	for _, s := range p.shards {
		b.loads[p.nextOwner(s)] += p.keyLoad.sum(s.keyRange)
		if s.isReleasing || p.isChanging(s) {
			b.moves++
		}
	}
	return b
}

// extremes returns the least and the most loaded instance, and whether they differ enough to move keys.
func (b *balancer) extremes() (least, most string, isUneven bool) {
	byLoad := func(x, y string) int { return cmp.Or(cmp.Compare(b.loads[x], b.loads[y]), cmp.Compare(x, y)) }
	least = slices.MinFunc(b.eligible, byLoad)
	most = slices.MaxFunc(b.eligible, byLoad)
	excess := b.loads[most] - b.mean
	if len(b.shards) > b.maxShards() {
		return least, most, b.loads[most] > constants.KeyFarShare*b.mean && excess >= constants.KeyLoadUneven
	}
	isOverloaded := b.loads[most] > constants.KeyHotShare*b.mean && excess >= constants.KeyLoadUneven
	isIdle := b.loads[least] < constants.KeyIdleShare*b.mean && b.mean-b.loads[least] >= constants.KeyLoadUneven
	return least, most, isOverloaded || isIdle
}

// plan divides shards of the most loaded instances until the load is even or enough moves are under way.
func (b *balancer) plan() {
	for ; b.moves < max(constants.MaxKeyMoves, len(b.eligible)); b.moves++ {
		least, most, isUneven := b.extremes()
		if !isUneven {
			return
		}
		amount := min((b.loads[most]-b.loads[least])/2, max(b.mean-b.loads[least], b.mean*constants.KeyMovePart))
		moved, isFound := b.carve(most, least, amount)
		if !isFound {
			return
		}
		b.loads[most] -= moved
		b.loads[least] += moved
	}
}

// seed is one bucket's part of a piece, from which a range to move may grow.
type seed struct {
	keyRange
	shardFirst Key
	// pieceIndex is the piece's place in the plan of its shard.
	pieceIndex int
	// density is the load per key.
	density float64
}

// carve plans to move the densest range of an instance that carries no more than an amount of load, and returns its load.
func (b *balancer) carve(from, to string, amount float64) (load float64, isFound bool) {
	seeds := b.seeds(from)
	slices.SortStableFunc(seeds, func(x, y seed) int { return cmp.Compare(y.density, x.density) })
	for _, hot := range seeds {
		part, fits := b.shrink(hot.keyRange, amount)
		if !fits {
			continue
		}
		pieces := b.plans[hot.shardFirst]
		whole := pieces[hot.pieceIndex].keyRange
		if part == hot.keyRange {
			part = b.grow(part, whole, hot.density, amount)
		}
		moved := b.keyLoad.sum(part)
		if moved < constants.KeyMovePart*b.mean {
			continue
		}
		b.plans[hot.shardFirst] = slices.Replace(pieces, hot.pieceIndex, hot.pieceIndex+1, split(whole, part, to)...)
		return moved, true
	}
	return 0, false
}

// seeds returns the buckets of all settled shards of an instance that are not yet planned to move.
func (b *balancer) seeds(owner string) []seed {
	var seeds []seed
	for _, s := range b.shards {
		if s.owner != owner || !b.isSettled(s) {
			continue
		}
		if _, isPlanned := b.plans[s.first]; !isPlanned {
			b.plans[s.first] = []piece{{keyRange: s.keyRange}}
		}
		for i, piece := range b.plans[s.first] {
			if piece.target != "" {
				continue
			}
			b.keyLoad.eachBucket(piece.keyRange, func(part keyRange) {
				density := b.keyLoad.sum(part) / float64(part.width())
				seeds = append(seeds, seed{part, s.first, i, density})
			})
		}
	}
	return seeds
}

// shrink halves a range until it carries no more than an amount of load; fits is false if a single key carries more.
func (b *balancer) shrink(keys keyRange, amount float64) (shrunk keyRange, fits bool) {
	for b.keyLoad.sum(keys) > amount && keys.last > keys.first {
		keys.last = keys.first + (keys.last-keys.first)/2
	}
	return keys, b.keyLoad.sum(keys) <= amount
}

// grow adds buckets on both sides of a range while they are dense enough and the range carries no more than an amount of load.
func (b *balancer) grow(keys, whole keyRange, density, amount float64) keyRange {
	isFitting := func(side keyRange) bool {
		load := b.keyLoad.sum(side)
		return load >= constants.KeyMoveDensity*density*float64(side.width()) && b.keyLoad.sum(keys)+load <= amount
	}
	for hasGrown := true; hasGrown; {
		hasGrown = false
		if keys.first > whole.first {
			next := max(b.keyLoad.bucketStart(keys.first-1), whole.first)
			if isFitting(keyRange{next, keys.first - 1}) {
				keys.first = next
				hasGrown = true
			}
		}
		if keys.last < whole.last {
			next := min(b.keyLoad.bucketEnd(keys.last+1), whole.last)
			if isFitting(keyRange{keys.last + 1, next}) {
				keys.last = next
				hasGrown = true
			}
		}
	}
	return keys
}

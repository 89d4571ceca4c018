package sharding

import (
	"slices"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// planner evaluates one service within one step of the LeaseManager.
type planner struct {
	manager *LeaseManager
	state   *serviceState
	facts   Facts
	service *store.Service
	effects *Effects
	// shards are the service's rows in the order of their keys.
	shards   []shard
	eligible []string
	keyLoad  keyLoad
	// weights are the shares of load and keys of each instance, the moves under way counted.
	weights map[string]float64
	// dueLeases are the shards whose lease calls are due.
	dueLeases []dueLease
	// doubted holds the instances that are slow to answer a lease call; nil until isDoubted is first asked.
	doubted map[string]bool
}

func (p *planner) run() {
	p.facts.Table.Each(store.ServicePrefix(p.service.Name)+shardRangePart, func(row *schema.Row) {
		if s, ok := newShard(row); ok {
			p.shards = append(p.shards, s)
		}
	})
	p.keyLoad = newKeyLoad(p.facts.Load[p.service.Name])
	p.forgetStale()
	p.settleHomes()
	p.eligible = p.listEligible()
	if len(p.shards) == 0 {
		p.layOut()
		return
	}
	p.weights = map[string]float64{}
	for _, s := range p.shards {
		p.weights[p.nextOwner(s)] += p.keyLoad.weight(s.keyRange)
	}
	for _, s := range p.shards {
		p.advance(s)
	}
	p.grantDueLeases()
	p.evacuate()
	p.moveHome()
	p.balance()
	p.merge()
}

// advance does what one shard needs next: a new owner, a release or a lease.
func (p *planner) advance(s shard) {
	backend := p.service.Backend(s.owner)
	isLost := backend == nil || p.manager.ended[s.owner]
	switch {
	case (isLost || s.isReleasing || p.isWithdrawn(s)) && p.hasLapsed(s):
		p.assign(s)
	case isLost:
	case s.isReleasing:
		p.release(s, backend)
	default:
		p.renewLease(s, backend)
	}
}

// nextOwner is the instance that a shard's load counts for: the target of a release under way, else the owner.
func (p *planner) nextOwner(s shard) string {
	if target, isThere := p.state.targets[s.first]; s.isReleasing && isThere {
		return target
	}
	return s.owner
}

// isChanging reports whether a change of the shard's row was proposed a short while ago.
func (p *planner) isChanging(s shard) bool {
	change, isThere := p.state.proposed[s.rowKey]
	return isThere && change.index == s.rowIndex && p.facts.Now-change.at < constants.KeyProposalPause
}

// isWithdrawn reports whether a record that takes the shard from its owner may still be on its way.
func (p *planner) isWithdrawn(s shard) bool {
	index, isThere := p.manager.withdrawn[s.rowKey]
	return isThere && index == s.rowIndex
}

// isSettled reports whether a shard's owner has a lease and nothing is about to change it.
func (p *planner) isSettled(s shard) bool {
	lease := p.state.leases[s.id()]
	return !s.isReleasing && lease != nil && lease.isGranted && !lease.isRefused && !p.isChanging(s) && !p.isWithdrawn(s)
}

// maxShards is the number of shards above which only a great difference of load divides further ones.
func (p *planner) maxShards() int {
	return max(constants.MaxKeyRanges, constants.KeyRangesPerOwner*len(p.eligible))
}

// lightest returns the eligible instance with the least weight other than one, or "" if there is none.
func (p *planner) lightest(except string) string {
	best := ""
	for _, instance := range p.eligible {
		if instance != except && (best == "" || p.weights[instance] < p.weights[best]) {
			best = instance
		}
	}
	return best
}

// propose replaces shards by others in one record; width is how many keys it takes off their owner.
func (p *planner) propose(reason string, width uint32, old, fresh []shard) {
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: reason}
	for _, s := range old {
		record.Guards = append(record.Guards, &schema.Guard{Key: s.rowKey, Index: uint64(s.rowIndex)})
		p.state.proposed[s.rowKey] = proposal{index: s.rowIndex, at: p.facts.Now, width: width}
		width = 0
	}
	isWritten := map[string]bool{}
	for _, s := range fresh {
		key := store.ShardRangeKey(p.service.Name, uint32(s.first))
		isWritten[key] = true
		isReplaced := slices.ContainsFunc(old, func(other shard) bool { return other.rowKey == key })
		if !isReplaced {
			record.Guards = append(record.Guards, &schema.Guard{Key: key})
		}
		record.Rows = append(record.Rows, store.EncodeRow(key, s.encode(p.service.Name)))
	}
	for _, s := range old {
		if !isWritten[s.rowKey] {
			record.Rows = append(record.Rows, store.Tombstone(s.rowKey))
		}
	}
	p.effects.Records = append(p.effects.Records, record)
}

package sharding

import (
	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// firstFence is the fence of the shards of the first layout.
const firstFence = 1

// layOut proposes the first shards of a service, once the number of its eligible back ends has stood still.
func (p *planner) layOut() {
	if len(p.eligible) == 0 {
		p.state.hasEligible = false
		return
	}
	if !p.state.hasEligible || p.state.eligibleCount != len(p.eligible) {
		p.state.hasEligible = true
		p.state.eligibleSince = p.facts.Now
		p.state.eligibleCount = len(p.eligible)
	}
	key := store.ShardRangeKey(p.service.Name, 0)
	former, isProposed := p.state.proposed[key]
	isPending := isProposed && p.facts.Now-former.at < constants.KeyProposalPause
	if p.facts.Now-p.state.eligibleSince < constants.KeyLayoutSettle || isPending {
		return
	}
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Guards: []*schema.Guard{{Key: key}}, Reason: "lay out keys"}
	for _, s := range p.equalShards(len(p.eligible) * p.shardsPerOwner()) {
		record.Rows = append(record.Rows, store.EncodeRow(store.ShardRangeKey(p.service.Name, uint32(s.first)), s.encode(p.service.Name)))
	}
	p.state.proposed[key] = proposal{at: p.facts.Now}
	p.effects.Records = append(p.effects.Records, record)
}

// shardsPerOwner is how many shards each owner gets in the first layout. Several spread keys that are busy and close
// together over more owners.
func (p *planner) shardsPerOwner() int {
	if len(p.eligible) == 1 {
		return 1
	}
	bound := p.maxShards() * (constants.KeyCoalesceParts - 1) / constants.KeyCoalesceParts / len(p.eligible)
	return max(1, min(constants.KeyRangesAtFirst, bound))
}

// equalShards divides all keys into shards of equal width, which go to the eligible instances in turn.
func (p *planner) equalShards(count int) []shard {
	shards := make([]shard, count)
	for i := range shards {
		first := Key(i * (constants.LastKey + 1) / count)
		last := Key((i+1)*(constants.LastKey+1)/count - 1)
		shards[i] = shard{keyRange: keyRange{first, last}, owner: p.eligible[i%len(p.eligible)], fence: firstFence}
	}
	return shards
}

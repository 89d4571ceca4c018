package sharding

import (
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// The parts of the keys of shard ranges' rows.
const (
	servicesPrefix = "s/"
	shardRangePart = "span/"
)

// shard is one shard range as its row in the table has it.
type shard struct {
	keyRange
	owner string
	fence Fence
	// handover is what the owner before returned when it released the range.
	handover string
	// isReleasing is true while the range is being taken off its owner; the row's fence is then already above the owner's.
	isReleasing bool
	rowKey      string
	rowIndex    raft.Index
}

// shardID identifies a shard range as it was when a call about it was made.
type shardID struct {
	keyRange
	owner string
	fence Fence
}

// newShard decodes a row; ok is false if the row holds no shard range.
func newShard(row *schema.Row) (decoded shard, ok bool) {
	r := store.DecodeRow[schema.ShardRange](row)
	if r == nil {
		return shard{}, false
	}
	return shard{
		keyRange:    keyRange{Key(r.First), Key(r.Last)},
		owner:       r.Instance,
		fence:       Fence(r.Fence),
		handover:    r.Handover,
		isReleasing: r.Releasing,
		rowKey:      row.Key,
		rowIndex:    raft.Index(row.Index),
	}, true
}

func (s shard) id() shardID { return shardID{s.keyRange, s.owner, s.fence} }

// encode returns the shard range as a row of a service.
func (s shard) encode(service string) *schema.ShardRange {
	return &schema.ShardRange{
		Service:   service,
		First:     uint32(s.first),
		Last:      uint32(s.last),
		Instance:  s.owner,
		Fence:     uint64(s.fence),
		Handover:  s.handover,
		Releasing: s.isReleasing,
	}
}

package leader

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// replicaSettle is how long a node must have been heard of before it becomes a replica: nodes that start together join
// in one change.
const replicaSettle = 2 * time.Second

// replicaCandidates are the nodes that should be the replicas of a region.
type replicaCandidates struct {
	members []*schema.Member
	// isSettling tells that another ready node has not been heard of for long enough to join.
	isSettling bool
	// isCatchingUp tells that a replica of the present set doesn't serve as one of it yet.
	isCatchingUp bool
}

// PlanReplicaSets gives one record for each region whose replicas of reservations should change now. A set that follows
// another one is fenced until no node can rely on the former one any more.
func (f *Fleet) PlanReplicaSets(state State) []*schema.Record {
	var records []*schema.Record
	for _, region := range slices.Sorted(maps.Keys(state.View.Regions)) {
		if record := f.planReplicaSet(state, region); record != nil {
			records = append(records, record)
		}
	}
	return records
}

func (f *Fleet) planReplicaSet(state State, region string) *schema.Record {
	present := state.View.ReplicaSets[region]
	candidates := f.replicaCandidates(state, region, present)
	if len(candidates.members) == 0 || present == nil && candidates.isSettling {
		return nil
	}
	key := store.ReplicaSetKey(region)
	plan := newChange(state.Table, "replica set of "+region)
	switch {
	case isReplicaSetDue(present, candidates):
		plan.put(store.EncodeRow(key, nextReplicaSet(region, present, candidates.members)))
	case present.GetFenced():
		if isReleased, _ := f.Released(state, state.indexOf(key)); isReleased {
			open := proto.Clone(present).(*schema.ReplicaSet)
			open.Fenced = false
			plan.put(store.EncodeRow(key, open))
		}
	}
	return plan.result()
}

// replicaCandidates finds the ready nodes of a region that are replicas already or have been heard of for long enough.
func (f *Fleet) replicaCandidates(state State, region string, present *schema.ReplicaSet) replicaCandidates {
	var candidates replicaCandidates
	for _, id := range slices.Sorted(maps.Keys(state.View.Nodes)) {
		node := state.View.Nodes[id]
		if node.Region != region || node.State != schema.NodeState_NODE_READY {
			continue
		}
		record := f.nodes[id]
		isReplica := memberAt(present.GetMembers(), id) >= 0
		if isReplica && record != nil && (record.ReplicaSet < present.Number || !record.IsReplicaReady) {
			candidates.isCatchingUp = true
		}
		if !isReplica && (record == nil || state.Now-record.FirstHeard < replicaSettle) {
			candidates.isSettling = true
			continue
		}
		candidates.members = append(candidates.members, &schema.Member{Id: id, Address: node.Address, Zone: node.Zone})
	}
	return candidates
}

// isReplicaSetDue tells whether the set must change now. A set that loses a replica changes at once; one that only
// grows waits until nodes that have just started have settled and the present replicas have caught up.
func isReplicaSetDue(present *schema.ReplicaSet, candidates replicaCandidates) bool {
	if present == nil {
		return true
	}
	isSame := slices.EqualFunc(present.Members, candidates.members, func(a, b *schema.Member) bool { return proto.Equal(a, b) })
	if isSame {
		return false
	}
	losesReplica := slices.ContainsFunc(present.Members, func(m *schema.Member) bool { return memberAt(candidates.members, m.Id) < 0 })
	return losesReplica || !candidates.isCatchingUp && !candidates.isSettling
}

func nextReplicaSet(region string, present *schema.ReplicaSet, members []*schema.Member) *schema.ReplicaSet {
	return &schema.ReplicaSet{
		Region:  region,
		Number:  present.GetNumber() + 1,
		Members: members,
		Former:  present.GetMembers(),
		Fenced:  present != nil,
		First:   present == nil,
	}
}

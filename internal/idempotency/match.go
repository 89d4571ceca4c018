package idempotency

import (
	"cmp"
	"slices"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Match returns the replicas of an attempt id, by rendezvous hashing; never all in one zone where a set has several.
func Match(set *schema.ReplicaSet, attempt string) []*schema.Member {
	members := slices.Clone(set.Members)
	slices.SortFunc(members, func(a, b *schema.Member) int {
		return cmp.Compare(store.RendezvousWeight(b.Id, attempt), store.RendezvousWeight(a.Id, attempt))
	})
	count := min(len(members), constants.ReservationReplicas)
	if count < constants.ReservationReplicas {
		return members[:count]
	}
	isInFirstZone := func(member *schema.Member) bool { return member.Zone == members[0].Zone }
	if isInFirstZone(members[1]) && isInFirstZone(members[2]) {
		other := slices.IndexFunc(members, func(member *schema.Member) bool { return !isInFirstZone(member) })
		if other > 2 {
			members[2] = members[other]
		}
	}
	return members[:count]
}

// Majority returns how many of an id's replicas must agree, for a set of count members.
func Majority(count int) int { return min(count, constants.ReservationReplicas)/2 + 1 }

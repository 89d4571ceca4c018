package sharding

import (
	"cmp"
	"slices"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// callBudget counts the calls in flight, so that a leader never has more of them than it can serve beside its heartbeats.
type callBudget struct {
	grants   int
	releases int
	// grantsTo counts the grants in flight by instance.
	grantsTo map[string]int
}

func newCallBudget(pending map[uint64]*pendingCall) *callBudget {
	b := &callBudget{grantsTo: map[string]int{}}
	for _, p := range pending {
		b.note(p.call)
	}
	return b
}

func (b *callBudget) note(call Call) {
	switch call.Kind {
	case GrantLease:
		b.grants++
		b.grantsTo[call.Instance]++
	case ReleaseLease:
		b.releases++
	}
}

func (b *callBudget) mayGrant(instance string) bool {
	return b.grants < constants.MaxLeaseCalls && b.grantsTo[instance] < constants.MaxOwnerLeaseCalls
}

func (b *callBudget) mayRelease() bool { return b.releases < constants.MaxLeaseCalls }

// dueLease is a shard whose lease call is due.
type dueLease struct {
	shard    shard
	backend  *schema.Backend
	progress *leaseProgress
}

// grantDueLeases sends the lease calls that are due, the longest due ones first, as far as the budget goes. Those left are
// sent once answers come.
func (p *planner) grantDueLeases() {
	slices.SortStableFunc(p.dueLeases, func(a, b dueLease) int {
		return cmp.Compare(a.progress.nextAt, b.progress.nextAt)
	})
	for _, due := range p.dueLeases {
		if p.manager.budget.mayGrant(due.shard.owner) {
			p.grant(due)
		}
	}
}

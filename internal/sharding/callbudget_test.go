package sharding

import (
	"fmt"
	"testing"

	"topazshed/internal/constants"
)

func TestTheBudgetCountsCallsByKindAndOwner(t *testing.T) {
	for _, c := range []struct {
		name                 string
		kind                 CallKind
		owners               int
		calls                int
		mayGrant, mayRelease bool
	}{
		{"none in flight", GrantLease, 1, 0, true, true},
		{"one owner below its bound", GrantLease, 1, constants.MaxOwnerLeaseCalls - 1, true, true},
		{"one owner at its bound", GrantLease, 1, constants.MaxOwnerLeaseCalls, false, true},
		{"all owners below their bounds, the leader at its own", GrantLease, constants.MaxLeaseCalls, constants.MaxLeaseCalls, false, true},
		{"releases don't bound grants", ReleaseLease, 1, constants.MaxLeaseCalls, true, false},
		{"probes bound nothing", Probe, 1, 2 * constants.MaxLeaseCalls, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			pending := map[uint64]*pendingCall{}
			for i := range c.calls {
				pending[uint64(i)] = &pendingCall{call: Call{Kind: c.kind, Instance: fmt.Sprint("i-", i%c.owners)}}
			}
			budget := newCallBudget(pending)
			if got := budget.mayGrant("i-0"); got != c.mayGrant {
				t.Errorf("may grant: %v", got)
			}
			if got := budget.mayRelease(); got != c.mayRelease {
				t.Errorf("may release: %v", got)
			}
		})
	}
}

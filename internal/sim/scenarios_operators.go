package sim

import (
	"fmt"
	"slices"
	"time"

	"topazshed/internal/schema"
)

func playPuts(f *Fleet) error {
	base := uint64(1)
	for i := range 12 {
		n := f.pickNode(isUp)
		if i%4 == 3 {
			f.killLeaderFor(3 * time.Second)
		}
		f.racePuts(base)
		f.RunFor(4 * time.Second)
		if shown := f.Show(n); shown != nil && shown.Refusal == schema.RefusalKind_REFUSAL_NONE {
			base = shown.Version
		}
	}
	return f.expectConverged()
}

// racePuts puts two configurations on one base; at most one may be accepted.
func (f *Fleet) racePuts(base uint64) {
	accepted := 0
	for range 2 {
		request := &schema.OperatorRequest{
			Kind:     schema.OperatorKind_OPERATOR_PUT,
			Document: []byte(DefaultDocument),
			Base:     base,
		}
		f.Operate(f.pickNode(isUp), request, func(response *schema.OperatorResponse) {
			if response.Refusal == schema.RefusalKind_REFUSAL_NONE {
				accepted++
			}
		})
	}
	f.RunFor(2 * time.Second)
	if accepted > 1 {
		f.addViolation("%d racing puts on base %d were accepted", accepted, base)
	}
}

func playEmptied(f *Fleet) error {
	for _, zone := range []string{"r0-d0", "r1-d1"} {
		if !f.SetZoneEmptied(zone, true) {
			return fmt.Errorf("emptying %s was not accepted", zone)
		}
		f.killLeaderFor(4 * time.Second)
		f.RunFor(9 * time.Second)
		if !f.SetZoneEmptied(zone, false) {
			return fmt.Errorf("restoring %s was not accepted", zone)
		}
		f.RunFor(5 * time.Second)
	}
	return f.expectConverged()
}

func playEmptiedCut(f *Fleet) error {
	f.Split(isInRegion("r1"), true)
	f.RunFor(time.Second)
	if !f.SetZoneEmptied("r1-d0", true) {
		return fmt.Errorf("emptying r1-d0 was not accepted")
	}
	if want := []string{"r1-d0", "r1-d1"}; !slices.Equal(f.unconfirmed, want) {
		return fmt.Errorf("the answer named %v as not having confirmed the emptying, not %v", f.unconfirmed, want)
	}
	f.RunFor(8 * time.Second)
	f.Split(isInRegion("r1"), false)
	f.RunFor(8 * time.Second)
	if zones := f.unconfirmedZones(); zones == nil || len(zones) > 0 {
		return fmt.Errorf("after the region healed status names %v as not having confirmed the emptying", zones)
	}
	f.Split(func(n *Node) bool { return n.Zone == "r0-d0" || n.Zone == "r1-d1" }, true)
	if !f.SetZoneEmptied("r2-d0", true) {
		return fmt.Errorf("emptying r2-d0 was not accepted")
	}
	f.RunFor(7 * time.Second)
	f.Split(func(n *Node) bool { return n.Zone == "r0-d0" || n.Zone == "r1-d1" }, false)
	f.RunFor(4 * time.Second)
	return f.expectConverged()
}

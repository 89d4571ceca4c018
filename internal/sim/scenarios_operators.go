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
		n := f.pickNode(func(n *Node) bool { return n.IsUp })
		if i%4 == 3 {
			if leader := f.Leader(); leader != nil {
				f.Kill(leader)
				f.after(3*time.Second, func() { f.Start(leader) })
			}
		}
		var results []*schema.OperatorResponse
		for range 2 {
			at := f.pickNode(func(n *Node) bool { return n.IsUp })
			f.Operate(at, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT, Document: []byte(DefaultDocument), Base: base}, func(o *schema.OperatorResponse) {
				results = append(results, o)
			})
		}
		f.RunFor(2 * time.Second)
		wins := 0
		for _, o := range results {
			if o.Refusal == schema.RefusalKind_REFUSAL_NONE {
				wins++
			}
		}
		if wins > 1 {
			f.addViolation("%d racing puts on base %d were accepted", wins, base)
		}
		f.RunFor(4 * time.Second)
		if o := f.Show(n); o != nil && o.Refusal == schema.RefusalKind_REFUSAL_NONE {
			base = o.Version
		}
	}
	return f.expectConverged()
}

func playEmptied(f *Fleet) error {
	for _, zone := range []string{"r0-d0", "r1-d1"} {
		if !f.SetZoneEmptied(zone, true) {
			return fmt.Errorf("emptying %s was not accepted", zone)
		}
		if leader := f.Leader(); leader != nil {
			f.Kill(leader)
			f.after(4*time.Second, func() { f.Start(leader) })
		}
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
		return fmt.Errorf("the operator was told that %v lack the emptying, not %v", f.unconfirmed, want)
	}
	f.RunFor(8 * time.Second)
	f.Split(isInRegion("r1"), false)
	f.RunFor(8 * time.Second)
	if lacking := f.unconfirmedZones(); lacking == nil || len(lacking) > 0 {
		return fmt.Errorf("after the region healed status tells that %v lack the emptying", lacking)
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

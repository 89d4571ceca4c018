package controlplane_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestRoutedFleetsSettleSoonAfterTheirStart(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := newStartupFleet(t, seed, 15)
			settled := f.settle()
			if settled > 9*time.Second {
				t.Errorf("seed %d: every node had every row only after %v; a start has 8 s before traffic, and 2 s of calm count", seed, settled)
			}
			f.run(f.now + startupRest + time.Second)
			f.change(3, time.Second)
		})
	}
}

func TestOneSeedGivesOneRoutedFleet(t *testing.T) {
	digests := map[string]bool{}
	for range 2 {
		f := newStartupFleet(t, 3, 12)
		f.settle()
		f.run(f.now + startupRest)
		before := f.traffic()
		f.run(f.now + 2*time.Second)
		f.checkTraffic(before)
		spread := f.change(3, time.Second)
		if len(spread) != 3*len(f.nodes) {
			t.Errorf("of 3 changes at %d nodes only %d were seen", len(f.nodes), len(spread))
		}
		if slowest := slices.Max(spread); slowest <= 0 || slowest > 2500*time.Millisecond {
			t.Errorf("a change took up to %v", slowest)
		}
		f.checkRoles()
		f.checkRows()
		digests[f.digest()] = true
	}
	if len(digests) != 1 {
		t.Fatalf("two runs of one seed gave %v", digests)
	}
}

// traffic is the bytes that crossed each node's connections, in and out.
func (f *startupFleet) traffic() [][2]int {
	var counts [][2]int
	for _, n := range f.nodes {
		counts = append(counts, [2]int{n.bytesIn, n.bytesOut})
	}
	return counts
}

func (f *startupFleet) checkTraffic(before [][2]int) {
	f.t.Helper()
	for i, after := range f.traffic() {
		if after[0] <= before[i][0] || after[1] <= before[i][1] {
			f.t.Errorf("node %d took and sent %v bytes before and %v after", i, before[i], after)
		}
	}
}

func (f *startupFleet) checkRoles() {
	f.t.Helper()
	counts := map[string]int{}
	for _, n := range f.nodes {
		switch {
		case n.control.IsLeading():
			counts["leader"]++
		case n.self.Disk:
			counts["voter"]++
		default:
			counts["reader"]++
		}
	}
	if counts["leader"] != 1 || counts["voter"] != 5 || counts["reader"] != 6 {
		f.t.Errorf("roles are %v", counts)
	}
}

// checkRows checks the leader's rows, of which every zone has one.
func (f *startupFleet) checkRows() {
	f.t.Helper()
	leader := f.leader().control
	rows := map[string]int{}
	for _, row := range leader.Snapshot().Rows {
		parts := strings.Split(row.Key, "/")
		kind := parts[0]
		if kind == "s" && len(parts) > 2 {
			kind = fmt.Sprintf("s/%s", parts[2])
		}
		rows[kind]++
	}
	if rows["route"] != startupRoutes || rows["s/backend"] != startupBackends || rows["node"] != len(f.nodes) {
		f.t.Errorf("rows are %v", rows)
	}
	if zones := len(leader.Local().View.Zones); zones != startupZones {
		f.t.Errorf("%d of %d zones are known", zones, startupZones)
	}
}

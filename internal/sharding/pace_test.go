package sharding

import (
	"fmt"
	"testing"
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Guards against a control side that never comes back (CONFIG): a new leader sent every lease call at once, which took its
// processor for longer than an election time-out.
func TestANewLeaderSpreadsItsLeaseCalls(t *testing.T) {
	const (
		owners, ranges = 120, 600
		// inFlight (calls) at once are what a voter with a small share of a processor and of connections bears.
		inFlight = 128
	)
	for seed := range int64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := alternating(t, seed, owners, ranges)
			w.depose()
			w.retire()
			most := 0
			for end := w.electedAt + 10*time.Second; w.now < end; w.step() {
				most = max(most, len(w.nodes[w.leader].pending))
				if w.now > w.electedAt+2*time.Second && w.unleased() > 0 {
					t.Fatalf("%d keys without a lease %v after the election", w.unleased(), w.now-w.electedAt)
				}
			}
			if most > inFlight {
				t.Errorf("%d calls were in flight at once, want %d at most", most, inFlight)
			}
			if w.violations > 0 {
				t.Errorf("%d times a key had two lease holders", w.violations)
			}
		})
	}
}

// Guards against keys without an owner and an overloaded leader (CONFIG): each change of a configuration that led to other home
// regions moved every key of a service at once.
func TestKeysStayWhileHomesChangeAgainAndAgain(t *testing.T) {
	const owners, changes, apart = 60, 24, 500 * ms
	w := newWorld(t, 1, owners, "a")
	for i := range 3 {
		zone := fmt.Sprintf("d%d", i)
		w.put(store.EncodeRow(store.ZoneKey(zone), &schema.Zone{Name: zone, Region: fmt.Sprintf("r%d", i)}))
	}
	version := uint64(1)
	w.setRoutes(version, route("/x/", 1), route("/y/", 1, "r0"))
	w.run(6 * time.Second)
	w.workTime, w.moved = 300*ms, 0
	worst := 0
	for change := range changes {
		version++
		w.setRoutes(version, route("/x/", 1), route("/y/", 1, fmt.Sprintf("r%d", (change+1)%3)))
		for end := w.now + apart; w.now < end; w.step() {
			worst = max(worst, w.unleased())
		}
	}
	t.Logf("%d keys moved in %v, at worst %d of %d looked at without a lease", w.moved, changes*apart, worst, len(w.sampledKeys))
	if w.moved > 1<<16 {
		t.Errorf("%d keys moved during %d changes, more than all keys once", w.moved, changes)
	}
	if worst > len(w.sampledKeys)/4 {
		t.Errorf("at worst %d of %d keys had no lease", worst, len(w.sampledKeys))
	}
	w.run(20 * time.Second)
	if got := w.holding(); got != "[d0]" || w.unleased() > 0 || w.violations > 0 {
		t.Errorf("after the last change keys are owned in %s, want [d0]; %d without a lease, %d with two owners", got, w.unleased(), w.violations)
	}
}

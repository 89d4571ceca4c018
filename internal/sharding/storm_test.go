package sharding

import (
	"fmt"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
	"topazshed/internal/testseeds"
)

// Guards against two owners of a key and against a leader that has too much to do (OWNER, CONFIG): many back ends, cuts that refuse
// or drop calls, crashes, changed leaders and home regions overlap, in rows of several within a second.
func TestLeasesInAStormOfFaultsAndChanges(t *testing.T) {
	testseeds.Each(t, 8, func(t *testing.T, seed int64) {
		w := newWorld(t, seed, 24+int(seed%3)*24, "a")
		for i := range 3 {
			zone := fmt.Sprintf("d%d", i)
			w.put(store.EncodeRow(store.ZoneKey(zone), &schema.Zone{Name: zone, Region: fmt.Sprintf("r%d", i)}))
		}
		w.hasFaults = true
		most := w.storm(40 * time.Second)
		if w.violations > 0 {
			t.Fatalf("%d times a key had two lease holders", w.violations)
		}
		if most > constants.MaxLeaseCalls {
			t.Errorf("%d lease calls were in flight at once", most)
		}
		w.hasFaults = false
		w.run(12 * time.Second)
		for _, backend := range w.owners {
			backend.cutUntil = 0
		}
		w.run(30 * time.Second)
		if count := w.unleased(); count > 0 || w.violations > 0 {
			t.Fatalf("after the calm %d keys have no lease, %d times one had two holders", count, w.violations)
		}
	})
}

// storm brings faults and changes of home regions about in rows, and gives the most grants that were in flight at once.
func (w *world) storm(span time.Duration) (most int) {
	version, next := uint64(0), w.now+3*time.Second
	for end := w.now + span; w.now < end; w.step() {
		if w.now >= next {
			for range 1 + w.random.Intn(4) {
				w.injectFault()
			}
			if w.random.Intn(2) == 0 {
				version++
				w.setRoutes(version, route("/x/", 1), route("/y/", 1, fmt.Sprintf("r%d", w.random.Intn(3))))
			}
			next = w.now + w.randomDuration(1500*ms)
		}
		grants := 0
		for _, pending := range w.nodes[w.leader].pending {
			if pending.call.Kind == GrantLease {
				grants++
			}
		}
		most = max(most, grants)
	}
	return most
}

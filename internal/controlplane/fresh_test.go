package controlplane_test

import (
	"testing"
	"time"
	"topazshed/internal/testseeds"
)

// Guards against old rows in force after a restart (CONFIG): a node without a disk took rows for confirmed that it got from a
// voter which, after its own start, had heard of no leader.
func TestRowsOfAVoterWithoutALeaderAreNotConfirmed(t *testing.T) {
	testseeds.Each(t, 6, func(t *testing.T, seed int64) {
		w := newWorld(t, seed, 3, 1)
		reader, voter := w.machines[3], w.machines[0]
		w.put(w.leader(), routesOf(1, 0, "one"))
		w.run(time.Second)
		for _, m := range w.machines {
			m.kill()
		}
		voter.start()
		w.run(20 * time.Second)
		reader.start()
		w.run(20 * time.Second)
		for _, m := range []*machine{voter, reader} {
			local := m.control.Local()
			t.Logf("%s holds version %d, confirmed at %v", m.name, local.View.Head.GetVersion(), local.FreshAt)
			if local.FreshAt > 0 {
				t.Errorf("%s takes its rows for confirmed at %v", m.name, local.FreshAt)
			}
		}
	})
}

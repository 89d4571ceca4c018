package sharding

import (
	"testing"
	"time"

	"topazshed/internal/constants"
)

// Deployments may allow much shorter leases, or longer ones; in the calm each key has a lease, and none ever has two lease holders.
func TestLeasesOfOtherDeployments(t *testing.T) {
	for _, most := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 40 * time.Second, 0} {
		t.Run(most.String(), func(t *testing.T) {
			t.Parallel()
			duration := New(Options{MaxLease: most}).leaseDuration
			if most > 0 && duration > most || duration > constants.MaxKeyLease || duration <= 0 {
				t.Fatalf("leases of %v where %v are allowed", duration, most)
			}
			w := newWorld(t, 1, 5, "a")
			for i := range w.nodes {
				w.nodes[i] = New(Options{MaxLease: most})
			}
			w.run(3 * time.Second)
			for end := w.now + 20*time.Second; w.now < end; w.step() {
				if count := w.unleased(); count > 0 {
					t.Fatalf("%d keys have no lease in the calm", count)
				}
			}
			w.hasFaults = true
			for next, end := w.now+time.Second, w.now+30*time.Second; w.now < end; w.step() {
				if w.now >= next {
					w.injectFault()
					next = w.now + w.randomDuration(3*time.Second)
				}
			}
			if w.violations > 0 {
				t.Fatalf("%d times a key had two lease holders", w.violations)
			}
		})
	}
}

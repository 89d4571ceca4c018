package sharding

import (
	"testing"
	"time"

	"topazshed/internal/constants"
)

// Deployments may allow much shorter holds, or longer ones; keys stay held in the calm, and none has two owners.
func TestHoldsOfOtherDeployments(t *testing.T) {
	for _, most := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 40 * time.Second, 0} {
		t.Run(most.String(), func(t *testing.T) {
			t.Parallel()
			hold := New(Options{Most: most}).hold
			if most > 0 && hold > most || hold > constants.KeyHoldMost || hold <= 0 {
				t.Fatalf("holds of %v where %v are allowed", hold, most)
			}
			w := newWorld(t, 1, 5, "a")
			for i := range w.nodes {
				w.nodes[i] = New(Options{Most: most})
			}
			w.run(3 * time.Second)
			for end := w.now + 20*time.Second; w.now < end; w.step() {
				if count := w.unheld(); count > 0 {
					t.Fatalf("%d keys are not held in the calm", count)
				}
			}
			w.isRough = true
			for next, end := w.now+time.Second, w.now+30*time.Second; w.now < end; w.step() {
				if w.now >= next {
					w.trouble()
					next = w.now + w.span(3*time.Second)
				}
			}
			if w.violations > 0 {
				t.Fatalf("%d times a key had two holders", w.violations)
			}
		})
	}
}

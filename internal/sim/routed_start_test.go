package sim

import (
	"testing"
	"time"
)

func TestRoutedFleetsSettleSoonAfterTheirStart(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		o := hollow(seed)
		o.Nodes, o.NodesMost, o.Span = 15, 15, time.Second
		h, err := GrowRouted(o)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if h.Settled > 9*time.Second {
			t.Errorf("seed %d: every node had every row only after %v; a start has 8 s before traffic, and 2 s of calm count", seed, h.Settled)
		}
	}
}

package sim

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func hollow(seed int64) HollowOptions {
	return HollowOptions{Seed: seed, Nodes: 12, Backends: 24, Services: 4, Keyed: 1, Routes: 40, Regions: 3, Changes: 60, Span: 2 * time.Second, NodesMost: 12, MemoryMost: 4 << 30, WallMost: time.Minute}
}

func TestHollowBoundsStopARun(t *testing.T) {
	for what, change := range map[string]func(*HollowOptions){
		"machines": func(o *HollowOptions) { o.NodesMost = 11 },
		"memory":   func(o *HollowOptions) { o.MemoryMost, o.Backends, o.Routes = 64<<20, 20000, 20000 },
		"time":     func(o *HollowOptions) { o.WallMost, o.Nodes, o.NodesMost = time.Second, 500, 500 },
	} {
		o := hollow(1)
		change(&o)
		_, err := GrowRouted(o)
		var bound *BoundError
		if !errors.As(err, &bound) || bound.What != what || !strings.Contains(err.Error(), "would pass the bound") {
			t.Errorf("%s: got %v", what, err)
		}
	}
}

func TestHollowFaultsAreAllNamed(t *testing.T) {
	faults := HollowOptions{Nodes: 3, Keyed: 2, Regions: 60, Changes: 0}.Faults()
	for _, want := range []string{"nodes 3", "services 0", "keyed services 2", "routes 0", "regions 60", "zones", "changes 0", "span", "machines", "memory", "time"} {
		found := false
		for _, fault := range faults {
			found = found || strings.Contains(fault, want)
		}
		if !found {
			t.Errorf("no fault names %q in %q", want, faults)
		}
	}
	if faults := hollow(1).Faults(); len(faults) > 0 {
		t.Errorf("good options have faults %q", faults)
	}
}

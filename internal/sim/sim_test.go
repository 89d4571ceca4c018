package sim

import (
	"testing"
	"time"
)

func begin(t *testing.T, o Options) *Fleet {
	t.Helper()
	f := New(o)
	if err := f.Begin(); err != nil {
		t.Fatal(err)
	}
	return f
}

func verify(t *testing.T, f *Fleet) {
	t.Helper()
	for _, breach := range f.Breaches {
		t.Error(breach)
	}
}

func TestEveryDiskMachineHoldsEveryRow(t *testing.T) {
	for seed := range int64(10) {
		f := begin(t, Options{Seed: seed})
		f.RunFor(10 * time.Second)
		for _, n := range f.Nodes {
			if n.HasDisk && !f.Holds(n, "service1", "/pay") {
				t.Errorf("seed %d: %s lacks the entry at index %d", seed, n.Name, f.View(n).Version)
			}
		}
		verify(t, f)
	}
}

func TestOneSeedOneHistory(t *testing.T) {
	digest := func() string {
		f := begin(t, Options{Seed: 7, LossPercent: 1, JitterMillis: 3})
		f.Load("q", 40, 5*time.Second)
		f.RunFor(12 * time.Second)
		verify(t, f)
		if f.Counts["safe sealed"] == 0 || f.Counts["unsafe sealed"] == 0 {
			t.Fatalf("nothing was served: %v", f.Counts)
		}
		return f.Digest()
	}
	if first, second := digest(), digest(); first != second {
		t.Fatalf("two runs of one seed gave %s and %s", first, second)
	}
}

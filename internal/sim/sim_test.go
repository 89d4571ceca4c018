package sim

import (
	"strings"
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
	for _, violation := range f.Violations {
		t.Error(violation)
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

func TestScenarios(t *testing.T) {
	seeds := int64(1)
	for _, s := range Scenarios {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				f, err := Play(s, seed, "")
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				for _, violation := range f.Violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
				if f.Counts["safe sealed"] == 0 || f.Counts["unsafe sealed"] == 0 {
					t.Errorf("seed %d served nothing: %v", seed, f.Counts)
				}
			}
		})
	}
}

func TestChecksCatchInjectedFaults(t *testing.T) {
	for _, fault := range Faults {
		t.Run(string(fault.Name)+" in "+fault.Scenario, func(t *testing.T) {
			t.Parallel()
			var seen []string
			for seed := int64(1); seed <= 8; seed++ {
				f, _ := Play(*Find(fault.Scenario), seed, fault.Name)
				for _, text := range f.Violations {
					if strings.Contains(text, fault.Violation) {
						return
					}
				}
				seen = append(seen, f.Violations...)
			}
			t.Fatalf("with %s, %q was not reported; seen: %.3000q", fault.Description, fault.Violation, seen)
		})
	}
}

func TestARepeatOfAnAttemptGetsItsSealedAnswer(t *testing.T) {
	f, err := Play(*Find("calm"), 3, "")
	if err != nil {
		t.Fatal(err)
	}
	verify(t, f)
	sealed, doubtful := f.Counts["impatient sealed"]+f.Counts["late repeat sealed"], f.Counts["impatient doubtful"]+f.Counts["late repeat doubtful"]
	if sealed == 0 || doubtful > sealed {
		t.Errorf("of the repeated ids %d got the sealed answer, %d were doubtful", sealed, doubtful)
	}
}

func TestRepeatsFitTheirWindowWhenFirstAttemptsEnd(t *testing.T) {
	for _, seed := range []int64{903, 3000} {
		f, err := Play(*Find("bad-outcomes"), seed, "")
		if err != nil {
			t.Fatal(err)
		}
		verify(t, f)
		if f.Counts["repeats"] == 0 {
			t.Errorf("seed %d: no attempt was repeated", seed)
		}
	}
}

func TestManyNodesAreServedSoon(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		f := begin(t, Options{Seed: seed, Regions: 3, Zones: 2, PerZone: 8, Services: 60, Backends: 3})
		if f.Now > 5*time.Second {
			t.Errorf("seed %d: 48 nodes took a configuration only after %v", seed, f.Now)
		}
		verify(t, f)
	}
}

func TestWipedSeedsFoundNoSecondSystem(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		f := begin(t, Options{Seed: seed})
		f.RunFor(5 * time.Second)
		var wiped []*Node
		for _, address := range f.seeds() {
			n := f.Node(address)
			f.Kill(n)
			f.Wipe(n)
			wiped = append(wiped, n)
		}
		f.RunFor(300 * time.Millisecond)
		for _, n := range wiped {
			f.Start(n)
		}
		f.RunFor(10 * time.Second)
		systems := map[string]bool{}
		for _, n := range f.Nodes {
			systems[n.machine.Local().System] = true
		}
		if len(systems) != 1 {
			t.Errorf("seed %d: systems %v", seed, systems)
		}
		verify(t, f)
	}
}

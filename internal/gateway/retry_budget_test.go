package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// overBudget gives how far the repeats of some window exceed what the platform's rule allows: the ratio of the requests in that window, the one before
// or half a window before, whichever holds the most, and the slack.
func overBudget(firsts, repeats []time.Duration, b Bounds) (float64, time.Duration) {
	worst, at := -1e9, time.Duration(0)
	firsts, repeats = slices.Sorted(slices.Values(firsts)), slices.Sorted(slices.Values(repeats))
	count := func(from, to time.Duration, all []time.Duration) float64 {
		begin, _ := slices.BinarySearch(all, from)
		end, _ := slices.BinarySearch(all, to)
		return float64(end - begin)
	}
	for _, end := range repeats {
		from := end + 1 - b.RetryWindow
		most := 0.0
		for _, back := range []time.Duration{0, b.RetryWindow, b.RetryWindow / 2} {
			most = max(most, count(from-back, from-back+b.RetryWindow, firsts))
		}
		if over := count(from, end+1, repeats) - b.RetryRatio*most - b.RetrySlack; over > worst {
			worst, at = over, end
		}
	}
	return worst, at
}

type traffic struct {
	name string
	// rate and need give, at a time and for a node, the requests in a second and the share of them that want another attempt.
	rate func(random *rand.Rand, at time.Duration, node int) float64
	need func(at time.Duration, node int) float64
}

type arrival struct {
	at   time.Duration
	node int
}

func simulate(seed uint64, nodes int, b Bounds, kind traffic) (firsts, repeats []time.Duration) {
	random := rand.New(rand.NewPCG(seed, 11))
	const step = 10 * time.Millisecond
	loads := make([]*Loads, nodes)
	for i := range loads {
		loads[i] = NewLoads(-time.Hour, b)
	}
	for at := time.Duration(0); at < 60*time.Second; at += step {
		var arrivals []arrival
		for i := range loads {
			for want := kind.rate(random, at, i) * step.Seconds(); want > 0; want-- {
				if random.Float64() < want {
					arrivals = append(arrivals, arrival{at + time.Duration(random.Int64N(int64(step))), i})
				}
			}
		}
		slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
		for _, a := range arrivals {
			loads[a.node].First(a.at, "copper")
			firsts = append(firsts, a.at)
			for range 3 {
				if random.Float64() >= kind.need(a.at, a.node) || !loads[a.node].MayRepeat(a.at, "copper", nodes) {
					break
				}
				repeats = append(repeats, a.at)
			}
		}
	}
	return firsts, repeats
}

func TestLoadsKeepTheRetryBudget(t *testing.T) {
	always := func(time.Duration, int) float64 { return 1 }
	for _, kind := range []traffic{
		{"steady, all want another", func(*rand.Rand, time.Duration, int) float64 { return 20 }, always},
		{"uneven nodes", func(_ *rand.Rand, _ time.Duration, node int) float64 { return float64(5 + 15*node) }, always},
		{"noisy", func(r *rand.Rand, _ time.Duration, _ int) float64 { return r.ExpFloat64() * 25 }, always},
		{"troubles now and then", func(*rand.Rand, time.Duration, int) float64 { return 30 }, func(at time.Duration, _ int) float64 {
			if int(at/time.Second)%9 < 2 {
				return 0.9
			}
			return 0.01
		}},
		{"a slow wave", func(_ *rand.Rand, at time.Duration, _ int) float64 { return 15 + 10*float64(int(at/time.Second)%20)/20 }, always},
		{"slack alone", func(*rand.Rand, time.Duration, int) float64 { return 0.4 }, always},
	} {
		t.Run(kind.name, func(t *testing.T) {
			worst, where, broken := 0.0, "", 0
			for seed := range uint64(4) {
				for _, nodes := range []int{1, 3, 7} {
					firsts, repeats := simulate(seed, nodes, bounds, kind)
					over, at := overBudget(firsts, repeats, bounds)
					if over > 0 {
						broken++
					}
					if over > worst {
						worst, where = over, fmt.Sprintf("seed %d, %d nodes, in the window that ends at %v", seed, nodes, at)
					}
					if len(repeats) == 0 {
						t.Fatal("nothing was repeated at all")
					}
				}
			}
			if worst > 0 {
				t.Fatalf("%d of 12 runs break the budget, at worst by %.1f repeats: %s", broken, worst, where)
			}
		})
	}
}

// Callers leave one node for another, as when a machine stops, and back ends fail for a moment before and after it: what the first
// node spent late in one window and the second late in the next lie within one window.
func TestLoadsKeepTheRetryBudgetWhenCallersChangeNodes(t *testing.T) {
	turn := 20 * time.Second
	kind := traffic{"", func(_ *rand.Rand, at time.Duration, node int) float64 {
		if (at < turn) == (node == 0) {
			return 200
		}
		return 0
	}, func(at time.Duration, _ int) float64 {
		if at > turn-3*time.Second && at < turn || at > turn+6500*time.Millisecond && at < turn+9500*time.Millisecond {
			return 1
		}
		return 0
	}}
	for seed := range uint64(3) {
		firsts, repeats := simulate(seed, 2, bounds, kind)
		if over, at := overBudget(firsts, repeats, bounds); over > 0 {
			t.Fatalf("seed %d: %.0f repeats too many in the window that ends at %v (%d repeats of %d requests in all)", seed, over, at, len(repeats), len(firsts))
		}
	}
}

func TestLoadsSpendNoSlackInTheirFirstWindow(t *testing.T) {
	loads := NewLoads(time.Hour, bounds)
	if loads.MayRepeat(time.Hour+bounds.RetryWindow-1, "copper", 1) {
		t.Fatal("the former life of this process may have spent the slack of this window")
	}
	if !loads.MayRepeat(time.Hour+bounds.RetryWindow, "copper", 1) {
		t.Fatal("no slack after a window")
	}
	spent := 1
	for loads.MayRepeat(time.Hour+bounds.RetryWindow, "copper", 3) {
		spent++
	}
	if spent != 20 {
		t.Fatalf("one of three nodes spent %d of 60", spent)
	}
}

func TestLoadsBudgetsOfServicesAreApart(t *testing.T) {
	loads := NewLoads(0, Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 6})
	spend := func(service string) int {
		spent := 0
		for loads.MayRepeat(time.Minute, service, 3) {
			spent++
		}
		return spent
	}
	for range 100 {
		loads.First(time.Minute, "copper")
	}
	if spent := spend("copper"); spent != 2 {
		t.Fatalf("copper spent %d, its part of the slack is 2", spent)
	}
	if spent := spend("nickel"); spent != 2 {
		t.Fatalf("nickel spent %d, its own part of the slack is 2", spent)
	}
	for range 10 {
		loads.First(time.Minute, "copper")
	}
	if spent := spend("nickel"); spent != 0 {
		t.Fatalf("copper's requests pay for %d repeats of nickel", spent)
	}
	if spent := spend("copper"); spent != 2 {
		t.Fatalf("ten more requests pay for %d repeats, not 2", spent)
	}
}

package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
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

func TestLoadsKeepAColdBackendsPart(t *testing.T) {
	for _, c := range []struct {
		rate     float64
		sponsors int
		want     bool
	}{{17, 4, true}, {17, 1, true}, {4, 3, true}, {0, 4, true}, {40, 2, true}, {100, 4, true}} {
		policy := &schema.ServicePolicy{Service: "copper", ColdRate: c.rate}
		bound := c.rate*bounds.ColdExcess + bounds.ColdMargin
		for seed := range uint64(5) {
			random := rand.New(rand.NewPCG(seed, 13))
			loads := make([]*Loads, c.sponsors)
			for i := range loads {
				loads[i] = NewLoads(0, bounds)
			}
			var sends []time.Duration
			for at := time.Minute; at < time.Minute+8*time.Second; at += time.Duration(random.Int64N(int64(8 * time.Millisecond))) {
				for _, l := range loads {
					if random.IntN(2) == 0 && l.MayCold(at, "i-1", policy, c.sponsors) {
						sends = append(sends, at)
					}
				}
			}
			if len(sends) == 0 {
				t.Fatalf("%+v: a cold back end gets nothing at all", c)
			}
			for i, from := range sends {
				n := 0
				for _, at := range sends[i:] {
					if at <= from+time.Second {
						n++
					}
				}
				if float64(n) > bound {
					t.Fatalf("%+v, seed %d: %d requests in a second, the bound is %.1f", c, seed, n, bound)
				}
			}
		}
	}
}

func TestLoadsRest(t *testing.T) {
	loads := NewLoads(0, bounds)
	now := time.Minute
	loads.Fail(now, "i-1")
	if loads.Read(now, "i-1").IsResting {
		t.Fatal("rests after one failure")
	}
	was := time.Duration(0)
	for range 12 {
		loads.Fail(now, "i-1")
		rest := time.Duration(0)
		for loads.Read(now+rest, "i-1").IsResting {
			rest += 10 * time.Millisecond
		}
		if rest < was || rest > 2*time.Second {
			t.Fatalf("rests %v after %v", rest, was)
		}
		was = rest
	}
	if ids := loads.Failing(now); fmt.Sprint(ids) != "[i-1]" {
		t.Fatal(ids)
	}
	loads.End("i-1", time.Millisecond, true)
	if loads.Read(now, "i-1").IsResting || len(loads.Failing(now)) > 0 {
		t.Fatal("rests although it served")
	}
}

func TestLoadsCountInFlightAndForget(t *testing.T) {
	loads := NewLoads(0, bounds)
	for range 3 {
		loads.Begin("i-1")
	}
	loads.End("i-1", 100*time.Millisecond, true)
	loads.Keep(func(string) bool { return false })
	if r := loads.Read(time.Minute, "i-1"); r.InFlight != 2 || r.Delay != 100*time.Millisecond {
		t.Fatalf("%+v: forgotten with requests in flight", r)
	}
	loads.End("i-1", 0, false)
	loads.End("i-1", 0, false)
	loads.Keep(func(string) bool { return false })
	if r := loads.Read(time.Minute, "i-1"); r != (Reading{}) {
		t.Fatalf("%+v", r)
	}
}

func TestLoadsKeyLoad(t *testing.T) {
	loads := NewLoads(0, bounds)
	loads.KeyLoad("nickel", 0, 40*time.Millisecond, true)
	loads.KeyLoad("nickel", 65535, 40*time.Millisecond, true)
	loads.KeyLoad("nickel", 65535, time.Hour, true)
	keyLoads := loads.TakeKeyLoad(time.Second)
	if len(keyLoads) != 1 || fmt.Sprint(keyLoads[0].Buckets) != "[0 1023]" || keyLoads[0].SpanMs != 1000 || keyLoads[0].BusyMs[1] < 80 || keyLoads[0].BusyMs[1] > 200 {
		t.Fatalf("%v", keyLoads)
	}
	if len(loads.TakeKeyLoad(time.Second)) > 0 {
		t.Fatal("heat told twice")
	}
}

func TestAYoungProcessSendsNothingToColdBackEnds(t *testing.T) {
	policy := &schema.ServicePolicy{ColdRate: 6}
	bounds := Bounds{RetryWindow: 10 * time.Second, ColdExcess: 1.5, ColdMargin: 5}
	for _, c := range []struct {
		name string
		age  time.Duration
		want int
	}{
		{"just begun", 0, 0},
		{"nine tenths of a second", 900 * time.Millisecond, 0},
		{"the second of its former life is over", constants.ColdSecond, 3},
		{"old", time.Hour, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			began := time.Hour
			loads := NewLoads(began, bounds)
			sent := 0
			for loads.MayCold(began+c.age, "i-1", policy, 4) {
				sent++
			}
			if sent != c.want {
				t.Fatalf("%d requests, want %d", sent, c.want)
			}
		})
	}
	// Four sponsors are killed and back within the second: together with what their former lives sent it is within the bound.
	sent := 0
	for range 4 {
		for _, began := range []time.Duration{0, time.Hour} {
			loads := NewLoads(began, bounds)
			for loads.MayCold(time.Hour+700*time.Millisecond, "i-1", policy, 4) {
				sent++
			}
		}
	}
	if most := int(6*1.5 + 5); sent > most {
		t.Fatalf("%d requests in the second, %d are allowed", sent, most)
	}
}

package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Whatever happens to a request, no more back ends than the route allows get it, one that may not be repeated runs once, and one that may
// have run is never refused.
func TestRequestMachinesKeepTheRoutesLimits(t *testing.T) {
	kinds := []EventKind{EventUnreached, EventNotRun, EventErrored, EventBroken, EventAnswered, EventExpired}
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 5))
		w := newWorld(t)
		for i := range 2 + random.IntN(6) {
			w.backend(fmt.Sprint("i-", i), []string{"kol-a", "kol-b", "tor-a"}[random.IntN(3)], fmt.Sprint("10.0.0.", i, ":80"))
		}
		p := newPlay(w, func(o *RequestOptions) {
			o.Route = &schema.Route{TimeoutMs: 2000, TargetMs: 400, MaxAttempts: uint32(random.IntN(5)), Repeatable: random.IntN(2) == 0,
				HomeRegions: [][]string{nil, {"kol"}, {"tor"}, {"kol", "tor"}}[random.IntN(4)]}
			o.IsReplayable = random.IntN(4) > 0
		})
		route := p.machine.Route
		sent, mayRun, isOver := []string{}, 0, false
		for event := (Event{Kind: EventBegun}); !isOver; {
			order := p.machine.Next(p.now, p.view, event)
			switch order.Kind {
			case OrderConnect:
				region := p.view.Zones[order.Backend.Zone].Region
				if len(route.HomeRegions) > 0 && !slices.Contains(route.HomeRegions, region) {
					t.Fatalf("seed %d: sent to %s, homes are %v", seed, region, route.HomeRegions)
				}
				event = Event{Kind: EventConnected}
				if random.IntN(4) == 0 {
					event = Event{Kind: EventUnreached}
				} else if random.IntN(30) == 0 {
					event = Event{Kind: EventExpired}
				}
			case OrderSend:
				sent = append(sent, order.Backend.Instance)
				event = Event{Kind: kinds[1+random.IntN(len(kinds)-1)]}
				if event.Kind != EventNotRun {
					mayRun++
				}
			case OrderWait:
				p.now += order.Wait
				event = Event{Kind: EventWoken}
			case OrderRefuse:
				if mayRun > 0 {
					t.Fatalf("seed %d: refused as not run, though %d back ends may have run it", seed, mayRun)
				}
				isOver = true
			default:
				isOver = true
			}
		}
		if most := int(max(1, route.MaxAttempts)); len(sent) > most {
			t.Fatalf("seed %d: sent to %v, at most %d are allowed", seed, sent, most)
		}
		if !route.Repeatable && mayRun > 1 {
			t.Fatalf("seed %d: %d back ends may have run what may run once", seed, mayRun)
		}
	}
}

func TestKeyedRequestsStayInTheirHomes(t *testing.T) {
	for _, c := range []struct {
		owner, zone string
		homes       []string
		turn        func(*schema.Backend)
		want        Refusal
	}{
		{"i-kol", "kol-b", nil, nil, RefusalNone},
		{"i-kol", "kol-b", []string{"kol"}, nil, RefusalNone},
		{"i-tor", "tor-a", []string{"kol", "tor"}, nil, RefusalNone},
		{"i-tor", "tor-a", []string{"kol"}, nil, RefusalMoving},
		{"i-kol", "kol-b", []string{"tor"}, nil, RefusalMoving},
		{"i-kol", "kol-b", []string{"none"}, nil, RefusalNoGroup},
		{"i-kol", "kol-b", nil, isDraining, RefusalMoving},
	} {
		t.Run(fmt.Sprint(c.owner, c.homes), func(t *testing.T) {
			w := newWorld(t)
			w.put(store.ServicePolicyKey("copper"), &schema.ServicePolicy{Service: "copper", Keyed: true, ColdRate: 16})
			turn := c.turn
			if turn == nil {
				turn = func(*schema.Backend) {}
			}
			w.backend(c.owner, c.zone, "10.0.0.1:80", turn)
			w.backend("i-other-kol", "kol-a", "10.0.0.2:80")
			w.backend("i-other-tor", "tor-a", "10.0.0.3:80")
			w.put(store.ShardRangeKey("copper", 0), &schema.ShardRange{Service: "copper", Last: 65535, Instance: c.owner, Fence: 1})
			choice := Choose(Situation{Now: time.Hour, View: w.settle(), Self: self, Loads: NewLoads(0, bounds), Draw: func(int64) int64 { return 0 },
				Route: &schema.Route{TargetMs: 400, HomeRegions: c.homes}, Service: "copper", Key: 77, HasKey: true, Token: "t"})
			if choice.Refusal != c.want || c.want == RefusalNone && choice.Backend.Instance != c.owner {
				t.Fatalf("%q %v, want %q", choice.Refusal, choice.Backend, c.want)
			}
		})
	}
}

// Connecting takes 350 ms in every other second: what was chosen in one second may be sent in the next, together with that second's own.
func TestColdBackEndsAreCountedWhenTheyAreSentTo(t *testing.T) {
	w := newWorld(t)
	w.backend("i-cold", "kol-a", "10.0.0.1:80", isColdBy("n1"))
	view := w.settle()
	most := int(16*bounds.ColdExcess + bounds.ColdMargin)
	random := rand.New(rand.NewPCG(7, 7))
	loads := NewLoads(0, bounds)
	type pending struct {
		machine *RequestMachine
		at      time.Duration
	}
	var connecting []pending
	var sends []time.Duration
	for now := time.Hour; now < time.Hour+12*time.Second; now += 10 * time.Millisecond {
		connecting = slices.DeleteFunc(connecting, func(p pending) bool {
			if p.at <= now {
				p.machine.Next(now, view, Event{Kind: EventConnected})
				p.machine.Sent(now)
				sends = append(sends, now)
			}
			return p.at <= now
		})
		for range 3 {
			machine := NewRequestMachine(RequestOptions{Self: self, Loads: loads, Draw: random.Int64N, Service: "copper", Token: "x", Begun: now, Until: now + 2*time.Second, IsReplayable: true,
				Route: &schema.Route{TimeoutMs: 2000, TargetMs: 300, MaxAttempts: 1}})
			if order := machine.Next(now, view, Event{Kind: EventBegun}); order.Kind == OrderConnect {
				wait := time.Duration(0)
				if now.Truncate(2*time.Second) == now.Truncate(time.Second) {
					wait = 350 * time.Millisecond
				}
				connecting = append(connecting, pending{machine, now + wait})
			}
		}
	}
	for i, from := range sends {
		count := 0
		for _, at := range sends[i:] {
			if at <= from+time.Second {
				count++
			}
		}
		if count > most {
			t.Fatalf("%d requests in a second, %d are allowed", count, most)
		}
	}
	if len(sends) < 100 {
		t.Fatalf("only %d requests in 12 s", len(sends))
	}
}

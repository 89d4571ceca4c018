package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// play feeds a machine with events and writes its orders down: "connect", "send", "wait", "pass", "refuse REASON" or "fail STATUS".
type play struct {
	machine *RequestMachine
	view    *store.View
	now     time.Duration
	text    []string
	used    []string
	last    Order
}

var events = map[string]EventKind{"begun": EventBegun, "connected": EventConnected, "unreached": EventUnreached, "notrun": EventNotRun, "answered": EventAnswered,
	"errored": EventErrored, "broken": EventBroken, "woken": EventWoken, "expired": EventExpired}

func (p *play) feed(names ...string) string {
	for _, name := range names {
		if name == "later" {
			p.now += constants.OwnerPollEvery
			continue
		}
		p.last = p.machine.Next(p.now, p.view, Event{Kind: events[name], Reason: name})
		switch p.last.Kind {
		case OrderConnect:
			p.text, p.used = append(p.text, "connect"), append(p.used, p.last.Backend.Instance)
		case OrderSend:
			p.text = append(p.text, "send")
		case OrderWait:
			p.text = append(p.text, "wait")
		case OrderPass:
			p.text = append(p.text, "pass")
		case OrderRefuse:
			p.text = append(p.text, "refuse "+string(p.last.Refusal))
		case OrderFail:
			p.text = append(p.text, fmt.Sprint("fail ", p.last.Status))
		}
	}
	return strings.Join(p.text, ", ")
}

func newPlay(w *world, turn func(*RequestOptions)) *play {
	random := rand.New(rand.NewPCG(1, 2))
	begun := time.Hour
	loads := NewLoads(begun-time.Minute, bounds)
	for range 100 {
		loads.First(begun, "copper")
	}
	route := &schema.Route{Host: "one.example", Prefix: "/", Repeatable: true, TimeoutMs: 2000, TargetMs: 300, MaxAttempts: 3, Targets: []*schema.Target{{Service: "copper", Weight: 1}}}
	options := RequestOptions{Self: self, Loads: loads, Draw: random.Int64N, Route: route, Service: "copper", Token: "x", Begun: begun, Until: begun + 2*time.Second, IsReplayable: true}
	if turn != nil {
		turn(&options)
	}
	return &play{machine: NewRequestMachine(options), view: w.settle(), now: begun}
}

func unsafe1(o *RequestOptions)        { o.Route.Repeatable = false }
func streamed(o *RequestOptions)       { o.IsReplayable = false }
func once(o *RequestOptions)           { o.Route.MaxAttempts = 1 }
func zeroTimes(o *RequestOptions)      { o.Route.MaxAttempts = 0 }
func twice(o *RequestOptions)          { o.Route.MaxAttempts = 2 }
func noBudget(o *RequestOptions)       { o.Loads = NewLoads(o.Begun, bounds) }
func noBudgetUnsafe(o *RequestOptions) { noBudget(o); unsafe1(o) }
func streamedUnsafe(o *RequestOptions) { streamed(o); unsafe1(o) }

func TestRequestMachine(t *testing.T) {
	many := func(w *world) {
		for i := range 6 {
			w.backend(fmt.Sprint("i-", i), "kol-a", "10.0.0.1:1")
		}
	}
	for _, c := range []struct {
		name   string
		world  func(*world)
		turn   func(*RequestOptions)
		events string
		want   string
	}{
		{"answered", many, nil, "begun connected answered", "connect, send, pass"},
		{"an unsafe one answered", many, unsafe1, "begun connected answered", "connect, send, pass"},
		{"an unsafe one that broke off is never sent again", many, unsafe1, "begun connected broken", "connect, send, fail 502"},
		{"an unsafe one that was not run goes to another", many, unsafe1, "begun connected notrun connected answered", "connect, send, connect, send, pass"},
		{"an unsafe one that was not run, then broke off", many, unsafe1, "begun connected notrun connected broken", "connect, send, connect, send, fail 502"},
		{"an unsafe one not reached goes to another", many, unsafe1, "begun unreached connected answered", "connect, connect, send, pass"},
		{"an unsafe one's error is passed on", many, unsafe1, "begun connected errored", "connect, send, pass"},
		{"an unsafe one past its deadline after it was sent", many, unsafe1, "begun connected expired", "connect, send, fail 504"},
		{"past the deadline before anything was sent", many, nil, "begun expired", "connect, refuse busy"},
		{"past the deadline after an unreached one", many, unsafe1, "begun unreached expired", "connect, connect, refuse busy"},
		{"a repeatable one that broke off goes to another", many, nil, "begun connected broken connected answered", "connect, send, connect, send, pass"},
		{"a repeatable one's error goes to another", many, nil, "begun connected errored connected answered", "connect, send, connect, send, pass"},
		{"a repeatable one's error at the last attempt is passed on", many, twice, "begun connected errored connected errored", "connect, send, connect, send, pass"},
		{"no more than max_attempts", many, twice, "begun connected broken connected broken", "connect, send, connect, send, fail 502"},
		{"max_attempts of one", many, once, "begun connected broken", "connect, send, fail 502"},
		{"max_attempts of 0 counts as one", many, zeroTimes, "begun connected broken", "connect, send, fail 502"},
		{"not run by as many as may be asked", many, twice, "begun connected notrun connected notrun", "connect, send, connect, send, refuse busy"},
		{"not run once, with one attempt", many, once, "begun connected notrun", "connect, send, refuse busy"},
		{"broke off, then not run: it may have run", many, twice, "begun connected broken connected notrun", "connect, send, connect, send, fail 502"},
		{"errored, then not run at the last", many, twice, "begun connected errored connected notrun", "connect, send, connect, send, fail 502"},
		{"no budget: a repeatable one that broke off", many, noBudget, "begun connected broken", "connect, send, fail 502"},
		{"no budget: a repeatable one's error is passed on", many, noBudget, "begun connected errored", "connect, send, pass"},
		{"no budget: not run is refused", many, noBudget, "begun connected notrun", "connect, send, refuse retry-budget"},
		{"no budget: an unsafe one that was not run", many, noBudgetUnsafe, "begun connected notrun", "connect, send, refuse retry-budget"},
		{"no budget is needed as long as nothing was sent", many, noBudget, "begun unreached connected answered", "connect, connect, send, pass"},
		{"a long body that broke off can't be sent again", many, streamed, "begun connected broken", "connect, send, fail 502"},
		{"a long body that was not run can't be sent again", many, streamed, "begun connected notrun", "connect, send, refuse busy"},
		{"a long unsafe body that was not run", many, streamedUnsafe, "begun connected notrun", "connect, send, refuse busy"},
		{"a long body not reached goes to another", many, streamed, "begun unreached connected answered", "connect, connect, send, pass"},
		{"unreached again and again ends", many, nil, "begun unreached unreached unreached unreached unreached", "connect, connect, connect, connect, connect, refuse busy"},
		{"no back ends at all", func(*world) {}, nil, "begun", "refuse no-service"},
		{"the only one draining", func(w *world) { w.backend("i-0", "kol-a", "x", isDraining) }, nil, "begun", "refuse busy"},
		{"the only one not run", func(w *world) { w.backend("i-0", "kol-a", "x") }, nil, "begun connected notrun", "connect, send, refuse busy"},
		{"the only one broke off", func(w *world) { w.backend("i-0", "kol-a", "x") }, nil, "begun connected broken", "connect, send, fail 502"},
		{"the only one cold, without this node as a sender", func(w *world) { w.backend("i-0", "kol-a", "x", isColdBy("n2")) }, nil, "begun", "refuse cold"},
		{"the only one cold, without any sender", func(w *world) { w.backend("i-0", "kol-a", "x", isColdBy()) }, nil, "begun", "refuse cold"},
		{"the only one cold, by this node as a sender", func(w *world) { w.backend("i-0", "kol-a", "x", isColdBy("n1", "n2")) }, nil, "begun connected answered", "connect, send, pass"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			c.world(w)
			p := newPlay(w, c.turn)
			if got := p.feed(strings.Fields(c.events)...); got != c.want {
				t.Fatalf("orders %q, want %q", got, c.want)
			}
			if sorted := slices.Compact(slices.Sorted(slices.Values(p.used))); len(sorted) != len(p.used) {
				t.Fatalf("a back end was tried twice: %v", p.used)
			}
			if p.last.Kind == OrderRefuse && (p.last.RetryAfter <= 0 || p.machine.mayRun) {
				t.Fatalf("refused with %v after it may have run: %v", p.last.RetryAfter, p.machine.mayRun)
			}
		})
	}
}

func TestRequestMachineKeepsItsInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 3))
		w := newWorld(t)
		count := 1 + random.IntN(5)
		for i := range count {
			w.backend(fmt.Sprint("i-", i), "kol-a", "x")
		}
		most := uint32(1 + random.IntN(3))
		isSafe, isReplayable := random.IntN(2) == 0, random.IntN(3) > 0
		p := newPlay(w, func(o *RequestOptions) {
			o.Route.Repeatable, o.Route.MaxAttempts, o.IsReplayable = isSafe, most, isReplayable
			if random.IntN(4) == 0 {
				noBudget(o)
			}
		})
		sent, mayRun := uint32(0), 0
		p.feed("begun")
	machine:
		for range 60 {
			p.now += time.Duration(random.IntN(40)) * time.Millisecond
			switch p.last.Kind {
			case OrderConnect:
				if mayRun > 0 && !isSafe {
					t.Fatalf("seed %d: an unsafe request that may have run goes to another: %v", seed, p.text)
				}
				p.feed([]string{"connected", "connected", "connected", "unreached", "expired"}[random.IntN(5)])
			case OrderSend:
				if sent++; sent > most {
					t.Fatalf("seed %d: sent %d times of %d: %v", seed, sent, most, p.text)
				}
				event := []string{"answered", "notrun", "broken", "errored", "expired"}[random.IntN(5)]
				if event != "notrun" {
					mayRun++
				}
				p.feed(event)
			case OrderRefuse:
				if mayRun > 0 {
					t.Fatalf("seed %d: refused although it may have run: %v", seed, p.text)
				}
				break machine
			case OrderFail, OrderPass:
				break machine
			case OrderWait:
				p.feed("woken")
			}
		}
		if p.last.Kind != OrderRefuse && p.last.Kind != OrderFail && p.last.Kind != OrderPass {
			t.Fatalf("seed %d: no end: %v", seed, p.text)
		}
	}
}

func keyed(w *world, span *schema.ShardRange, turns ...func(*schema.Backend)) {
	w.put(store.ServicePolicyKey("copper"), &schema.ServicePolicy{Service: "copper", ColdRate: 16, Keyed: true})
	w.backend("owner", "kol-b", "x", turns...)
	w.backend("other", "kol-a", "x")
	if span != nil {
		w.put(store.ShardRangeKey("copper", span.First), span)
	}
}

func TestRequestMachineOfAKey(t *testing.T) {
	held := &schema.ShardRange{Service: "copper", First: 100, Last: 200, Instance: "owner", Fence: 3}
	withKey := func(key uint32) func(*RequestOptions) {
		return func(o *RequestOptions) { o.Key, o.HasKey, o.IsKeyed = key, true, true }
	}
	for _, c := range []struct {
		name   string
		world  func(*world)
		turn   func(*RequestOptions)
		events string
		want   string
	}{
		{"to its owner", func(w *world) { keyed(w, held) }, withKey(150), "begun connected answered", "connect, send, pass"},
		{"the first key of a span", func(w *world) { keyed(w, held) }, withKey(100), "begun", "connect"},
		{"the last key of a span", func(w *world) { keyed(w, held) }, withKey(200), "begun", "connect"},
		{"a key that nobody holds waits", func(w *world) { keyed(w, held) }, withKey(201), "begun later woken", "wait, wait"},
		{"no key", func(w *world) { keyed(w, held) }, nil, "begun", "refuse no-key"},
		{"a span being released waits", func(w *world) {
			keyed(w, &schema.ShardRange{Service: "copper", First: 100, Last: 200, Instance: "owner", Releasing: true})
		}, withKey(150), "begun", "wait"},
		{"a draining owner gets nothing more", func(w *world) { keyed(w, held, isDraining) }, withKey(150), "begun", "wait"},
		{"an owner in an emptied zone gets nothing more", func(w *world) {
			keyed(w, held)
			w.put(store.ZoneKey("kol-b"), &schema.Zone{Name: "kol-b", Region: "kol", Residue: 2, Emptied: true})
		}, withKey(150), "begun", "wait"},
		{"not run by its owner: no other may", func(w *world) { keyed(w, held) }, withKey(150), "begun connected notrun", "connect, send, refuse key-moving"},
		{"broken off by its owner", func(w *world) { keyed(w, held) }, withKey(150), "begun connected broken", "connect, send, fail 502"},
		{"an owner in another region that is no home", func(w *world) { keyed(w, held) }, func(o *RequestOptions) {
			withKey(150)(o)
			o.Route.HomeRegions = []string{"tor"}
		}, "begun", "wait"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			c.world(w)
			w.backend("far", "tor-a", "x")
			p := newPlay(w, c.turn)
			if got := p.feed(strings.Fields(c.events)...); got != c.want {
				t.Fatalf("orders %q, want %q", got, c.want)
			}
			if slices.ContainsFunc(p.used, func(i string) bool { return i != "owner" }) {
				t.Fatalf("key sent to %v", p.used)
			}
		})
	}
}

func TestRequestMachineParksOnlyAPartOfItsTarget(t *testing.T) {
	for _, target := range []uint32{0, 300, 1000, 60000} {
		w := newWorld(t)
		keyed(w, nil)
		p := newPlay(w, func(o *RequestOptions) { o.HasKey, o.Route.TargetMs = true, target })
		p.feed("begun")
		for p.last.Kind == OrderWait {
			if p.last.Wait <= 0 {
				t.Fatalf("target %d: waits %v", target, p.last.Wait)
			}
			p.now += p.last.Wait
			p.feed("woken")
		}
		took, aim := p.now-p.machine.Begun, time.Duration(max(target, 100))*time.Millisecond
		if took > aim/4 && took > constants.OwnerPollEvery*2 && took < 2*time.Second || took > 2*time.Second || p.last.Kind != OrderRefuse {
			t.Fatalf("target %d ms: refused after %v, %v", target, took, p.last)
		}
	}
}

func TestRequestMachineParkedGoesOnOnceTheKeyIsOwned(t *testing.T) {
	w := newWorld(t)
	keyed(w, nil)
	p := newPlay(w, func(o *RequestOptions) { o.HasKey, o.Key = true, 7 })
	p.feed("begun", "later", "woken")
	w.put(store.ShardRangeKey("copper", 0), &schema.ShardRange{Service: "copper", Last: 65535, Instance: "owner"})
	p.view = w.settle()
	if got := p.feed("later", "woken", "connected", "answered"); got != "wait, wait, connect, send, pass" {
		t.Fatal(got)
	}
}

func TestChoose(t *testing.T) {
	near := func(w *world) { w.backend("near", "kol-a", "x"); w.backend("far", "tor-a", "x") }
	for _, c := range []struct {
		name  string
		world func(*world)
		turn  func(*Situation)
		want  []string
	}{
		{"the own region first", near, nil, []string{"near"}},
		{"never a draining one", func(w *world) { near(w); w.backend("near", "kol-a", "x", isDraining) }, nil, []string{"far"}},
		{"never one in an emptied zone", func(w *world) {
			near(w)
			w.put(store.ZoneKey("kol-a"), &schema.Zone{Name: "kol-a", Region: "kol", Emptied: true})
		}, nil, []string{"far"}},
		{"never one of an unknown zone", func(w *world) { near(w); w.backend("near", "kol-z", "x") }, nil, []string{"far"}},
		{"never one tried before", near, func(s *Situation) { s.Tried = []string{"near"} }, []string{"far"}},
		{"all tried", near, func(s *Situation) { s.Tried = []string{"near", "far"} }, []string{"busy"}},
		{"home regions are kept", near, func(s *Situation) { s.Route.HomeRegions = []string{"tor"} }, []string{"far"}},
		{"home regions are kept though all there are tried", near, func(s *Situation) { s.Route.HomeRegions, s.Tried = []string{"tor"}, []string{"far"} }, []string{"busy"}},
		{"a home that is emptied", func(w *world) {
			near(w)
			w.put(store.ZoneKey("tor-a"), &schema.Zone{Name: "tor-a", Region: "tor", Residue: 4, Emptied: true})
		}, func(s *Situation) { s.Route.HomeRegions = []string{"tor"} }, []string{"no-standing"}},
		{"cold ones by their slow-start senders alone", func(w *world) { w.backend("c", "kol-a", "x", isColdBy("n2")) }, nil, []string{"cold"}},
		{"a zone that settles has no slow-start senders", func(w *world) {
			w.backend("c", "kol-a", "x")
			w.put(store.ZoneKey("kol-a"), &schema.Zone{Name: "kol-a", Region: "kol", Settling: true})
		}, nil, []string{"cold"}},
		{"a resting one only if there is no other", near, func(s *Situation) {
			for range constants.FailuresToRest {
				s.Loads.Fail(s.Now, "near")
			}
		}, []string{"far"}},
		{"a resting one if there is no other", near, func(s *Situation) {
			s.Tried = []string{"far"}
			for range constants.FailuresToRest {
				s.Loads.Fail(s.Now, "near")
			}
		}, []string{"near"}},
		{"a busier one less often", func(w *world) { w.backend("busy", "kol-a", "x"); w.backend("calm", "kol-a", "x") }, func(s *Situation) {
			for range 12 {
				s.Loads.Begin("busy")
			}
		}, []string{"calm"}},
		{"a slower one less often", func(w *world) { w.backend("slow", "kol-a", "x"); w.backend("quick", "kol-a", "x") }, func(s *Situation) {
			s.Loads.End("slow", 200*time.Millisecond, true)
			s.Loads.End("quick", 20*time.Millisecond, true)
		}, []string{"quick"}},
		{"an unknown service", func(*world) {}, func(s *Situation) { s.Service = "zinc" }, []string{"no-service"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			c.world(w)
			random := rand.New(rand.NewPCG(5, 6))
			s := Situation{Now: time.Hour, View: w.settle(), Self: self, Loads: NewLoads(0, bounds), Draw: random.Int64N, Service: "copper", Token: "x",
				Route: &schema.Route{TargetMs: 300, MaxAttempts: 2}}
			if c.turn != nil {
				c.turn(&s)
			}
			for range 50 {
				choice := Choose(s)
				got := string(choice.Refusal)
				if choice.Backend != nil {
					got = choice.Backend.Instance
				}
				if !slices.Contains(c.want, got) {
					t.Fatalf("chose %q, want one of %v", got, c.want)
				}
			}
		})
	}
}

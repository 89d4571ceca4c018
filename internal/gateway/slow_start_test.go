package gateway

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func TestLoadsKeepAColdBackendsPart(t *testing.T) {
	for _, c := range []struct {
		rate    float64
		senders int
		want    bool
	}{{17, 4, true}, {17, 1, true}, {4, 3, true}, {0, 4, true}, {40, 2, true}, {100, 4, true}} {
		policy := &schema.ServicePolicy{Service: "copper", ColdRate: c.rate}
		bound := c.rate*bounds.ColdExcess + bounds.ColdMargin
		for seed := range uint64(5) {
			random := rand.New(rand.NewPCG(seed, 13))
			loads := make([]*Loads, c.senders)
			for i := range loads {
				loads[i] = NewLoads(0, bounds)
			}
			var sends []time.Duration
			for at := time.Minute; at < time.Minute+8*time.Second; at += time.Duration(random.Int64N(int64(8 * time.Millisecond))) {
				for _, l := range loads {
					if random.IntN(2) == 0 && l.HoldCold(at, "i-1", policy, c.senders) {
						l.ColdSent(at, "i-1")
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
		{"the second of its former life is over", constants.ColdWindow, 3},
		{"old", time.Hour, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			began := time.Hour
			loads := NewLoads(began, bounds)
			sent := 0
			for loads.HoldCold(began+c.age, "i-1", policy, 4) {
				sent++
			}
			if sent != c.want {
				t.Fatalf("%d requests, want %d", sent, c.want)
			}
		})
	}
	// Four senders are killed and back within the second: together with what their former incarnations sent it is within the bound.
	sent := 0
	for range 4 {
		for _, began := range []time.Duration{0, time.Hour} {
			loads := NewLoads(began, bounds)
			for loads.HoldCold(time.Hour+700*time.Millisecond, "i-1", policy, 4) {
				sent++
			}
		}
	}
	if most := int(6*1.5 + 5); sent > most {
		t.Fatalf("%d requests in the second, %d are allowed", sent, most)
	}
}

// Guards against more than a node's share in one second (FAILBACK): the share was counted from when the connection stood, and a process that
// stands still, or a back end that does not read, lets the bytes leave later, beside the share of the next second.
func TestAShareOfASlowStartCountsFromWhenTheRequestHasLeft(t *testing.T) {
	const share = 7
	policy := &schema.ServicePolicy{ColdRate: 17}
	for _, c := range []struct {
		name string
		// held is how long the first requests take to leave.
		held time.Duration
	}{
		{"at once", 0},
		{"after a stall", 700 * time.Millisecond},
		{"after a long stall", 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			loads, now := NewLoads(0, bounds), time.Hour
			for range share {
				if !loads.HoldCold(now, "i", policy, 4) {
					t.Fatal("the share is smaller than it should be")
				}
			}
			if loads.HoldCold(now+c.held, "i", policy, 4) {
				t.Error("one more was held while the share's requests had not left")
			}
			now += c.held
			for range share {
				loads.ColdSent(now, "i")
			}
			if loads.HoldCold(now+constants.ColdWindow-1, "i", policy, 4) {
				t.Error("one more within the second after they have left")
			}
			if !loads.HoldCold(now+constants.ColdWindow, "i", policy, 4) {
				t.Error("none after that second")
			}
		})
	}
}

// Guards against a share that is never given back: whatever becomes of a request, it is counted as sent once, or released.
func TestAHeldRequestIsSentOrReleased(t *testing.T) {
	for _, c := range []struct {
		name   string
		events string
		held   int
		sent   int
	}{
		{"chosen", "begun", 1, 0},
		{"refused by the connection", "begun unreached", 0, 0},
		{"out of time", "begun expired", 0, 0},
		{"sent", "begun connected", 0, 1},
		{"sent and answered", "begun connected answered", 0, 1},
		{"sent and broken", "begun connected broken", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.backend("only", "kol-a", "x", isColdBy("n1"))
			p := newPlay(w, once)
			for name := range strings.FieldsSeq(c.events) {
				if p.feed(name); p.last.Kind == OrderSend {
					p.machine.Sent(p.now)
				}
			}
			stripe := p.machine.Loads.lockStripe("only")
			load := stripe.instance("only")
			stripe.lock.Unlock()
			if load.coldHeld != c.held || len(load.coldSends) != c.sent {
				t.Errorf("%d held and %d sent, want %d and %d", load.coldHeld, len(load.coldSends), c.held, c.sent)
			}
			p.machine.Abandon()
			if load.coldHeld != 0 {
				t.Error("abandoned, yet held")
			}
		})
	}
}

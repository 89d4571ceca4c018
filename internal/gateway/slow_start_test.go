package gateway

import (
	"math/rand/v2"
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
					if random.IntN(2) == 0 && l.MayCold(at, "i-1", policy, c.senders) {
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
			for loads.MayCold(began+c.age, "i-1", policy, 4) {
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
			for loads.MayCold(time.Hour+700*time.Millisecond, "i-1", policy, 4) {
				sent++
			}
		}
	}
	if most := int(6*1.5 + 5); sent > most {
		t.Fatalf("%d requests in the second, %d are allowed", sent, most)
	}
}

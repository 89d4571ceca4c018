package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestChoiceAmongFailing(t *testing.T) {
	isFailing := func(senders ...string) func(*schema.Backend) {
		return func(b *schema.Backend) { b.Failing, b.SlowStartSenders = true, senders }
	}
	few := func(turn func(*schema.Backend)) func(*world) {
		return func(w *world) {
			w.backend("bad", "kol-a", "x", turn)
			w.backend("a", "kol-a", "a")
			w.backend("b", "kol-a", "b")
		}
	}
	for _, c := range []struct {
		name  string
		world func(*world)
		turn  func(*Situation)
		want  string
	}{
		{"one that is failing gets nothing", few(isFailing()), nil, "a b"},
		{"one that others try gets nothing here", few(isFailing("n2")), nil, "a b"},
		{"one that this node tries gets its share", few(isFailing("n1", "n2")), nil, "a b bad"},
		{"one that this node tries, and that failed here, rests", few(isFailing("n1")), func(s *Situation) {
			for _, id := range []string{"a", "b", "a", "b"} {
				s.Loads.Judge(s.Now, "copper", id, VerdictHealthy, time.Millisecond)
			}
			s.Loads.Judge(s.Now, "copper", "bad", VerdictFailed, 0)
		}, "a b"},
		{"the only one is used all the same", func(w *world) { w.backend("bad", "kol-a", "x", isFailing()) }, nil, "bad"},
		{"the owner of a key is used all the same", func(w *world) {
			few(isFailing())(w)
			w.put(store.ServicePolicyKey("copper"), &schema.ServicePolicy{Service: "copper", Keyed: true})
			w.put(store.ShardRangeKey("copper", 0), &schema.ShardRange{Service: "copper", Last: 65535, Instance: "bad", Fence: 1})
		}, func(s *Situation) { s.Key, s.HasKey = 7, true }, "bad"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			c.world(w)
			random := rand.New(rand.NewPCG(5, 6))
			s := Situation{Now: time.Hour, View: w.settle(), Self: self, Loads: NewLoads(0, bounds), Draw: random.Int64N, Service: "copper", Token: "x", Route: &schema.Route{TargetMs: 300, MaxAttempts: 2}}
			if c.turn != nil {
				c.turn(&s)
			}
			var seen []string
			for range 100 {
				choice := Choose(s)
				if choice.Backend == nil {
					t.Fatalf("refused: %s", choice.Refusal)
				}
				if id := choice.Backend.Instance; !slices.Contains(seen, id) {
					seen = append(seen, id)
				}
			}
			if slices.Sort(seen); strings.Join(seen, " ") != c.want {
				t.Fatalf("chose %v, want %s", seen, c.want)
			}
		})
	}
}

func TestHealthReports(t *testing.T) {
	// A step is good or bad (an attempt at i-1), start and stop, a time to wait, or what is reported: failing, served or nothing.
	for _, c := range []struct {
		name, steps string
		isFailing   bool
	}{
		{"nothing happened", "nothing", false},
		{"a failure is reported once", "bad failing nothing", false},
		{"a failure among many is not reported", "good good good good good good good bad nothing", false},
		{"one that still does not answer is reported each time", "good start 401ms failing 1s failing stop nothing", false},
		{"what serves is not reported", "good nothing", false},
		{"what serves although it is failing is reported once", "good served nothing", true},
		{"what failed after it served is failing", "good bad failing nothing", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := NewOutliers()
			now, started := time.Hour, time.Duration(0)
			for at, step := range strings.Fields(c.steps) {
				wait, err := time.ParseDuration(step)
				switch {
				case step == "good":
					o.Judge(now, "copper", "i-1", VerdictHealthy, 50*time.Millisecond)
				case step == "bad":
					o.Judge(now, "copper", "i-1", VerdictFailed, 50*time.Millisecond)
				case step == "start":
					started = now
					o.Start(now, "i-1")
				case step == "stop":
					o.Stop("i-1", started)
				case err == nil:
					now += wait
				default:
					announced := "nothing"
					for _, healthReport := range o.TakeHealthReports(now, func(string) bool { return c.isFailing }) {
						announced = map[bool]string{true: "failing", false: "served"}[healthReport.Failing]
					}
					if announced != step {
						t.Fatalf("step %d: reported %s, want %s", at, announced, step)
					}
				}
			}
			if fmt.Sprint(o.TakeHealthReports(now, func(string) bool { return false })) != "[]" {
				t.Fatal("it is reported again")
			}
		})
	}
}

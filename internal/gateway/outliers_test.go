package gateway

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func TestOutliers(t *testing.T) {
	const out = constants.OutlierOut
	statuses := map[OutlierStatus]string{OutlierHealthy: "sound", OutlierEjected: "out", OutlierOnTrial: "trial"}
	// A step is "good", "bad" or "full" (an attempt at i-1 judged so), "others-good" or "others-bad" or "others-full" (ten at the others), "start" and "stop", a time to wait, or a failover assignment to be seen.
	for _, c := range []struct{ name, steps string }{
		{"nothing is known", "sound"},
		{"one failure of a few is enough while the others are well", "others-good good good bad out"},
		{"one failure of many is not", "others-good good good good good good bad sound"},
		{"many of many are", "others-good good good good good good bad bad out"},
		{"a trouble of all ejects none", "others-bad others-bad good bad sound"},
		{"one that is full once is not an outlier", "others-good full sound"},
		{"one that is full again and again is", "others-good full full out"},
		{"one that is full as the others are is not", "others-full others-full good full full sound"},
		{"its time out ends with a trial", "others-good bad out 799ms out 1ms trial"},
		{"one request at a time is on trial", "others-good bad 800ms trial start out stop trial"},
		{"one that goes well ends it", "others-good bad 800ms good sound"},
		{"after it the first failure ejects again", "others-good good good good good good good bad bad 800ms good sound bad out"},
		{"what ends well within its time out proves nothing", "others-good bad good good good out"},
		{"a second ejection lasts twice as long", "others-good bad 800ms bad 1599ms out 1ms trial"},
		{"failures within its time out do not lengthen it", "others-good bad bad bad bad 800ms trial"},
		{"one that goes down and up is out longer each time", "others-good bad 800ms good sound bad 1599ms out 1ms good sound bad 3199ms out 1ms trial"},
		{"the longest time is bounded", "others-good bad 4s bad 4s bad 4s bad 4s bad 4s bad 3999ms out 1ms trial"},
		{"long soundness is rewarded", "others-good bad 800ms good 15s others-good good bad 799ms out 1ms trial"},
		{"what was learnt long ago fades", "others-good good good good good good good good 40s others-good bad out"},
		{"one that does not answer counts as out until it does", "others-good start 399ms sound 2ms out stop sound"},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := NewOutliers()
			now := time.Hour
			var started time.Duration
			verdicts := map[string]Verdict{"good": VerdictHealthy, "bad": VerdictFailed, "full": VerdictRefused}
			for at, step := range strings.Fields(c.steps) {
				of, isOthers := strings.CutPrefix(step, "others-")
				verdict, isVerdict := verdicts[of]
				wait, err := time.ParseDuration(step)
				switch {
				case isOthers:
					for i := range 10 {
						o.Judge(now, "copper", fmt.Sprint("o-", i), verdict, 50*time.Millisecond)
					}
				case isVerdict:
					o.Judge(now, "copper", "i-1", verdict, 50*time.Millisecond)
				case step == "start":
					started = now
					o.Start(now, "i-1")
				case step == "stop":
					o.Stop("i-1", started)
				case err == nil:
					now += wait
				default:
					if status, _ := o.Status(now, "copper", "i-1"); statuses[status] != step {
						t.Fatalf("step %d: %s, want %s", at, statuses[status], step)
					}
				}
			}
			if out != 800*time.Millisecond || constants.MaxOutlierOut != 4*time.Second || constants.OutlierForgiven != 15*time.Second {
				t.Fatal("the steps are written for other constants")
			}
		})
	}
}

func TestOutliersAreForgotten(t *testing.T) {
	o := NewOutliers()
	o.Start(0, "busy")
	o.Judge(0, "copper", "gone", VerdictFailed, 0)
	o.Judge(0, "copper", "kept", VerdictFailed, 0)
	o.Keep(func(id string) bool { return id == "kept" })
	if len(o.backends) != 2 || o.backends["gone"] != nil {
		t.Fatalf("%d are remembered", len(o.backends))
	}
}

func TestChoiceAmongOutliers(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  int
		// least and most are the share of choices that fall on ejected back ends.
		least, most float64
	}{
		{"few are out: none is used", 3, 0, 0},
		{"more are out than the rest can bear: some are used, less than their share", 6, 0.01, 0.4},
		{"all are out: they are used all the same", 10, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			for i := range 10 {
				w.backend(fmt.Sprint("i-", i), "kol-a", fmt.Sprint("10.0.0.", i, ":1"))
			}
			random := rand.New(rand.NewPCG(1, 2))
			s := Situation{Now: time.Hour, View: w.settle(), Self: self, Loads: NewLoads(0, bounds), Draw: random.Int64N, Service: "copper", Token: "x",
				Route: &schema.Route{Host: "one.example", Prefix: "/", TargetMs: 300, Targets: []*schema.Target{{Service: "copper", Weight: 1}}}}
			for i := range 10 {
				s.Loads.Begin(fmt.Sprint("i-", i))
				s.Loads.End(fmt.Sprint("i-", i), 50*time.Millisecond, true)
			}
			for range 50 {
				s.Loads.Judge(s.Now, "copper", "i-9", VerdictHealthy, 50*time.Millisecond)
			}
			for i := range c.bad {
				s.Loads.Judge(s.Now, "copper", fmt.Sprint("i-", i), VerdictFailed, 0)
			}
			used := 0
			for range 500 {
				choice := Choose(s)
				if choice.Backend == nil {
					t.Fatalf("refused: %s", choice.Refusal)
				}
				s.Loads.Begin(choice.Backend.Instance)
				if choice.Backend.Instance < fmt.Sprint("i-", c.bad) || c.bad == 10 {
					used++
				}
			}
			if share := float64(used) / 500; share < c.least || share > c.most {
				t.Fatalf("%.3f of the choices fell on ejected back ends; want %.2f to %.2f", share, c.least, c.most)
			}
		})
	}
}

// ill tells what becomes of an attempt at a back end that is ill, at a time since its illness began.
type ill func(random *rand.Rand, at time.Duration) (Verdict, time.Duration)

func TestOutliersInAFleet(t *testing.T) {
	const usual = 200 * time.Millisecond
	fails := func(share float64, verdict Verdict, took time.Duration) ill {
		return func(random *rand.Rand, _ time.Duration) (Verdict, time.Duration) {
			if random.Float64() < share {
				return verdict, took
			}
			return VerdictHealthy, usual
		}
	}
	for _, c := range []struct {
		name string
		ill  ill
		// most is the greatest part of the failures without any judgement that may be left; back is when the ill ones must have their share again.
		most float64
		back time.Duration
	}{
		{"errors in part of the requests", fails(0.45, VerdictFailed, 5*time.Millisecond), 0.5, 8 * time.Second},
		{"errors in all", fails(1, VerdictFailed, 5*time.Millisecond), 0.25, 8 * time.Second},
		{"refuses part of them", fails(0.45, VerdictRefused, 2*time.Millisecond), 0.7, 8 * time.Second},
		{"hangs in part of them", fails(0.45, VerdictFailed, 2500*time.Millisecond), 0.95, 8 * time.Second},
		{"hangs in all", fails(1, VerdictFailed, 2500*time.Millisecond), 0.95, 8 * time.Second},
		{"goes down and up", func(_ *rand.Rand, at time.Duration) (Verdict, time.Duration) {
			if at/(1200*time.Millisecond)%2 == 0 {
				return VerdictFailed, time.Millisecond
			}
			return VerdictHealthy, usual
		}, 0.6, 8 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			judged, judgedBack := outlierFleet(t, c.ill, c.back, true)
			plain, plainBack := outlierFleet(t, c.ill, c.back, false)
			if judged > c.most*plain {
				t.Errorf("%.0f failures of %.0f without judgement; want at most %.0f", judged, plain, c.most*plain)
			}
			if judgedBack < plainBack/3 {
				t.Errorf("%.2f of their share after the illness, %.2f without judgement; want a third of that", judgedBack, plainBack)
			}
		})
	}
}

// outlierFleet plays twelve nodes that send to 24 back ends, three of which are ill from second 4 to 10.5; it gives the failures, and what part of their
// usual share the ill ones get again in the five seconds after a time since their illness ended.
func outlierFleet(t *testing.T, ill ill, back time.Duration, isJudged bool) (float64, float64) {
	const nodes, backends, sick, step = 12, 24, 3, 10 * time.Millisecond
	const from, to = 4 * time.Second, 10500 * time.Millisecond
	w := newWorld(t)
	for i := range backends {
		w.backend(fmt.Sprintf("i-%02d", i), "kol-a", fmt.Sprint("10.0.0.", i, ":1"))
	}
	view := w.settle()
	random := rand.New(rand.NewPCG(7, 7))
	route := &schema.Route{Host: "one.example", Prefix: "/", TargetMs: 1000, Targets: []*schema.Target{{Service: "copper", Weight: 1}}}
	type attempt struct {
		node        int
		id          string
		begun, ends time.Duration
		verdict     Verdict
	}
	var loads []*Loads
	for range nodes {
		loads = append(loads, NewLoads(0, bounds))
	}
	var flying []attempt
	failures, late, lateSick := 0.0, 0.0, 0.0
	for now := time.Duration(0); now < to+back+5*time.Second; now += step {
		kept := flying[:0]
		for _, a := range flying {
			if now < a.ends {
				kept = append(kept, a)
				continue
			}
			l := loads[a.node]
			l.End(a.id, now-a.begun, a.verdict == VerdictHealthy)
			l.Stop(a.id, a.begun)
			if isJudged {
				l.Judge(now, "copper", a.id, a.verdict, now-a.begun)
			}
			if a.verdict != VerdictHealthy {
				failures++
			}
		}
		flying = kept
		for node, l := range loads {
			if random.Float64() >= 10*step.Seconds() {
				continue
			}
			choice := Choose(Situation{Now: now, View: view, Self: self, Loads: l, Draw: random.Int64N, Service: "copper", Token: "x", Route: route})
			if choice.Backend == nil {
				t.Fatalf("refused: %s", choice.Refusal)
			}
			a := attempt{node: node, id: choice.Backend.Instance, begun: now, verdict: VerdictHealthy}
			took := 200 * time.Millisecond
			isSick := a.id < fmt.Sprintf("i-%02d", sick)
			if isSick && now >= from && now < to {
				a.verdict, took = ill(random, now-from)
			}
			if now >= to+back {
				if late++; isSick {
					lateSick++
				}
			}
			a.ends = now + took
			l.Begin(a.id)
			if isJudged {
				l.Start(now, a.id)
			}
			flying = append(flying, a)
		}
	}
	return failures, lateSick / late / (float64(sick) / backends)
}

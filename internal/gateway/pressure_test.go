package gateway

import (
	"testing"
	"time"

	"topazshed/internal/constants"
)

func TestPressureExpects(t *testing.T) {
	type note struct {
		at       time.Duration
		instance string
		took     time.Duration
	}
	at := func(n int, begin, step time.Duration, instance string, took time.Duration) (notes []note) {
		for i := range n {
			notes = append(notes, note{begin + time.Duration(i)*step, instance, took})
		}
		return notes
	}
	for _, c := range []struct {
		name        string
		notes       []note
		now         time.Duration
		least, most time.Duration
	}{
		{"nothing known", nil, time.Hour, 0, 0},
		{"one or two say nothing", at(2, 0, time.Millisecond, "i-0", time.Second), time.Second, 0, 0},
		{"three do", at(3, 0, time.Millisecond, "i-0", time.Second), time.Second, time.Second, time.Second},
		{"what is old says nothing", at(30, 0, time.Millisecond, "i-0", time.Second), constants.PressureFresh + 40*time.Millisecond, 0, 0},
		{"the whole service stands for a back end that was not asked", at(30, 0, time.Millisecond, "i-1", time.Second), time.Second, time.Second, time.Second},
		{"a back end's own delays go before its service's", append(at(40, 0, time.Millisecond, "i-1", 2*time.Second), at(3, 50*time.Millisecond, time.Millisecond, "i-0", 100*time.Millisecond)...), time.Second, 100 * time.Millisecond, 100 * time.Millisecond},
		{"it rises within a few", append(at(20, 0, time.Millisecond, "i-0", 100*time.Millisecond), at(4, 50*time.Millisecond, time.Millisecond, "i-0", time.Second)...), time.Second, 750 * time.Millisecond, time.Second},
		{"after a long pause it begins anew", append(at(20, 0, time.Millisecond, "i-0", time.Second), at(3, time.Minute, time.Millisecond, "i-0", 100*time.Millisecond)...), time.Minute + time.Second, 100 * time.Millisecond, 100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPressure()
			for _, n := range c.notes {
				p.Note(n.at, "copper", n.instance, n.took)
			}
			if got := p.Expect(c.now, "copper", "i-0"); got < c.least || got > c.most {
				t.Fatalf("expects %v, want %v to %v", got, c.least, c.most)
			}
		})
	}
}

func TestPressureForgets(t *testing.T) {
	p := NewPressure()
	for range 5 {
		p.Note(time.Second, "copper", "i-0", time.Second)
		p.Note(time.Second, "copper", "i-1", time.Second)
	}
	p.Keep(func(id string) bool { return id == "i-1" })
	if len(p.instances) != 1 || p.Expect(time.Second, "copper", "i-1") != time.Second {
		t.Fatalf("keeps %d back ends", len(p.instances))
	}
}

func TestShed(t *testing.T) {
	const aim = time.Second
	for _, c := range []struct {
		name     string
		expect   time.Duration
		priority uint32
		isBack   bool
		least    float64
		most     float64
	}{
		{"nothing known", 0, 9, false, 0, 0},
		{"well inside the aim", aim / 2, 9, false, 0, 0},
		{"just inside the aim, the lowest rank", aim * 9 / 10, 9, false, 0.1, 0.5},
		{"just inside the aim, the highest rank", aim * 9 / 10, 0, false, 0, 0},
		{"above the aim, the highest rank", aim * 5 / 4, 0, false, 0.01, 0.3},
		{"above the aim, the lowest rank", aim * 5 / 4, 9, false, 0.6, 0.9},
		{"far above, never all, so that the delays stay known", 20 * aim, 9, false, constants.MaxShed, constants.MaxShed},
		{"who comes back is shed less", aim * 9 / 10, 9, true, 0.01, 0.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Shed(c.expect, aim, c.priority, c.isBack); got < c.least || got > c.most {
				t.Fatalf("sheds %v, want %v to %v", got, c.least, c.most)
			}
		})
	}
	for priority := uint32(1); priority < 12; priority++ {
		for expect := time.Duration(0); expect < 3*aim; expect += aim / 20 {
			if Shed(expect, aim, priority, false) < Shed(expect, aim, priority-1, false) {
				t.Fatalf("priority %d is shed less than %d at %v", priority, priority-1, expect)
			}
		}
	}
}

func TestRequestMachineSheds(t *testing.T) {
	draws := func(n int64) func(int64) int64 { return func(int64) int64 { return n } }
	for _, c := range []struct {
		name   string
		took   time.Duration
		turn   func(*RequestOptions)
		events []string
		want   string
	}{
		{"a slow owner: refused at once, nothing sent", time.Second, nil, []string{"begun"}, "refuse busy"},
		{"a slow owner, but this one is let in", time.Second, func(o *RequestOptions) { o.Draw = draws(999) }, []string{"begun", "connected", "answered"}, "connect, send, pass"},
		{"a quick owner", 50 * time.Millisecond, nil, []string{"begun", "connected", "answered"}, "connect, send, pass"},
		{"a long aim", time.Second, func(o *RequestOptions) { o.Route.TargetMs = 5000 }, []string{"begun", "connected", "answered"}, "connect, send, pass"},
		{"the highest priority is let in where the lowest is shed", 270 * time.Millisecond, func(o *RequestOptions) { o.Route.Priority = 0 }, []string{"begun", "connected", "answered"}, "connect, send, pass"},
		{"the lowest there", 270 * time.Millisecond, nil, []string{"begun"}, "refuse busy"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.backend("i-0", "kol-a", "x")
			w.backend("i-1", "kol-a", "y")
			p := newPlay(w, func(o *RequestOptions) {
				o.Pressure, o.Draw, o.Route.Priority = NewPressure(), draws(0), 3
				for range 10 {
					o.Pressure.Note(o.Begun, "copper", "i-0", c.took)
					o.Pressure.Note(o.Begun, "copper", "i-1", c.took)
				}
				if c.turn != nil {
					c.turn(o)
				}
			})
			if got := p.feed(c.events...); got != c.want {
				t.Fatalf("orders %q, want %q", got, c.want)
			}
			if p.last.Kind == OrderRefuse && (p.last.RetryAfter <= 0 || p.machine.sent > 0) {
				t.Fatalf("refused with %v after %d were sent", p.last.RetryAfter, p.machine.sent)
			}
		})
	}
}

func TestRequestMachineShedsNothingThatWasTried(t *testing.T) {
	for name, tried := range map[string][]string{"sent": {"begun", "connected", "broken"}, "not run": {"begun", "connected", "notrun"}, "unreached": {"begun", "unreached"}} {
		w := newWorld(t)
		w.backend("i-0", "kol-a", "x")
		w.backend("i-1", "kol-a", "y")
		pressure := NewPressure()
		p := newPlay(w, func(o *RequestOptions) { o.Pressure, o.Draw = pressure, func(int64) int64 { return 0 } })
		p.feed(tried[:len(tried)-1]...)
		for range 10 {
			pressure.Note(p.now, "copper", "i-0", time.Minute)
			pressure.Note(p.now, "copper", "i-1", time.Minute)
		}
		if p.feed(tried[len(tried)-1]); p.last.Kind != OrderConnect {
			t.Fatalf("%s: %v", name, p.text)
		}
	}
}

// A back end that queues for longer than the aim: the gateway learns it from its answers and refuses some of the next requests at once.
func TestAGatewayShedsBeforeASlowBackEnd(t *testing.T) {
	slow := newStandIn(t, saying(fine))
	f := newFront(t, slow)
	now := f.gateway.options.Now
	for range 20 {
		f.gateway.pressure.Note(now(), "copper", "i-0", 3*time.Second)
	}
	refused := 0
	for range 20 {
		if a := f.get("/safe/x"); a.status == 503 {
			refused++
			if a.header.Get("Retry-After") == "" {
				t.Fatal("a refusal without Retry-After")
			}
		}
	}
	if refused == 0 || len(slow.got()) != 20-refused {
		t.Fatalf("%d refused, %d reached the back end", refused, len(slow.got()))
	}
}

func TestComeBack(t *testing.T) {
	for _, c := range []struct {
		name         string
		mean, left   time.Duration
		least, most  time.Duration
		isSpreadWide bool
	}{
		{"much time left", 200 * time.Millisecond, time.Minute, 100 * time.Millisecond, 300 * time.Millisecond, true},
		{"no later than callers heed", 400 * time.Millisecond, 300 * time.Millisecond, time.Millisecond, 100 * time.Millisecond, true},
		{"nothing left", 400 * time.Millisecond, 0, time.Millisecond, 3 * time.Millisecond, false},
		{"past its end", 400 * time.Millisecond, -time.Second, time.Millisecond, 3 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var low, high time.Duration
			for i := range int64(100) {
				got := ComeBack(c.mean, c.left, func(n int64) int64 { return n * i / 100 })
				if got < c.least || got > c.most {
					t.Fatalf("%v, want %v to %v", got, c.least, c.most)
				}
				if i == 0 {
					low = got
				}
				high = got
			}
			if c.isSpreadWide && high < 2*low {
				t.Fatalf("spread only from %v to %v", low, high)
			}
		})
	}
}

// All callers refused at one moment must not come back at one moment, and each must be able to heed its Retry-After.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	for _, left := range []time.Duration{2 * time.Second, 300 * time.Millisecond} {
		announced := map[time.Duration]bool{}
		for i := range int64(50) {
			w := newWorld(t)
			w.backend("i-0", "kol-a", "x", isDraining)
			p := newPlay(w, func(o *RequestOptions) { o.Until, o.Draw = o.Begun+left, func(n int64) int64 { return n * i / 50 } })
			if p.feed("begun"); p.last.Kind != OrderRefuse || p.last.RetryAfter <= 0 || p.last.RetryAfter > left/3 {
				t.Fatalf("%v left: Retry-After %v", left, p.last.RetryAfter)
			}
			announced[p.last.RetryAfter] = true
		}
		if len(announced) < 40 {
			t.Fatalf("%v left: only %d waits for 50 callers", left, len(announced))
		}
	}
}

package sharding

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func rough(t *testing.T, seed int64, isHasty bool) *world {
	services := []string{"a", "b"}[:1+seed%2]
	w := newWorld(t, seed, 2+int(seed%5), services...)
	w.isRough, w.isHasty = true, isHasty
	for next, end := w.now+w.span(4*time.Second), w.now+40*time.Second; w.now < end; w.step() {
		if w.now >= next {
			w.trouble()
			next = w.now + w.span(3*time.Second)
		}
	}
	return w
}

func TestNoKeyHasTwoOwners(t *testing.T) {
	for seed := range int64(80) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := rough(t, seed, false)
			if w.violations > 0 {
				t.Fatalf("%d times a key had two holders", w.violations)
			}
			w.isRough = false
			w.run(12 * time.Second)
			for _, h := range w.owners {
				h.cutUntil = 0
			}
			w.run(16 * time.Second)
			if count := w.unheld(); count > 0 {
				t.Fatalf("%d keys are not held after the calm", count)
			}
			w.run(6 * time.Second)
			w.moved = 0
			w.run(10 * time.Second)
			if w.moved > 0 {
				t.Fatalf("%d keys moved in the calm", w.moved)
			}
			if count := w.unheld(); count > 0 || w.violations > 0 {
				t.Fatalf("%d keys not held, %d with two holders", count, w.violations)
			}
		})
	}
}

func TestHasteIsFound(t *testing.T) {
	found := 0
	for seed := range int64(12) {
		if w := rough(t, seed, true); w.violations > 0 {
			found++
		}
	}
	t.Logf("%d of 12 runs", found)
	if found < 6 {
		t.Fatalf("without the wait for holds to lapse only %d of 12 runs had two holders of a key", found)
	}
}

func settled(t *testing.T, count int) *world {
	w := newWorld(t, 1, count, "a")
	w.run(3 * time.Second)
	if unheld := w.unheld(); unheld > 0 {
		t.Fatalf("%d keys are not held 3 s after the start", unheld)
	}
	return w
}

func (w *world) until(most time.Duration, isReached func() bool) time.Duration {
	for start := w.now; ; w.step() {
		if isReached() {
			return w.now - start
		}
		if w.now-start >= most {
			w.t.Fatalf("not reached within %v: %v", most, w.view.Services["a"].Spans)
		}
	}
}

func (w *world) has(instance string) bool {
	return slices.ContainsFunc(w.view.Services["a"].Spans, func(span *schema.ShardRange) bool { return span.Instance == instance })
}

func TestPlannedAndUnplannedMoves(t *testing.T) {
	for _, c := range []struct {
		name   string
		most   time.Duration
		isSlow bool
		moved  uint32
		change func(w *world, h *owner)
	}{
		{"a draining holder", 1500 * ms, false, 16384, func(w *world, h *owner) {
			h.row = &schema.Backend{Service: "a", Instance: h.row.Instance, Address: h.row.Address, Zone: h.row.Zone, State: schema.BackendState_BACKEND_DRAINING}
			w.list(h)
		}},
		{"an emptied zone", 1500 * ms, false, 32768, func(w *world, h *owner) { w.empty(h.row.Zone, true) }},
		{"an ended process", 1200 * ms, true, 16384, func(w *world, h *owner) { w.crash(h) }},
		{"a holder off the list", 8 * time.Second, true, 16384, func(w *world, h *owner) { w.strike(h) }},
		{"a holder out of reach", 12 * time.Second, true, 16384, func(w *world, h *owner) { h.cutUntil = w.now + time.Minute }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := settled(t, 4)
			h := w.owners[0]
			w.work, w.cold, w.moved = 100*ms, 0, 0
			c.change(w, h)
			took := w.until(c.most, func() bool { return !w.has(h.row.Instance) })
			w.run(time.Second)
			t.Logf("%v, %d grants without handover on %d keys, %d calls", took, w.cold, len(w.cells), w.calls)
			if w.unheld() > 0 || w.violations > 0 || w.cold > 0 != c.isSlow || w.moved != c.moved {
				t.Fatalf("%d not held, %d breaches, %d without handover, %d moved", w.unheld(), w.violations, w.cold, w.moved)
			}
		})
	}
}

func TestNewLeaderMovesNothing(t *testing.T) {
	for seed := range int64(20) {
		w := newWorld(t, seed, 4, "a")
		w.run(4 * time.Second)
		w.moved = 0
		for range 5 {
			w.depose()
			w.run(4 * time.Second)
		}
		if w.unheld() > 0 || w.moved > 0 || w.violations > 0 {
			t.Fatalf("seed %d: %d not held, %d moved, %d breaches", seed, w.unheld(), w.moved, w.violations)
		}
	}
}

func TestLoadMovesLittle(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, count int
		rate         float64
		isMoved      bool
	}{
		{"even", 0, 0, 0, false},
		{"a hot range", 40, 8, 40, true},
		{"a hot bucket", 100, 1, 300, true},
		{"hot across two holders", 60, 10, 50, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := settled(t, 4)
			w.warm(c.first, c.count, c.rate)
			w.cold, w.moved = 0, 0
			w.run(20 * time.Second)
			moved, total := w.moved, newKeyLoad(w.keyLoad).total
			most := slices.Max(slices.Collect(maps.Values(w.loads("a"))))
			t.Logf("share moved %.4f, most loaded %.2f of the mean, %d spans", float64(moved)/(constants.LastKey+1), most*4/total, len(w.view.Services["a"].Spans))
			if moved > 0 != c.isMoved || moved > (constants.LastKey+1)/16 || most > constants.KeyHotShare*total/4+constants.KeyLoadUneven || w.cold > 0 || w.unheld() > 0 || w.violations > 0 {
				t.Fatalf("moved %d, most %.1f of %.1f, %d without handover, %d not held", moved, most, total, w.cold, w.unheld())
			}
			w.run(20 * time.Second)
			if w.moved != moved {
				t.Fatalf("%d more keys moved although nothing changed", w.moved-moved)
			}
		})
	}
}

func TestNewcomerGetsAPart(t *testing.T) {
	w := settled(t, 3)
	w.warm(10, 30, 20)
	w.run(20 * time.Second)
	w.moved = 0
	h := w.start("a", "new:80", "d0")
	h.row.Cold = true
	w.list(h)
	w.run(5 * time.Second)
	if w.has(h.row.Instance) {
		t.Fatal("a cold newcomer got keys")
	}
	h.row = &schema.Backend{Service: "a", Instance: h.row.Instance, Address: h.row.Address, Zone: "d0", State: schema.BackendState_BACKEND_READY}
	w.list(h)
	w.run(15 * time.Second)
	load, mean := w.loads("a")[h.row.Instance], newKeyLoad(w.keyLoad).total/4
	t.Logf("share moved %.4f, load %.2f of the mean", float64(w.moved)/(constants.LastKey+1), load/mean)
	if load < constants.KeyIdleShare*mean || w.moved > (constants.LastKey+1)/8 || w.unheld() > 0 {
		t.Fatalf("load %.1f of a mean of %.1f, %d keys moved", load, mean, w.moved)
	}
}

func TestLease(t *testing.T) {
	w := settled(t, 2)
	for _, c := range []struct {
		age   time.Duration
		isCut bool
	}{{0, false}, {constants.KeyLeaseTime - ms, false}, {constants.KeyLeaseTime, true}, {time.Minute, true}} {
		f := w.facts()
		f.Now += 3 * time.Second
		f.LeaseAt = f.Now - c.age
		g := New(Options{})
		if effects := g.Step(f); len(effects.Calls) == 0 != c.isCut {
			t.Fatalf("%d calls on a lease of age %v", len(effects.Calls), c.age)
		}
	}
}

func TestRefusedLeaseRaisesTheFence(t *testing.T) {
	w := settled(t, 2)
	for i := range w.cells {
		w.owners[0].seen[i] += 3
	}
	w.run(8 * time.Second)
	if w.unheld() > 0 {
		t.Fatalf("%d keys are not held", w.unheld())
	}
}

func TestHoldIsBounded(t *testing.T) {
	for _, c := range []struct{ most, hold time.Duration }{{0, constants.KeyHoldMost}, {time.Minute, constants.KeyHoldMost}, {10 * time.Second, constants.KeyHoldMost}, {5 * time.Second, 3 * time.Second}} {
		if g := New(Options{Most: c.most}); g.hold != c.hold {
			t.Fatalf("the hold is %v of %v", g.hold, c.most)
		}
	}
}

func TestCheck(t *testing.T) {
	span := func(first, last uint32) *schema.ShardRange { return &schema.ShardRange{First: first, Last: last} }
	for _, c := range []struct {
		spans   []*schema.ShardRange
		isWhole bool
	}{
		{nil, false},
		{[]*schema.ShardRange{span(0, constants.LastKey)}, true},
		{[]*schema.ShardRange{span(0, 9), span(10, constants.LastKey)}, true},
		{[]*schema.ShardRange{span(0, 9), span(11, constants.LastKey)}, false},
		{[]*schema.ShardRange{span(0, 9), span(9, constants.LastKey)}, false},
		{[]*schema.ShardRange{span(0, 9)}, false},
	} {
		if err := checkLayout(&store.Service{Spans: c.spans}); (err == nil) != c.isWhole {
			t.Fatalf("%v: %v", c.spans, err)
		}
	}
}

func TestAZoneThatSettlesGetsKeysOnlyIfNoOtherCan(t *testing.T) {
	for _, c := range []struct {
		name     string
		settling []string
		want     string
	}{
		{"one zone settles", []string{"d0"}, "d1"},
		{"all zones settle", []string{"d0", "d1"}, "d0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := store.NewTable()
			rows := []*schema.Row{store.EncodeRow(store.PolicyKey("a"), &schema.ServicePolicy{Service: "a", Keyed: true})}
			for _, zone := range []string{"d0", "d1"} {
				rows = append(rows, store.EncodeRow(store.ZoneKey(zone), &schema.Zone{Name: zone, Settling: slices.Contains(c.settling, zone)}),
					store.EncodeRow(store.BackendKey("a", "i-"+zone), &schema.Backend{Service: "a", Instance: "i-" + zone, Address: zone, Zone: zone, State: schema.BackendState_BACKEND_READY}))
			}
			if _, err := table.Apply(1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: rows}, nil); err != nil {
				t.Fatal(err)
			}
			g := New(Options{Most: 10 * time.Second})
			var record *schema.Record
			for now := time.Minute; record == nil && now < time.Minute+10*time.Second; now += 100 * time.Millisecond {
				if effects := g.Step(Facts{Now: now, View: store.Compile(table), Table: table, IsLeading: true, ElectedAt: time.Minute, LeaseAt: now}); len(effects.Records) > 0 {
					record = effects.Records[0]
				}
			}
			if record == nil {
				t.Fatal("nothing was laid out")
			}
			owner := store.DecodeRow[schema.ShardRange](record.Rows[0]).Instance
			if owner != "i-"+c.want {
				t.Errorf("the first keys go to %s, want i-%s", owner, c.want)
			}
			if len(c.settling) == 1 && len(record.Rows) != 1 {
				t.Errorf("%d spans, want the settling zone left out", len(record.Rows))
			}
		})
	}
}

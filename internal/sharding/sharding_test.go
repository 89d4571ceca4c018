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

func runWithFaults(t *testing.T, seed int64, forgetsOutstanding bool) *world {
	services := []string{"a", "b"}[:1+seed%2]
	w := newWorld(t, seed, 2+int(seed%5), services...)
	w.hasFaults, w.forgetsOutstanding = true, forgetsOutstanding
	for next, end := w.now+w.randomDuration(4*time.Second), w.now+40*time.Second; w.now < end; w.step() {
		if w.now >= next {
			w.injectFault()
			next = w.now + w.randomDuration(3*time.Second)
		}
	}
	return w
}

func TestNoKeyHasTwoOwners(t *testing.T) {
	for seed := range int64(80) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := runWithFaults(t, seed, false)
			if w.violations > 0 {
				t.Fatalf("%d times a key had two lease holders", w.violations)
			}
			w.hasFaults = false
			w.run(12 * time.Second)
			for _, backend := range w.owners {
				backend.cutUntil = 0
			}
			w.run(16 * time.Second)
			if count := w.unleased(); count > 0 {
				t.Fatalf("%d keys have no lease after the calm", count)
			}
			w.run(6 * time.Second)
			w.moved = 0
			w.run(10 * time.Second)
			if w.moved > 0 {
				t.Fatalf("%d keys moved in the calm", w.moved)
			}
			if count := w.unleased(); count > 0 || w.violations > 0 {
				t.Fatalf("%d keys without a lease, %d with two owners", count, w.violations)
			}
		})
	}
}

func TestForgettingOutstandingCallsIsDetected(t *testing.T) {
	found := 0
	for seed := range int64(12) {
		if w := runWithFaults(t, seed, true); w.violations > 0 {
			found++
		}
	}
	t.Logf("%d of 12 runs", found)
	if found < 6 {
		t.Fatalf("without the wait for leases to lapse only %d of 12 runs had two owners of a key", found)
	}
}

func settled(t *testing.T, count int) *world {
	w := newWorld(t, 1, count, "a")
	w.run(3 * time.Second)
	if unleased := w.unleased(); unleased > 0 {
		t.Fatalf("%d keys have no lease 3 s after the start", unleased)
	}
	return w
}

func (w *world) until(most time.Duration, isReached func() bool) time.Duration {
	for start := w.now; ; w.step() {
		if isReached() {
			return w.now - start
		}
		if w.now-start >= most {
			w.t.Fatalf("not reached within %v: %v", most, w.view.Services["a"].ShardRanges)
		}
	}
}

func (w *world) has(instance string) bool {
	return slices.ContainsFunc(w.view.Services["a"].ShardRanges, func(keys *schema.ShardRange) bool { return keys.Instance == instance })
}

func TestPlannedAndUnplannedMoves(t *testing.T) {
	for _, c := range []struct {
		name   string
		most   time.Duration
		isSlow bool
		moved  uint32
		change func(w *world, backend *simulatedBackend)
	}{
		{"a draining owner", 1500 * ms, false, 16384, func(w *world, backend *simulatedBackend) {
			backend.row = &schema.Backend{Service: "a", Instance: backend.row.Instance, Address: backend.row.Address,
				Zone: backend.row.Zone, State: schema.BackendState_BACKEND_DRAINING}
			w.list(backend)
		}},
		{"an emptied zone", 1500 * ms, false, 32768, func(w *world, backend *simulatedBackend) { w.empty(backend.row.Zone, true) }},
		{"an ended process", 6 * time.Second, true, 16384, func(w *world, backend *simulatedBackend) { w.crash(backend) }},
		{"an ended process that another one has replaced", 2 * time.Second, true, 16384, func(w *world, backend *simulatedBackend) {
			w.crash(backend)
			w.start("a", backend.row.Address, backend.row.Zone)
		}},
		{"an owner whose connections are refused", 12 * time.Second, true, 16384, func(w *world, backend *simulatedBackend) {
			backend.cutUntil, backend.isRefusing = w.now+time.Minute, true
		}},
		{"an owner off the list", 8 * time.Second, true, 16384, func(w *world, backend *simulatedBackend) { w.unlist(backend) }},
		{"an owner out of reach", 12 * time.Second, true, 16384,
			func(w *world, backend *simulatedBackend) { backend.cutUntil = w.now + time.Minute }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := settled(t, 4)
			backend := w.owners[0]
			w.workTime, w.coldStarts, w.moved = 100*ms, 0, 0
			c.change(w, backend)
			took := w.until(c.most, func() bool { return !w.has(backend.row.Instance) })
			w.run(time.Second)
			t.Logf("%v, %d leases without handover on %d keys, %d calls", took, w.coldStarts, len(w.sampledKeys), w.calls)
			if w.unleased() > 0 || w.violations > 0 || w.coldStarts > 0 != c.isSlow || w.moved != c.moved {
				t.Fatalf("%d without a lease, %d violations, %d without handover, %d moved", w.unleased(), w.violations, w.coldStarts, w.moved)
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
		if w.unleased() > 0 || w.moved > 0 || w.violations > 0 {
			t.Fatalf("seed %d: %d without a lease, %d moved, %d violations", seed, w.unleased(), w.moved, w.violations)
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
		{"hot across two owners", 60, 10, 50, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := settled(t, 4)
			w.setLoad(c.first, c.count, c.rate)
			w.coldStarts, w.moved = 0, 0
			w.run(20 * time.Second)
			moved, total := w.moved, newKeyLoad(w.keyLoad).total
			most := slices.Max(slices.Collect(maps.Values(w.loads("a"))))
			t.Logf("share moved %.4f, most loaded %.2f of the mean, %d ranges", float64(moved)/(constants.LastKey+1), most*4/total,
				len(w.view.Services["a"].ShardRanges))
			if moved > 0 != c.isMoved || moved > (constants.LastKey+1)/16 || most > constants.KeyHotShare*total/4+constants.KeyLoadUneven || w.coldStarts > 0 || w.unleased() > 0 || w.violations > 0 {
				t.Fatalf("moved %d, most %.1f of %.1f, %d without handover, %d without a lease", moved, most, total, w.coldStarts, w.unleased())
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
	w.setLoad(10, 30, 20)
	w.run(20 * time.Second)
	w.moved = 0
	backend := w.start("a", "new:80", "d0")
	backend.row.Cold = true
	w.list(backend)
	w.run(5 * time.Second)
	if w.has(backend.row.Instance) {
		t.Fatal("a cold newcomer got keys")
	}
	backend.row = &schema.Backend{Service: "a", Instance: backend.row.Instance, Address: backend.row.Address, Zone: "d0",
		State: schema.BackendState_BACKEND_READY}
	w.list(backend)
	w.run(15 * time.Second)
	load, mean := w.loads("a")[backend.row.Instance], newKeyLoad(w.keyLoad).total/4
	t.Logf("share moved %.4f, load %.2f of the mean", float64(w.moved)/(constants.LastKey+1), load/mean)
	if load < constants.KeyIdleShare*mean || w.moved > (constants.LastKey+1)/8 || w.unleased() > 0 {
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
	for i := range w.sampledKeys {
		w.owners[0].seen[i] += 3
	}
	w.run(8 * time.Second)
	if w.unleased() > 0 {
		t.Fatalf("%d keys have no lease", w.unleased())
	}
}

func TestLeaseDurationIsBounded(t *testing.T) {
	for _, c := range []struct{ most, hold time.Duration }{{0, constants.MaxKeyLease}, {time.Minute, constants.MaxKeyLease},
		{10 * time.Second, constants.MaxKeyLease}, {5 * time.Second, 3 * time.Second}} {
		if g := New(Options{MaxLease: c.most}); g.leaseDuration != c.hold {
			t.Fatalf("the lease duration is %v of %v", g.leaseDuration, c.most)
		}
	}
}

func TestCheckLayout(t *testing.T) {
	keys := func(first, last uint32) *schema.ShardRange { return &schema.ShardRange{First: first, Last: last} }
	for _, c := range []struct {
		ranges     []*schema.ShardRange
		isComplete bool
	}{
		{nil, false},
		{[]*schema.ShardRange{keys(0, constants.LastKey)}, true},
		{[]*schema.ShardRange{keys(0, 9), keys(10, constants.LastKey)}, true},
		{[]*schema.ShardRange{keys(0, 9), keys(11, constants.LastKey)}, false},
		{[]*schema.ShardRange{keys(0, 9), keys(9, constants.LastKey)}, false},
		{[]*schema.ShardRange{keys(0, 9)}, false},
	} {
		if err := checkLayout(&store.Service{ShardRanges: c.ranges}); (err == nil) != c.isComplete {
			t.Fatalf("%v: %v", c.ranges, err)
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
			rows := []*schema.Row{store.EncodeRow(store.ServicePolicyKey("a"), &schema.ServicePolicy{Service: "a", Keyed: true})}
			for _, zone := range []string{"d0", "d1"} {
				rows = append(rows, store.EncodeRow(store.ZoneKey(zone), &schema.Zone{Name: zone, Settling: slices.Contains(c.settling, zone)}),
					store.EncodeRow(store.BackendKey("a", "i-"+zone),
						&schema.Backend{Service: "a", Instance: "i-" + zone, Address: zone, Zone: zone,
							State: schema.BackendState_BACKEND_READY}))
			}
			if _, err := table.Apply(1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: rows}, nil); err != nil {
				t.Fatal(err)
			}
			g := New(Options{MaxLease: 10 * time.Second})
			var record *schema.Record
			for now := time.Minute; record == nil && now < time.Minute+10*time.Second; now += 100 * time.Millisecond {
				if effects := g.Step(Facts{Now: now, View: store.Compile(table), Table: table, IsLeading: true,
					ElectedAt: time.Minute, LeaseAt: now}); len(effects.Records) > 0 {
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
				t.Errorf("%d ranges, want the settling zone left out", len(record.Rows))
			}
		})
	}
}

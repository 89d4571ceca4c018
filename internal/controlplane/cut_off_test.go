package controlplane_test

import (
	"fmt"
	"testing"
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/testseeds"
)

func routesOf(generation, base uint64, text string) *schema.OperatorRequest {
	return &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT_ROUTES, Routes: &schema.RouteConfig{Version: generation, Base: base, Document: []byte(text),
		Services: []*schema.ServicePolicy{{Service: "copper"}},
		Routes:   []*schema.Route{{Name: text, Host: "h", Prefix: "/" + text + "/", TimeoutMs: 1000, Targets: []*schema.Target{{Service: "copper", Weight: 1}}}}}}
}

// put has a configuration taken by the machine that leads.
func (w *world) put(m *machine, request *schema.OperatorRequest) {
	w.t.Helper()
	var got *schema.OperatorResponse
	w.operate(m, request, func(o *schema.OperatorResponse) { got = o })
	w.run(time.Second)
	if got == nil || got.Refusal != schema.RefusalKind_REFUSAL_NONE {
		w.t.Fatalf("%s: %v", request.Routes.GetDocument(), got)
	}
}

// A leader that was cut off, or stood still, while the others elected another one must not answer from its own state: it neither refuses a
// proper order because of an old configuration, nor confirms an order that changes nothing there.
func TestAFormerLeaderAnswersNothingFromItsOwnState(t *testing.T) {
	empty := &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_EMPTY, Zone: "z1", Reason: "operator"}
	restore := &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_RESTORE, Zone: "z1", Reason: "operator"}
	for _, c := range []struct {
		name string
		// change is what the new leader takes, and then the former one is asked.
		change, ask *schema.OperatorRequest
	}{
		{"an order on the newest version", routesOf(2, 1, "two"), routesOf(3, 2, "three")},
		{"an order on the version before", routesOf(2, 1, "two"), routesOf(2, 1, "too")},
		{"an order that is taken, sent again", routesOf(2, 1, "two"), routesOf(2, 1, "two")},
		{"an invalid order", routesOf(2, 1, "two"), routesOf(1, 1, "low")},
		{"a zone that was emptied is restored", empty, restore},
		{"the configuration is read", routesOf(2, 1, "two"), &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW}},
	} {
		for _, isFrozen := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, frozen %v", c.name, isFrozen), func(t *testing.T) {
				t.Parallel()
				testseeds.Each(t, 6, func(t *testing.T, seed int64) {
					w := newWorld(t, seed, 6, 1)
					former := w.leader()
					w.put(former, routesOf(1, 0, "one"))
					if isFrozen {
						former.frozenUntil = w.now + 3*time.Second
					} else {
						w.isolate(former, true)
					}
					var answered *schema.OperatorResponse
					asks := 0
					for step := 0; step < 600 && answered == nil; step++ {
						w.run(10 * time.Millisecond)
						for _, m := range w.machines {
							if m != former && m.isUp && m.control.IsLeading() && asks == 0 {
								asks++
								w.operate(m, c.change, func(o *schema.OperatorResponse) { answered = o })
							}
						}
					}
					if answered == nil || answered.Refusal != schema.RefusalKind_REFUSAL_NONE {
						t.Fatalf("seed %d: the new leader says %v", seed, answered)
					}
					if isFrozen {
						w.isolate(former, true)
						w.run(former.frozenUntil - w.now - 10*time.Millisecond)
					}
					var got *schema.OperatorResponse
					w.operate(former, c.ask, func(o *schema.OperatorResponse) { got = o })
					w.run(700 * time.Millisecond)
					if got == nil {
						return
					}
					if got.Refusal != schema.RefusalKind_REFUSAL_NO_LEADER && got.Refusal != schema.RefusalKind_REFUSAL_AMBIGUOUS {
						t.Fatalf("seed %d: the former leader answers %v", seed, got)
					}
				})
			})
		}
	}
}

// A machine without a disk that can reach a majority of the voters must have its state from there, however long the machines of its own region
// with a disk are cut off from the others, and whether or not it was cut off with them for a while.
func TestAReaderLeavesSourcesThatAreCutOff(t *testing.T) {
	const (
		quiet       = 4 * time.Second
		applyWithin = 2500 * time.Millisecond
	)
	for _, c := range []struct {
		name string
		// together is how long the reader is cut off with its sources, apart how long after that the order is given.
		together, apart time.Duration
		isRestarted     bool
	}{
		{"its sources alone, just now", 0, quiet, false},
		{"its sources alone, for long", 0, 20 * time.Second, false},
		{"together for a moment", 500 * time.Millisecond, quiet, false},
		{"together until all is old", 8 * time.Second, quiet, false},
		{"together for 20 s", 20 * time.Second, quiet, false},
		{"its sources are restarted while they are cut off", 0, quiet, true},
		{"together, and its sources are restarted", 8 * time.Second, quiet, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testseeds.Each(t, 20, func(t *testing.T, seed int64) {
				w := newWorld(t, seed, 6, 3)
				reader := w.machines[6]
				w.put(w.leader(), routesOf(1, 0, "one"))
				isCut := func(m *machine) bool { return m.region == reader.region && m.isDisk }
				set := func(isInside func(*machine) bool, isCut bool) {
					for _, a := range w.machines {
						for _, b := range w.machines {
							if isInside(a) != isInside(b) {
								w.cut(a, b, isCut)
							}
						}
					}
				}
				withReader := func(m *machine) bool { return isCut(m) || m == reader }
				set(withReader, true)
				w.run(c.together)
				set(withReader, false)
				for _, a := range w.disks() {
					for _, b := range w.disks() {
						if isCut(a) != isCut(b) {
							w.cut(a, b, true)
						}
					}
				}
				for _, m := range w.disks() {
					if isCut(m) && c.isRestarted {
						m.kill()
						w.after(time.Second, m.start)
					}
				}
				w.run(c.apart)
				var leader *machine
				for _, m := range w.machines {
					if m.isUp && m.control.IsLeading() && !isCut(m) {
						leader = m
					}
				}
				if leader == nil {
					t.Fatalf("seed %d: the majority has no leader", seed)
				}
				w.put(leader, routesOf(2, 1, "two"))
				w.run(applyWithin - time.Second)
				if version := reader.control.Local().View.Head.GetVersion(); version != 2 {
					t.Errorf("seed %d: the reader holds version %d by %s, confirmed %v ago", seed, version, reader.control.Source(), reader.clock()-reader.control.Local().FreshAt)
				}
			})
		})
	}
}

package sharding

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
)

func TestAnUnreachableOwnerOfManyRangesGetsNoMoreLeases(t *testing.T) {
	for _, c := range []struct {
		ranges int
		after  time.Duration
	}{{4, 0}, {16, 0}, {16, 300 * ms}, {16, 700 * ms}, {40, 0}, {40, 1100 * ms}} {
		t.Run(fmt.Sprint(c.ranges, " ranges, unreachable after ", c.after), func(t *testing.T) {
			w := alternating(t, 4, 4, c.ranges)
			backend := w.owners[0]
			offset := time.Duration(0)
			for _, p := range w.nodes[w.leader].services["a"].leases { // renewals do not fall together
				p.nextAt += offset
				offset = (offset + 170*ms) % time.Second
			}
			w.run(c.after)
			backend.cutUntil = w.now + time.Minute
			unreachableAt, last, leases := w.now, w.now, map[uint64]time.Duration{}
			first := time.Duration(0)
			took := w.until(12*time.Second, func() bool {
				for id, p := range w.nodes[w.leader].pending {
					if p.call.Kind == GrantLease && p.call.Instance == backend.row.Instance && p.sentAt > unreachableAt && leases[id] == 0 {
						leases[id], last = p.sentAt, max(last, p.sentAt)
						if first == 0 || p.sentAt < first {
							first = p.sentAt
						}
					}
				}
				return !w.has(backend.row.Instance)
			})
			w.run(2 * time.Second)
			t.Logf("%d leases, the last %v after the first, gone after %v", len(leases), last-first, took)
			if first > 0 && last-first > constants.KeyDoubt+100*ms {
				t.Errorf("an unreachable back end was still given leases %v after the first one that it left unanswered", last-first)
			}
			bound := last - unreachableAt + constants.KeyLeaseWait + lapseAfter(w.nodes[w.leader].leaseDuration) + constants.KeyArrivalMargin + 500*ms
			if took > bound || w.violations > 0 || w.unleased() > 0 {
				t.Errorf("its keys were free after %v, want %v; %d violations, %d without a lease", took, bound, w.violations, w.unleased())
			}
		})
	}
}

func TestWhatALeaseMayHaveGiven(t *testing.T) {
	for _, c := range []struct {
		name    string
		result  CallResult
		isHeld  bool
		isQuiet bool
	}{
		{"taken", Done, true, false},
		{"without an answer", Unknown, true, true},
		{"no connection came up", Unsent, false, true},
		{"refused by its process", Failed, false, false},
		{"another process answers", Replaced, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := settled(t, 1)
			g := New(Options{MaxLease: 10 * time.Second})
			f := w.facts()
			calls := g.Step(f).Calls
			if len(calls) != 1 || calls[0].Kind != GrantLease {
				t.Fatalf("got %v, want a lease call", calls)
			}
			f.Now += constants.KeyLeaseWait
			f.LeaseAt = f.Now
			g.Answered(f.Now, Answer{ID: calls[0].ID, Result: c.result})
			f.Now += constants.KeyRetryPause
			f.LeaseAt = f.Now
			next := g.Step(f).Calls
			inherited := 1 // of the one range, from the leader before
			if isHeld := slices.ContainsFunc(g.outstandingCalls[inherited:],
				func(e *outstandingCall) bool { return !e.isInFlight }); isHeld != c.isHeld {
				t.Errorf("perhaps held: %v, want %v", isHeld, c.isHeld)
			}
			if isQuiet := len(next) == 1 && next[0].Kind == Probe; isQuiet != c.isQuiet {
				t.Errorf("next calls %v, want a probe: %v", next, c.isQuiet)
			}
		})
	}
}

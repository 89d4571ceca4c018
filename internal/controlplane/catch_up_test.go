package controlplane_test

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/journal"
	"topazshed/internal/schema"
	"topazshed/internal/testseeds"
)

// largeRoutesOf is a configuration whose document can't be packed.
func largeRoutesOf(random *rand.Rand, version uint64, bytes int) *schema.OperatorRequest {
	request := routesOf(version, version-1, fmt.Sprint("of-", version))
	request.Routes.Document = make([]byte, bytes)
	random.Read(request.Routes.Document)
	return request
}

// A member that was away for hundreds of changes catches up from a snapshot, whatever ends the transfer again and again, and until it has caught
// up it neither leads nor is a source of rows.
func TestAMemberThatWasAwayCatchesUp(t *testing.T) {
	const (
		changes = 120
		bytes   = 300 << 10
	)
	for _, c := range []struct {
		name   string
		away   func(m *machine)
		back   func(m *machine)
		during func(w *world, m *machine)
		loss   float64
	}{
		{"killed, undisturbed", (*machine).kill, (*machine).start, nil, 0},
		{"cut off, undisturbed", func(m *machine) { m.w.isolate(m, true) }, func(m *machine) { m.w.isolate(m, false) }, nil, 0},
		{"its disk is empty", func(m *machine) { m.kill(); m.wipe() }, (*machine).start, nil, 0},
		{"frames are lost", (*machine).kill, (*machine).start, nil, 0.3},
		{"it is killed while it receives or installs", (*machine).kill, (*machine).start, func(w *world, m *machine) {
			m.kill()
			w.after(100*time.Millisecond, m.start)
		}, 0},
		{"it loses its power while it receives or installs", (*machine).kill, (*machine).start, func(w *world, m *machine) {
			m.cutPower()
			w.after(100*time.Millisecond, m.start)
		}, 0},
		{"it is cut off in between", (*machine).kill, (*machine).start, func(w *world, m *machine) {
			w.isolate(m, true)
			w.after(700*time.Millisecond, func() { w.isolate(m, false) })
		}, 0},
		{"the leader ends while it sends", (*machine).kill, (*machine).start, func(w *world, m *machine) {
			if leader := w.leader(); leader != nil && leader != m {
				leader.kill()
				w.after(time.Second, leader.start)
			}
		}, 0},
		{"changes go on", (*machine).kill, (*machine).start, func(w *world, _ *machine) {
			if leader := w.leader(); leader != nil {
				w.operate(leader, largeRoutesOf(w.random, w.newest()+1, bytes), func(*schema.OperatorResponse) {})
			}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testseeds.Each(t, 2, func(t *testing.T, seed int64) {
				w := newSizedWorld(t, seed, 3, 0, journal.Options{Files: 4, FileBytes: 2 << 20, SnapshotBytes: 4 << 20})
				away := w.machines[1]
				if away == w.leader() {
					away = w.machines[2]
				}
				c.away(away)
				w.run(3 * time.Second)
				var version uint64
				for version < changes {
					version++
					taken := false
					w.operate(w.leader(), largeRoutesOf(w.random, version, bytes), func(o *schema.OperatorResponse) { taken = o.Refusal == schema.RefusalKind_REFUSAL_NONE })
					for until := w.now + 2*time.Second; w.now < until && !taken; {
						w.run(10 * time.Millisecond)
					}
					if !taken {
						t.Fatalf("seed %d: change %d is not taken", seed, version)
					}
				}
				w.loss = c.loss
				c.back(away)
				for range 6 {
					w.run(w.between(5*time.Millisecond, 500*time.Millisecond))
					if c.during != nil {
						c.during(w, away)
					}
				}
				w.run(1500 * time.Millisecond)
				w.loss = 0
				w.run(5 * time.Second)
				newest := w.newest()
				if held := away.control.Local().View.Head.GetVersion(); held != newest || newest < changes {
					t.Fatalf("seed %d: it holds version %d, the others %d\n%s", seed, held, newest, w.status())
				}
				if w.parts == 0 {
					t.Errorf("seed %d: no part of a snapshot was sent", seed)
				}
			})
		})
	}
}

// The log in memory is bounded by its bytes, however many changes the ring on disk still has room for.
func TestTheLogInMemoryIsBounded(t *testing.T) {
	const bytes = 1 << 20
	w := newSizedWorld(t, 1, 3, 0, journal.Options{Files: 4, FileBytes: 2 << 20, SnapshotBytes: 4 << 20})
	for version := uint64(1); version <= 2*constants.RaftLogBytes/bytes; version++ {
		request := largeRoutesOf(w.random, version, 0)
		request.Routes.Document = []byte(strings.Repeat(fmt.Sprint("packs well ", version), bytes/12))
		w.put(w.leader(), request)
		for _, m := range w.machines {
			if inMemory := m.control.Raft().LogBytes(); inMemory > constants.RaftLogBytes+2*bytes {
				t.Fatalf("%s holds %d bytes of log in memory after %d changes", m.name, inMemory, version)
			}
		}
	}
}

// A state that would outgrow the disk is refused with a remedy while it still fits, and the machines live on.
func TestAStateThatOutgrowsTheDiskIsRefused(t *testing.T) {
	w := newSizedWorld(t, 1, 3, 0, journal.Options{Files: 4, FileBytes: 512 << 10, SnapshotBytes: 512 << 10})
	w.put(w.leader(), routesOf(1, 0, "one"))
	var refusal *schema.OperatorResponse
	w.operate(w.leader(), largeRoutesOf(w.random, 2, 400<<10), func(o *schema.OperatorResponse) { refusal = o })
	w.run(time.Second)
	if refusal == nil || refusal.Refusal != schema.RefusalKind_REFUSAL_OVERSIZE {
		t.Fatalf("a document that fits the log but no snapshot: %v", refusal)
	}
	for version := uint64(2); version < 40; version++ {
		w.put(w.leader(), largeRoutesOf(w.random, version, 300<<10))
	}
	for _, m := range w.disks() {
		m.kill()
		m.start()
	}
	w.run(5 * time.Second)
	w.put(w.leader(), routesOf(40, 39, "forty"))
}

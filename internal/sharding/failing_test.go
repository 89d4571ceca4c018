package sharding

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
)

func TestAFailingOwnerLosesItsKeys(t *testing.T) {
	w := settled(t, 4)
	h := w.owners[0]
	turn := func(isFailing bool) {
		h.row = proto.Clone(h.row).(*schema.Backend)
		h.row.Failing = isFailing
		w.list(h)
	}
	w.work, w.cold, w.moved = 100*ms, 0, 0
	turn(true)
	w.until(1500*ms, func() bool { return !w.has(h.row.Instance) })
	w.run(time.Second)
	if w.unheld() > 0 || w.violations > 0 || w.cold > 0 || w.moved != 16384 {
		t.Fatalf("%d not held, %d breaches, %d without handover, %d moved", w.unheld(), w.violations, w.cold, w.moved)
	}
	w.run(10 * time.Second)
	if w.has(h.row.Instance) {
		t.Fatal("it was given keys while it fails")
	}
	turn(false)
	w.warm(0, buckets-1, 20)
	w.run(15 * time.Second)
	if !w.has(h.row.Instance) || w.unheld() > 0 || w.violations > 0 {
		t.Fatalf("it holds keys again: %v; %d not held, %d breaches", w.has(h.row.Instance), w.unheld(), w.violations)
	}
}

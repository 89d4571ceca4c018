package sharding

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
)

func TestAFailingOwnerLosesItsKeys(t *testing.T) {
	w := settled(t, 4)
	backend := w.owners[0]
	turn := func(isFailing bool) {
		backend.row = proto.Clone(backend.row).(*schema.Backend)
		backend.row.Failing = isFailing
		w.list(backend)
	}
	w.workTime, w.coldStarts, w.moved = 100*ms, 0, 0
	turn(true)
	w.until(1500*ms, func() bool { return !w.has(backend.row.Instance) })
	w.run(time.Second)
	if w.unleased() > 0 || w.violations > 0 || w.coldStarts > 0 || w.moved != 16384 {
		t.Fatalf("%d without a lease, %d violations, %d without handover, %d moved", w.unleased(), w.violations, w.coldStarts, w.moved)
	}
	w.run(10 * time.Second)
	if w.has(backend.row.Instance) {
		t.Fatal("it was given keys while it fails")
	}
	turn(false)
	w.setLoad(0, buckets-1, 20)
	w.run(15 * time.Second)
	if !w.has(backend.row.Instance) || w.unleased() > 0 || w.violations > 0 {
		t.Fatalf("it owns keys again: %v; %d without a lease, %d violations", w.has(backend.row.Instance), w.unleased(), w.violations)
	}
}

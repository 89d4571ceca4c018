package controlplane_test

import (
	"testing"
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/testseeds"
)

// callerPatience is how long an operator waits for an answer before it turns to another machine.
const callerPatience = time.Second

// zoneOperator empties and restores one zone in series. A call that isn't answered is given up and made at another machine.
type zoneOperator struct {
	w    *world
	zone string
	// wanted is the kind of the call in progress, or of the last one; since is when it was acknowledged, 0 before.
	wanted schema.OperatorKind
	since  time.Duration
	turns  int
}

// next makes the opposite of the last call.
func (o *zoneOperator) next() {
	o.wanted, o.since = schema.OperatorKind_OPERATOR_EMPTY, 0
	if o.turns%2 == 1 {
		o.wanted = schema.OperatorKind_OPERATOR_RESTORE
	}
	o.turns++
	o.call(o.turns)
}

func (o *zoneOperator) call(turn int) {
	isOver := false
	end := func() bool {
		wasOver := isOver
		isOver = true
		return !wasOver && turn == o.turns && o.since == 0
	}
	m := o.w.machines[o.w.random.Intn(len(o.w.machines))]
	request := &schema.OperatorRequest{Kind: o.wanted, Zone: o.zone, Reason: "operator"}
	o.w.operateWhile(m, request, func() bool { return !isOver }, func(response *schema.OperatorResponse) {
		switch {
		case !end():
		case response.Refusal == schema.RefusalKind_REFUSAL_NONE:
			o.since = o.w.now
		default:
			o.w.after(50*time.Millisecond, func() { o.call(turn) })
		}
	})
	o.w.after(callerPatience, func() {
		if end() {
			o.call(turn)
		}
	})
}

// check fails if a machine that leads holds the zone otherwise than was acknowledged.
func (o *zoneOperator) check(seed int64) {
	if o.since == 0 {
		return
	}
	wantsEmptied := o.wanted == schema.OperatorKind_OPERATOR_EMPTY
	for _, m := range o.w.machines {
		if !m.isUp || o.w.now < m.frozenUntil || !m.control.IsLeading() {
			continue
		}
		local := m.control.Local()
		isNews := m.worldTime(local.FreshAt) > o.since
		if isNews && local.View.Zones[o.zone].GetEmptied() != wantsEmptied {
			o.w.t.Fatalf("seed %d: call %d (%v) was acknowledged %v ago, and the leader holds the opposite", seed, o.turns, o.wanted, o.w.now-o.since)
		}
	}
}

// Guards against an old call that restores a zone after a newer one has emptied it (EVAC): the copy of a call at a machine that
// stood still, or was cut off, was carried out long after its caller had given it up.
func TestAnAcknowledgedChangeOfAZoneIsNotUndoneByAnOlderCall(t *testing.T) {
	testseeds.Each(t, 30, func(t *testing.T, seed int64) {
		w := newWorld(t, seed, 6, 6)
		o := &zoneOperator{w: w, zone: "z1"}
		o.next()
		for begun := w.now; w.now < begun+90*time.Second; w.run(20 * time.Millisecond) {
			o.check(seed)
			if o.since > 0 && w.now-o.since > 200*time.Millisecond && w.random.Intn(80) == 0 {
				o.next()
			}
			disturb(w)
		}
	})
}

// disturb lets a machine stand still or cuts it off for a while, now and then.
func disturb(w *world) {
	m := w.machines[w.random.Intn(len(w.machines))]
	if w.random.Intn(40) > 0 || w.now < m.frozenUntil {
		return
	}
	span := time.Duration(500+w.random.Intn(5000)) * time.Millisecond
	if w.random.Intn(3) > 0 {
		m.frozenUntil = w.now + span
		return
	}
	w.isolate(m, true)
	w.after(span, func() { w.isolate(m, false) })
}

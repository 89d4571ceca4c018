package operations

import (
	"testing"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// patientUntil is a caller that gives up after it was asked so many times.
type patientUntil struct{ asks int }

func (c *patientUntil) IsWaiting() bool {
	c.asks--
	return c.asks >= 0
}

func restoreZone(name string) *schema.OperatorRequest {
	return &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_RESTORE, Zone: name}
}

func (h *host) emptied(name string) bool { return h.view.Zones[name].GetEmptied() }

// zoneAt sets a zone's row and gives its index.
func (h *host) zoneAt(name string, isEmptied bool) uint64 {
	h.put(store.EncodeRow(store.ZoneKey(name), &schema.Zone{Name: name, Region: "r", Emptied: isEmptied}))
	return h.table.Get(store.ZoneKey(name)).Index
}

// Guards against an older call that undoes a newer change of a zone (EVAC): the leader decides by the row that the call was made on.
func TestALeaderChangesAZoneOnlyFromTheRowThatTheCallNames(t *testing.T) {
	for _, c := range []struct {
		name string
		// base gives the base of the call, from the indexes of the zone's former row and of its newest.
		base func(former, newest uint64) uint64
		want schema.RefusalKind
	}{
		{"the newest row", func(_, newest uint64) uint64 { return newest }, accepted},
		{"a former row", func(former, _ uint64) uint64 { return former }, isConflict},
		{"no row is known", func(_, _ uint64) uint64 { return unknownZoneBase }, isConflict},
		{"a program that names none", func(_, _ uint64) uint64 { return noZoneBase }, accepted},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t, &RouteOptions{})
			former := h.zoneAt("z", false)
			newest := h.zoneAt("z", true)
			request := restoreZone("z")
			request.Base = c.base(former, newest)
			h.manager.ReceiveRequest(h.now, remoteAddress, remoteCall, request)
			h.confirm()
			h.commit(h.term)
			response := h.sends[remoteAddress][0].GetOperatorResponse()
			if response.Refusal != c.want || h.emptied("z") != (c.want != accepted) {
				t.Errorf("%v, emptied %v, want %v", response, h.emptied("z"), c.want)
			}
			if c.want == isConflict && response.Index != newest {
				t.Errorf("names row %d, want %d", response.Index, newest)
			}
		})
	}
}

// Guards against the same where two calls are proposed on one row: the second one's record is void.
func TestTheSecondOfTwoChangesOnOneRowIsDecidedAnew(t *testing.T) {
	h := newHost(t, &RouteOptions{})
	base := h.zoneAt("z", false)
	empty, restore := emptyZone("z"), restoreZone("z")
	empty.Base, restore.Base = base, base
	h.manager.ReceiveRequest(h.now, remoteAddress, 1, empty)
	h.manager.ReceiveRequest(h.now, remoteAddress, 2, restore)
	h.commit(h.term)
	h.confirm()
	if !h.emptied("z") {
		t.Error("the second change was made on a row that it did not know")
	}
}

func TestAChangeOfAZoneIsMadeOnTheNewestRowWhileItsCallerWaits(t *testing.T) {
	stale := func(index uint64) *schema.OperatorResponse { return staleZone("z", index) }
	for _, c := range []struct {
		name string
		// asks is how often the caller tells that it waits.
		asks  int
		after func(h *host)
		// sends is how often the call is forwarded, base that of the last time.
		sends int
		base  uint64
		want  schema.RefusalKind
	}{
		{"it waits", 9, func(*host) {}, 2, 77, accepted},
		{"it has gone meanwhile", 1, func(*host) {}, 1, 1, isNoLeader},
		{"it has gone before the call is taken", 0, nil, 0, 0, isNoLeader},
		{"there is no time left", 9, func(h *host) { h.now += constants.OperatorPatience }, 1, 1, isNoLeader},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := forwardingHost(t, &RouteOptions{}, "leader")
			h.zoneAt("z", true)
			h.manager.Operate(h.now, ticket, restoreZone("z"), &patientUntil{c.asks})
			if c.after != nil {
				c.after(h)
				h.manager.ReceiveResponse(h.now, "leader", ticket, stale(77))
			}
			sends := h.sends["leader"]
			if len(sends) != c.sends {
				t.Fatalf("forwarded %d times, want %d", len(sends), c.sends)
			}
			if c.sends > 0 && sends[c.sends-1].GetOperatorRequest().Base != c.base {
				t.Errorf("base %d, want %d", sends[c.sends-1].GetOperatorRequest().Base, c.base)
			}
			if c.sends > 1 && sends[0].GetOperatorRequest().Base != 1 {
				t.Error("a frame that was sent has changed")
			}
			if c.want == accepted {
				h.manager.ReceiveResponse(h.now, "leader", ticket, &schema.OperatorResponse{})
			}
			h.check(ticket, c.want)
		})
	}
}

func TestARequestWhoseCallerHasGoneIsForwardedNoMore(t *testing.T) {
	h := forwardingHost(t, &RouteOptions{}, "leader")
	h.zoneAt("z", true)
	h.manager.Operate(h.now, ticket, restoreZone("z"), &patientUntil{1})
	h.pass(constants.ForwardWait)
	if got := len(h.sends["leader"]); got != 1 {
		t.Errorf("forwarded %d times, want once", got)
	}
	h.check(ticket, isNoLeader)
}

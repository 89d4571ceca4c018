package leader

import (
	"fmt"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestPlanShardSlots(t *testing.T) {
	const now = startedAt + time.Minute
	backend := func(name string, changes ...func(*schema.Backend)) *schema.Backend {
		b := &schema.Backend{Service: "s", Instance: name, Address: name, Zone: "z", State: schema.BackendState_BACKEND_READY}
		for _, change := range changes {
			change(b)
		}
		return b
	}
	isCold := func(b *schema.Backend) { b.Cold = true }
	isFailing := func(b *schema.Backend) { b.Failing = true }
	// owners gives each slot's row, the first ones to the first owner.
	owners := func(counts map[string]int, order ...string) map[uint32]*schema.ShardSlot {
		slots := map[uint32]*schema.ShardSlot{}
		for _, name := range order {
			for range counts[name] {
				slot := uint32(len(slots))
				slots[slot] = &schema.ShardSlot{Service: "s", Slot: slot, Instance: name, Number: 1}
			}
		}
		return slots
	}
	moving := owners(map[string]int{"a": constants.KeySlots}, "a")
	for _, slot := range moving {
		slot.Next = "b"
	}
	for _, c := range []struct {
		name     string
		backends []*schema.Backend
		isKeyed  bool
		slots    map[uint32]*schema.ShardSlot
		// isBehind tells that a request begun on the former state is still in flight.
		isBehind bool
		// want counts the rows that are put by "owner" or "owner->next".
		want map[string]int
	}{
		{name: "a service without keys has no slots", backends: []*schema.Backend{backend("a")}},
		{name: "no back end may own any", backends: []*schema.Backend{backend("a", isFailing)}, isKeyed: true},
		{name: "first owners get equal parts", backends: []*schema.Backend{backend("a"), backend("b")}, isKeyed: true, want: map[string]int{"a": constants.KeySlots / 2, "b": constants.KeySlots / 2}},
		{name: "warm ones first", backends: []*schema.Backend{backend("a", isCold), backend("b")}, isKeyed: true, want: map[string]int{"b": constants.KeySlots}},
		{name: "cold ones if none is warm", backends: []*schema.Backend{backend("a", isCold)}, isKeyed: true, want: map[string]int{"a": constants.KeySlots}},
		{name: "even slots stay", backends: []*schema.Backend{backend("a"), backend("b")}, isKeyed: true,
			slots: owners(map[string]int{"a": constants.KeySlots/2 + 1, "b": constants.KeySlots/2 - 1}, "a", "b")},
		{name: "a few move at once to a new back end", backends: []*schema.Backend{backend("a"), backend("b")}, isKeyed: true, slots: owners(map[string]int{"a": constants.KeySlots}, "a"),
			want: map[string]int{"a->b": constants.KeyMoves}},
		{name: "none move to a cold one", backends: []*schema.Backend{backend("a"), backend("b", isCold)}, isKeyed: true, slots: owners(map[string]int{"a": constants.KeySlots}, "a")},
		{name: "none move while all are cold", backends: []*schema.Backend{backend("a", isCold), backend("b", isCold)}, isKeyed: true, slots: owners(map[string]int{"a": constants.KeySlots}, "a")},
		{name: "all move off a failing one", backends: []*schema.Backend{backend("a", isFailing), backend("b")}, isKeyed: true, slots: owners(map[string]int{"a": constants.KeySlots}, "a"),
			want: map[string]int{"a->b": constants.KeySlots}},
		{name: "moves wait for requests in flight", backends: []*schema.Backend{backend("a", isFailing), backend("b")}, isKeyed: true, slots: moving, isBehind: true},
		{name: "moves are completed", backends: []*schema.Backend{backend("a", isFailing), backend("b")}, isKeyed: true, slots: moving, want: map[string]int{"b": constants.KeySlots}},
		{name: "moves to one that may own no more go elsewhere", backends: []*schema.Backend{backend("a", isFailing), backend("b", isFailing), backend("c")}, isKeyed: true, slots: moving,
			want: map[string]int{"c": constants.KeySlots}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rows := []*schema.Row{regionRow, zoneRow, nodeRow(readyNode("n"))}
			rows = append(rows, store.EncodeRow(store.EntryKey("s", "/p"), &schema.Entry{Service: "s", Path: "/p", Keyed: c.isKeyed}))
			rows = append(rows, store.EncodeRow(store.EntityKey("s", "/p"), &schema.Entity{Service: "s", Path: "/p", Region: "r", Number: 1}))
			for _, b := range c.backends {
				rows = append(rows, store.EncodeRow(store.BackendKey("s", b.Instance), b))
			}
			for slot := range uint32(len(c.slots)) {
				rows = append(rows, store.EncodeRow(store.ShardSlotKey("s", slot), c.slots[slot]))
			}
			fleet := NewFleet()
			fleet.Elected(startedAt)
			state := newState(t, now, rows...)
			heartbeat := &schema.Heartbeat{Version: uint64(state.Table.Version())}
			if c.isBehind {
				heartbeat.OldestIndex = 1
			}
			fleet.Heard(now, readyNode("n"), heartbeat)
			fleet.GiveLease(now, "n", constants.LeaseDuration)
			got := map[string]int{}
			for _, record := range fleet.PlanShardSlots(state) {
				for _, row := range record.Rows {
					slot := store.DecodeRow[schema.ShardSlot](row)
					if before := c.slots[slot.Slot]; slot.Number != before.GetNumber()+1 {
						t.Errorf("slot %d gets number %d after %d", slot.Slot, slot.Number, before.GetNumber())
					}
					move := slot.Instance
					if slot.Next != "" {
						move += "->" + slot.Next
					}
					got[move]++
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

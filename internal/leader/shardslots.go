package leader

import (
	"maps"
	"slices"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// shardSlotGap is by how many slots two owners may differ before one moves between them.
const shardSlotGap = 2

// PlanShardSlots gives one record for each keyed service of a fleet of entries whose slots should get other owners now.
func (f *Fleet) PlanShardSlots(state State) []*schema.Record {
	var records []*schema.Record
	for _, name := range slices.Sorted(maps.Keys(state.View.Services)) {
		service := state.View.Services[name]
		isKeyed := slices.ContainsFunc(service.Entries, func(e *schema.Entry) bool { return e.Keyed })
		if !isKeyed {
			continue
		}
		planner := newSlotPlanner(state, f, service)
		if record := planner.run(); record != nil {
			records = append(records, record)
		}
	}
	return records
}

// slotPlanner is one look at the slots of one service.
type slotPlanner struct {
	state   State
	fleet   *Fleet
	service *store.Service
	change  *change
	// owned counts the slots of each back end that may own any, those that it is about to get among them.
	owned map[string]int
	// isWarm tells which of them have warmed up.
	isWarm map[string]bool
	// moving counts the slots that are being released by their owner.
	moving int
}

func newSlotPlanner(state State, fleet *Fleet, service *store.Service) *slotPlanner {
	p := &slotPlanner{state: state, fleet: fleet, service: service, owned: map[string]int{}, isWarm: map[string]bool{}}
	p.change = newChange(state.Table, "shard slots of "+service.Name)
	region := p.region()
	for _, backend := range service.Backends {
		if isSlotOwner(state.View, backend, region) {
			p.owned[backend.Instance] = 0
			p.isWarm[backend.Instance] = !backend.Cold
		}
	}
	return p
}

// region is where the service's keyed entries are bound to.
func (p *slotPlanner) region() string {
	region := ""
	for _, entry := range p.service.Entries {
		if entity := p.service.Entities[entry.Path]; entry.Keyed && entity != nil {
			region = entity.Region
		}
	}
	return region
}

// isSlotOwner tells whether a back end may own slots that are bound to a region.
func isSlotOwner(view *store.View, backend *schema.Backend, region string) bool {
	zone := view.Zones[backend.Zone]
	if zone == nil || zone.Region != region || zone.Emptied {
		return false
	}
	return backend.State == schema.BackendState_BACKEND_READY && !backend.Failing
}

func (p *slotPlanner) run() *schema.Record {
	if len(p.owned) == 0 {
		return nil
	}
	p.countSlots()
	for slot := range uint32(constants.KeySlots) {
		p.planSlot(slot)
	}
	return p.change.result()
}

func (p *slotPlanner) countSlots() {
	for slot := range uint32(constants.KeySlots) {
		row := p.service.Slots[slot]
		owner := row.GetInstance()
		if row.GetNext() != "" {
			owner = row.Next
			p.moving++
		}
		if _, mayOwn := p.owned[owner]; mayOwn {
			p.owned[owner]++
		}
	}
}

// planSlot gives a slot its first owner, completes a move that was begun, or begins one.
func (p *slotPlanner) planSlot(slot uint32) {
	row := p.service.Slots[slot]
	target := p.leastLoaded()
	switch {
	case row == nil:
		p.put(&schema.ShardSlot{Slot: slot, Instance: target, Number: 1})
		p.owned[target]++
	case row.Next != "":
		p.completeMove(row, target)
	case !p.mayOwn(row.Instance):
		p.beginMove(row, target)
	case p.isBalancing(row, target):
		p.owned[row.Instance]--
		p.beginMove(row, target)
	}
}

func (p *slotPlanner) mayOwn(instance string) bool {
	_, mayOwn := p.owned[instance]
	return mayOwn
}

// isBalancing tells whether a slot should move from an owner with many slots to a warm one with few.
func (p *slotPlanner) isBalancing(row *schema.ShardSlot, target string) bool {
	return p.moving < constants.KeyMoves && p.isWarm[target] && p.owned[row.Instance] > p.owned[target]+shardSlotGap
}

// beginMove has the present owner release a slot; requests that are in flight end there.
func (p *slotPlanner) beginMove(row *schema.ShardSlot, target string) {
	p.put(&schema.ShardSlot{Slot: row.Slot, Instance: row.Instance, Number: row.Number + 1, Next: target})
	p.owned[target]++
	p.moving++
}

// completeMove gives a slot to its next owner once no request in flight can still reach the former one.
func (p *slotPlanner) completeMove(row *schema.ShardSlot, target string) {
	index := p.state.indexOf(store.ShardSlotKey(p.service.Name, row.Slot))
	if !p.fleet.hasDrained(p.state, index) {
		return
	}
	next := row.Next
	if !p.mayOwn(next) {
		next = target
		p.owned[next]++
	}
	p.put(&schema.ShardSlot{Slot: row.Slot, Instance: next, Number: row.Number + 1})
}

// leastLoaded gives the warm back end with the fewest slots, or the cold one with the fewest if none is warm.
func (p *slotPlanner) leastLoaded() string {
	best := ""
	for _, instance := range slices.Sorted(maps.Keys(p.owned)) {
		if best == "" || p.isBetter(instance, best) {
			best = instance
		}
	}
	return best
}

func (p *slotPlanner) isBetter(instance, than string) bool {
	if p.isWarm[instance] != p.isWarm[than] {
		return p.isWarm[instance]
	}
	return p.owned[instance] < p.owned[than]
}

func (p *slotPlanner) put(slot *schema.ShardSlot) {
	slot.Service = p.service.Name
	p.change.put(store.EncodeRow(store.ShardSlotKey(p.service.Name, slot.Slot), slot))
}

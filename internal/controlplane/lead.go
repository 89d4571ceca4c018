package controlplane

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func (c *Machine) lead() {
	if !c.IsLeading() {
		if c.wasLeader {
			c.nodes = map[string]*nodeRecord{}
			c.releasedAt = map[uint64]time.Duration{}
			c.proposals.Reset()
		}
		if c.wasLeader {
			c.log.Info("this machine leads no more", "term", c.quorum.Term())
			if c.routed != nil {
				c.routed.resign(c.options)
			}
		}
		c.wasLeader = false
		return
	}
	if !c.wasLeader {
		c.wasLeader = true
		c.log.Info("this machine leads", "term", c.quorum.Term(), "index", c.table.Version())
		c.electedAt = c.now
		c.listRead = nil
		c.sendHeartbeat()
	}
	c.leader, c.leaderAt = c.self.Address, c.now
	if c.now-c.planAt < constants.FailoverPlanEvery {
		return
	}
	c.planAt = c.now
	c.planMembers()
	c.planNodes()
	c.planVersion()
	if c.routed == nil && c.now-c.electedAt < constants.FailoverSettle && len(c.view.Services) > 0 {
		return
	}
	if c.routed != nil {
		c.leadRouted()
		return
	}
	c.planEndpoints()
	c.planReplicaSets()
	c.planShardSlots()
	for _, record := range failover.PlanEntries(c.view, c.table, c.released) {
		c.sign(record)
		c.propose(record)
	}
}

func (c *Machine) propose(record *schema.Record) bool { return c.proposals.Propose(c.now, record) }

func (c *Machine) lapse(g *nodeRecord) time.Duration {
	at := c.electedAt + constants.LeaseDuration + constants.LeaseClockMargin
	if g != nil {
		at = max(at, g.until)
	}
	return at
}

func (c *Machine) released(index uint64) (bool, uint64) {
	for id := range c.view.Nodes {
		if g := c.nodes[id]; (g == nil || g.version < index) && c.now < c.lapse(g) {
			return false, 0
		}
	}
	if _, isSeen := c.releasedAt[index]; !isSeen {
		c.releasedAt[index] = c.now
	}
	return true, uint64((c.now - c.releasedAt[index]).Milliseconds())
}

func (c *Machine) isKeyFree(index uint64) bool {
	for id := range c.view.Nodes {
		if g := c.nodes[id]; (g == nil || g.oldestIndex < index) && c.now < c.lapse(g)+constants.ReservationWindow {
			return false
		}
	}
	return true
}

func (c *Machine) planNodes() {
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "nodes"}
	put := func(key string, row *schema.Row) {
		record.Guards = append(record.Guards, &schema.Guard{Key: key, Index: c.table.Get(key).GetIndex()})
		record.Rows = append(record.Rows, row)
	}
	if c.table.Get(store.SystemKey) == nil {
		put(store.SystemKey, &schema.Row{Key: store.SystemKey, Value: []byte(c.bootstrap.System())})
	}
	zones, regions := map[string]string{}, map[string]bool{}
	nextZone, nextRegion := uint32(0), uint32(1)
	for _, d := range c.view.Zones {
		zones[d.Name] = d.Region
		nextZone = max(nextZone, d.Residue+2)
	}
	for _, r := range c.view.Regions {
		regions[r.Name] = true
		nextRegion = max(nextRegion, r.Residue+2)
	}
	admit := func(zone, region string) {
		if !regions[region] && nextRegion < constants.Increment {
			regions[region] = true
			put(store.RegionKey(region), store.EncodeRow(store.RegionKey(region), &schema.Region{Name: region, Residue: nextRegion}))
			nextRegion += 2
		}
		if c.routed != nil {
			nextZone = 0
		}
		if _, isKnown := zones[zone]; !isKnown && nextZone < constants.Increment {
			zones[zone] = region
			put(store.ZoneKey(zone), store.EncodeRow(store.ZoneKey(zone), &schema.Zone{Name: zone, Region: region, Residue: nextZone}))
			nextZone += 2
		}
	}
	if c.routed != nil {
		for _, name := range slices.Sorted(maps.Keys(c.routed.options.Zones)) {
			admit(name, c.routed.options.Zones[name])
		}
	}
	newest := c.newestAt()
	for _, id := range slices.Sorted(maps.Keys(c.nodes)) {
		g := c.nodes[id]
		row := c.view.Nodes[id]
		if c.now-g.heard > constants.NodeLostAfter || !c.isFitNode(g.node) {
			continue
		}
		if region, isKnown := zones[g.node.Zone]; isKnown && region != g.node.Region {
			c.log.Error("node names a district under another region and is declined; mend its settings", "node", id, "district", g.node.Zone, "region", g.node.Region, "known", region)
			continue
		}
		admit(g.node.Zone, g.node.Region)
		if c.routed != nil && newest[g.node.Address] > g.node.Incarnation {
			continue
		}
		fresh := proto.Clone(g.node).(*schema.Node)
		if row == nil || row.State != fresh.State || row.Address != fresh.Address || row.Proxy != fresh.Proxy || row.Admin != fresh.Admin || row.SpeaksLow != fresh.SpeaksLow || row.SpeaksHigh != fresh.SpeaksHigh || row.Incarnation < fresh.Incarnation {
			put(store.NodeKey(id), store.EncodeRow(store.NodeKey(id), fresh))
		}
	}
	witnesses := map[string]int{}
	for id, g := range c.nodes {
		if c.now-g.heard < constants.NodeLostAfter {
			for _, suspect := range g.suspects {
				if suspect != id {
					witnesses[suspect]++
				}
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.view.Nodes)) {
		row := c.view.Nodes[id]
		heard := c.electedAt
		if g := c.nodes[id]; g != nil {
			heard = max(heard, g.heard)
		}
		sinceHeard := c.now - heard
		lostAfter := c.timing.LostAfter
		isLost := sinceHeard > lostAfter && witnesses[id] >= constants.SuspectWitnesses || sinceHeard > 2*lostAfter
		isLapsed := sinceHeard > constants.LeaseDuration+constants.LeaseClockMargin+constants.ReservationWindow
		if c.routed != nil && !row.Disk && newest[row.Address] > row.Incarnation {
			put(store.NodeKey(id), store.Tombstone(store.NodeKey(id)))
			delete(c.nodes, id)
		} else if isLapsed && row.State == schema.NodeState_NODE_STOPPING && !row.Disk || sinceHeard > time.Minute && !row.Disk {
			put(store.NodeKey(id), store.Tombstone(store.NodeKey(id)))
			delete(c.nodes, id)
			c.endpoints.Drop(id)
		} else if isLost && row.State != schema.NodeState_NODE_LOST {
			lost := proto.Clone(row).(*schema.Node)
			lost.State = schema.NodeState_NODE_LOST
			put(store.NodeKey(id), store.EncodeRow(store.NodeKey(id), lost))
			c.endpoints.Drop(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.view.Nodes)) {
		row := c.view.Nodes[id]
		if !row.Disk || row.State != schema.NodeState_NODE_LOST {
			continue
		}
		isMember := slices.ContainsFunc(slices.Concat(c.quorum.Members().Voters, c.quorum.Members().Learners), func(m *schema.Member) bool { return m.Id == id })
		if !isMember && (c.nodes[id] == nil || c.now-c.nodes[id].heard > time.Minute) && c.now-c.electedAt > time.Minute {
			put(store.NodeKey(id), store.Tombstone(store.NodeKey(id)))
		}
	}
	if c.propose(record) {
		for _, row := range record.Rows {
			c.log.Info("fleet", "row", row.Key, "gone", row.Gone)
		}
	}
}

func (c *Machine) planEndpoints() {
	sweep := c.listRead
	c.listRead = nil
	if record := c.endpoints.Plan(c.now, c.view, c.table, sweep); record != nil && c.propose(record) {
		c.log.Info("back ends changed", "rows", len(record.Rows))
	}
}

func (c *Machine) planReplicaSets() {
	for _, region := range slices.Sorted(maps.Keys(c.view.Regions)) {
		set := c.view.ReplicaSets[region]
		key := store.ReplicaSetKey(region)
		var members []*schema.Member
		isLate, isUnready := false, false
		for _, id := range slices.Sorted(maps.Keys(c.view.Nodes)) {
			node := c.view.Nodes[id]
			if node.Region != region || node.State != schema.NodeState_NODE_READY {
				continue
			}
			g := c.nodes[id]
			isIn := set != nil && slices.ContainsFunc(set.Members, func(m *schema.Member) bool { return m.Id == id })
			if g != nil && isIn && (g.reservationSet < set.Number || !g.isReservationReady) {
				isUnready = true
			}
			if !isIn && (g == nil || c.now-g.firstHeard < 2*time.Second) {
				isLate = true
				continue
			}
			members = append(members, &schema.Member{Id: id, Address: node.Address, Zone: node.Zone})
		}
		isSame := set != nil && slices.EqualFunc(set.Members, members, func(a, b *schema.Member) bool { return proto.Equal(a, b) })
		isSmaller := set != nil && slices.ContainsFunc(set.Members, func(m *schema.Member) bool {
			return !slices.ContainsFunc(members, func(other *schema.Member) bool { return other.Id == m.Id })
		})
		if set == nil && isLate || len(members) == 0 {
			continue
		}
		record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "keepers of " + region,
			Guards: []*schema.Guard{{Key: key, Index: c.table.Get(key).GetIndex()}}}
		switch {
		case !isSame && (set == nil || isSmaller || !isUnready && !isLate):
			fresh := &schema.ReplicaSet{Region: region, Number: set.GetNumber() + 1, Members: members, Former: set.GetMembers(), Fenced: set != nil, First: set == nil}
			record.Rows = []*schema.Row{store.EncodeRow(key, fresh)}
		case set.GetFenced():
			isReleased, _ := c.released(c.table.Get(key).GetIndex())
			if !isReleased {
				continue
			}
			fresh := proto.Clone(set).(*schema.ReplicaSet)
			fresh.Fenced = false
			record.Rows = []*schema.Row{store.EncodeRow(key, fresh)}
		}
		c.propose(record)
	}
}

func (c *Machine) planShardSlots() {
	for _, name := range slices.Sorted(maps.Keys(c.view.Services)) {
		service := c.view.Services[name]
		isKeyed := slices.ContainsFunc(service.Entries, func(e *schema.Entry) bool { return e.Keyed })
		if !isKeyed {
			continue
		}
		region := ""
		for _, entry := range service.Entries {
			if entity := service.Entities[entry.Path]; entry.Keyed && entity != nil {
				region = entity.Region
			}
		}
		share := map[string]int{}
		isWarm := map[string]bool{}
		for _, backend := range service.Backends {
			zone := c.view.Zones[backend.Zone]
			if zone != nil && zone.Region == region && !zone.Emptied && backend.State == schema.BackendState_BACKEND_READY && !backend.Failing {
				share[backend.Instance] = 0
				isWarm[backend.Instance] = !backend.Cold
			}
		}
		if len(share) == 0 {
			continue
		}
		moving := 0
		for slot := range uint32(constants.KeySlots) {
			row := service.Slots[slot]
			owner := row.GetInstance()
			if row.GetNext() != "" {
				owner = row.Next
				moving++
			}
			if _, isAble := share[owner]; isAble {
				share[owner]++
			}
		}
		least := func() string {
			best := ""
			for _, name := range slices.Sorted(maps.Keys(share)) {
				if best == "" || isWarm[name] && !isWarm[best] || isWarm[name] == isWarm[best] && share[name] < share[best] {
					best = name
				}
			}
			return best
		}
		record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "keys of " + name}
		put := func(slot uint32, fresh *schema.ShardSlot) {
			key := store.ShardSlotKey(name, slot)
			record.Guards = append(record.Guards, &schema.Guard{Key: key, Index: c.table.Get(key).GetIndex()})
			record.Rows = append(record.Rows, store.EncodeRow(key, fresh))
		}
		for slot := range uint32(constants.KeySlots) {
			row := service.Slots[slot]
			_, isAble := share[row.GetInstance()]
			target := least()
			switch {
			case row == nil:
				put(slot, &schema.ShardSlot{Service: name, Slot: slot, Instance: target, Number: 1})
				share[target]++
			case row.Next != "":
				if c.isKeyFree(c.table.Get(store.ShardSlotKey(name, slot)).GetIndex()) {
					next := row.Next
					if _, isThere := share[next]; !isThere {
						next = target
						share[next]++
					}
					put(slot, &schema.ShardSlot{Service: name, Slot: slot, Instance: next, Number: row.Number + 1})
				}
			case !isAble:
				put(slot, &schema.ShardSlot{Service: name, Slot: slot, Instance: row.Instance, Number: row.Number + 1, Next: target})
				share[target]++
				moving++
			case moving < constants.KeyMoves && isWarm[target] && share[row.Instance] > share[target]+2:
				put(slot, &schema.ShardSlot{Service: name, Slot: slot, Instance: row.Instance, Number: row.Number + 1, Next: target})
				share[row.Instance]--
				share[target]++
				moving++
			}
		}
		c.propose(record)
	}
}

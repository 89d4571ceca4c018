package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/catalog"
	"topazshed/internal/constants"
	"topazshed/internal/image"
	"topazshed/internal/schema"
	"topazshed/internal/standing"
)

func (c *Core) lead() {
	if !c.IsLeading() {
		if c.wasLeader {
			c.nodes = map[string]*granted{}
			c.releasedAt = map[uint64]time.Duration{}
			c.pending = map[string]uint64{}
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
		c.sweep = nil
		c.beat()
	}
	c.leader, c.leaderAt = c.self.Address, c.now
	if c.now-c.planAt < constants.StandingPlanEvery {
		return
	}
	c.planAt = c.now
	c.planMembers()
	c.planNodes()
	c.planVersion()
	if c.routed == nil && c.now-c.electedAt < constants.StandingSettle && len(c.view.Services) > 0 {
		return
	}
	if c.routed != nil {
		c.leadRouted()
		return
	}
	c.planRoster()
	c.planKeepers()
	c.planSlots()
	for _, record := range standing.Plan(c.view, c.table, c.released) {
		c.sign(record)
		c.propose(record)
	}
}

func (c *Core) propose(record *schema.Record) bool {
	if record == nil || len(record.Rows) == 0 {
		return false
	}
	for _, row := range record.Rows {
		if at := c.pending[row.Key]; at > c.table.Version() {
			return false
		}
	}
	index, _, err := c.quorum.Propose(c.now, record)
	if err != nil {
		return false
	}
	for _, row := range record.Rows {
		c.pending[row.Key] = index
	}
	for key, at := range c.pending {
		if at <= c.table.Version() {
			delete(c.pending, key)
		}
	}
	return true
}

func (c *Core) lapse(g *granted) time.Duration {
	at := c.electedAt + constants.GrantTime + constants.GrantMargin
	if g != nil {
		at = max(at, g.until)
	}
	return at
}

func (c *Core) released(index uint64) (bool, uint64) {
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

func (c *Core) isKeyFree(index uint64) bool {
	for id := range c.view.Nodes {
		if g := c.nodes[id]; (g == nil || g.floor < index) && c.now < c.lapse(g)+constants.ClaimWindow {
			return false
		}
	}
	return true
}

func (c *Core) newestFence() uint64 {
	var newest uint64
	for key := range c.fences {
		newest = max(newest, c.table.Get(key).GetIndex())
	}
	for region, set := range c.view.Keepers {
		if set.Fenced {
			newest = max(newest, c.table.Get(image.KeepersKey(region)).GetIndex())
		}
	}
	return newest
}

func (c *Core) planNodes() {
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "nodes"}
	put := func(key string, row *schema.Row) {
		record.Guards = append(record.Guards, &schema.Guard{Key: key, Index: c.table.Get(key).GetIndex()})
		record.Rows = append(record.Rows, row)
	}
	if c.table.Get(image.SystemKey) == nil {
		put(image.SystemKey, &schema.Row{Key: image.SystemKey, Value: []byte(c.system)})
	}
	districts, regions := map[string]string{}, map[string]bool{}
	nextDistrict, nextRegion := uint32(0), uint32(1)
	for _, d := range c.view.Districts {
		districts[d.Name] = d.Region
		nextDistrict = max(nextDistrict, d.Residue+2)
	}
	for _, r := range c.view.Regions {
		regions[r.Name] = true
		nextRegion = max(nextRegion, r.Residue+2)
	}
	admit := func(district, region string) {
		if !regions[region] && nextRegion < constants.Increment {
			regions[region] = true
			put(image.RegionKey(region), image.Put(image.RegionKey(region), &schema.Region{Name: region, Residue: nextRegion}))
			nextRegion += 2
		}
		if c.routed != nil {
			nextDistrict = 0
		}
		if _, isKnown := districts[district]; !isKnown && nextDistrict < constants.Increment {
			districts[district] = region
			put(image.DistrictKey(district), image.Put(image.DistrictKey(district), &schema.District{Name: district, Region: region, Residue: nextDistrict}))
			nextDistrict += 2
		}
	}
	if c.routed != nil {
		for _, name := range slices.Sorted(maps.Keys(c.routed.options.Districts)) {
			admit(name, c.routed.options.Districts[name])
		}
	}
	newest := c.newestAt()
	for _, id := range slices.Sorted(maps.Keys(c.nodes)) {
		g := c.nodes[id]
		row := c.view.Nodes[id]
		if c.now-g.heard > constants.NodeLostAfter || !c.isFitNode(g.node) {
			continue
		}
		if region, isKnown := districts[g.node.District]; isKnown && region != g.node.Region {
			c.log.Error("node names a district under another region and is declined; mend its settings", "node", id, "district", g.node.District, "region", g.node.Region, "known", region)
			continue
		}
		admit(g.node.District, g.node.Region)
		if c.routed != nil && newest[g.node.Address] > g.node.Incarnation {
			continue
		}
		fresh := proto.Clone(g.node).(*schema.Node)
		if row == nil || row.State != fresh.State || row.Address != fresh.Address || row.Proxy != fresh.Proxy || row.Door != fresh.Door || row.SpeaksLow != fresh.SpeaksLow || row.SpeaksHigh != fresh.SpeaksHigh || row.Incarnation < fresh.Incarnation {
			put(image.NodeKey(id), image.Put(image.NodeKey(id), fresh))
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
		silence := c.now - heard
		lostAfter := c.routed.lostAfter()
		isLost := silence > lostAfter && witnesses[id] >= constants.SuspectWitnesses || silence > 2*lostAfter
		isLapsed := silence > constants.GrantTime+constants.GrantMargin+constants.ClaimWindow
		if c.routed != nil && !row.Disk && newest[row.Address] > row.Incarnation {
			put(image.NodeKey(id), image.Gone(image.NodeKey(id)))
			delete(c.nodes, id)
		} else if isLapsed && row.State == schema.NodeState_NODE_STOPPING && !row.Disk || silence > time.Minute && !row.Disk {
			put(image.NodeKey(id), image.Gone(image.NodeKey(id)))
			delete(c.nodes, id)
			c.rost.Drop(id)
		} else if isLost && row.State != schema.NodeState_NODE_LOST {
			lost := proto.Clone(row).(*schema.Node)
			lost.State = schema.NodeState_NODE_LOST
			put(image.NodeKey(id), image.Put(image.NodeKey(id), lost))
			c.rost.Drop(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.view.Nodes)) {
		row := c.view.Nodes[id]
		if !row.Disk || row.State != schema.NodeState_NODE_LOST {
			continue
		}
		isMember := slices.ContainsFunc(slices.Concat(c.quorum.Members().Voters, c.quorum.Members().Learners), func(m *schema.Member) bool { return m.Id == id })
		if !isMember && (c.nodes[id] == nil || c.now-c.nodes[id].heard > time.Minute) && c.now-c.electedAt > time.Minute {
			put(image.NodeKey(id), image.Gone(image.NodeKey(id)))
		}
	}
	if c.propose(record) {
		for _, row := range record.Rows {
			c.log.Info("fleet", "row", row.Key, "gone", row.Gone)
		}
	}
}

// heirOf gives the newer process with a disk that speaks at a voter's address under another identity: the voter's disk is gone, so that it never votes again.
func (c *Core) heirOf(m *schema.Member) string {
	if c.routed == nil || m.Id == c.self.Id {
		return ""
	}
	was := c.view.Nodes[m.Id].GetIncarnation()
	if g := c.nodes[m.Id]; g != nil {
		was = max(was, g.node.GetIncarnation())
	}
	for _, id := range slices.Sorted(maps.Keys(c.nodes)) {
		if g := c.nodes[id]; id != m.Id && was > 0 && g.node.GetDisk() && g.node.GetAddress() == m.Address && g.node.GetIncarnation() > was && c.now-g.heard <= constants.NodeLostAfter {
			return id
		}
	}
	return ""
}

func (c *Core) planMembers() {
	members := proto.Clone(c.quorum.Members()).(*schema.Members)
	at := func(list []*schema.Member, id string) int {
		return slices.IndexFunc(list, func(m *schema.Member) bool { return m.Id == id })
	}
	propose := func(reason string) {
		record := &schema.Record{Kind: schema.RecordKind_RECORD_MEMBERS, Members: members, Reason: reason}
		if _, _, err := c.quorum.Propose(c.now, record); err == nil {
			c.log.Info("member change proposed", "reason", reason)
		}
	}
	for i, m := range members.Voters {
		if heir := c.heirOf(m); heir != "" {
			members.Voters = slices.Delete(members.Voters, i, i+1)
			propose("voter " + m.Id + " has lost its disk and is back as " + heir)
			return
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.nodes)) {
		g := c.nodes[id]
		if !c.isFitNode(g.node) || !g.node.Disk || c.now-g.heard > constants.NodeLostAfter || g.node.State == schema.NodeState_NODE_STOPPING {
			continue
		}
		if i := at(members.Voters, id); i >= 0 {
			if members.Voters[i].Address != g.node.Address {
				members.Voters[i].Address = g.node.Address
				propose("voter " + id + " has a new address")
				return
			}
			continue
		}
		i := at(members.Learners, id)
		if i < 0 {
			members.Learners = append(members.Learners, &schema.Member{Id: id, Address: g.node.Address, District: g.node.District})
			propose("disk machine " + id + " joins as learner")
			return
		}
		if match := c.quorum.Match(id); match > 0 && match+constants.LearnerGap >= c.quorum.Commit() && c.now-c.quorum.Heard(id) < time.Second {
			learner := members.Learners[i]
			members.Learners = slices.Delete(members.Learners, i, i+1)
			members.Voters = append(members.Voters, learner)
			propose("learner " + id + " has caught up and votes")
			return
		}
	}
	silence := func(id string) time.Duration {
		if id == c.self.Id {
			return 0
		}
		return c.now - max(c.quorum.Heard(id), c.electedAt)
	}
	for i, m := range members.Learners {
		if silence(m.Id) > 2*constants.MemberLostAfter {
			members.Learners = slices.Delete(members.Learners, i, i+1)
			propose("learner " + m.Id + " is silent")
			return
		}
	}
	for i, m := range members.Voters {
		if silence(m.Id) > constants.MemberLostAfter && len(members.Voters) > 3 {
			live := 0
			for _, other := range members.Voters {
				if other.Id != m.Id && silence(other.Id) < time.Second {
					live++
				}
			}
			if live > (len(members.Voters)-1)/2 {
				members.Voters = slices.Delete(members.Voters, i, i+1)
				propose("voter " + m.Id + " is silent")
				return
			}
		}
	}
}

func (c *Core) planRoster() {
	sweep := c.sweep
	c.sweep = nil
	if record := c.rost.Plan(c.now, c.view, c.table, sweep); record != nil && c.propose(record) {
		c.log.Info("back ends changed", "rows", len(record.Rows))
	}
}

func (c *Core) planKeepers() {
	for _, region := range slices.Sorted(maps.Keys(c.view.Regions)) {
		set := c.view.Keepers[region]
		key := image.KeepersKey(region)
		var members []*schema.Member
		isLate, isUnready := false, false
		for _, id := range slices.Sorted(maps.Keys(c.view.Nodes)) {
			node := c.view.Nodes[id]
			if node.Region != region || node.State != schema.NodeState_NODE_READY {
				continue
			}
			g := c.nodes[id]
			isIn := set != nil && slices.ContainsFunc(set.Members, func(m *schema.Member) bool { return m.Id == id })
			if g != nil && isIn && (g.keepers < set.Number || !g.keeperReady) {
				isUnready = true
			}
			if !isIn && (g == nil || c.now-g.firstHeard < 2*time.Second) {
				isLate = true
				continue
			}
			members = append(members, &schema.Member{Id: id, Address: node.Address, District: node.District})
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
			fresh := &schema.Keepers{Region: region, Number: set.GetNumber() + 1, Members: members, Former: set.GetMembers(), Fenced: set != nil, First: set == nil}
			record.Rows = []*schema.Row{image.Put(key, fresh)}
		case set.GetFenced():
			isReleased, _ := c.released(c.table.Get(key).GetIndex())
			if !isReleased {
				continue
			}
			fresh := proto.Clone(set).(*schema.Keepers)
			fresh.Fenced = false
			record.Rows = []*schema.Row{image.Put(key, fresh)}
		}
		c.propose(record)
	}
}

func (c *Core) planSlots() {
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
			district := c.view.Districts[backend.District]
			if district != nil && district.Region == region && !district.Emptied && backend.State == schema.BackendState_BACKEND_READY && !backend.Failing {
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
			holder := row.GetInstance()
			if row.GetNext() != "" {
				holder = row.Next
				moving++
			}
			if _, isAble := share[holder]; isAble {
				share[holder]++
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
		put := func(slot uint32, fresh *schema.KeyRange) {
			key := image.SlotKey(name, slot)
			record.Guards = append(record.Guards, &schema.Guard{Key: key, Index: c.table.Get(key).GetIndex()})
			record.Rows = append(record.Rows, image.Put(key, fresh))
		}
		for slot := range uint32(constants.KeySlots) {
			row := service.Slots[slot]
			_, isAble := share[row.GetInstance()]
			target := least()
			switch {
			case row == nil:
				put(slot, &schema.KeyRange{Service: name, Slot: slot, Instance: target, Number: 1})
				share[target]++
			case row.Next != "":
				if c.isKeyFree(c.table.Get(image.SlotKey(name, slot)).GetIndex()) {
					next := row.Next
					if _, isThere := share[next]; !isThere {
						next = target
						share[next]++
					}
					put(slot, &schema.KeyRange{Service: name, Slot: slot, Instance: next, Number: row.Number + 1})
				}
			case !isAble:
				put(slot, &schema.KeyRange{Service: name, Slot: slot, Instance: row.Instance, Number: row.Number + 1, Next: target})
				share[target]++
				moving++
			case moving < constants.KeyMoves && isWarm[target] && share[row.Instance] > share[target]+2:
				put(slot, &schema.KeyRange{Service: name, Slot: slot, Instance: row.Instance, Number: row.Number + 1, Next: target})
				share[row.Instance]--
				share[target]++
				moving++
			}
		}
		c.propose(record)
	}
}

// Operate takes a local operator's query.
func (c *Core) Operate(now time.Duration, ticket uint64, query *schema.OperatorQuery) {
	c.now = now
	c.operate(&waiter{ticket: ticket, query: query})
}

func (c *Core) reply(w *waiter, outcome *schema.OperatorOutcome) {
	if w.to != "" {
		c.send(w.to, &schema.Frame{Call: w.call, Body: &schema.Frame_OperatorOutcome{OperatorOutcome: outcome}})
		return
	}
	c.effects.Outcomes = append(c.effects.Outcomes, Outcome{w.ticket, outcome})
}

func (c *Core) operate(w *waiter) {
	w.until = c.now + constants.ProposalWait
	if !c.IsLeading() {
		if w.to != "" {
			c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_NO_LEADER, Message: "the node asked does not lead; ask again shortly"})
			return
		}
		if c.routed != nil {
			w.isSent, w.bornAt = true, c.now
			c.waiters = append(c.waiters, w)
			c.passOn(w)
			return
		}
		if c.leader == "" || c.leader == c.self.Address || c.now-c.leaderAt > constants.NodeLostAfter {
			c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_NO_LEADER, Message: "no leader is known; ask again shortly, and run doctor if it lasts"})
			return
		}
		w.isSent = true
		c.waiters = append(c.waiters, w)
		c.send(c.leader, &schema.Frame{Call: w.ticket, Body: &schema.Frame_OperatorQuery{OperatorQuery: w.query}})
		return
	}
	switch w.query.Kind {
	case schema.OperatorKind_OPERATOR_PUT_ROUTES:
		c.operatePutRoutes(w)
	case schema.OperatorKind_OPERATOR_PUT:
		c.operatePut(w)
	case schema.OperatorKind_OPERATOR_SHOW, schema.OperatorKind_OPERATOR_STATUS, schema.OperatorKind_OPERATOR_ASK:
		c.nextRead++
		c.reads[c.nextRead] = w
		if err := c.quorum.Read(c.now, c.nextRead); err != nil {
			delete(c.reads, c.nextRead)
			c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_NO_LEADER, Message: err.Error()})
		}
	case schema.OperatorKind_OPERATOR_EMPTY, schema.OperatorKind_OPERATOR_RESTORE:
		c.operateDistrict(w)
	default:
		c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_UNKNOWN, Message: "unknown operator query"})
	}
}

func (c *Core) operatePut(w *waiter) {
	if len(c.view.Regions) == 0 || len(c.view.Services) == 0 {
		c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_NO_LEADER, Message: "no back end is known from the platform's list yet; ask again shortly"})
		return
	}
	if c.pending[image.HeadKey] > c.table.Version() {
		c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_CONFLICT, Version: image.Decode[schema.CatalogHead](c.table.Get(image.HeadKey)).GetVersion() + 1,
			Message: "another configuration is being accepted; read it, merge, and put again"})
		return
	}
	if head := image.Decode[schema.CatalogHead](c.table.Get(image.HeadKey)); w.query.Key != "" && head.GetOperatorKey() == w.query.Key {
		c.reply(w, &schema.OperatorOutcome{Version: head.Version, Index: c.table.Get(image.HeadKey).Index})
		return
	}
	entries, faults := catalog.Read(w.query.Document, c.view)
	if len(faults) > 0 {
		c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_INVALID, Message: "the configuration is declined whole; nothing changed", Faults: faults})
		return
	}
	record, version, err := catalog.Plan(c.table, entries, w.query.Document, w.query.Base, w.query.Key)
	if err != nil {
		c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_CONFLICT, Message: err.Error(),
			Version: image.Decode[schema.CatalogHead](c.table.Get(image.HeadKey)).GetVersion()})
		return
	}
	catalog.Standings(c.view, c.table, record)
	c.submit(w, record, version)
}

func (c *Core) submit(w *waiter, record *schema.Record, version uint64) {
	index, term, err := c.quorum.Propose(c.now, record)
	if err != nil {
		c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_NO_LEADER, Message: err.Error()})
		return
	}
	for _, row := range record.Rows {
		c.pending[row.Key] = index
	}
	w.index, w.term = index, term
	w.query.Base = version
	c.waiters = append(c.waiters, w)
}

func (c *Core) operateDistrict(w *waiter) {
	isEmpty := w.query.Kind == schema.OperatorKind_OPERATOR_EMPTY
	key := image.DistrictKey(w.query.District)
	row := c.table.Get(key)
	district := image.Decode[schema.District](row)
	if district == nil {
		c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_UNKNOWN, Message: "district " + w.query.District + " is not known; see status for the names"})
		return
	}
	if district.Emptied == isEmpty && c.pending[key] <= c.table.Version() {
		c.reply(w, &schema.OperatorOutcome{Index: row.Index, Unconfirmed: c.unconfirmed(row.Index)})
		return
	}
	fresh := proto.Clone(district).(*schema.District)
	fresh.Emptied, fresh.Reason = isEmpty, w.query.Reason
	fresh.Settling = c.routed != nil && !isEmpty
	c.submit(w, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "district " + district.Name, Rows: []*schema.Row{image.Put(key, fresh)}}, 0)
}

func (c *Core) settle(item *schema.LogItem) {
	verdict, isVoid := c.verdicts[item.Index]
	delete(c.verdicts, item.Index)
	for i := 0; i < len(c.waiters); i++ {
		w := c.waiters[i]
		if w.isSent || w.index != item.Index {
			continue
		}
		c.waiters = slices.Delete(c.waiters, i, i+1)
		i--
		switch {
		case w.term != item.Term:
			c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_NO_LEADER, Message: "the leader changed before the query was accepted; it was not taken, ask again"})
		case isVoid:
			c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_CONFLICT, Message: verdict,
				Version: image.Decode[schema.CatalogHead](c.table.Get(image.HeadKey)).GetVersion()})
		default:
			c.planAt = 0
			if c.routed != nil {
				c.reply(w, &schema.OperatorOutcome{Version: w.query.Base, Index: w.index})
				continue
			}
			w.until = c.now + constants.ConfirmWait
			c.confirming = append(c.confirming, w)
		}
	}
}

func (c *Core) unconfirmed(index uint64) []string {
	var districts []string
	for id, node := range c.view.Nodes {
		if g := c.nodes[id]; node.State != schema.NodeState_NODE_STOPPING && (g == nil || g.version < index) && !slices.Contains(districts, node.District) {
			districts = append(districts, node.District)
		}
	}
	slices.Sort(districts)
	return districts
}

func (c *Core) operated() uint64 {
	newest := c.table.Get(image.HeadKey).GetIndex()
	for name := range c.view.Districts {
		newest = max(newest, c.table.Get(image.DistrictKey(name)).GetIndex())
	}
	return newest
}

func (c *Core) confirm() {
	c.confirming = slices.DeleteFunc(c.confirming, func(w *waiter) bool {
		outcome := &schema.OperatorOutcome{Version: w.query.Base, Index: w.index, Unconfirmed: c.unconfirmed(w.index)}
		isOver := len(outcome.Unconfirmed) == 0 || c.now >= w.until || !c.IsLeading()
		if isOver {
			c.reply(w, outcome)
		}
		return isOver
	})
}

func (c *Core) answerRead(ticket uint64) {
	w := c.reads[ticket]
	if w == nil {
		return
	}
	delete(c.reads, ticket)
	document := image.Decode[schema.CatalogDocument](c.table.Get(image.DocumentKey))
	outcome := &schema.OperatorOutcome{Version: document.GetVersion(), Document: document.GetDocument(), Index: c.table.Version()}
	if w.query.Kind == schema.OperatorKind_OPERATOR_STATUS {
		outcome = &schema.OperatorOutcome{Version: document.GetVersion(), Index: c.operated(), Unconfirmed: c.unconfirmed(c.operated()),
			Reports: c.reports(), Changes: c.changes}
	}
	head := image.Decode[schema.CatalogHead](c.table.Get(image.HeadKey))
	if w.query.Kind == schema.OperatorKind_OPERATOR_ASK && head.GetOperatorKey() != w.query.Key {
		outcome = &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_UNKNOWN, Version: head.GetVersion(),
			Message: "the newest configuration was not put with that key; read it back and compare"}
	}
	c.reply(w, outcome)
}

func (c *Core) expire() {
	c.confirm()
	c.resumeDeferred()
	c.askAgain()
	for i := 0; i < len(c.waiters); i++ {
		if w := c.waiters[i]; c.now > w.until {
			c.waiters = slices.Delete(c.waiters, i, i+1)
			i--
			c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_DOUBTFUL, Message: "no majority answered in time; the query may still be taken, ask with its key or read back"})
		}
	}
	for ticket, w := range c.reads {
		if c.now > w.until {
			delete(c.reads, ticket)
			c.reply(w, &schema.OperatorOutcome{Decline: schema.DeclineKind_DECLINE_NO_LEADER, Message: "no majority answered in time; ask again"})
		}
	}
	for prefix, at := range c.wanted {
		if c.now-at > 10*time.Minute {
			delete(c.wanted, prefix)
			c.hold(prefix, false)
			gone := c.table.Rows([]string{prefix})
			if c.quorum == nil && len(gone) > 0 && strings.HasPrefix(prefix, "s/") {
				c.publish(c.table.Forget(c.prefixes()))
			}
		}
	}
}

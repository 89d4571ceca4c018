package leader

import (
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

var (
	systemRow = &schema.Row{Key: store.SystemKey, Value: []byte("system")}
	zoneRow   = store.EncodeRow(store.ZoneKey("z"), &schema.Zone{Name: "z", Region: "r", Residue: 2})
	regionRow = store.EncodeRow(store.RegionKey("r"), &schema.Region{Name: "r", Residue: 1})
)

func TestPlanNodes(t *testing.T) {
	const (
		sinceElected = 5 * time.Minute
		now          = startedAt + sinceElected
		lostAfter    = 2 * time.Second
	)
	places := []*schema.Row{systemRow, regionRow, zoneRow}
	newer := func(node *schema.Node) { node.Address, node.Incarnation = "shared", 2 }
	older := func(node *schema.Node) { node.Address = "shared" }
	for _, c := range []struct {
		name string
		rows []*schema.Row
		// heard gives each node with the time since its newest heartbeat, suspects who suspects whom.
		heard    map[*schema.Node]time.Duration
		suspects map[string][]string
		members  []string
		rules    AdmissionRules
		isUnfit  bool
		// put and deleted are the keys of the record's rows.
		put, deleted []string
		lost         []string
		conflicts    int
	}{
		{name: "a new system gets its row", put: []string{store.SystemKey}},
		{name: "nothing changes", rows: append(slices.Clone(places), nodeRow(readyNode("n"))), heard: map[*schema.Node]time.Duration{readyNode("n"): 0}},
		{name: "a first node brings its region and zone", rows: places[:1], heard: map[*schema.Node]time.Duration{readyNode("n"): 0},
			put: []string{store.RegionKey("r"), store.ZoneKey("z"), store.NodeKey("n")}},
		{name: "the deployment's zones get rows without nodes", rows: places[:1], rules: AdmissionRules{Zones: map[string]string{"z": "r"}}, put: []string{store.RegionKey("r"), store.ZoneKey("z")}},
		{name: "a changed node is written anew", rows: append(slices.Clone(places), nodeRow(readyNode("n"))), heard: map[*schema.Node]time.Duration{readyNode("n", isStopping): 0}, put: []string{store.NodeKey("n")}},
		{name: "a node that speaks no version of the fleet gets no row", rows: places, heard: map[*schema.Node]time.Duration{readyNode("n"): 0}, isUnfit: true},
		{name: "a node heard of long ago gets no row", rows: places, heard: map[*schema.Node]time.Duration{readyNode("n"): constants.NodeLostAfter + 1}},
		{name: "a node that puts its zone into another region gets no row", rows: places,
			heard: map[*schema.Node]time.Duration{readyNode("n", func(n *schema.Node) { n.Region = "other" }): 0}, conflicts: 1},
		{name: "an unheard node is not lost on one suspicion and its own", rows: append(slices.Clone(places), nodeRow(readyNode("n")), nodeRow(readyNode("w"))),
			heard: map[*schema.Node]time.Duration{readyNode("n"): lostAfter + 1, readyNode("w"): 0}, suspects: map[string][]string{"w": {"n"}, "n": {"n"}}},
		{name: "an unheard node that two suspect is lost", rows: append(slices.Clone(places), nodeRow(readyNode("n")), nodeRow(readyNode("v")), nodeRow(readyNode("w"))),
			heard:    map[*schema.Node]time.Duration{readyNode("n"): lostAfter + 1, readyNode("v"): 0, readyNode("w"): 0},
			suspects: map[string][]string{"v": {"n"}, "w": {"n"}, "n": {"n"}}, put: []string{store.NodeKey("n")}, lost: []string{"n"}},
		{name: "a node unheard for twice as long is lost without suspicions", rows: append(slices.Clone(places), nodeRow(readyNode("n"))),
			heard: map[*schema.Node]time.Duration{readyNode("n"): 2*lostAfter + 1}, put: []string{store.NodeKey("n")}, lost: []string{"n"}},
		{name: "a lost node is not marked again", rows: append(slices.Clone(places), nodeRow(readyNode("n", isLost))), heard: map[*schema.Node]time.Duration{readyNode("n"): 2*lostAfter + 1}},
		{name: "a stopped node is forgotten once its lease is over", rows: append(slices.Clone(places), nodeRow(readyNode("n", isStopping))),
			heard: map[*schema.Node]time.Duration{readyNode("n", isStopping): inheritedLeases + constants.ReservationWindow + 1}, deleted: []string{store.NodeKey("n")}, lost: []string{"n"}},
		{name: "a node without a disk is forgotten after a minute", rows: append(slices.Clone(places), nodeRow(readyNode("n", isLost))), deleted: []string{store.NodeKey("n")}, lost: []string{"n"}},
		{name: "a lost member of the log is kept", rows: append(slices.Clone(places), nodeRow(readyNode("n", isLost, withDisk))), members: []string{"n"}},
		{name: "a lost former member is forgotten after a minute", rows: append(slices.Clone(places), nodeRow(readyNode("n", isLost, withDisk))), deleted: []string{store.NodeKey("n")}},
		{name: "a newer process at an address takes the older one's place", rows: append(slices.Clone(places), nodeRow(readyNode("n", older))),
			heard: map[*schema.Node]time.Duration{readyNode("n", older): 0, readyNode("new", newer): 0}, rules: AdmissionRules{ReplacesByAddress: true},
			put: []string{store.NodeKey("new")}, deleted: []string{store.NodeKey("n")}},
		{name: "but not in a fleet of entries", rows: append(slices.Clone(places), nodeRow(readyNode("n", older))),
			heard: map[*schema.Node]time.Duration{readyNode("n", older): 0, readyNode("new", newer): 0}, put: []string{store.NodeKey("new")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := NewFleet()
			fleet.Elected(startedAt)
			for node, since := range c.heard {
				fleet.Heard(now-since, node, &schema.Heartbeat{Suspects: c.suspects[node.Id]})
			}
			c.rules.LostAfter = lostAfter
			plan := fleet.PlanNodes(NodeFacts{
				State:   newState(t, now, c.rows...),
				Rules:   c.rules,
				Members: &schema.Members{Voters: members(c.members...)},
				IsFit:   func(*schema.Node) bool { return !c.isUnfit },
			})
			var put, deleted []string
			for i, row := range plan.Record.GetRows() {
				if guard := plan.Record.Guards[i]; guard.Key != row.Key {
					t.Errorf("row %s has the guard of %s", row.Key, guard.Key)
				}
				if row.Gone {
					deleted = append(deleted, row.Key)
				} else {
					put = append(put, row.Key)
				}
			}
			if !slices.Equal(put, c.put) || !slices.Equal(deleted, c.deleted) {
				t.Errorf("put %v, deleted %v, want %v and %v", put, deleted, c.put, c.deleted)
			}
			if !slices.Equal(plan.Lost, c.lost) || len(plan.Conflicts) != c.conflicts {
				t.Errorf("lost %v, conflicts %v", plan.Lost, plan.Conflicts)
			}
			for _, key := range deleted {
				if fleet.Node(key[len(store.NodeKey("")):]) != nil {
					t.Errorf("%s is still remembered", key)
				}
			}
		})
	}
}

func TestZonesAndRegionsGetResiduesOfTheirOwn(t *testing.T) {
	zones := map[string]string{"a": "r1", "b": "r2", "c": "r1"}
	for _, c := range []struct {
		name            string
		hasZoneResidues bool
		want            map[string]uint32
	}{
		{"a fleet of entries", true, map[string]uint32{"a": 0, "b": 2, "c": 4}},
		{"a fleet of routes", false, map[string]uint32{"a": 0, "b": 0, "c": 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := NewFleet().PlanNodes(NodeFacts{
				State:   newState(t, startedAt, systemRow),
				Rules:   AdmissionRules{Zones: zones, HasZoneResidues: c.hasZoneResidues, LostAfter: time.Second},
				Members: &schema.Members{},
				IsFit:   isAnyFit,
			})
			state := newState(t, startedAt, plan.Record.GetRows()...)
			for name, want := range c.want {
				if zone := state.View.Zones[name]; zone == nil || zone.Residue != want || zone.Region != zones[name] {
					t.Errorf("zone %s: %v, want residue %d", name, zone, want)
				}
			}
			if r1, r2 := state.View.Regions["r1"].GetResidue(), state.View.Regions["r2"].GetResidue(); r1 != 1 || r2 != 3 {
				t.Errorf("regions have residues %d and %d, want 1 and 3", r1, r2)
			}
		})
	}
}

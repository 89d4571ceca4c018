package failover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// routeFleet is a fleet of routes in three regions, whose plans are applied until none is left.
type routeFleet struct {
	t     *testing.T
	table *store.Table
}

var zonesOf = map[string][]string{"hal": {"hal-a"}, "kol": {"kol-a", "kol-b"}, "tor": {"tor-a", "tor-b"}}

func newRouteFleet(t *testing.T) *routeFleet {
	t.Helper()
	a := &routeFleet{t, store.NewTable()}
	residue := uint32(0)
	for i, region := range []string{"hal", "kol", "tor"} {
		a.put(store.RegionKey(region), store.EncodeRow(store.RegionKey(region), &schema.Region{Name: region, Residue: uint32(2*i + 1)}))
		for _, zone := range zonesOf[region] {
			a.put(store.ZoneKey(zone), store.EncodeRow(store.ZoneKey(zone), &schema.Zone{Name: zone, Region: region, Residue: residue}))
			a.node(zone, schema.NodeState_NODE_READY)
			a.backend("copper", zone, schema.BackendState_BACKEND_READY)
			residue += 2
		}
	}
	a.settle()
	return a
}

func (a *routeFleet) put(key string, row *schema.Row) {
	a.t.Helper()
	if _, err := a.table.Apply(a.table.Version()+1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{row}},
		Check); err != nil {
		a.t.Fatalf("%s: %v", key, err)
	}
}

func (a *routeFleet) node(zone string, state schema.NodeState) {
	key := store.NodeKey("node-" + zone)
	a.put(key, store.EncodeRow(key, &schema.Node{Id: "node-" + zone, Zone: zone, Region: zone[:3], State: state}))
}

func (a *routeFleet) backend(service, zone string, state schema.BackendState) {
	key := store.BackendKey(service, service+"-"+zone)
	a.put(key, store.EncodeRow(key, &schema.Backend{Service: service, Instance: service + "-" + zone, Zone: zone, State: state}))
}

func (a *routeFleet) empty(zone string, isEmptied bool) {
	key := store.ZoneKey(zone)
	row := store.DecodeRow[schema.Zone](a.table.Get(key))
	row.Emptied = isEmptied
	a.put(key, store.EncodeRow(key, row))
}

func (a *routeFleet) view() *store.View { return store.Compile(a.table) }

// settle plans and applies until nothing is planned any more, and checks each step.
func (a *routeFleet) settle() {
	a.t.Helper()
	for range 20 {
		records := PlanRoutes(a.view(), a.table)
		if len(records) == 0 {
			a.check()
			return
		}
		for _, record := range records {
			if _, err := a.table.Apply(a.table.Version()+1, record, Check); err != nil {
				a.t.Fatalf("%s: %v", record.Reason, err)
			}
		}
	}
	a.t.Fatal("the plan does not settle")
}

// check: each region's numbers resolve by their residue to one group of that region or, in one hop, to another region's.
func (a *routeFleet) check() {
	a.t.Helper()
	view := a.view()
	residues := map[uint32]string{}
	for name, group := range view.Groups {
		if was, isTaken := residues[group.Residue]; isTaken || group.Residue%2 != 0 {
			a.t.Fatalf("group %s has residue %d, as %q", name, group.Residue, was)
		}
		residues[group.Residue] = name
	}
	for _, service := range []string{"copper", "nobody"} {
		for region := range view.Regions {
			active, err := ResolveRegion(view, service, region)
			if err != nil {
				continue
			}
			last := active.Trail[len(active.Trail)-1]
			if len(active.Trail) > 2 || Number(view.Groups[active.Group].Residue) != last%constants.GroupIncrement || view.Groups[active.Group].Region != active.Region {
				a.t.Fatalf("%s in %s: active %+v", service, region, active)
			}
			if (active.Region == region) != (len(active.Trail) == 1) {
				a.t.Fatalf("%s in %s: active %+v", service, region, active)
			}
		}
	}
}

func (a *routeFleet) locate(service, region string) ActiveGroup {
	a.t.Helper()
	active, err := ResolveRegion(a.view(), service, region)
	if err != nil {
		a.t.Fatal(err)
	}
	return active
}

func TestPlanRoutes(t *testing.T) {
	lost, ready := schema.NodeState_NODE_LOST, schema.NodeState_NODE_READY
	for _, c := range []struct {
		name   string
		turns  []func(*routeFleet)
		region string
		want   string
	}{
		{"at first the whole region", nil, "kol", "kol kol-a kol-b"},
		{"a zone is emptied", []func(*routeFleet){func(a *routeFleet) { a.empty("kol-a", true) }}, "kol", "kol:kol-b kol-b"},
		{"and given back", []func(*routeFleet){func(a *routeFleet) { a.empty("kol-a", true) }, func(a *routeFleet) { a.empty("kol-a", false) }},
			"kol", "kol kol-a kol-b"},
		{"a zone loses its nodes", []func(*routeFleet){func(a *routeFleet) { a.node("kol-b", lost) }}, "kol", "kol:kol-a kol-a"},
		{"and they come back", []func(*routeFleet){func(a *routeFleet) { a.node("kol-b", lost) }, func(a *routeFleet) { a.node("kol-b", ready) }},
			"kol", "kol kol-a kol-b"},
		{"stopping nodes are not lost ones", []func(*routeFleet){func(a *routeFleet) { a.node("kol-b", schema.NodeState_NODE_STOPPING) }},
			"kol", "kol kol-a kol-b"},
		{"another region keeps its own", []func(*routeFleet){func(a *routeFleet) { a.empty("kol-a", true) }}, "tor", "tor tor-a tor-b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newRouteFleet(t)
			was := a.locate("copper", c.region)
			for _, turn := range c.turns {
				turn(a)
				a.settle()
			}
			active := a.locate("copper", c.region)
			if got := active.Group + " " + strings.Join(active.Zones, " "); got != c.want || active.Region != c.region {
				t.Fatalf("%q in %s, want %q", got, active.Region, c.want)
			}
			if active.Group != was.Group && active.Trail[0] <= was.Trail[0] || len(c.turns) == 2 && active.Trail[0] <= was.Trail[0]+constants.GroupIncrement/2 {
				t.Fatalf("number %d after %d", active.Trail[0], was.Trail[0])
			}
		})
	}
}

func TestPlanRoutesSendsAnEmptiedRegionElsewhere(t *testing.T) {
	for _, c := range []struct {
		name string
		turn func(*routeFleet)
		back func(*routeFleet)
	}{
		{"both zones emptied", func(a *routeFleet) { a.empty("kol-a", true); a.empty("kol-b", true) },
			func(a *routeFleet) { a.empty("kol-a", false); a.empty("kol-b", false) }},
		{"all nodes lost", func(a *routeFleet) {
			a.node("kol-a", schema.NodeState_NODE_LOST)
			a.node("kol-b", schema.NodeState_NODE_LOST)
		}, func(a *routeFleet) {
			a.node("kol-a", schema.NodeState_NODE_READY)
			a.node("kol-b", schema.NodeState_NODE_READY)
		}},
		{"no back end of the service is ready", func(a *routeFleet) {
			a.backend("copper", "kol-a", schema.BackendState_BACKEND_DRAINING)
			a.backend("copper", "kol-b", schema.BackendState_BACKEND_DRAINING)
		}, func(a *routeFleet) {
			a.backend("copper", "kol-a", schema.BackendState_BACKEND_READY)
			a.backend("copper", "kol-b", schema.BackendState_BACKEND_READY)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newRouteFleet(t)
			was := a.locate("copper", "kol")
			c.turn(a)
			a.settle()
			active := a.locate("copper", "kol")
			if active.Region == "kol" || len(active.Trail) != 2 || active.Trail[0] <= was.Trail[0] {
				t.Fatalf("%+v", active)
			}
			if residue := Number(a.view().Regions[active.Region].Residue); active.Trail[0]%constants.GroupIncrement != residue {
				t.Fatalf("number %d does not name region %s, residue %d", active.Trail[0], active.Region, residue)
			}
			c.back(a)
			a.settle()
			back := a.locate("copper", "kol")
			if back.Region != "kol" || back.Group != was.Group || back.Trail[0] <= active.Trail[0] {
				t.Fatalf("back: %+v after %+v", back, active)
			}
		})
	}
}

func TestResolveRegionFollowsOneHopOnly(t *testing.T) {
	a := newRouteFleet(t)
	view := a.view()
	hop := func(from, to string) {
		key := store.DefaultAssignmentKey(from)
		number := Number(view.DefaultAssignments[from].Number).next(view.Regions[to].Residue, routeIncrement)
		a.put(key, store.EncodeRow(key, &schema.FailoverAssignment{Region: from, Number: uint64(number)}))
	}
	hop("hal", "kol")
	if active := a.locate("copper", "hal"); active.Region != "kol" || len(active.Trail) != 2 {
		t.Fatalf("%+v", active)
	}
	hop("kol", "tor")
	if active, err := ResolveRegion(a.view(), "copper", "hal"); err == nil {
		t.Fatalf("two hops were followed to %+v", active)
	}
	if _, err := ResolveRegion(a.view(), "copper", "moon"); err == nil {
		t.Fatal("a region without a row was resolved")
	}
}

func TestCheckRouteRows(t *testing.T) {
	a := newRouteFleet(t)
	group := a.view().Groups["kol"]
	number := a.view().DefaultAssignments["kol"].Number
	for _, c := range []struct {
		name string
		row  *schema.Row
		want string
	}{
		{"a group renumbered",
			store.EncodeRow(store.GroupKey("kol"), &schema.Group{Name: "kol", Region: "kol", Residue: group.Residue + 40}),
			"renumbered"},
		{"a group moved to another region",
			store.EncodeRow(store.GroupKey("kol"), &schema.Group{Name: "kol", Region: "tor", Residue: group.Residue}),
			"renumbered"},
		{"a group with an odd residue", store.EncodeRow(store.GroupKey("new"), &schema.Group{Name: "new", Residue: 7}), "even"},
		{"a group with a residue above the increment",
			store.EncodeRow(store.GroupKey("new"), &schema.Group{Name: "new", Residue: constants.GroupIncrement}),
			"below the increment"},
		{"a lower number", store.EncodeRow(store.DefaultAssignmentKey("kol"),
			&schema.FailoverAssignment{Region: "kol", Number: number - 1}), "only rise"},
		{"the same number", store.EncodeRow(store.DefaultAssignmentKey("kol"),
			&schema.FailoverAssignment{Region: "kol", Number: number}), "only rise"},
		{"a service's lower number",
			store.EncodeRow(store.AssignmentKey("copper", "", "kol"),
				&schema.FailoverAssignment{Service: "copper", Region: "kol", Number: 0}), "only rise"},
		{"a region renumbered", store.EncodeRow(store.RegionKey("kol"), &schema.Region{Name: "kol", Residue: 77}), "renumbered"},
		{"more zones in a known group",
			store.EncodeRow(store.GroupKey("kol"),
				&schema.Group{Name: "kol", Region: "kol", Residue: group.Residue, Zones: []string{"kol-a", "kol-b", "kol-c"}}), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := Check(a.table, c.row); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Fatalf("%v, want %q", err, c.want)
			}
		})
	}
}

// A routed fleet's increment is chosen for 46 regions with 182 zones; each of them must get a residue.
func TestCheckTakesTheRegionsAndZonesOfTheSizeToDesignFor(t *testing.T) {
	table := store.NewTable()
	for i := range uint32(46) {
		name := fmt.Sprintf("r%02d", i)
		if err := Check(table, store.EncodeRow(store.RegionKey(name), &schema.Region{Name: name, Residue: 2*i + 1})); err != nil {
			t.Fatalf("region %d: %v", i, err)
		}
	}
	for i := range uint32(182) {
		name := fmt.Sprintf("d%03d", i)
		if err := Check(table, store.EncodeRow(store.ZoneKey(name), &schema.Zone{Name: name, Region: "r00"})); err != nil {
			t.Fatalf("zone %d: %v", i, err)
		}
	}
	for i := range uint32(46 + 2*182) {
		name := fmt.Sprintf("g%03d", i)
		if err := Check(table, store.EncodeRow(store.GroupKey(name), &schema.Group{Name: name, Region: "r00", Residue: 2 * i})); err != nil {
			t.Fatalf("group %d: %v", i, err)
		}
	}
}

func TestActiveGroups(t *testing.T) {
	a := newRouteFleet(t)
	view := a.view()
	for _, c := range []struct {
		name    string
		homes   []string
		arrival string
		first   string
		count   int
	}{
		{"the arrival's own region comes first", nil, "kol", "kol", 3},
		{"a home", []string{"kol", "tor"}, "tor", "tor", 2},
		{"arrived outside its homes", []string{"kol"}, "tor", "kol", 1},
		{"homes without nodes", []string{"moon"}, "kol", "", 0},
		{"one home without nodes", []string{"moon", "hal"}, "kol", "hal", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i := range 50 {
				token := fmt.Sprint("token", i)
				groups := ActiveGroups(view, "copper", c.homes, c.arrival, token)
				if len(groups) != c.count || c.count > 0 && groups[0].Region != c.first {
					t.Fatalf("%+v", groups)
				}
				for _, active := range groups {
					if len(c.homes) > 0 && !slices.Contains(c.homes, active.Region) {
						t.Fatalf("%s is no home", active.Region)
					}
				}
				if again := ActiveGroups(view, "copper", c.homes, c.arrival, token); fmt.Sprint(again) != fmt.Sprint(groups) {
					t.Fatalf("the same token gave %v and %v", groups, again)
				}
			}
		})
	}
	owners := map[string]int{}
	for i := range 400 {
		from := ActiveGroups(view, "copper", []string{"hal", "kol"}, "tor", fmt.Sprint("token", i))
		other := ActiveGroups(view, "copper", []string{"hal", "kol"}, "moon", fmt.Sprint("token", i))
		if from[0].Region != other[0].Region {
			t.Fatalf("token %d has the owners %s and %s", i, from[0].Region, other[0].Region)
		}
		owners[from[0].Region]++
	}
	if owners["hal"] < 120 || owners["kol"] < 120 {
		t.Fatalf("origins drawn by token are uneven: %v", owners)
	}
}

func TestActiveGroupsKeepHomesWhenTheHomeIsEmptied(t *testing.T) {
	a := newRouteFleet(t)
	a.empty("hal-a", true)
	a.settle()
	if groups := ActiveGroups(a.view(), "copper", []string{"hal"}, "hal", "x"); len(groups) != 0 {
		t.Fatalf("work at home in hal alone would go to %+v", groups)
	}
	for _, active := range ActiveGroups(a.view(), "copper", []string{"hal", "tor"}, "hal", "x") {
		if active.Region != "tor" {
			t.Fatalf("would go to %s", active.Region)
		}
	}
}

func TestPlanRoutesUnderRandomChange(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		a := newRouteFleet(t)
		numbers := map[string]uint64{}
		residues := map[string]uint32{}
		for range 60 {
			region := []string{"hal", "kol", "tor"}[random.IntN(3)]
			zone := zonesOf[region][random.IntN(len(zonesOf[region]))]
			switch random.IntN(4) {
			case 0:
				a.empty(zone, true)
			case 1:
				a.empty(zone, false)
			case 2:
				a.node(zone, []schema.NodeState{schema.NodeState_NODE_READY, schema.NodeState_NODE_LOST}[random.IntN(2)])
			case 3:
				a.backend("copper", zone,
					[]schema.BackendState{schema.BackendState_BACKEND_READY, schema.BackendState_BACKEND_DRAINING}[random.IntN(2)])
			}
			a.settle()
			view := a.view()
			a.table.Each("", func(row *schema.Row) {
				if s := store.DecodeRow[schema.FailoverAssignment](row); strings.Contains(row.Key, "standing/") {
					if s.Number < numbers[row.Key] {
						t.Fatalf("seed %d: %s fell to %d", seed, row.Key, s.Number)
					}
					numbers[row.Key] = s.Number
				}
			})
			for name, group := range view.Groups {
				if was, isKnown := residues[name]; isKnown && was != group.Residue {
					t.Fatalf("seed %d: group %s renumbered", seed, name)
				}
				residues[name] = group.Residue
			}
			for name := range view.Regions {
				hasOpen := false
				for _, other := range zonesOf[name] {
					d := view.Zones[other]
					b := view.Services["copper"].Backend("copper-" + other)
					hasOpen = hasOpen || !d.Emptied && view.Nodes["node-"+other].State != schema.NodeState_NODE_LOST && b.State == schema.BackendState_BACKEND_READY
				}
				if active, err := ResolveRegion(view, "copper", name); hasOpen && (err != nil || active.Region != name) {
					t.Fatalf("seed %d: region %s has open zones with back ends, yet %+v, %v", seed, name, active, err)
				}
			}
		}
	}
}

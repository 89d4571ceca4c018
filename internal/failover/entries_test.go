package failover

import (
	"strings"
	"testing"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestCheckRefusesFallingNumbers(t *testing.T) {
	table := store.NewTable()
	apply := func(index raft.Index, row *schema.Row) error {
		_, err := table.Apply(index, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{row}}, Check)
		return err
	}
	key := store.AssignmentKey("ledger", "/balances", "north")
	if err := apply(1, store.EncodeRow(key, &schema.FailoverAssignment{Number: 302})); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		row  *schema.Row
		want string
	}{
		{"a lower failover number", store.EncodeRow(key, &schema.FailoverAssignment{Number: 204}), "only rise"},
		{"a group with an odd residue", store.EncodeRow(store.ZoneKey("a"), &schema.Zone{Name: "a", Residue: 3}), "even"},
		{"a region with an even residue", store.EncodeRow(store.RegionKey("n"), &schema.Region{Name: "n", Residue: 2}), "odd"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := apply(table.Version()+1, c.row)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
			if got := store.DecodeRow[schema.FailoverAssignment](table.Get(key)).Number; got != 302 {
				t.Fatalf("number became %d", got)
			}
		})
	}
}

func fleet(t *testing.T, rows ...*schema.Row) (*store.Table, *store.View) {
	t.Helper()
	table := store.NewTable()
	all := []*schema.Row{}
	for i, region := range []string{"north", "south"} {
		all = append(all, store.EncodeRow(store.RegionKey(region), &schema.Region{Name: region, Residue: uint32(2*i + 1)}))
		for j, side := range []string{"-a", "-b"} {
			name := region + side
			all = append(all, store.EncodeRow(store.ZoneKey(name), &schema.Zone{Name: name, Region: region, Residue: uint32(4*i + 2*j)}),
				store.EncodeRow(store.NodeKey(name), &schema.Node{Id: name, Zone: name, Region: region, State: schema.NodeState_NODE_READY}),
				store.EncodeRow(store.BackendKey("ledger", name),
					&schema.Backend{Service: "ledger", Instance: name, Zone: name, State: schema.BackendState_BACKEND_READY}))
		}
	}
	all = append(all, store.EncodeRow(store.EntryKey("ledger", "/b"),
		&schema.Entry{Service: "ledger", Path: "/b", Methods: []string{"GET"}, SafeMethods: []string{"GET"}}))
	if _, err := table.Apply(1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: append(all, rows...)}, Check); err != nil {
		t.Fatal(err)
	}
	return table, store.Compile(table)
}

func assign(region string, number uint64, isFenced bool) *schema.Row {
	return store.EncodeRow(store.AssignmentKey("ledger", "/b", region),
		&schema.FailoverAssignment{Service: "ledger", Path: "/b", Region: region, Number: number, Fenced: isFenced})
}

func TestResolve(t *testing.T) {
	for _, c := range []struct {
		name   string
		rows   []*schema.Row
		homes  []string
		origin string
		want   string
	}{
		{"a group of the region", []*schema.Row{assign("north", 102, false)}, nil, "region=north", "north-b 102"},
		{"one hop to another region", []*schema.Row{assign("north", 103, false), assign("south", 104, false)}, nil, "region=north",
			"south-a 103.104"},
		{"two regions that point at each other", []*schema.Row{assign("north", 103, false), assign("south", 101, false)}, nil,
			"region=north", "error"},
		{"no row", nil, nil, "region=north", "error"},
		{"a residue that nobody has", []*schema.Row{assign("north", 150, false)}, nil, "region=north", "error"},
		{"a group of another region", []*schema.Row{assign("north", 104, false)}, nil, "region=north", "error"},
		{"never outside the home regions", []*schema.Row{assign("north", 103, false), assign("south", 104, false)},
			[]string{"north"}, "region=north", "error"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, view := fleet(t, c.rows...)
			entry := view.Services["ledger"].Entries[0]
			entry.HomeRegions = c.homes
			origin, err := ParseOrigin(c.origin)
			if err != nil {
				t.Fatal(err)
			}
			got := "error"
			if owner, err := Resolve(view, entry, origin); err == nil {
				got = owner.Zone + " " + owner.Trail.String()
			}
			if got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestPlanEntries(t *testing.T) {
	lost := func(name string) *schema.Row {
		region, _, _ := strings.Cut(name, "-")
		return store.EncodeRow(store.NodeKey(name), &schema.Node{Id: name, Zone: name, Region: region, State: schema.NodeState_NODE_LOST})
	}
	emptied := func(name string, residue uint32) *schema.Row {
		region, _, _ := strings.Cut(name, "-")
		return store.EncodeRow(store.ZoneKey(name), &schema.Zone{Name: name, Region: region, Residue: residue, Emptied: true, Reason: "test"})
	}
	for _, c := range []struct {
		name       string
		rows       []*schema.Row
		isReleased bool
		want       map[string]string
	}{
		{"an assignment that is right stays", []*schema.Row{assign("north", 100, false), assign("south", 106, false)}, true, map[string]string{}},
		{"a lost group is replaced in its region, fenced",
			[]*schema.Row{assign("north", 100, false), assign("south", 106, false), lost("north-a")}, true,
			map[string]string{"north": "north-b 102 fenced"}},
		{"numbers rise on the way back too",
			[]*schema.Row{assign("north", 102, false), assign("south", 106, false), lost("north-b")}, true,
			map[string]string{"north": "north-a 200 fenced"}},
		{"an emptied zone loses its assignment",
			[]*schema.Row{assign("north", 100, false), assign("south", 106, false), emptied("south-b", 6)}, true,
			map[string]string{"south": "south-a 204 fenced"}},
		{"a region without a group points to another",
			[]*schema.Row{assign("north", 100, false), assign("south", 106, false), lost("north-a"), lost("north-b")}, true,
			map[string]string{"north": "region south 103 fenced"}},
		{"a fence falls once leases are released", []*schema.Row{assign("north", 100, true), assign("south", 106, false)}, true,
			map[string]string{"north": "north-a 100"}},
		{"and not before", []*schema.Row{assign("north", 100, true), assign("south", 106, false)}, false, map[string]string{}},
		{"nowhere to go changes nothing",
			[]*schema.Row{assign("north", 100, false), assign("south", 106, false), lost("north-a"), lost("north-b"),
				lost("south-a"), lost("south-b")}, true, map[string]string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, view := fleet(t, c.rows...)
			got := map[string]string{}
			for _, record := range PlanEntries(view, table, func(uint64) (bool, uint64) { return c.isReleased, 1 << 30 }) {
				for _, row := range record.Rows {
					s := store.DecodeRow[schema.FailoverAssignment](row)
					got[s.Region] = EntryOwnerName(view, Number(s.Number)) + " " + Trail{Number(s.Number)}.String()
					if s.Fenced {
						got[s.Region] += " fenced"
					}
				}
				if _, err := table.Apply(table.Version()+1, record, Check); err != nil {
					t.Error(err)
				}
			}
			if len(got) != len(c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
			for region, want := range c.want {
				if got[region] != want {
					t.Errorf("%s: got %q, want %q", region, got[region], want)
				}
			}
		})
	}
}

package directory

import (
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestDecide(t *testing.T) {
	table := store.NewTable()
	rows := []*schema.Row{
		store.EncodeRow(store.RegionKey("north"), &schema.Region{Name: "north", Residue: 1}), store.EncodeRow(store.RegionKey("south"), &schema.Region{Name: "south", Residue: 3}),
		store.EncodeRow(store.ZoneKey("north-a"), &schema.Zone{Name: "north-a", Region: "north"}), store.EncodeRow(store.ZoneKey("south-a"), &schema.Zone{Name: "south-a", Region: "south", Residue: 2}),
		store.EncodeRow(store.EntryKey("ledger", "/b"), &schema.Entry{Service: "ledger", Path: "/b", Methods: []string{"GET"}, SafeMethods: []string{"GET"}}),
		store.EncodeRow(store.EntryKey("ledger", "/home"), &schema.Entry{Service: "ledger", Path: "/home", Methods: []string{"GET"}, SafeMethods: []string{"GET"}, HomeRegions: []string{"south"}}),
		store.EncodeRow(store.EntryKey("ledger", "/pay"), &schema.Entry{Service: "ledger", Path: "/pay", Methods: []string{"POST"}}),
		store.EncodeRow(store.EntryKey("ledger", "/new"), &schema.Entry{Service: "ledger", Path: "/new", Methods: []string{"GET"}, SafeMethods: []string{"GET"}}),
		store.EncodeRow(store.EntityKey("ledger", "/pay"), &schema.Entity{Service: "ledger", Path: "/pay", Region: "south", Number: 103}),
	}
	for _, path := range []string{"/b", "/home", "/pay"} {
		rows = append(rows, store.EncodeRow(store.AssignmentKey("ledger", path, "south"), &schema.FailoverAssignment{Service: "ledger", Path: path, Region: "south", Number: 102}),
			store.EncodeRow(store.AssignmentKey("ledger", path, "north"), &schema.FailoverAssignment{Service: "ledger", Path: path, Region: "north", Number: 100}))
	}
	for id, state := range map[string]schema.NodeState{"n1": schema.NodeState_NODE_READY, "n2": schema.NodeState_NODE_STOPPING, "n3": schema.NodeState_NODE_LOST} {
		rows = append(rows, store.EncodeRow(store.NodeKey(id), &schema.Node{Id: id, Zone: "north-a", Region: "north", Proxy: id, State: state}),
			store.EncodeRow(store.NodeKey("s"+id), &schema.Node{Id: "s" + id, Zone: "south-a", Region: "south", Proxy: "s" + id, State: state}))
	}
	if _, err := table.Apply(1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: rows}, nil); err != nil {
		t.Fatal(err)
	}
	local := &controlplane.Local{View: store.Compile(table), IsFull: true, FreshAt: time.Hour, TickAt: time.Hour}
	for _, c := range []struct {
		name, region, service, path string
		parked                      time.Duration
		proxies, origin, kind       string
	}{
		{"a caller's own region", "north", "ledger", "/b/1", 0, "n1", "region=north", ""},
		{"another caller's", "south", "ledger", "/b/1", 0, "sn1", "region=south", ""},
		{"a caller from outside the home regions is sent home", "north", "ledger", "/home", 0, "sn1", "region=south", ""},
		{"unsafe work has one region for all", "north", "ledger", "/pay", 0, "sn1", "entry=ledger/pay", ""},
		{"an unknown entry", "north", "ledger", "/secret", 0, "", "", "unknown-entry"},
		{"an unknown service", "north", "nobody", "/", 0, "", "", "unknown-entry"},
		{"no assignment yet waits", "north", "ledger", "/new", 0, "", "", ""},
		{"and then is refused with a time to come back", "north", "ledger", "/new", constants.MaxPark, "", "", "no-standing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			match, refusal, _ := Decide(time.Hour, local, c.region, c.service, c.path, c.parked, func(int64) int64 { return 0 })
			proxies, origin, kind := "", "", ""
			if match != nil {
				origin = match.Origin
				for _, p := range match.Proxies {
					proxies += p.Address
				}
				if match.LiveMilli != constants.MatchTTL.Milliseconds() {
					t.Errorf("lives %d ms", match.LiveMilli)
				}
			}
			if refusal != nil {
				kind = refusal.Kind
			}
			if proxies != c.proxies || origin != c.origin || kind != c.kind {
				t.Fatalf("got %q %q %q, want %q %q %q", proxies, origin, kind, c.proxies, c.origin, c.kind)
			}
		})
	}
}

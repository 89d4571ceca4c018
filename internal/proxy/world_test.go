package proxy

import (
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const noon = time.Hour

type world struct {
	rows []*schema.Row
}

func (w *world) put(_ string, row *schema.Row) { w.rows = append(w.rows, row) }

func base(backends ...*schema.Backend) *world {
	w := &world{}
	for i, name := range []string{"north", "south"} {
		w.put("", store.EncodeRow(store.RegionKey(name), &schema.Region{Name: name, Residue: uint32(2*i + 1)}))
	}
	for i, name := range []string{"north-a", "north-b", "south-a"} {
		region, _, _ := strings.Cut(name, "-")
		w.put("", store.EncodeRow(store.ZoneKey(name), &schema.Zone{Name: name, Region: region, Residue: uint32(2 * i)}))
		w.put("", store.EncodeRow(store.NodeKey("n"+name), &schema.Node{Id: "n" + name, Zone: name, Region: region, Proxy: name + ":1", State: schema.NodeState_NODE_READY}))
	}
	w.put("", store.EncodeRow(store.EntryKey("ledger", "/balances"), &schema.Entry{Service: "ledger", Path: "/balances", Methods: []string{"GET"}, SafeMethods: []string{"GET"}, BodyLimit: 64, ResponseLimit: 4096, ColdRate: 6}))
	w.put("", store.EncodeRow(store.EntryKey("ledger", "/pay"), &schema.Entry{Service: "ledger", Path: "/pay", Methods: []string{"POST"}, BodyLimit: 64, ResponseLimit: 4096, ColdRate: 6}))
	w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/balances", "north"), &schema.FailoverAssignment{Service: "ledger", Path: "/balances", Region: "north", Number: 100}))
	w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/balances", "south"), &schema.FailoverAssignment{Service: "ledger", Path: "/balances", Region: "south", Number: 101}))
	w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/pay", "north"), &schema.FailoverAssignment{Service: "ledger", Path: "/pay", Region: "north", Number: 100}))
	w.put("", store.EncodeRow(store.EntityKey("ledger", "/pay"), &schema.Entity{Service: "ledger", Path: "/pay", Region: "north", Number: 101}))
	w.put("", store.EncodeRow(store.ReplicaSetKey("north"), &schema.ReplicaSet{Region: "north", Number: 1, Members: []*schema.Member{{Id: "k1", Address: "k1"}, {Id: "k2", Address: "k2"}, {Id: "k3", Address: "k3"}}}))
	for _, b := range backends {
		w.put("", store.EncodeRow(store.BackendKey(b.Service, b.Instance), b))
	}
	return w
}

func (w *world) view() *store.View {
	table := store.NewTable()
	if _, err := table.Apply(5, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: w.rows}, nil); err != nil {
		panic(err)
	}
	return store.Compile(table)
}

func fresh(view *store.View) *controlplane.Local {
	return &controlplane.Local{View: view, IsFull: true, FreshAt: noon, TickAt: noon, PeersAt: noon, LeaseUntil: noon + constants.LeaseDuration}
}

func backend(instance, zone string) *schema.Backend {
	return &schema.Backend{Service: "ledger", Instance: instance, Address: "127.0.0.1:1", Zone: zone, State: schema.BackendState_BACKEND_READY}
}

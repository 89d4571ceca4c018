package gateway

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

var bounds = Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60, ColdExcess: 1.5, ColdMargin: 5}

// world is a small fleet's table: regions kol (kol-a, kol-b) and tor (tor-a), nodes n1 to n3 and the service copper.
type world struct {
	t     testing.TB
	table *store.Table
}

func newWorld(t testing.TB) *world {
	w := &world{t: t, table: store.NewTable()}
	for i, region := range []string{"kol", "tor"} {
		w.put(store.RegionKey(region), &schema.Region{Name: region, Residue: uint32(2*i + 1)})
	}
	for i, name := range []string{"kol-a", "kol-b", "tor-a"} {
		w.put(store.ZoneKey(name), &schema.Zone{Name: name, Region: name[:3], Residue: uint32(2 * i)})
		id := fmt.Sprint("n", i+1)
		w.put(store.NodeKey(id), &schema.Node{Id: id, Zone: name, Region: name[:3], State: schema.NodeState_NODE_READY})
	}
	w.put(store.ServicePolicyKey("copper"), &schema.ServicePolicy{Service: "copper", ColdRate: 16})
	w.put(store.CatalogHeadKey, &schema.CatalogHead{Version: 1})
	return w
}

func (w *world) put(key string, message proto.Message) {
	w.t.Helper()
	w.apply(store.EncodeRow(key, message))
}

func (w *world) remove(key string) {
	w.t.Helper()
	w.apply(store.Tombstone(key))
}

func (w *world) apply(row *schema.Row) {
	w.t.Helper()
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{row}}
	if _, err := w.table.Apply(w.table.Version()+1, record, failover.Check); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) backend(instance, zone, address string, turns ...func(*schema.Backend)) {
	b := &schema.Backend{Service: "copper", Instance: instance, Address: address, Zone: zone, Slots: 6, State: schema.BackendState_BACKEND_READY}
	for _, turn := range turns {
		turn(b)
	}
	w.put(store.BackendKey(b.Service, instance), b)
}

func (w *world) settle() *store.View {
	w.t.Helper()
	for range 10 {
		records := failover.PlanRoutes(store.Compile(w.table), w.table)
		if len(records) == 0 {
			break
		}
		for _, record := range records {
			if _, err := w.table.Apply(w.table.Version()+1, record, failover.Check); err != nil {
				w.t.Fatal(err)
			}
		}
	}
	return store.Compile(w.table)
}

func isDraining(b *schema.Backend) { b.State = schema.BackendState_BACKEND_DRAINING }
func isColdBy(senders ...string) func(*schema.Backend) {
	return func(b *schema.Backend) { b.Cold, b.SlowStartSenders = true, senders }
}

var self = &schema.Node{Id: "n1", Zone: "kol-a", Region: "kol", State: schema.NodeState_NODE_READY}

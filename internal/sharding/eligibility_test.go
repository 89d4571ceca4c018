package sharding

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// route is a route to service a with home regions, or without.
func route(prefix string, weight uint32, homes ...string) *schema.Route {
	return &schema.Route{Name: prefix, Host: "h", Prefix: prefix, HomeRegions: homes,
		Targets: []*schema.Target{{Service: "a", Weight: weight}}}
}

func (w *world) setRoutes(version uint64, routes ...*schema.Route) {
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS,
		Rows: []*schema.Row{store.EncodeRow(store.CatalogHeadKey, &schema.CatalogHead{Version: version})}}
	w.table.Each("route/", func(row *schema.Row) { record.Rows = append(record.Rows, store.Tombstone(row.Key)) })
	for _, r := range routes {
		record.Rows = slices.DeleteFunc(record.Rows, func(row *schema.Row) bool { return row.Key == store.RouteKey(r.Host, r.Prefix) })
		record.Rows = append(record.Rows, store.EncodeRow(store.RouteKey(r.Host, r.Prefix), r))
	}
	w.apply(record)
}

// holding are the zones whose back ends hold keys, and by how many.
func (w *world) holding() string {
	held := map[string]uint32{}
	for _, keys := range w.view.Services["a"].ShardRanges {
		if backend := w.view.Services["a"].Backend(keys.Instance); backend != nil {
			held[backend.Zone] += keys.Last - keys.First + 1
		}
	}
	return fmt.Sprint(slices.Sorted(maps.Keys(held)))
}

func TestKeysAreOwnedWhereTheirRoutesAllowIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		routes []*schema.Route
		want   string
		// later is what is wanted once other routes had led elsewhere; empty is the same.
		later string
	}{
		{"no route", nil, "[d0 d1 d2]", ""},
		{"routes without homes", []*schema.Route{route("/x/", 1), route("/y/", 1)}, "[d0 d1 d2]", ""},
		{"one home", []*schema.Route{route("/x/", 1, "r1")}, "[d1]", ""},
		{"two homes", []*schema.Route{route("/x/", 1, "r0", "r2")}, "[d0 d2]", ""},
		{"routes that share a home", []*schema.Route{route("/x/", 1, "r0", "r1"), route("/y/", 1, "r1", "r2")}, "[d1]", ""},
		{"a free route beside a bound one", []*schema.Route{route("/x/", 1), route("/y/", 1, "r2")}, "[d2]", ""},
		{"a bound route that sends nothing", []*schema.Route{route("/x/", 1), route("/y/", 0, "r2")}, "[d0 d1 d2]", ""},
		{"a home without back ends beside a free route", []*schema.Route{route("/x/", 1), route("/y/", 1, "r9")}, "[d0 d1 d2]", ""},
		{"only a home without back ends", []*schema.Route{route("/x/", 1, "r9")}, "[]", "[d0 d1 d2]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 1, 6, "a")
			for i := range 3 {
				zone := fmt.Sprintf("d%d", i)
				w.put(store.EncodeRow(store.ZoneKey(zone), &schema.Zone{Name: zone, Region: fmt.Sprintf("r%d", i)}))
			}
			w.setRoutes(1, c.routes...)
			w.run(4 * time.Second)
			if got := w.holding(); got != c.want {
				t.Fatalf("keys are owned in %s, want %s", got, c.want)
			}
			w.setRoutes(2)
			w.run(2 * time.Second)
			w.setRoutes(3, c.routes...)
			w.run(8 * time.Second)
			if got := w.holding(); got != cmp.Or(c.later, c.want) {
				t.Fatalf("after other routes: keys are owned in %s, want %s", got, cmp.Or(c.later, c.want))
			}
			if w.violations > 0 {
				t.Fatalf("%d times a key had two lease holders", w.violations)
			}
		})
	}
}

func TestKeysFollowTheHomesOfAChangedRoute(t *testing.T) {
	w := newWorld(t, 1, 6, "a")
	for i := range 3 {
		zone := fmt.Sprintf("d%d", i)
		w.put(store.EncodeRow(store.ZoneKey(zone), &schema.Zone{Name: zone, Region: fmt.Sprintf("r%d", i)}))
	}
	w.setRoutes(1, route("/x/", 1, "r0"))
	w.run(4 * time.Second)
	w.setRoutes(2, route("/x/", 1, "r1", "r2"))
	w.run(10 * time.Second)
	if got := w.holding(); got != "[d1 d2]" || w.unleased() > 0 || w.violations > 0 {
		t.Fatalf("keys are owned in %s, %d without a lease, %d with two owners", got, w.unleased(), w.violations)
	}
	w.coldStarts = 0
	w.empty("d1", true)
	w.put(store.EncodeRow(store.ZoneKey("d1"), &schema.Zone{Name: "d1", Region: "r1", Emptied: true}))
	w.run(10 * time.Second)
	if got := w.holding(); got != "[d2]" || w.unleased() > 0 || w.violations > 0 {
		t.Fatalf("with an emptied home keys are owned in %s, %d without a lease, %d with two owners", got, w.unleased(), w.violations)
	}
}

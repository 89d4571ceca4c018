package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const lag = 800 * time.Millisecond

type watchTest struct {
	t        *testing.T
	table    *store.Table
	watch    *Watch
	coldRate int
	now      time.Duration
}

func newWatchTest(t *testing.T, nodes int) *watchTest {
	w := &watchTest{t: t, table: store.NewTable(), watch: NewWatch(lag), coldRate: 30, now: time.Hour}
	rows := []*schema.Row{store.EncodeRow(store.RegionKey("kol"), &schema.Region{Name: "kol", Residue: 1}),
		store.EncodeRow(store.ServicePolicyKey("copper"), &schema.ServicePolicy{Service: "copper", ColdRate: 17})}
	for i, name := range []string{"kol-a", "kol-b"} {
		rows = append(rows, store.EncodeRow(store.ZoneKey(name), &schema.Zone{Name: name, Region: "kol", Residue: uint32(2 * i)}))
	}
	for i := range nodes {
		id := fmt.Sprintf("node-%02d", i)
		rows = append(rows, store.EncodeRow(store.NodeKey(id),
			&schema.Node{Id: id, Zone: "kol-a", Region: "kol", State: schema.NodeState_NODE_READY}))
	}
	w.put(rows...)
	return w
}

func (w *watchTest) put(rows ...*schema.Row) {
	w.t.Helper()
	w.apply(&schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: rows})
}

func (w *watchTest) apply(record *schema.Record) {
	w.t.Helper()
	if _, err := w.table.Apply(w.table.Version()+1, record, nil); err != nil {
		w.t.Fatal(err)
	}
}

func (w *watchTest) plan(listing *Listing) *schema.Record {
	w.now += 400 * time.Millisecond
	if listing != nil && listing.BegunAt == 0 {
		listing.BegunAt = w.now - 50*time.Millisecond
	}
	if listing != nil {
		for i := range listing.Items {
			listing.Items[i].ReadAt = listing.BegunAt
		}
	}
	record := w.watch.Plan(WatchFacts{Now: w.now, View: store.Compile(w.table), Table: w.table, Listing: listing,
		ColdRate: func(*schema.ServicePolicy) int { return w.coldRate }})
	if record != nil {
		w.apply(record)
	}
	return record
}

func (w *watchTest) backend(instance string) *schema.Backend {
	return store.DecodeRow[schema.Backend](w.table.Get(store.BackendKey("copper", instance)))
}

func (w *watchTest) state() string {
	text := ""
	w.table.Each("s/copper/backend/", func(row *schema.Row) {
		b := store.DecodeRow[schema.Backend](row)
		mark := ""
		if b.State == schema.BackendState_BACKEND_DRAINING {
			mark = "!"
		}
		if b.Cold {
			mark += "*"
		}
		text += b.Instance + mark + " "
	})
	return text
}

func wholeListing(items ...Listed) *Listing { return &Listing{Items: items, IsComplete: true} }

func item(instance string) Listed {
	return Listed{Service: "copper", Instance: instance, Address: instance + ":1", Zone: "kol-a", Slots: 6}
}

func draining(instance string) Listed {
	i := item(instance)
	i.IsDraining = true
	return i
}

func cold(instance string, left time.Duration) Listed {
	i := item(instance)
	i.ColdLeft = left
	return i
}

func TestWatchPlan(t *testing.T) {
	partial := func(items ...Listed) *Listing { return &Listing{Items: items, Reason: "429"} }
	for _, c := range []struct {
		name  string
		reads []*Listing
		want  string
	}{
		{"nothing read", []*Listing{nil, nil}, ""},
		{"new ones", []*Listing{wholeListing(item("a"), item("b"))}, "a b "},
		{"new ones of a partial read count too", []*Listing{partial(item("a"))}, "a "},
		{"draining", []*Listing{wholeListing(item("a"), item("b")), wholeListing(item("a"), draining("b"))}, "a b! "},
		{"draining by a partial read", []*Listing{wholeListing(item("a"), item("b")), partial(draining("b"))}, "a b! "},
		{"draining is sticky, the list being behind",
			[]*Listing{wholeListing(item("a"), draining("b")), wholeListing(item("a"), item("b"))}, "a b! "},
		{"missing once", []*Listing{wholeListing(item("a"), item("b")), wholeListing(item("a"))}, "a b "},
		{"missing twice", []*Listing{wholeListing(item("a"), item("b")), wholeListing(item("a")), wholeListing(item("a"))}, "a "},
		{"missing, there, missing",
			[]*Listing{wholeListing(item("a"), item("b")), wholeListing(item("a")), wholeListing(item("a"), item("b")),
				wholeListing(item("a"))}, "a b "},
		{"partial reads take nothing out",
			[]*Listing{wholeListing(item("a"), item("b")), partial(item("a")), partial(item("a")), partial()}, "a b "},
		{"an empty list takes nothing out",
			[]*Listing{wholeListing(item("a"), item("b")), wholeListing(), wholeListing(), wholeListing()}, "a b "},
		{"all but one may go",
			[]*Listing{wholeListing(item("a"), item("b"), item("c"), item("d")), wholeListing(item("d")), wholeListing(item("d"))},
			"d "},
		{"all replaced by one of the same service",
			[]*Listing{wholeListing(item("a"), item("b")), wholeListing(item("c")), wholeListing(item("c"))}, "c "},
		{"an item without instance or with a slash in it is passed over", []*Listing{wholeListing(item("a"), item(""), item("x/y"))}, "a "},
		{"listed twice counts once", []*Listing{wholeListing(item("a"), draining("a"))}, "a "},
		{"cold", []*Listing{wholeListing(item("a"), cold("b", 3*time.Second))}, "a b* "},
		{"cold ends", []*Listing{wholeListing(item("a"), cold("b", 300*time.Millisecond)), wholeListing(item("a"), item("b")),
			wholeListing(item("a"), item("b"))}, "a b "},
		{"cold again", []*Listing{wholeListing(cold("b", 100*time.Millisecond)), wholeListing(item("b")),
			wholeListing(cold("b", time.Second))}, "b* "},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWatchTest(t, 3)
			for _, read := range c.reads {
				w.plan(read)
			}
			if got := w.state(); got != c.want {
				t.Fatalf("%q, want %q", got, c.want)
			}
		})
	}
}

func TestWatchCountsAListingOnce(t *testing.T) {
	w := newWatchTest(t, 1)
	w.plan(wholeListing(item("a"), item("b")))
	again := wholeListing(item("a"))
	for range 3 {
		w.plan(again)
	}
	if got := w.state(); got != "a b " {
		t.Fatalf("one listing, planned on three times, took a back end out: %q", got)
	}
}

func TestWatchPlansNothingIfNothingChanged(t *testing.T) {
	w := newWatchTest(t, 3)
	w.plan(wholeListing(item("a"), cold("b", time.Minute)))
	if record := w.plan(wholeListing(item("a"), cold("b", 59*time.Second))); record != nil {
		t.Fatalf("record %v", record)
	}
}

func TestWatchGuardsAgainstAnother(t *testing.T) {
	w := newWatchTest(t, 3)
	listing := wholeListing(item("a"))
	listing.BegunAt = w.now
	facts := WatchFacts{Now: w.now, View: store.Compile(w.table), Table: w.table, Listing: listing,
		ColdRate: func(*schema.ServicePolicy) int { return 1 }}
	record := w.watch.Plan(facts)
	w.put(store.EncodeRow(store.BackendKey("copper", "a"),
		&schema.Backend{Service: "copper", Instance: "a", State: schema.BackendState_BACKEND_DRAINING}))
	if _, err := w.table.Apply(w.table.Version()+1, record, nil); err == nil {
		t.Fatal("a plan on old rows was taken")
	}
}

func TestWatchSlowStartSenders(t *testing.T) {
	for _, c := range []struct {
		name            string
		nodes, coldRate int
		turn            func(*watchTest)
		want            []string
	}{
		{"as many as may share it", 9, 30, nil, []string{"node-00", "node-01", "node-02", "node-03"}},
		{"no more than there are", 2, 30, nil, []string{"node-00", "node-01"}},
		{"never more than the cold rate", 9, 3, nil, []string{"node-00", "node-01", "node-02"}},
		{"a cold rate of one has nothing to divide", 9, 1, nil, []string{"node-00"}},
		{"ready ones alone", 3, 30, func(w *watchTest) {
			w.put(store.EncodeRow(store.NodeKey("node-01"),
				&schema.Node{Id: "node-01", Zone: "kol-a", Region: "kol", State: schema.NodeState_NODE_STOPPING}),
				store.EncodeRow(store.NodeKey("node-02"), &schema.Node{Id: "node-02", Zone: "kol-a", Region: "kol", State: schema.NodeState_NODE_LOST}))
		}, []string{"node-00"}},
		{"the region's, if the zone has none", 2, 30, func(w *watchTest) {
			for i := range 2 {
				id := fmt.Sprintf("node-%02d", i)
				w.put(store.EncodeRow(store.NodeKey(id), &schema.Node{Id: id, Zone: "kol-b", Region: "kol", State: schema.NodeState_NODE_READY}))
			}
		}, []string{"node-00", "node-01"}},
		{"none of another region", 2, 30, func(w *watchTest) {
			for i := range 2 {
				id := fmt.Sprintf("node-%02d", i)
				w.put(store.EncodeRow(store.NodeKey(id), &schema.Node{Id: id, Zone: "hal-a", Region: "hal", State: schema.NodeState_NODE_READY}))
			}
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWatchTest(t, c.nodes)
			w.coldRate = c.coldRate
			if c.turn != nil {
				c.turn(w)
			}
			w.plan(wholeListing(cold("b", 3*time.Second)))
			if got := w.backend("b").SlowStartSenders; !slices.Equal(got, c.want) {
				t.Fatalf("slow-start senders %v, want %v", got, c.want)
			}
			if sum := len(w.backend("b").SlowStartSenders) * (c.coldRate / max(1, len(w.backend("b").SlowStartSenders))); sum > c.coldRate {
				t.Fatalf("slow-start senders may send %d a second together, the cold rate is %d", sum, c.coldRate)
			}
		})
	}
}

func TestWatchKeepsSlowStartSendersWhileCold(t *testing.T) {
	w := newWatchTest(t, 2)
	w.plan(wholeListing(cold("b", 3*time.Second)))
	was := w.backend("b").SlowStartSenders
	w.put(store.EncodeRow(store.NodeKey("node-"), &schema.Node{Id: "node-", Zone: "kol-a", Region: "kol", State: schema.NodeState_NODE_READY}))
	w.plan(wholeListing(cold("b", 2*time.Second)))
	if got := w.backend("b").SlowStartSenders; !slices.Equal(got, was) {
		t.Fatalf("slow-start senders %v became %v while it was cold: two sets could send its whole part in one second", was, got)
	}
	w.now += 10 * time.Second
	w.plan(wholeListing(item("b")))
	if b := w.backend("b"); b.Cold || len(b.SlowStartSenders) > 0 {
		t.Fatalf("warm, yet %v", b)
	}
	w.plan(wholeListing(cold("b", 2*time.Second)))
	if got := w.backend("b").SlowStartSenders; len(got) != 3 {
		t.Fatalf("cold again: slow-start senders %v", got)
	}
}

func TestWatchClearsASettlingZone(t *testing.T) {
	for _, c := range []struct {
		name  string
		begun time.Duration
		whole bool
		want  bool
	}{
		{"a listing begun before it was given back", -time.Second, true, true},
		{"one begun within the list's lag", lag / 2, true, true},
		{"one begun just before lag and margin", lag + constants.SettleMargin - time.Millisecond, true, true},
		{"one begun late enough", lag + constants.SettleMargin, true, false},
		{"a partial one begun late enough", lag + constants.SettleMargin, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWatchTest(t, 1)
			w.plan(wholeListing(item("a")))
			w.put(store.EncodeRow(store.ZoneKey("kol-a"), &schema.Zone{Name: "kol-a", Region: "kol", Settling: true}))
			w.plan(nil)
			at := w.now
			w.now += 5 * time.Second
			w.plan(&Listing{Items: []Listed{item("a")}, IsComplete: c.whole, BegunAt: at + c.begun})
			zone := store.DecodeRow[schema.Zone](w.table.Get(store.ZoneKey("kol-a")))
			if zone.Settling != c.want || zone.Region != "kol" {
				t.Fatalf("settling %v, want %v", zone.Settling, c.want)
			}
		})
	}
}

// Guards against two sets of senders in one second (FAILBACK): a failing back end on trial turned cold, and others were named beside those of its
// trial, which may have used their share just before.
func TestABackEndOnTrialKeepsItsSendersWhenItTurnsCold(t *testing.T) {
	w := newWatchTest(t, 9)
	w.plan(wholeListing(item("b")))
	onTrial := w.backend("b")
	onTrial.Failing, onTrial.SlowStartSenders = true, []string{"node-07", "node-08"}
	w.put(store.EncodeRow(store.BackendKey("copper", "b"), onTrial))
	w.plan(wholeListing(cold("b", 2*time.Second)))
	if got := w.backend("b"); !got.Cold || !slices.Equal(got.SlowStartSenders, []string{"node-07", "node-08"}) {
		t.Fatalf("senders %v, want those of the trial", got.SlowStartSenders)
	}
}

// Guards against taking the back ends of a zone for warm too early (FAILBACK): a zone that was emptied and restored once more between two steps
// of a leader that stood still counted as restored the first time.
func TestAZoneThatIsRestoredAgainSettlesAnew(t *testing.T) {
	w := newWatchTest(t, 3)
	restored := func(isEmptied bool) {
		w.put(store.EncodeRow(store.ZoneKey("kol-a"), &schema.Zone{Name: "kol-a", Region: "kol", Emptied: isEmptied, Settling: !isEmptied}))
	}
	w.plan(wholeListing(item("a")))
	restored(true)
	w.plan(nil)
	restored(false)
	w.plan(nil)
	w.now += lag + constants.SettleMargin
	restored(true)
	restored(false)
	w.plan(wholeListing(item("a")))
	if zone := store.DecodeRow[schema.Zone](w.table.Get(store.ZoneKey("kol-a"))); !zone.Settling {
		t.Fatal("a list from before the second time has ended the settling")
	}
	w.now += lag + constants.SettleMargin
	w.plan(wholeListing(item("a")))
	if zone := store.DecodeRow[schema.Zone](w.table.Get(store.ZoneKey("kol-a"))); zone.Settling {
		t.Fatal("the zone settles for ever")
	}
}

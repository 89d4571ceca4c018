package routes

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func route(host, prefix, service string) *schema.Route {
	return &schema.Route{Name: "r" + prefix, Host: host, Prefix: prefix, TimeoutMs: 2000, TargetMs: 300, MaxAttempts: 2,
		Targets: []*schema.Target{{Service: service, Weight: 1}}}
}

func good() *schema.RouteConfig {
	return &schema.RouteConfig{Version: 8, Base: 7, Document: []byte("eight"),
		Routes: []*schema.Route{route("one.example", "/a/", "copper"), route("one.example", "/a/b/", "nickel"),
			route("two.example", "/a/", "copper")},
		Services: []*schema.ServicePolicy{{Service: "copper", ColdRate: 17},
			{Service: "nickel", Keyed: true}}, Limits: &schema.Limits{BodyBytes: 1 << 20}}
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		turn func(*schema.RouteConfig)
		want string
	}{
		{"good", func(*schema.RouteConfig) {}, ""},
		{"good: no routes at all", func(c *schema.RouteConfig) { c.Routes = nil }, ""},
		{"good: the same prefix under another host",
			func(c *schema.RouteConfig) { c.Routes[1].Host, c.Routes[1].Prefix = "three.example", "/a/" }, ""},
		{"good: exactly ten minutes", func(c *schema.RouteConfig) { c.Routes[0].TimeoutMs = 600000 }, ""},
		{"good: a target a little less than a minute over", func(c *schema.RouteConfig) { c.Routes[0].TargetMs = 2000 + 59999 }, ""},
		{"good: one weight of two is 0", func(c *schema.RouteConfig) {
			c.Routes[0].Targets = []*schema.Target{{Service: "copper"}, {Service: "nickel", Weight: 5}}
		}, ""},
		{"good: uneven step of versions", func(c *schema.RouteConfig) { c.Version = 900 }, ""},
		{"good: home regions that no machine is in yet", func(c *schema.RouteConfig) { c.Routes[0].HomeRegions = []string{"moon"} }, ""},
		{"unknown service", func(c *schema.RouteConfig) { c.Routes[0].Targets[0].Service = "zinc" }, "not known"},
		{"unknown service without weight", func(c *schema.RouteConfig) {
			c.Routes[0].Targets = append(c.Routes[0].Targets, &schema.Target{Service: "zinc"})
		}, "not known"},
		{"same host and prefix", func(c *schema.RouteConfig) { c.Routes[1].Prefix = "/a/" }, "repeats the host and prefix"},
		{"weights add up to 0", func(c *schema.RouteConfig) { c.Routes[0].Targets[0].Weight = 0 }, "no weight"},
		{"no targets", func(c *schema.RouteConfig) { c.Routes[0].Targets = nil }, "no weight"},
		{"time-out over ten minutes", func(c *schema.RouteConfig) { c.Routes[0].TimeoutMs = 600001 }, "within"},
		{"target a minute above the time-out", func(c *schema.RouteConfig) { c.Routes[0].TargetMs = 2000 + 60000 }, "above the time-out"},
		{"prefix without slash", func(c *schema.RouteConfig) { c.Routes[0].Prefix = "a/" }, "does not start with a slash"},
		{"empty prefix", func(c *schema.RouteConfig) { c.Routes[0].Prefix = "" }, "does not start with a slash"},
		{"the newest version again", func(c *schema.RouteConfig) { c.Version = 7 }, "not above the newest"},
		{"a lower version", func(c *schema.RouteConfig) { c.Version = 6 }, "not above the newest"},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := good()
			c.turn(config)
			faults := Check(config, 7, store.NewView())
			switch {
			case c.want == "" && len(faults) > 0:
				t.Fatalf("refused: %v", faults)
			case c.want != "" && (len(faults) != 1 || !strings.Contains(faults[0].Message, c.want) || faults[0].Path == ""):
				t.Fatalf("faults %v, want one with %q", faults, c.want)
			}
		})
	}
}

func TestCheckReturnsEveryFaultAtOnce(t *testing.T) {
	config := good()
	config.Version = 1
	config.Routes[0].Prefix, config.Routes[0].TimeoutMs = "a", 700000
	config.Routes[1].Targets[0].Service, config.Routes[2].Targets[0].Weight = "zinc", 0
	if faults := Check(config, 7, store.NewView()); len(faults) != 5 {
		t.Fatalf("%d faults, want 5: %v", len(faults), faults)
	}
}

func TestCheckKnowsServicesFromTheList(t *testing.T) {
	table := store.NewTable()
	apply(t, table, 1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{
		store.EncodeRow(store.BackendKey("zinc", "z-1"),
			&schema.Backend{Service: "zinc", Instance: "z-1", State: schema.BackendState_BACKEND_READY})}})
	config := good()
	config.Routes[0].Targets[0].Service = "zinc"
	if faults := Check(config, 7, store.Compile(table)); len(faults) > 0 {
		t.Fatalf("refused: %v", faults)
	}
}

func apply(t *testing.T, table *store.Table, index raft.Index, record *schema.Record) {
	t.Helper()
	if _, err := table.Apply(index, record, nil); err != nil {
		t.Fatal(err)
	}
}

func keysOf(record *schema.Record) []string {
	var keys []string
	for _, row := range record.Rows {
		key := row.Key
		if row.Gone {
			key = "-" + key
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func placed(t *testing.T) (*store.Table, *schema.RouteConfig) {
	t.Helper()
	table := store.NewTable()
	apply(t, table, 1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{
		store.EncodeRow(store.BackendKey("copper", "c-1"),
			&schema.Backend{Service: "copper", Instance: "c-1", State: schema.BackendState_BACKEND_READY}),
		store.EncodeRow(store.ShardRangeKey("nickel", 0), &schema.ShardRange{Service: "nickel", Last: 65535, Instance: "n-1"})}})
	config := good()
	apply(t, table, 2, Plan(table, config, []byte("d8")))
	return table, config
}

func TestPlanHoldsOnlyWhatChanges(t *testing.T) {
	always := []string{store.CatalogDocumentKey, store.CatalogHeadKey, store.AcceptedKey(9)}
	for _, c := range []struct {
		name string
		turn func(*schema.RouteConfig)
		want []string
	}{
		{"nothing but the version", func(*schema.RouteConfig) {}, nil},
		{"one route moves to another service", func(c *schema.RouteConfig) { c.Routes[0].Targets[0].Service = "nickel" },
			[]string{"route/one.example/a/"}},
		{"a route goes", func(c *schema.RouteConfig) { c.Routes = c.Routes[1:] }, []string{"-route/one.example/a/"}},
		{"a route is added", func(c *schema.RouteConfig) { c.Routes = append(c.Routes, route("Six.Example", "/", "copper")) },
			[]string{"route/six.example/"}},
		{"a service goes, its back ends and shard ranges stay", func(c *schema.RouteConfig) {
			c.Services, c.Routes[1].Targets[0].Service = c.Services[:1], "copper"
		}, []string{"-s/nickel/policy", "route/one.example/a/b/"}},
		{"the limits change", func(c *schema.RouteConfig) { c.Limits.BodyBytes = 5 }, []string{store.LimitsKey}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, config := placed(t)
			config = proto.Clone(config).(*schema.RouteConfig)
			config.Version, config.Base = 9, 8
			c.turn(config)
			record := Plan(table, config, []byte("d9"))
			want := append(slices.Clone(always), c.want...)
			slices.Sort(want)
			if got := keysOf(record); !slices.Equal(got, want) {
				t.Fatalf("rows %v, want %v", got, want)
			}
			apply(t, table, 3, record)
			view := store.Compile(table)
			if view.Head.Version != 9 || view.Services["copper"].Backend("c-1") == nil || len(view.Services["nickel"].ShardRanges) != 1 {
				t.Fatalf("after it: version %d, services %v", view.Head.Version, view.Services)
			}
			count := 0
			for _, routes := range view.Hosts {
				count += len(routes)
			}
			if count != len(config.Routes) {
				t.Fatalf("%d routes in force, %d put", count, len(config.Routes))
			}
		})
	}
}

func TestPlanOfALostRaceIsVoid(t *testing.T) {
	table, config := placed(t)
	left, right := proto.Clone(config).(*schema.RouteConfig), proto.Clone(config).(*schema.RouteConfig)
	left.Version, left.Base, left.Routes[0].TimeoutMs = 9, 8, 111
	right.Version, right.Base, right.Routes[1].TimeoutMs = 10, 8, 222
	first, second := Plan(table, left, []byte("l")), Plan(table, right, []byte("r"))
	apply(t, table, 3, first)
	if _, err := table.Apply(4, second, nil); err == nil {
		t.Fatal("both of two changes on top of one version were taken")
	}
	view := store.Compile(table)
	if view.Head.Version != 9 || view.Route("one.example", "/a/x").TimeoutMs != 111 || view.Route("one.example", "/a/b/x").TimeoutMs != 2000 {
		t.Fatalf("version %d, %v", view.Head.Version, view.Hosts)
	}
}

// An earlier version of the program remembered configurations in the head alone; the next change writes their rows.
func TestConfigurationsOfAnEarlierProgramStayKnown(t *testing.T) {
	table := store.NewTable()
	head := &schema.CatalogHead{Version: 64}
	for i := range uint64(64) {
		head.Recent = append(head.Recent, &schema.AcceptedConfig{Version: 64 - i, Digest: fmt.Append(nil, "digest ", 64-i)})
	}
	apply(t, table, 1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{store.EncodeRow(store.CatalogHeadKey, head)}})
	for next := uint64(65); next < 90; next++ {
		for version := uint64(1); version < next; version++ {
			if got := Recall(table, &schema.RouteConfig{Version: version}, fmt.Append(nil, "digest ", version)); got != Accepted {
				t.Fatalf("version %d is recalled as %d at %d", version, got, next)
			}
		}
		apply(t, table, raft.Index(next), Plan(table, &schema.RouteConfig{Version: next, Base: next - 1}, fmt.Append(nil, "digest ", next)))
	}
}

func TestPlanRemembersAcceptedConfigurationsAndTheDocument(t *testing.T) {
	table := store.NewTable()
	const extra = 9
	number := func(i uint64) *schema.RouteConfig {
		return &schema.RouteConfig{Version: i + 1, Base: i, Document: fmt.Append(nil, "document ", i)}
	}
	for i := range uint64(constants.AcceptedConfigs + extra) {
		apply(t, table, raft.Index(i+1), Plan(table, number(i), fmt.Append(nil, "digest ", i)))
	}
	head := store.DecodeRow[schema.CatalogHead](table.Get(store.CatalogHeadKey))
	if len(head.Recent) != constants.RecentConfigs {
		t.Fatalf("every node gets %d", len(head.Recent))
	}
	for i, recent := range head.Recent {
		if number := head.Version - uint64(i); recent.Version != number || string(recent.Digest) != fmt.Sprint("digest ", number-1) {
			t.Fatalf("recent %d is %v", i, recent)
		}
	}
	for i := range uint64(constants.AcceptedConfigs + extra) {
		same, other := Accepted, NeverAccepted
		if i < extra {
			same, other = Forgotten, Forgotten
		}
		if got := Recall(table, number(i), fmt.Append(nil, "digest ", i)); got != same {
			t.Fatalf("version %d is recalled as %d, want %d", i+1, got, same)
		}
		if got := Recall(table, number(i), []byte("another")); got != other {
			t.Fatalf("another change under version %d is recalled as %d, want %d", i+1, got, other)
		}
	}
	onNewest := &schema.RouteConfig{Version: 3, Base: head.Version}
	if got := Recall(table, onNewest, []byte("old version")); got != NeverAccepted {
		t.Errorf("an old version on top of the newest is recalled as %d; it can't have been accepted", got)
	}
	document := store.DecodeRow[schema.CatalogDocument](table.Get(store.CatalogDocumentKey))
	if want := fmt.Appendf(nil, "document %d", head.Version-1); document.Version != head.Version || !bytes.Equal(document.Document, want) {
		t.Fatalf("document %d %q, want %q", document.Version, document.Document, want)
	}
}

package discovery

import (
	"slices"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func pages(instances ...string) []Page {
	var items []Item
	for _, name := range instances {
		state := "ready"
		if rest, isDraining := strings.CutSuffix(name, "!"); isDraining {
			name, state = rest, "draining"
		}
		items = append(items, Item{"ledger", name, name + ":1", "a", state})
	}
	half := len(items) / 2
	return []Page{{0, 2, len(items), 1, items[:half]}, {1, 2, len(items), 1, items[half:]}}
}

func TestJoin(t *testing.T) {
	good := pages("l-1", "l-2", "l-3", "l-4")
	other := slices.Clone(good)
	other[1].Revision = 2
	short := slices.Clone(good)
	short[1].Backends = short[1].Backends[:1]
	for _, c := range []struct {
		name  string
		pages []Page
		want  string
	}{
		{"whole", good, ""},
		{"nothing", nil, "pages are missing"},
		{"a page missing", good[:1], "pages are missing"},
		{"a page twice", []Page{good[0], good[0]}, "came twice"},
		{"another revision", other, "changed between"},
		{"a short page", short, "3 of 4"},
		{"an empty list", []Page{{0, 1, 0, 1, nil}}, "empty"},
		{"an item without address", []Page{{0, 1, 1, 1, []Item{{Service: "s", Instance: "i"}}}}, "lacks"},
	} {
		t.Run(c.name, func(t *testing.T) {
			listRead := Join(c.pages)
			if listRead.IsComplete != (c.want == "") || !strings.Contains(listRead.Reason, c.want) {
				t.Fatalf("whole %v, reason %q; want %q", listRead.IsComplete, listRead.Reason, c.want)
			}
		})
	}
}

func TestPlan(t *testing.T) {
	all := []string{"l-1", "l-2", "l-3", "l-4"}
	for _, c := range []struct {
		name    string
		reads   []ListRead
		failing []string
		want    string
	}{
		{"nothing new", []ListRead{Join(pages(all...))}, nil, "l-1 l-2 l-3 l-4"},
		{"one missing once stays", []ListRead{Join(pages("l-1", "l-2", "l-3"))}, nil, "l-1 l-2 l-3 l-4"},
		{"one missing twice goes", []ListRead{Join(pages("l-1", "l-2", "l-3")), Join(pages("l-1", "l-2", "l-3"))}, nil, "l-1 l-2 l-3"},
		{"most missing stay without failed health checks", []ListRead{Join(pages("l-1")), Join(pages("l-1")), Join(pages("l-1"))},
			nil, "l-1 l-2 l-3 l-4"},
		{"and go with it", []ListRead{Join(pages("l-1")), Join(pages("l-1"))}, []string{"l-2", "l-3", "l-4"}, "l-1"},
		{"a draining mark counts at once, also on a partial read",
			[]ListRead{{Items: []Item{{"ledger", "l-2", "l-2:1", "a", "draining"}}}}, nil, "l-1 l-2! l-3 l-4"},
		{"an empty list empties nothing",
			[]ListRead{Join([]Page{{0, 1, 0, 1, nil}}), Join([]Page{{0, 1, 0, 1, nil}}), Join([]Page{{0, 1, 0, 1, nil}})}, nil,
			"l-1 l-2 l-3 l-4"},
		{"a new one is cold", []ListRead{Join(pages(append(slices.Clone(all), "l-5")...))}, nil, "l-1 l-2 l-3 l-4 l-5*"},
		{"a failing one is marked", []ListRead{Join(pages(all...))}, []string{"l-3"}, "l-1 l-2 l-3? l-4"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, table := NewEndpoints(), store.NewTable()
			now := time.Minute
			step := func(listRead *ListRead) {
				now += constants.ListReadEvery
				if record := r.Plan(now, store.Compile(table), table, listRead); record != nil {
					if _, err := table.Apply(table.Version()+1, record, nil); err != nil {
						t.Fatal(err)
					}
				}
			}
			begin := Join(pages(all...))
			step(&begin)
			for _, node := range []string{"n1", "n2"} {
				var healthReports []*schema.HealthReport
				for _, name := range all {
					healthReports = append(healthReports, &schema.HealthReport{Instance: name, Failing: slices.Contains(c.failing, name)})
				}
				r.Report(node, healthReports)
			}
			for i := range c.reads {
				step(&c.reads[i])
			}
			var got []string
			for _, b := range store.Compile(table).Services["ledger"].Backends {
				name := b.Instance
				if b.State == schema.BackendState_BACKEND_DRAINING {
					name += "!"
				}
				if b.Failing {
					name += "?"
				}
				if b.Cold {
					name += "*"
				}
				got = append(got, name)
			}
			if text := strings.Join(got, " "); text != c.want {
				t.Fatalf("got %q, want %q", text, c.want)
			}
		})
	}
}

func TestABackEndThatFailedComesBackCold(t *testing.T) {
	r, table := NewEndpoints(), store.NewTable()
	now := time.Minute
	state := func(isFailing bool) *schema.Backend {
		now += constants.ListReadEvery
		for _, node := range []string{"n1", "n2"} {
			r.Report(node, []*schema.HealthReport{{Instance: "l-1", Failing: isFailing}, {Instance: "l-2"}})
		}
		listRead := Join(pages("l-1", "l-2"))
		if record := r.Plan(now, store.Compile(table), table, &listRead); record != nil {
			if _, err := table.Apply(table.Version()+1, record, nil); err != nil {
				t.Fatal(err)
			}
		}
		return store.Compile(table).Services["ledger"].Backends[0]
	}
	state(false)
	if b := state(false); b.Cold || b.Failing {
		t.Fatalf("a first back end is %v", b)
	}
	if b := state(true); !b.Failing {
		t.Fatalf("a lost one is %v", b)
	}
	if b := state(false); b.Failing || !b.Cold {
		t.Fatalf("one that is back is %v, want it cold", b)
	}
	now += constants.ColdRamp
	if b := state(false); b.Cold {
		t.Fatalf("after the ramp it is %v", b)
	}
}

func TestColdMarkIsClearedByTime(t *testing.T) {
	r, table := NewEndpoints(), store.NewTable()
	now := time.Minute
	for i, list := range [][]string{{"l-1", "l-2"}, {"l-1", "l-2", "l-3"}, {"l-1", "l-2", "l-3"}, {"l-1", "l-2", "l-3"}} {
		if i == 3 {
			now += constants.ColdRamp
		}
		now += constants.ListReadEvery
		listRead := Join(pages(list...))
		if record := r.Plan(now, store.Compile(table), table, &listRead); record != nil {
			if _, err := table.Apply(table.Version()+1, record, nil); err != nil {
				t.Fatal(err)
			}
		}
		cold := 0
		for _, b := range store.Compile(table).Services["ledger"].Backends {
			if b.Cold {
				cold++
			}
		}
		if want := []int{0, 1, 1, 0}[i]; cold != want {
			t.Fatalf("read %d: %d cold, want %d", i, cold, want)
		}
	}
}

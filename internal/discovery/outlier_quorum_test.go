package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// ejectionTest has a fleet of six nodes in kol-a and kol-b with back ends i-0 to i-9 in kol-a; copper is free, zinc is divided by key.
type ejectionTest struct {
	t             *testing.T
	table         *store.Table
	outlierQuorum *OutlierQuorum
	now           time.Duration
}

func newEjectionTest(t *testing.T, service string) *ejectionTest {
	j := &ejectionTest{t: t, table: store.NewTable(), outlierQuorum: NewOutlierQuorum(), now: time.Hour}
	rows := []*schema.Row{store.EncodeRow(store.ServicePolicyKey(service), &schema.ServicePolicy{Service: service, Keyed: service == "zinc"})}
	for i, name := range []string{"kol-a", "kol-b"} {
		rows = append(rows, store.EncodeRow(store.ZoneKey(name), &schema.Zone{Name: name, Region: "kol", Residue: uint32(2 * i)}))
	}
	for i := range 6 {
		id := fmt.Sprint("n", i)
		rows = append(rows, store.EncodeRow(store.NodeKey(id),
			&schema.Node{Id: id, Zone: []string{"kol-a", "kol-b"}[i/3], Region: "kol", State: schema.NodeState_NODE_READY}))
	}
	for i := range 10 {
		id := fmt.Sprint("i-", i)
		rows = append(rows, store.EncodeRow(store.BackendKey(service, id),
			&schema.Backend{Service: service, Instance: id, Address: id, Zone: "kol-a", State: schema.BackendState_BACKEND_READY}))
	}
	j.apply(rows)
	return j
}

func (j *ejectionTest) apply(rows []*schema.Row) {
	j.t.Helper()
	if _, err := j.table.Apply(j.table.Version()+1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: rows}, nil); err != nil {
		j.t.Fatal(err)
	}
}

func (j *ejectionTest) plan() {
	if record := j.outlierQuorum.Plan(j.now, store.Compile(j.table), j.table); record != nil {
		if _, err := j.table.Apply(j.table.Version()+1, record, nil); err != nil {
			j.t.Fatal(err)
		}
	}
}

// failing lists the failing back ends; those on trial with their slow-start senders.
func (j *ejectionTest) failing() string {
	var seen []string
	for _, service := range store.Compile(j.table).Services {
		for _, b := range service.Backends {
			switch {
			case b.Failing && len(b.SlowStartSenders) > 0:
				seen = append(seen, b.Instance+"("+strings.Join(b.SlowStartSenders, ",")+")")
			case b.Failing:
				seen = append(seen, b.Instance)
			}
		}
	}
	slices.Sort(seen)
	return strings.Join(seen, " ")
}

func TestOutlierQuorum(t *testing.T) {
	// A step is NODES:BACKENDS for votes, NODES+BACKENDS for trials that went well, or a time to wait; a plan follows each.
	for _, c := range []struct {
		name, service, steps, want string
	}{
		{"nobody votes", "copper", "1s", ""},
		{"one vote is not enough", "copper", "0:1", ""},
		{"one node's vote again and again is not", "copper", "0:1 0:1 0:1 0:1", ""},
		{"three nodes' votes are", "copper", "0:1 1:1 3:1", "i-1"},
		{"old votes are not", "copper", "0:1 1:1 2100ms 3:1", ""},
		{"one that fails only another zone's callers stays", "copper", "345:1", ""},
		{"one that fails several zones' callers is ejected", "zinc", "235:1", "i-1"},
		{"no more than the rest has capacity for", "copper", "012:1 012:2 012:3 012:4 012:5", "i-1 i-2 i-3"},
		{"a fault of all ejects nobody so easily", "copper", "0:1234567 1:1234567 2:1234567", ""},
		{"it stays ejected for a while", "copper", "012:1 2400ms", "i-1"},
		{"then a few nodes may try it", "copper", "012:1 2500ms", "i-1(n0,n2)"},
		{"votes of before do not count on trial", "copper", "012:1 2400ms 012:1 100ms", "i-1(n0,n2)"},
		{"trials that go well clear it", "copper", "012:1 2500ms 0+1 2+1", ""},
		{"a trial that fails does not", "copper", "012:1 2500ms 0+1 2:1", "i-1"},
		{"and it is ejected for twice as long", "copper", "012:1 2500ms 2:1 4900ms", "i-1"},
		{"and tried by others", "copper", "012:1 2500ms 2:1 5s", "i-1(n1,n2)"},
		{"nobody tried it", "copper", "012:1 2500ms 3s", ""},
		{"keys can't be tried", "zinc", "012:1 9900ms", "i-1"},
		{"an owner of keys is cleared at once", "zinc", "012:1 10s", ""},
		{"one that goes down and up is ejected longer each time", "zinc", "012:1 10s 012:1 19900ms", "i-1"},
		{"the longest time is bounded", "zinc", "012:1 20s 012:1 20s 012:1 20s 012:1 20s 012:1 20s 012:1 20s", ""},
		{"a long healthy time is rewarded", "zinc", "012:1 10s 012:1 20s 31s 012:1 10s", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := newEjectionTest(t, c.service)
			each := func(nodes, backends string, isFailing bool) {
				for _, n := range nodes {
					var healthReports []*schema.HealthReport
					for _, b := range backends {
						healthReports = append(healthReports, &schema.HealthReport{Instance: "i-" + string(b), Failing: isFailing})
					}
					j.outlierQuorum.Report(j.now, "n"+string(n), map[bool]string{true: "kol-a", false: "kol-b"}[n < '3'], healthReports)
				}
			}
			for _, step := range strings.Fields(c.steps) {
				if wait, err := time.ParseDuration(step); err == nil {
					for end := j.now + wait; j.now < end; {
						j.now += min(200*time.Millisecond, end-j.now)
						j.plan()
					}
					continue
				}
				if nodes, backends, isTrial := strings.Cut(step, "+"); isTrial {
					each(nodes, backends, false)
				} else {
					nodes, backends, _ := strings.Cut(step, ":")
					each(nodes, backends, true)
				}
				j.plan()
			}
			if got := j.failing(); got != c.want {
				t.Fatalf("failing %q, want %q", got, c.want)
			}
			if constants.EjectionTime != 2500*time.Millisecond || constants.EjectionTimeOwner != 10*time.Second || constants.EjectionVoteWindow != 2*time.Second || constants.EjectionVotes != 3 {
				t.Fatal("the steps are written for other constants")
			}
		})
	}
}

func TestANewLeadersOutlierQuorumTakesOver(t *testing.T) {
	j := newEjectionTest(t, "copper")
	for n := range 3 {
		j.outlierQuorum.Report(j.now, fmt.Sprint("n", n), "kol-a", []*schema.HealthReport{{Instance: "i-1", Failing: true}})
	}
	j.plan()
	j.outlierQuorum = NewOutlierQuorum()
	for range 12 {
		j.plan()
		if got := j.failing(); got != "i-1" {
			t.Fatalf("failing %q", got)
		}
		j.now += 200 * time.Millisecond
	}
	j.now += 200 * time.Millisecond
	if j.plan(); j.failing() == "i-1" {
		t.Fatal("it is ejected for ever")
	}
}

func TestWatchKeepsEjections(t *testing.T) {
	w := newWatchTest(t, 3)
	w.plan(wholeListing(item("i-1")))
	b := w.backend("i-1")
	b.Failing, b.SlowStartSenders = true, []string{"node-00"}
	w.put(store.EncodeRow(store.BackendKey("copper", "i-1"), b))
	if record := w.plan(wholeListing(item("i-1"))); record != nil {
		t.Fatalf("a read of the list changes %v", record)
	}
	moved := item("i-1")
	moved.ColdLeft = 5 * time.Second
	w.plan(wholeListing(moved))
	if b := w.backend("i-1"); b.Failing || !b.Cold || len(b.SlowStartSenders) == 0 {
		t.Fatalf("one that turned cold is %v", b)
	}
}

func BenchmarkACalmOutlierQuorum(b *testing.B) {
	table := store.NewTable()
	var rows []*schema.Row
	for i := range 20000 {
		id := fmt.Sprintf("i-%05d", i)
		service := fmt.Sprintf("s-%03d", i%200)
		rows = append(rows, store.EncodeRow(store.BackendKey(service, id),
			&schema.Backend{Service: service, Instance: id, Address: id, Zone: "kol-a", State: schema.BackendState_BACKEND_READY}))
	}
	if _, err := table.Apply(1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: rows}, nil); err != nil {
		b.Fatal(err)
	}
	view, outlierQuorum := store.Compile(table), NewOutlierQuorum()
	for b.Loop() {
		if outlierQuorum.Plan(time.Hour, view, table) != nil {
			b.Fatal("an ejection without a vote")
		}
	}
}

package catalog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func world(t *testing.T) (*store.Table, *store.View) {
	t.Helper()
	table := store.NewTable()
	_, err := table.Apply(1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{
		store.EncodeRow(store.RegionKey("north"), &schema.Region{Name: "north", Residue: 1}),
		store.EncodeRow(store.RegionKey("south"), &schema.Region{Name: "south", Residue: 3}),
		store.EncodeRow(store.ZoneKey("north-a"), &schema.Zone{Name: "north-a", Region: "north", Residue: 0}),
		store.EncodeRow(store.ZoneKey("south-a"), &schema.Zone{Name: "south-a", Region: "south", Residue: 2}),
		store.EncodeRow(store.NodeKey("n1"), &schema.Node{Id: "n1", Zone: "north-a", Region: "north", State: schema.NodeState_NODE_READY}),
		store.EncodeRow(store.BackendKey("ledger", "l-1"),
			&schema.Backend{Service: "ledger", Instance: "l-1", Zone: "north-a", State: schema.BackendState_BACKEND_READY}),
	}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return table, store.Compile(table)
}

func TestReadReturnsEveryFault(t *testing.T) {
	_, view := world(t)
	var text strings.Builder
	for _, c := range []struct{ name, document string }{
		{"good", `{"entries":[{"service":"ledger","path":"/balances","methods":["GET"],"repeat_safe":["GET"],"home_regions":["north"]}]}`},
		{"no JSON", `{"entries":[`},
		{"text behind", `{"entries":[]} {}`},
		{"empty", `{"entries":[]}`},
		{"unknown fields and kinds",
			`{"colour":1,"entries":[{"service":7,"path":"/x","methods":"GET","repeat_safe":[1],"shape":2,"keyed":"yes","body_limit":-1}, 3]}`},
		{"absent service and region",
			`{"entries":[{"service":"nobody","path":"/x","methods":["GET"],"repeat_safe":[],"home_regions":["moon"]}]}`},
		{"homes that can't be met", `{"entries":[{"service":"ledger","path":"/x","methods":["GET"],"repeat_safe":[],"home_regions":["south"]}]}`},
		{"twice, bad path, bad methods",
			`{"entries":[{"service":"ledger","path":"/x","methods":["GET"],"repeat_safe":[]},{"service":"ledger","path":"/x","methods":["GET","GET","FETCH"],"repeat_safe":["PUT"]},{"service":"Ledger","path":"x/../y","methods":[],"repeat_safe":[]}]}`},
		{"limits", `{"entries":[{"service":"ledger","path":"/x","methods":["GET"],"repeat_safe":[],"body_limit":99999999,"outcome_limit":99999999,"bearable":5000}]}`},
		{"oversize", `{"entries":[` + strings.Repeat(" ", 1<<20) + `]}`},
	} {
		entries, faults := Read([]byte(c.document), view)
		fmt.Fprintf(&text, "%s: %d entries\n", c.name, len(entries))
		for _, fault := range faults {
			fmt.Fprintf(&text, "  %s: %s\n", fault.Path, fault.Message)
		}
		if (len(faults) == 0) != (c.name == "good") {
			t.Errorf("%s has %d faults", c.name, len(faults))
		}
	}
	goldie.New(t).Assert(t, "faults", []byte(text.String()))
}

func TestPlanGivesOneWinner(t *testing.T) {
	table, view := world(t)
	document := []byte(`{"entries":[{"service":"ledger","path":"/balances","methods":["GET"],"repeat_safe":["GET"]}]}`)
	plan := func() (*schema.Record, error) {
		entries, faults := Read(document, view)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		record, _, err := Plan(table, entries, document, 0, "")
		if err == nil {
			AddAssignments(view, table, record)
		}
		return record, err
	}
	first, err := plan()
	if err != nil {
		t.Fatal(err)
	}
	second, err := plan()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Apply(2, first, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := table.Apply(3, second, nil); err == nil {
		t.Fatal("both racing records were applied")
	}
	key := store.AssignmentKey("ledger", "/balances", "north")
	if assignment := store.DecodeRow[schema.FailoverAssignment](table.Get(key)); assignment.GetNumber() != 100 {
		t.Fatalf("the failover assignment does not come with the configuration: %v", assignment)
	}
	if _, err := plan(); err == nil || !strings.Contains(err.Error(), "newest configuration is version 1") {
		t.Fatalf("a put on an old base got %v", err)
	}
}

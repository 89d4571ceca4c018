package statemachine

import (
	"testing"

	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func newMachine() *Machine { return New(protocolversion.Span{}.OrOwn()) }

func itemOf(index uint64, rows ...*schema.Row) *schema.LogItem {
	return &schema.LogItem{Index: index, Term: 2, Record: &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: rows}}
}

// applyAll applies and publishes items, and wants no error.
func applyAll(t *testing.T, m *Machine, items ...*schema.LogItem) []AppliedItem {
	t.Helper()
	applied, err := m.Apply(items)
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range applied {
		if _, err := m.Publish(0, item.Rows); err != nil {
			t.Fatal(err)
		}
	}
	return applied
}

func TestChangesAreBounded(t *testing.T) {
	m := newMachine()
	for i := range uint64(3 * constants.ChangesKept) {
		row := store.EncodeRow(store.DefaultAssignmentKey("mu"), &schema.FailoverAssignment{Region: "mu", Number: i + 1})
		if applied := m.applyItem(itemOf(i+1, row)); applied.Void != nil {
			t.Fatal(applied.Void)
		}
	}
	changes := m.Changes()
	if len(changes) != constants.ChangesKept || changes[0].To != 2*constants.ChangesKept+1 {
		t.Errorf("%d changes from %v", len(changes), changes[0])
	}
	if cap(changes) > 4*constants.ChangesKept {
		t.Errorf("room for %d", cap(changes))
	}
}

func TestAChangeTellsWhatTheLogSaysOfIt(t *testing.T) {
	m := newMachine()
	item := itemOf(1, store.EncodeRow(store.DefaultAssignmentKey("mu"), &schema.FailoverAssignment{Region: "mu", Number: 1, Reason: "emptied"}))
	item.Record.Evidence, item.Record.Leader, item.Record.AtMs = "evidence", "leader", 99
	applyAll(t, m, item)
	changes := m.Changes()
	if len(changes) != 1 {
		t.Fatalf("%d changes", len(changes))
	}
	c := changes[0]
	if c.Region != "mu" || c.From != 0 || c.To != 1 || c.Cause != "emptied" {
		t.Errorf("%v", c)
	}
	if c.Evidence != "evidence" || c.Leader != "leader" || c.AtMs != 99 || c.Index != 1 || c.Term != 2 {
		t.Errorf("%v", c)
	}
}

func TestOnlyAssignmentsAreNoted(t *testing.T) {
	for key, want := range map[string]bool{
		store.DefaultAssignmentKey("mu"):            true,
		store.AssignmentKey("copper", "", "mu"):     true,
		store.AssignmentKey("copper", "/a/b", "mu"): true,
		store.EntryKey("copper", "/standing/x"):     false,
		store.BackendKey("copper", "c-1"):           false,
		store.ZoneKey("standing"):                   false,
		store.RouteKey("one.example", "/standing/"): false,
	} {
		t.Run(key, func(t *testing.T) {
			if got := isAssignment(key); got != want {
				t.Errorf("%v, want %v", got, want)
			}
		})
	}
	if numbers := assignmentNumbers(store.NewTable(), &schema.Record{}); numbers != nil {
		t.Error(numbers)
	}
}

package store

import (
	"errors"
	"testing"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

func TestApplyChecksGuards(t *testing.T) {
	for _, c := range []struct {
		name  string
		guard *schema.Guard
		want  *GuardError
	}{
		{"the row has not changed", &schema.Guard{Key: "node/a", Index: 3}, nil},
		{"the row is absent as expected", &schema.Guard{Key: "node/b"}, nil},
		{"the row has changed", &schema.Guard{Key: "node/a", Index: 2}, &GuardError{Key: "node/a", Actual: 3, Expected: 2}},
		{"the row is there already", &schema.Guard{Key: "node/a"}, &GuardError{Key: "node/a", Actual: 3}},
		{"the row is gone", &schema.Guard{Key: "node/b", Index: 1}, &GuardError{Key: "node/b", Expected: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			apply(t, table, 3, &schema.Row{Key: "node/a", Value: []byte("former")})
			record := &schema.Record{
				Kind:   schema.RecordKind_RECORD_ROWS,
				Guards: []*schema.Guard{c.guard},
				Rows:   []*schema.Row{{Key: "node/a", Value: []byte("next")}},
			}
			changed, err := table.Apply(4, record, nil)
			var guard *GuardError
			isVoid := errors.As(err, &guard)
			if isVoid != (c.want != nil) || isVoid && *guard != *c.want {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if table.Version() != 4 {
				t.Errorf("the table stands at %d, want 4", table.Version())
			}
			if isVoid && (len(changed) > 0 || string(table.Get("node/a").Value) != "former") {
				t.Errorf("a void record changed %v", changed)
			}
		})
	}
}

func TestApplyChecksRowsButNotTombstones(t *testing.T) {
	refusal := errors.New("refused")
	refuse := func(*Table, *schema.Row) error { return refusal }
	table := NewTable()
	apply(t, table, 1, &schema.Row{Key: "node/a"})
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{{Key: "node/b"}}}
	if _, err := table.Apply(2, record, refuse); !errors.Is(err, refusal) || table.Get("node/b") != nil {
		t.Errorf("error %v, row %v", err, table.Get("node/b"))
	}
	record.Rows = []*schema.Row{Tombstone("node/a")}
	if _, err := table.Apply(3, record, refuse); err != nil || table.Get("node/a") != nil {
		t.Errorf("error %v, row %v", err, table.Get("node/a"))
	}
}

func apply(t *testing.T, table *Table, index raft.Index, rows ...*schema.Row) {
	t.Helper()
	if _, err := table.Apply(index, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: rows}, nil); err != nil {
		t.Fatal(err)
	}
}

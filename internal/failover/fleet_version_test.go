package failover_test

import (
	"testing"

	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestTheFleetsVersionBindsItsRows(t *testing.T) {
	for _, c := range []struct {
		name   string
		before uint32
		row    *schema.Row
		isVoid bool
	}{
		{"the first rise", 0, store.EncodeRow(store.FleetVersionKey, &schema.FleetVersion{Version: 2}), false},
		{"a further rise", 2, store.EncodeRow(store.FleetVersionKey, &schema.FleetVersion{Version: 3}), false},
		{"a fall", 3, store.EncodeRow(store.FleetVersionKey, &schema.FleetVersion{Version: 2}), true},
		{"a fall to none", 2, store.EncodeRow(store.FleetVersionKey, &schema.FleetVersion{}), true},
		{"a node of version 1 before the rise", 0, store.EncodeRow(store.NodeKey("n"), &schema.Node{Id: "n"}), false},
		{"a node of version 1 after it", 2, store.EncodeRow(store.NodeKey("n"), &schema.Node{Id: "n"}), true},
		{"a node that reads it", 2, store.EncodeRow(store.NodeKey("n"), &schema.Node{Id: "n", SpeaksHigh: 2}), false},
		{"a newer node that does", 2, store.EncodeRow(store.NodeKey("n"), &schema.Node{Id: "n", SpeaksLow: 2, SpeaksHigh: 9}), false},
		{"a newer node that doesn't any more", 2, store.EncodeRow(store.NodeKey("n"), &schema.Node{Id: "n", SpeaksLow: 3, SpeaksHigh: 9}), true},
		{"a node of an impossible span", 2, store.EncodeRow(store.NodeKey("n"), &schema.Node{Id: "n", SpeaksLow: 5, SpeaksHigh: 2}), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := store.NewTable()
			if c.before > 0 {
				record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS,
					Rows: []*schema.Row{store.EncodeRow(store.FleetVersionKey, &schema.FleetVersion{Version: c.before})}}
				if _, err := table.Apply(1, record, failover.Check); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := table.Apply(2, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{c.row}},
				failover.Check); (err != nil) != c.isVoid {
				t.Errorf("void: %v, want %v", err, c.isVoid)
			}
		})
	}
}

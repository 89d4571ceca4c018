package failover

import (
	"errors"
	"testing"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestCheckReturnsTypedErrors(t *testing.T) {
	table := store.NewTable()
	present := []*schema.Row{
		store.EncodeRow(store.ZoneKey("a"), &schema.Zone{Name: "a", Region: "n", Residue: 2}),
		store.EncodeRow(store.RegionKey("n"), &schema.Region{Name: "n", Residue: 1}),
		store.EncodeRow(store.DefaultAssignmentKey("n"), &schema.FailoverAssignment{Region: "n", Number: 10002}),
		store.EncodeRow(store.FleetVersionKey, &schema.FleetVersion{Version: 2}),
	}
	if _, err := table.Apply(1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: present}, Check); err != nil {
		t.Fatal(err)
	}
	falling, residue, renumber, version := new(*FallingNumberError), new(*ResidueError), new(*RenumberError), new(*FleetVersionError)
	for _, c := range []struct {
		name string
		row  *schema.Row
		want any
	}{
		{"a falling number", store.EncodeRow(store.DefaultAssignmentKey("n"), &schema.FailoverAssignment{Region: "n", Number: 10001}), falling},
		{"an odd residue of a zone", store.EncodeRow(store.ZoneKey("b"), &schema.Zone{Name: "b", Residue: 3}), residue},
		{"an even residue of a region", store.EncodeRow(store.RegionKey("s"), &schema.Region{Name: "s", Residue: 4}), residue},
		{"a residue beyond the increment", store.EncodeRow(store.GroupKey("g"), &schema.Group{Name: "g", Residue: 10000}), residue},
		{"another residue of a zone", store.EncodeRow(store.ZoneKey("a"), &schema.Zone{Name: "a", Region: "n", Residue: 4}), renumber},
		{"another region of a zone", store.EncodeRow(store.ZoneKey("a"), &schema.Zone{Name: "a", Region: "s", Residue: 2}), renumber},
		{"a falling version of the fleet", store.EncodeRow(store.FleetVersionKey, &schema.FleetVersion{Version: 1}), version},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := Check(table, c.row); !errors.As(err, c.want) {
				t.Errorf("got %v (%T), want %T", err, err, c.want)
			}
		})
	}
}

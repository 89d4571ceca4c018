package failover

import (
	"fmt"
	"testing"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestAGroupIsPlannedOnceInARecord(t *testing.T) {
	table := store.NewTable()
	var rows []*schema.Row
	for i, region := range []string{"east", "west"} {
		rows = append(rows, store.EncodeRow(store.RegionKey(region), &schema.Region{Name: region, Residue: uint32(2*i + 1)}))
		for _, zone := range []string{"a", "b"} {
			name := region + zone
			rows = append(rows, store.EncodeRow(store.ZoneKey(name), &schema.Zone{Name: name, Region: region}))
			for s := range 3 {
				service := fmt.Sprintf("s%d", s)
				rows = append(rows, store.EncodeRow(store.BackendKey(service, name+service),
					&schema.Backend{Service: service, Instance: name + service, Zone: name,
						State: schema.BackendState_BACKEND_READY}))
			}
		}
	}
	if _, err := table.Apply(1, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: rows}, Check); err != nil {
		t.Fatal(err)
	}
	for index := uint64(2); ; index++ {
		records := PlanRoutes(store.Compile(table), table)
		if len(records) == 0 {
			break
		}
		if index > 50 {
			t.Fatal("the plan does not come to rest")
		}
		for _, record := range records {
			seen := map[string]bool{}
			for _, row := range record.Rows {
				if seen[row.Key] {
					t.Fatalf("row %s is twice in one record, under two residues", row.Key)
				}
				seen[row.Key] = true
			}
		}
		if _, err := table.Apply(raft.Index(index), records[0], Check); err != nil {
			t.Fatal(err)
		}
	}
	if groups := store.Compile(table).Groups; len(groups) != 2 {
		t.Errorf("%d groups, want one a region", len(groups))
	}
}

package standing

import (
	"strings"
	"testing"

	"topazshed/internal/image"
	"topazshed/internal/schema"
)

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name    string
		old     uint64
		residue uint32
		want    uint64
	}{
		{"first number of group 0 is one increment up", 0, 0, 100},
		{"first number of a region", 0, 3, 103},
		{"same residue rises by the increment", 102, 2, 202},
		{"higher residue stays in the same hundred", 102, 4, 104},
		{"lower residue goes to the next hundred", 104, 2, 202},
		{"from region back to group", 305, 4, 404},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Next(c.old, c.residue)
			if got != c.want {
				t.Fatalf("Next(%d, %d) = %d, want %d", c.old, c.residue, got, c.want)
			}
			if got <= c.old || uint32(got%100) != c.residue {
				t.Fatalf("number %d does not rise in its class", got)
			}
		})
	}
}

func TestCheckDeclinesFallingNumbers(t *testing.T) {
	table := image.NewTable()
	apply := func(index uint64, row *schema.Row) error {
		_, err := table.Apply(index, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{row}}, Check)
		return err
	}
	key := image.StandingKey("ledger", "/balances", "north")
	if err := apply(1, image.Put(key, &schema.Standing{Number: 302})); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		row  *schema.Row
		want string
	}{
		{"a lower failover number", image.Put(key, &schema.Standing{Number: 204}), "only rise"},
		{"a group with an odd residue", image.Put(image.DistrictKey("a"), &schema.District{Name: "a", Residue: 3}), "even"},
		{"a region with an even residue", image.Put(image.RegionKey("n"), &schema.Region{Name: "n", Residue: 2}), "odd"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := apply(table.Version()+1, c.row)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
			if got := image.Decode[schema.Standing](table.Get(key)).Number; got != 302 {
				t.Fatalf("number became %d", got)
			}
		})
	}
}

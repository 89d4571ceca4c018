package failover

import (
	"testing"

	"topazshed/internal/constants"
)

func TestNextNumberOfAFleetOfEntries(t *testing.T) {
	for _, c := range []struct {
		name    string
		old     Number
		residue uint32
		want    Number
	}{
		{"first number of group 0 is one increment up", 0, 0, 100},
		{"first number of a region", 0, 3, 103},
		{"same residue rises by the increment", 102, 2, 202},
		{"higher residue stays in the same hundred", 102, 4, 104},
		{"lower residue goes to the next hundred", 104, 2, 202},
		{"from region back to group", 305, 4, 404},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := c.old.next(c.residue, entryIncrement)
			if got != c.want {
				t.Fatalf("%d.next(%d) = %d, want %d", c.old, c.residue, got, c.want)
			}
			if got <= c.old || uint32(got%100) != c.residue {
				t.Fatalf("number %d does not rise in its class", got)
			}
		})
	}
}

func TestNextNumberOfAFleetOfRoutes(t *testing.T) {
	for _, c := range []struct {
		old     Number
		residue uint32
		want    Number
	}{{0, 0, 10000}, {0, 3, 10003}, {10002, 2, 20002}, {10002, 4, 10004}, {10004, 2, 20002}, {30005, 0, 40000}} {
		if got := c.old.next(c.residue, routeIncrement); got != c.want || got <= c.old || got%constants.GroupIncrement != Number(c.residue) {
			t.Errorf("%d.next(%d) = %d, want %d", c.old, c.residue, got, c.want)
		}
	}
}

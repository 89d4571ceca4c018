package controlplane

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"topazshed/internal/schema"
)

// A machine without a disk remembers nobody; if its seeds are down when it starts, only changed settings lead it back.
func TestANodeAsksTheSeedsOfChangedSettings(t *testing.T) {
	for _, c := range []struct {
		name    string
		system  string
		changed []string
		want    string
	}{
		{"the former ones if nothing changed", "", nil, "[old-1 old-2]"},
		{"the new ones before it knows a system", "", []string{"new-1", "old-2"}, "[new-1 old-2]"},
		{"the new ones while it has no source of rows", "x", []string{"new-1"}, "[new-1]"},
		{"none are no seeds", "", []string{}, "[old-1 old-2]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			drawn := int64(0)
			control := New(time.Hour, Options{Self: &schema.Node{Id: "n", Address: "n", Zone: "z", Region: "r"}, Seeds: []string{"old-1", "old-2"}, System: c.system, Rejoin: true,
				Draw: func(n int64) int64 { drawn++; return drawn % n }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
				Routes: &RouteOptions{LongestLease: time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
			now := time.Hour
			asked := map[string]bool{}
			for turn := range 2 {
				if turn == 1 {
					control.SetSeeds(now, c.changed)
					clear(asked)
				}
				for until := now + 4*time.Second; now < until; {
					now += 20 * time.Millisecond
					control.Tick(now)
					for _, send := range control.Take().Sends {
						asked[send.To] = true
					}
				}
			}
			if got := fmt.Sprint(slices.Sorted(maps.Keys(asked))); got != c.want {
				t.Fatalf("asked %s, want %s", got, c.want)
			}
		})
	}
}

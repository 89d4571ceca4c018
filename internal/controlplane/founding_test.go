package controlplane

import (
	"io"
	"log/slog"
	"math/rand"
	"testing"
	"time"

	"topazshed/internal/schema"
)

func TestARoutedSystemIsFoundedOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		disks    string
		seeds    []string
		isRejoin bool
		founder  string
	}{
		{"the lowest seed has a disk", "abc", []string{"c", "a", "b"}, false, "a"},
		{"the lowest seed has none", "bd", []string{"a", "b", "c"}, false, "b"},
		{"no seed has one", "de", []string{"a", "b", "c"}, false, "d"},
		{"one seed only", "ab", []string{"b"}, false, "b"},
		{"one seed only, without a disk", "bc", []string{"a"}, false, "b"},
		{"the system was founded before", "abc", []string{"a", "b", "c"}, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewSource(1))
			machines := map[string]*Machine{}
			names := []string{"a", "b", "c", "d", "e"}
			for _, name := range names {
				self := &schema.Node{Id: "id-" + name, Address: name, Proxy: name, Admin: name, Zone: "z", Region: "r"}
				for _, disk := range c.disks {
					self.Disk = self.Disk || string(disk) == name
				}
				machines[name] = New(time.Hour, Options{Self: self, Seeds: c.seeds, Draw: random.Int63n, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Rejoin: c.isRejoin,
					Routes: &RouteOptions{LongestLease: 10 * time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
			}
			founded := map[string]string{}
			for now := time.Hour; now < time.Hour+12*time.Second; now += 20 * time.Millisecond {
				for _, name := range names {
					control := machines[name]
					control.Tick(now)
					for range 8 {
						effects := control.Take()
						if !effects.IsWork {
							break
						}
						control.Synced(now, effects)
						for _, s := range effects.Sends {
							if to := machines[s.To]; to != nil {
								to.Receive(now, s.Frame)
							}
						}
					}
					if control.bootstrap.System() != "" {
						founded[control.bootstrap.System()] = name
					}
				}
			}
			if c.founder == "" {
				if len(founded) > 0 {
					t.Fatalf("founded %v", founded)
				}
				return
			}
			if len(founded) != 1 {
				t.Fatalf("%d systems: %v", len(founded), founded)
			}
			for system := range founded {
				if system[:4] != "id-"+c.founder {
					t.Fatalf("system %s, want %s to found", system, c.founder)
				}
			}
			for name, control := range machines {
				if control.bootstrap.System() == "" || control.raft != nil && !control.raft.IsVoter(control.self.Id) {
					t.Errorf("%s did not join", name)
				}
			}
		})
	}
}

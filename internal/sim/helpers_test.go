package sim

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
)

// Find gives the scenario of that name, or nil.
func Find(name string) *Scenario {
	for i := range Scenarios {
		if Scenarios[i].Name == name {
			return &Scenarios[i]
		}
	}
	return nil
}

// Digest sums up the history so that two runs of one seed can be compared.
func (f *Fleet) Digest() string {
	sum := sha256.New()
	for _, a := range f.History.Arrivals {
		fmt.Fprintln(sum, *a)
	}
	for _, r := range f.History.Replies {
		fmt.Fprintln(sum, *r)
	}
	for _, name := range slices.Sorted(maps.Keys(f.Counts)) {
		fmt.Fprintln(sum, name, f.Counts[name])
	}
	fmt.Fprintln(sum, f.eventCount, f.Now)
	return fmt.Sprintf("%x", sum.Sum(nil)[:8])
}

// Holds tells whether every running machine has the rows of a service's entries and of the newest configuration.
func (f *Fleet) Holds(n *Node, service, path string) bool {
	view := n.machine.Local().View
	return view.Services[service] != nil && view.Services[service].Entry(path) != nil
}

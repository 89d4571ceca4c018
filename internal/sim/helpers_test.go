package sim

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
)

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

// Holds tells whether a machine has an entry of a service.
func (f *Fleet) Holds(n *Node, service, path string) bool {
	view := n.machine.Local().View
	return view.Services[service] != nil && view.Services[service].Entry(path) != nil
}

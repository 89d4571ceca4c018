// Package membership keeps a node's partial views of the fleet and shuffles them with other nodes, in the manner of HyParView and Cyclon.
//
// A Sampler owns two views: the small active one, whose nodes it probes, and the larger passive one, from which it replaces active nodes that
// stop answering. So each node knows some others at any size of fleet, and most failures are suspected by somebody. A Sampler never decides that
// a node is lost: it only reports whom it suspects. It sends nothing itself; the goroutine that steps the node's control plane calls it with the
// present time, sends the envelopes that it returns, and tells it of every frame that comes in.
//
// Invariants:
//   - A node is in one view at the most, and a node's own id is in neither.
//   - The views hold constants.ActiveView and constants.PassiveView nodes at the most.
//   - Of a node, an older incarnation never replaces a newer one.
package membership

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// Options make a Sampler.
type Options struct {
	// Self describes this node. The Sampler raises its incarnation when others take the node for lost; nothing else of it is changed here.
	Self *schema.Node
	// Seeds are the addresses to shuffle with while no node is known, and now and then later; there must be one at least.
	Seeds []string
	// Draw gives a number below its argument from the node's seeded source.
	Draw func(int64) int64
	// Timing is that of DefaultTiming if it is the zero value.
	Timing Timing
	// PrefersHome says that nodes of the own region are probed as long as any is known, and then constants.FarPeers of other regions.
	PrefersHome bool
}

// Timing is the intervals and the time-out of a Sampler.
type Timing struct {
	// ProbeInterval is the pause between two probes of one active node.
	ProbeInterval time.Duration
	// ProbeTimeout is the time without a sign of an active node after which it is suspected.
	ProbeTimeout time.Duration
	// ShuffleInterval is the pause between two shuffles once enough nodes are known.
	ShuffleInterval time.Duration
}

// DefaultTiming is the timing of a small fleet.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:   constants.ProbeEvery,
		ProbeTimeout:    constants.ProbeWait,
		ShuffleInterval: constants.ShuffleEvery,
	}
}

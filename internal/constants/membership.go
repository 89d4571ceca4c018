package constants

import "time"

// Partial views, probes of peers and the founding of a system (internal/membership, internal/bootstrap).
const (
	// ShuffleEvery is how often a node shuffles its partial view with one peer.
	ShuffleEvery = time.Second
	// ActiveView (nodes) is the size of the small view, whose members are probed.
	ActiveView = 5
	// PassiveView (nodes) is the size of the larger view, which refills the small one.
	PassiveView = 24
	// ShuffleSample (nodes) are sent in one shuffle.
	ShuffleSample = 8
	// ProbeEvery is how often a peer is probed.
	ProbeEvery = 500 * time.Millisecond
	// ProbeWait is the time-out after which a probed peer is suspected: three probes.
	ProbeWait = 1600 * time.Millisecond
	// SuspectWitnesses (nodes) must suspect a node before the leader takes it as lost.
	SuspectWitnesses = 2
	// FarPeers (nodes) of other regions are probed at most where the own region has too few: bytes between regions cost more.
	FarPeers = 1
	// RoutedShuffle is how often views are shuffled in a fleet of routes: its table has all nodes, the views only serve probes
	// and a lost source.
	RoutedShuffle = 8 * time.Second
	// RoutedProbe is how often a peer is probed in a fleet of routes.
	RoutedProbe = 700 * time.Millisecond
	// RoutedProbeWait is the time-out after which a probed peer is suspected there: two probes.
	RoutedProbeWait = 1500 * time.Millisecond
	// DiscoverEvery is how often a node without a system asks its seeds.
	DiscoverEvery = 250 * time.Millisecond
	// FoundingWait is how long all three seeds must have been without a system before one founds it.
	FoundingWait = 700 * time.Millisecond
)

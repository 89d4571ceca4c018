package constants

import "time"

// Replication of the table to readers (internal/replication).
const (
	// DeltaEvery is the longest pause between two deltas to a subscriber, also when nothing changed.
	DeltaEvery = 250 * time.Millisecond
	// SubscribeEvery is how often a subscription is renewed: four times in SubscriptionTTL.
	SubscribeEvery = 500 * time.Millisecond
	// SubscriptionTTL is the time-out after which a publisher forgets a subscriber.
	SubscriptionTTL = 2 * time.Second
	// SourceTimeout is the time-out after which a subscriber turns to another source.
	SourceTimeout = 900 * time.Millisecond
	// TransferTimeout is how long the rows of a member may take that has just told that its own are confirmed: half a megabyte
	// over the slowest links (2 Mbit/s).
	TransferTimeout = 2700 * time.Millisecond
	// MaxTransferDoublings is how often TransferTimeout is doubled while transfers don't come in time.
	MaxTransferDoublings = 2
	// DeltaHeldUp is how much longer than a renewal's pause a delta repeats the same subscription, unless it was held up on its way: the pause
	// between two deltas and two ways.
	DeltaHeldUp = 600 * time.Millisecond
	// SourceTryPause is how much longer a subscriber waits before each further source that it asks, so that a fleet without a
	// majority does not overload the few machines that have the log.
	SourceTryPause = 100 * time.Millisecond
	// MaxSourceTryPause is the longest such pause: several members must be asked between a fault's end and the moment from which
	// a node must keep every bound again.
	MaxSourceTryPause = 400 * time.Millisecond
	// HomeSourceEvery is how often a machine whose source is in another region asks one of its own.
	HomeSourceEvery = 4 * time.Second
	// DeltaKeep (rows) that changed stay in memory for deltas; a subscriber further behind gets whole ranges.
	DeltaKeep = 8192
	// DigestEvery is how often a subscriber compares its ranges with its source's.
	DigestEvery = 2 * time.Second
	// RoutedDelta is DeltaEvery in a fleet of routes: two fit into SourceTimeout.
	RoutedDelta = 400 * time.Millisecond
	// RoutedSubscribe is SubscribeEvery in a fleet of routes: two fit into SubscriptionTTL.
	RoutedSubscribe = 900 * time.Millisecond
	// RoutedDigest is DigestEvery in a fleet of routes: ranges differ only after a fault.
	RoutedDigest = 6 * time.Second
	// FarSourceAfter is how long a reader is without a source in its region before it turns to another region's.
	FarSourceAfter = 600 * time.Millisecond
	// SourceFound is left, of the time after which a fleet without faults must keep every bound again, for the first response
	// of a source in another region: one subscription over a far link.
	SourceFound = 600 * time.Millisecond
)

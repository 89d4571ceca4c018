// Package timing holds the intervals and time-outs of one node's control plane, chosen once for the kind of fleet that
// the node belongs to. It owns no clock: the parts of the control plane compare these spans with the time that they are
// given.
package timing

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/membership"
	"topazshed/internal/raft"
)

// Timing is the set of intervals and time-outs that all parts of a node's control plane share. Every node of a fleet
// must use the same one.
type Timing struct {
	// Sampler is how often the peer sampler probes a peer and shuffles its views, and how long it waits for an answer.
	// The zero value is that of membership.DefaultTiming.
	Sampler membership.Timing
	// Raft is the interval of heartbeats between members of the log and the time-out of elections. The zero value is
	// raft's own default.
	Raft raft.Timing
	// HeartbeatInterval is the pause between two heartbeats of a node to the leader or to the relay in front of it.
	HeartbeatInterval time.Duration
	// LostAfter is the time without a heartbeat after which the leader takes a node for lost, once other nodes suspect
	// it too.
	LostAfter time.Duration
	// DeltaInterval is the longest pause between two deltas to a subscriber, also when no row has changed.
	DeltaInterval time.Duration
	// SubscribeInterval is the pause after which a reader renews its subscription.
	SubscribeInterval time.Duration
	// ConfirmedWithin is how old rows may be that count as confirmed. A source whose rows are older is left.
	ConfirmedWithin time.Duration
	// DigestInterval is the pause between two comparisons of a reader's ranges with its source.
	DigestInterval time.Duration
	// RemoteSourceAfter is how long a reader looks for a source in its own region before it takes one in another
	// region. Readers of a fleet of entries don't use it: they draw.
	RemoteSourceAfter time.Duration
}

// ForEntries gives the timing of a fleet that carries entries.
func ForEntries() Timing {
	return Timing{
		HeartbeatInterval: constants.HeartbeatEvery,
		LostAfter:         constants.NodeLostAfter,
		DeltaInterval:     constants.DeltaEvery,
		SubscribeInterval: constants.SubscribeEvery,
		ConfirmedWithin:   confirmedWithin(raft.DefaultTiming()),
		DigestInterval:    constants.DigestEvery,
	}
}

// ForRoutes gives the timing of a fleet that carries routes. The recovery bound is the time after a fault within which
// a healthy node must keep every promise again; it shortens elections and the search for a source where it is small. 0
// means that it is not known. The apply bound is the time after its acknowledgement within which a change must be in force
// everywhere; it shortens the search too, 0 is unknown.
func ForRoutes(recoveryBound, applyBound time.Duration) Timing {
	return Timing{
		Sampler: membership.Timing{
			ProbeInterval:   constants.RoutedProbe,
			ProbeTimeout:    constants.RoutedProbeWait,
			ShuffleInterval: constants.RoutedShuffle,
		},
		Raft:              raftForRoutes(recoveryBound),
		HeartbeatInterval: constants.RoutedHeartbeat,
		LostAfter:         constants.RoutedLostAfter,
		DeltaInterval:     constants.RoutedDelta,
		SubscribeInterval: constants.RoutedSubscribe,
		ConfirmedWithin:   confirmedWithin(raftForRoutes(recoveryBound)),
		DigestInterval:    constants.RoutedDigest,
		RemoteSourceAfter: remoteSourceAfter(recoveryBound, applyBound),
	}
}

// confirmedWithin allows the time-out of a source on top of the age that a follower's rows have in the calm: its leader tells of a round of
// messages with the next one, in answer to a question that followed the one before.
func confirmedWithin(raft raft.Timing) time.Duration {
	return constants.SourceTimeout + 2*raft.HeartbeatInterval
}

// raftForRoutes scales raft's timing down, its parts in proportion, so that constants.QuietElections shortest elections
// fit into the bound.
func raftForRoutes(recoveryBound time.Duration) raft.Timing {
	pace := raft.Timing{
		HeartbeatInterval: constants.RoutedRaftHeartbeat,
		ElectionTimeout:   constants.MinRoutedElection,
		ElectionJitter:    constants.RoutedElectionSpread,
	}
	if recoveryBound <= 0 {
		return pace
	}
	shortest := max(constants.MinRaftElection, recoveryBound/constants.QuietElections)
	if shortest >= pace.ElectionTimeout {
		return pace
	}
	pace.HeartbeatInterval = pace.HeartbeatInterval * shortest / pace.ElectionTimeout
	pace.ElectionJitter = pace.ElectionJitter * shortest / pace.ElectionTimeout
	pace.ElectionTimeout = shortest
	return pace
}

// remoteSourceAfter leaves enough of each bound for the loss of the former source to be seen and for the first answer of
// a remote one.
func remoteSourceAfter(bounds ...time.Duration) time.Duration {
	after := constants.FarSourceAfter
	for _, bound := range bounds {
		if bound > 0 {
			after = min(after, bound-constants.SourceTimeout-constants.SourceFound)
		}
	}
	return max(0, after)
}

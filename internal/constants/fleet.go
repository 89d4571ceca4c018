package constants

import "time"

// Nodes: their heartbeats, leases and loss, and the fleet's version (internal/controlplane, internal/heartbeat).
const (
	// HeartbeatEvery is how often a node reports to the leader: ten times in a lease.
	HeartbeatEvery = 400 * time.Millisecond
	// NodeLostAfter is the time-out after which the leader takes a node as lost: five heartbeats and a far link.
	NodeLostAfter = 2400 * time.Millisecond
	// LeaseDuration is how long a node may begin unsafe attempts after it sent the heartbeat that was answered: ten heartbeats;
	// lease, margin and ReservationWindow together stay below 15 s.
	LeaseDuration = 4 * time.Second
	// LeaseClockMargin covers an error of 5 per cent in the rate of a clock over a lease, twice.
	LeaseClockMargin = 500 * time.Millisecond
	// IsolatedAfter is the age of a proxy's state at which it refuses all requests.
	IsolatedAfter = 4 * time.Second
	// MaxBehind is how long a machine with a disk serves on although it knows of changes that it can't apply yet: with the way
	// there that stays below 2.5 s.
	MaxBehind = 1500 * time.Millisecond
	// FleetRiseAfter is how long all nodes must have been able to read a version before the fleet uses it: an operator has time
	// to look at the last node's figures and to go back.
	FleetRiseAfter = 10 * time.Minute
	// FullHeartbeatEvery (heartbeats) one of which has a node's addresses; the others have only its state.
	FullHeartbeatEvery = 12
	// RoutedHeartbeat is how often the nodes of a fleet of routes report to their relay, and relays to the leader: three times
	// in RoutedLostAfter.
	RoutedHeartbeat = 700 * time.Millisecond
	// RoutedLostAfter is the time-out after which the leader of a fleet of routes takes a node as lost: two heartbeats, each
	// through a relay.
	RoutedLostAfter = 2100 * time.Millisecond
)

// Failover assignments (internal/failover).
const (
	// FailoverPlanEvery is how often the leader derives the failover assignments.
	FailoverPlanEvery = 200 * time.Millisecond
	// FailoverSettle is how long a new leader waits before it takes nodes as lost that could not have reported yet.
	FailoverSettle = 2 * time.Second
	// Increment (failover numbers) is the increment of fleets of entries, with room for 50 groups and 50 regions; the value is
	// that of the example in Cadence's design.
	Increment = 100
	// GroupIncrement (failover numbers) is the increment of fleets of routes: 46 regions with 182 zones need 46 + 182 + 46
	// residues, and several zones lost at once many more.
	GroupIncrement = 10000
	// SettleMargin is how long after the list's lag it shows the back ends of a zone that was restored.
	SettleMargin = 300 * time.Millisecond
)

package adminapi

import (
	"topazshed/internal/protocolversion"
	"topazshed/internal/responses"
)

// Disk is the state of a node's data folder. LastSyncMs and WorstMs are how long the last and the longest write with its
// sync took.
type Disk struct {
	Folder     string `json:"folder,omitempty"`
	LastSyncMs int64  `json:"last_sync_ms"`
	WorstMs    int64  `json:"worst_sync_ms"`
	// Fault is the error of the last failed write.
	Fault string `json:"fault,omitempty"`
}

// ReplicaStatus is the state of a node's replica of reservations.
type ReplicaStatus struct {
	// Reservations are those that it remembers.
	Reservations int `json:"claims"`
	// Member says that the replica belongs to the set of that number, Ready that it has the former set's reservations.
	Member bool   `json:"member"`
	Number uint64 `json:"number"`
	Ready  bool   `json:"ready"`
}

// Assignment is a failover assignment: which proxy group is active for the requests of a region.
type Assignment struct {
	// Service and Path are what it is for; empty in a region's own.
	Service string `json:"service"`
	Path    string `json:"path"`
	// Kind is region, service, or entity for an entry that is bound to one region.
	Kind   string `json:"kind"`
	Region string `json:"region"`
	// Active is the group or region that the failover number names.
	Active string `json:"active"`
	Number uint64 `json:"number"`
	// Fenced says that nobody may serve until the former group has surely stopped.
	Fenced bool `json:"fenced"`
	// Reason is that of the last change.
	Reason string `json:"reason"`
}

// NodeStatus is a node as this one knows it.
type NodeStatus struct {
	ID     string `json:"id"`
	Peer   string `json:"peer"`
	Proxy  string `json:"proxy"`
	Admin  string `json:"door"`
	Zone   string `json:"district"`
	Region string `json:"region"`
	Disk   bool   `json:"disk"`
	State  string `json:"state"`
	// SpeaksLow and SpeaksHigh are the lowest and the highest protocol version that the node reported.
	SpeaksLow  protocolversion.Version `json:"speaks_low"`
	SpeaksHigh protocolversion.Version `json:"speaks_high"`
	// Index, HeardMs and InForce are what the leader knows: the index of the state that the node had, how long ago it reported,
	// and whether the newest configuration is in force there. HeardMs is -1 if the leader has not heard from it.
	Index   uint64 `json:"index,omitempty"`
	HeardMs int64  `json:"heard_ms,omitempty"`
	InForce bool   `json:"in_force,omitempty"`
}

// ZoneStatus is a zone as this node knows it.
type ZoneStatus struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Residue is the remainder that failover numbers of the zone leave.
	Residue uint32 `json:"residue"`
	// Emptied says that an operator took all traffic off it, Reason why.
	Emptied bool   `json:"emptied"`
	Reason  string `json:"reason,omitempty"`
}

// BackendStatus is a back end as this node knows it.
type BackendStatus struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Zone     string `json:"district"`
	State    string `json:"state"`
}

// Status is what a node knows of itself and of its fleet. Fields that end in Ms are milliseconds.
type Status struct {
	// Node is the node's identity; System is the system that it belongs to.
	Node   string `json:"node"`
	System string `json:"system"`
	// Role, Term and Leader are those of the replicated log; Leader is a peer address.
	Role   string `json:"role"`
	Term   uint64 `json:"term"`
	Leader string `json:"leader"`
	// Index is the log index of the node's state, Rows the size of that state.
	Index uint64 `json:"index"`
	Rows  int    `json:"rows"`
	// Configuration is the version by which the node serves.
	Configuration uint64 `json:"configuration"`
	// Fleet is the protocol version that the fleet uses, Newest the highest that this node's program speaks.
	Fleet  protocolversion.Version `json:"fleet"`
	Newest protocolversion.Version `json:"newest"`
	// Fit says that the state is fresh enough to serve by; FreshMs is its age.
	Fit bool `json:"fit"`
	// ClockMs is the process's own clock, to compare clock rates.
	ClockMs int64 `json:"clock_ms"`
	FreshMs int64 `json:"fresh_ms"`
	// StaleResponses counts responses that belonged to no call of this process.
	StaleResponses uint64 `json:"strays,omitempty"`
	// LeaseMs is how long the node may still begin unsafe attempts.
	LeaseMs int64 `json:"grant_ms"`
	// ListMs is the age of the last whole read of the platform's list, -1 if there was none; ListFault is why the last read
	// was not whole.
	ListMs    int64  `json:"list_ms"`
	ListFault string `json:"list_fault,omitempty"`
	// Voters and Learners are the members of the log, as a node with a disk knows them.
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
	// Suspects are the nodes that this one does not reach.
	Suspects []string `json:"suspects"`
	// Replica is nil in a fleet of routes, Disk on a node without a disk.
	Replica *ReplicaStatus `json:"keeper"`
	Disk    *Disk          `json:"disk,omitempty"`
	// Results counts requests by their result.
	Results     map[string]uint64 `json:"outcomes"`
	Nodes       []NodeStatus      `json:"nodes"`
	Zones       []ZoneStatus      `json:"districts"`
	Assignments []Assignment      `json:"standings"`
	Entries     []string          `json:"entries"`
	Backends    []BackendStatus   `json:"backends"`
	// Unconfirmed are the zones with proxies that have not confirmed the newest change.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
	// ToleratedLosses is how many more voters may be lost before there is no majority; UnresponsiveVoters are those that the
	// leader does not hear.
	ToleratedLosses    uint32   `json:"losses_borne"`
	UnresponsiveVoters []string `json:"silent_voters,omitempty"`
	// LeaderUnreachable tells why the leader's part is missing: the changes, and what each machine has.
	LeaderUnreachable string `json:"leader_silent,omitempty"`
	// Changes are the newest changes of failover assignments.
	Changes []Change `json:"changes,omitempty"`
	// Resting are the back ends that this node sends nothing to for a moment, since they failed it.
	Resting []string `json:"resting,omitempty"`
	// Exceeded counts the responses of back ends, proxies and the platform that exceeded a bound.
	Exceeded []responses.Count `json:"responses_over_bound,omitempty"`
	Routed   *RoutedStatus     `json:"routed,omitempty"`
}

// Change is one change of a failover assignment, as the log has it.
type Change struct {
	Service string `json:"service,omitempty"`
	Path    string `json:"path,omitempty"`
	Region  string `json:"region"`
	// From and To are the failover numbers, Was and Is the groups that they name.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	Was  string `json:"was"`
	Is   string `json:"is"`
	// Cause is the rule that was followed, Evidence what it rested on.
	Cause    string `json:"cause"`
	Evidence string `json:"evidence,omitempty"`
	// At is the time of day at the leader that made it; Index and Term are its place in the log.
	At     string `json:"at,omitempty"`
	Leader string `json:"leader,omitempty"`
	Index  uint64 `json:"index"`
	Term   uint64 `json:"term"`
}

// RoutedStatus is what a node of a fleet that carries routes knows beside; Routes counts them.
type RoutedStatus struct {
	Routes   int             `json:"routes"`
	Services []ServiceStatus `json:"services"`
	Groups   []GroupStatus   `json:"groups"`
	Spans    []SpanStatus    `json:"spans,omitempty"`
}

// ServiceStatus sums up a service: how many routes lead to it, and its back ends by state.
type ServiceStatus struct {
	Name     string `json:"name"`
	Keyed    bool   `json:"keyed,omitempty"`
	Routes   int    `json:"routes"`
	Ready    int    `json:"ready"`
	Draining int    `json:"draining"`
	Cold     int    `json:"cold"`
	// Unheld counts the keys that no back end owns.
	Unheld int `json:"unheld,omitempty"`
}

// GroupStatus is a proxy group.
type GroupStatus struct {
	Name    string   `json:"name"`
	Region  string   `json:"region"`
	Zones   []string `json:"districts"`
	Residue uint32   `json:"residue"`
}

// SpanStatus is a shard range, the keys from First to Last, with its owner; Fence is the fencing token of its lease.
type SpanStatus struct {
	Service   string `json:"service"`
	First     uint32 `json:"first"`
	Last      uint32 `json:"last"`
	Instance  string `json:"instance"`
	Fence     uint64 `json:"fence"`
	Releasing bool   `json:"releasing,omitempty"`
}

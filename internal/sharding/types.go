package sharding

import (
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Fence is a fencing token: back ends refuse a call whose fence is below the highest that they have seen on a key of its range.
type Fence uint64

// Facts are what the leader knows at one instant.
type Facts struct {
	Now   time.Duration
	View  *store.View
	Table *store.Table
	// IsLeading is true when this node leads and has applied all records of earlier leaders.
	IsLeading bool
	// ElectedAt is when this node won its election; a change of it begins a new term of leadership.
	ElectedAt time.Duration
	// LeaseAt is the latest instant at which a majority of voters certainly still followed this leader.
	LeaseAt time.Duration
	// Load is how many requests each service's back ends work on at once, by equal buckets of keys.
	Load map[string][]float64
}

// Effects are the records to propose and the calls to send after a step.
type Effects struct {
	Records []*schema.Record
	Calls   []Call
}

// CallKind is what a call asks of a back end.
type CallKind int

// The kinds of calls.
const (
	// GrantLease gives or renews a lease on a shard range.
	GrantLease CallKind = iota + 1
	// ReleaseLease asks the owner to finish its work on a shard range and to give it up.
	ReleaseLease
	// Probe only asks whether the back end can be reached; it gives no lease. After a lease call without an answer a
	// probe precedes the next lease call for any range of that back end, so that the leases of an unreachable owner
	// are not prolonged again and again.
	Probe
)

// Call is a call to send to a back end.
type Call struct {
	// ID identifies the call in its Answer.
	ID       uint64
	Kind     CallKind
	Service  string
	Instance string
	Address  string
	// First and Last bound the shard range, both inclusive.
	First Key
	Last  Key
	Fence Fence
	// LeaseDuration counts from the call's arrival; only GrantLease has one.
	LeaseDuration time.Duration
	// Handover is what the owner before returned when it released the range; only GrantLease has one.
	Handover string
	// Timeout counts from the step that returned the call; a call that is not sent by then must not be sent.
	Timeout time.Duration
}

// CallResult is how a call ended.
type CallResult int

// The results of calls.
const (
	// Done means that the back end took the call.
	Done CallResult = iota + 1
	// Refused means that the back end has seen a higher fence.
	Refused
	// Failed means that the call certainly was not taken.
	Failed
	// Unknown means that there was no answer, so that the call may have been taken.
	Unknown
	// Unsent means that no connection came up, so that nothing was written. The call certainly was not taken, but the
	// process may still run: a network that is cut may refuse connections as well as drop them.
	Unsent
	// Replaced means that another process answered at the address, which proves that the instance's process has ended.
	Replaced
)

// String names the result as log lines do.
func (r CallResult) String() string {
	names := [...]string{"none", "done", "refused", "failed", "unknown", "unsent", "replaced"}
	if r < 0 || int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Stats count what a LeaseManager has to do.
type Stats struct {
	// Ranges are the shard ranges of all services at the last step.
	Ranges int
	// InFlight are the calls without an answer, Outstanding the leases that back ends may have.
	InFlight    int
	Outstanding int
}

// Answer is the end of a call. Each call must get one.
type Answer struct {
	ID     uint64
	Result CallResult
	// Handover is what the owner returned with a release, to be passed on to the next owner.
	Handover string
}

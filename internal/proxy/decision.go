package proxy

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
)

// Action is what a decision says must be done next.
type Action int

// The actions.
const (
	// ActionRefuse: end the request with Refusal.
	ActionRefuse Action = iota
	// ActionPark: wait for a while, then decide again. Wanted names a service whose rows this proxy lacks.
	ActionPark
	// ActionForward: forward the request to one of Nodes.
	ActionForward
	// ActionReserve: reserve the attempt id at a majority of Replicas.
	ActionReserve
	// ActionAttempt: send the request to Backend.
	ActionAttempt
)

// Decision is an action with what it needs.
type Decision struct {
	Action  Action
	Refusal *RefusalError
	Wanted  string
	// Entry and what follows are known as far as the decision got.
	Entry    *schema.Entry
	Owner    failover.Owner
	Nodes    []*schema.Node
	Replicas *schema.ReplicaSet
	Backend  *schema.Backend
	// Slot is that of the request's key, SlotNumber the slot's fencing token.
	Slot       uint32
	SlotNumber uint64
	// IsSafe says that the entry allows the method to be repeated.
	IsSafe bool
	// Version is that of the snapshot which was decided on.
	Version uint64
}

// Load is what this proxy itself knows of back ends.
type Load interface {
	InFlight(instance string) int
	IsBad(instance string) bool
	MayBegin(now time.Duration, backend *schema.Backend, part func() Part, coldRate uint32) bool
	KeyInFlight(service, key string) (ofKey, ofService int)
}

// Situation is all that a decision rests on.
type Situation struct {
	Now     time.Duration
	Local   *controlplane.Local
	Self    *schema.Node
	Request *Request
	Load    Load
	// Tried are the instances that get no further attempt.
	Tried map[string]bool
	// IsReserved says that a majority of replicas has reserved the attempt id.
	IsReserved bool
	// Parked is how long the request has been waiting, and Left how long it still may.
	Parked time.Duration
	Left   time.Duration
	// FirstSent is when the attempt id was first sent, 0 if the caller does not say.
	FirstSent time.Duration
	Draw      func(int64) int64
}

// Decide says what to do next with a request. It is asked anew after each thing that happened.
func Decide(s Situation) Decision {
	d, mayAttempt := Check(s)
	if !mayAttempt {
		return d
	}
	return s.chooseBackend(d)
}

// refuse refuses the request.
func (d Decision) refuse(refusal *RefusalError) Decision {
	d.Action = ActionRefuse
	d.Refusal = refusal
	return d
}

// park lets the request wait, and refuses it once it has waited for long enough. Without a lease that is sooner: leases are renewed often,
// and one that is late will not come.
func (s *Situation) park(d Decision, kind, format string, args ...any) Decision {
	limit := constants.MaxPark
	if kind == kindNoLease {
		limit = constants.ParkShort
	}
	if s.Parked >= limit || s.Left <= 0 {
		return d.refuse(newRefusalLater(kind, format, args...))
	}
	d.Action = ActionPark
	return d
}

// Package idempotency lets a request that must not be repeated run at most once, by reservations of its attempt id
// (the idempotency key).
//
// Each region has a set of replicas, by a row of the table. Before a proxy sends an attempt to a back end it asks the
// replicas of the attempt's id (Match) to reserve the id for it, and sends only if a Majority does. A reservation
// lapses after constants.ReservationKept. When the set of a region changes, its members refuse to reserve until they
// know what the former ones remember: they copy it, or wait until it has lapsed.
//
// A Replica holds one node's part of this, in memory only. It does no input or output and reads no clock; its methods
// may be called on any goroutine.
package idempotency

import (
	"slices"
	"sync"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// Replica is one node's replica of the reservations of its region.
type Replica struct {
	id string
	// isRestart is true if the node has run before under this id, so that the replica may have forgotten reservations.
	isRestart bool

	lock     sync.RWMutex
	set      *schema.ReplicaSet
	isMember bool
	// isReady is true if the replica knows all reservations that its set must honour.
	isReady    bool
	hasAdopted bool
	adoptedAt  time.Duration
	// readyAt is when all reservations of former sets have lapsed; 0 while the set is fenced.
	readyAt time.Duration
	// knownSince is the instant since when the replica knows every reservation; an id that was first sent before may
	// be reserved elsewhere.
	knownSince time.Duration
	copies     copies
	shards     [shardCount]shard
}

// Status describes a replica for operators.
type Status struct {
	// SetNumber is the number of the adopted replica set; 0 if there is none.
	SetNumber uint64
	IsMember  bool
	IsReady   bool
	// Reservations is how many reservations the replica remembers.
	Reservations int
}

// NewReplica returns a replica without a set, which refuses to reserve. One that is a restart must not take a region's
// first set as a reason to be ready at once.
func NewReplica(id string, isRestart bool) *Replica {
	r := &Replica{id: id, isRestart: isRestart, copies: newCopies()}
	for i := range r.shards {
		r.shards[i].reservations = map[string]*reservation{}
	}
	return r
}

// Adopt takes the region's newest replica set. A changed set makes the replica refuse until it has copied what the
// former members know, or waited.
func (r *Replica) Adopt(now time.Duration, set *schema.ReplicaSet) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if set == nil {
		return
	}
	if r.set == nil || set.Number > r.set.Number {
		r.change(now, set)
	}
	if r.set.Number == set.Number && !set.Fenced && r.readyAt == 0 {
		r.readyAt = now + constants.ReservationWindow
	}
	r.updateReadiness(now)
}

// change takes a newer set.
func (r *Replica) change(now time.Duration, set *schema.ReplicaSet) {
	wasReady := r.isReady && r.isMember && set.Number == r.set.Number+1
	r.set = set
	r.isMember = hasMember(set.Members, r.id)
	r.isReady = set.First && !r.isRestart && r.isMember
	r.adoptedAt = now
	r.readyAt = 0
	r.copies = newCopies()
	r.copies.knownSince = r.knownSince
	r.copies.askedAt = now - constants.ReservationCopyEvery
	if r.isRestart && !r.hasAdopted {
		r.copies.askedAt = now + constants.ReservationWait*5/4
	}
	if wasReady && hasMember(set.Former, r.id) {
		r.copies.former[r.id] = true
	}
	r.hasAdopted = true
}

func hasMember(members []*schema.Member, id string) bool {
	return slices.ContainsFunc(members, func(member *schema.Member) bool { return member.Id == id })
}

// updateReadiness makes the replica ready once it has copied enough, or waited long enough.
func (r *Replica) updateReadiness(now time.Duration) {
	if r.isReady || !r.isMember {
		return
	}
	switch {
	case isEnough(r.set.Former, r.copies.former) || isEnough(r.set.Members, r.copies.current):
		r.isReady = true
		r.knownSince = r.copies.knownSince
	case r.readyAt > 0 && now >= r.readyAt:
		r.isReady = true
		r.knownSince = r.readyAt - constants.ReservationWindow
	}
}

// isEnough reports whether so many members were copied that the others can't have been a majority for any id.
func isEnough(members []*schema.Member, copied map[string]bool) bool {
	return len(members) > 0 && len(copied) >= len(members)-(Majority(len(members))-1)
}

// refusedFor is how long a replica that is not ready may go on refusing, at the least constants.RetryAfter unless it
// knows better.
func (r *Replica) refusedFor(now time.Duration) time.Duration {
	switch {
	case r.readyAt > 0:
		return r.readyAt - now
	case now-r.adoptedAt < constants.RetryAfter:
		return constants.RetryAfter
	}
	unfencedAt := r.adoptedAt + constants.LeaseDuration + constants.LeaseClockMargin
	return max(constants.RetryAfter, unfencedAt+constants.ReservationWindow-now)
}

// Status returns the replica's state for operators.
func (r *Replica) Status() Status {
	r.lock.RLock()
	defer r.lock.RUnlock()
	status := Status{SetNumber: r.set.GetNumber(), IsMember: r.isMember, IsReady: r.isReady}
	for i := range r.shards {
		s := &r.shards[i]
		s.lock.Lock()
		status.Reservations += len(s.reservations)
		s.lock.Unlock()
	}
	return status
}

// Package idempotency lets an attempt id that must not be repeated run at most once: a majority of its replicas holds it.
package idempotency

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const shards = 32

type held struct {
	digest []byte
	owner  string
	number uint64
	round  uint32
	until  time.Duration
}

type shard struct {
	lock         sync.Mutex
	reservations map[string]*held
	swept        time.Duration
	forgot       time.Duration
}

// Replica is one node's part in the reservations of its region.
type Replica struct {
	id         string
	lock       sync.RWMutex
	set        *schema.ReplicaSet
	isMember   bool
	isReady    bool
	copied     map[string]bool
	clearAt    time.Duration
	adoptedAt  time.Duration
	askedAt    time.Duration
	copiedIn   map[string]bool
	pages      map[string]uint32
	since      time.Duration
	reach      time.Duration
	hasLived   bool
	hasAdopted bool
	shards     [shards]shard
}

// NewReplica makes a silent replica; one that has lived before under its id must not believe in a first set.
func NewReplica(id string, hasLived bool) *Replica {
	k := &Replica{id: id, hasLived: hasLived, copied: map[string]bool{}, copiedIn: map[string]bool{}, pages: map[string]uint32{}}
	for i := range k.shards {
		k.shards[i].reservations = map[string]*held{}
	}
	return k
}

// Match chooses the replicas of an attempt id by rendezvous, never all in one zone where there are two.
func Match(set *schema.ReplicaSet, attempt string) []*schema.Member {
	members := slices.Clone(set.Members)
	slices.SortFunc(members, func(a, b *schema.Member) int {
		return cmp.Compare(store.RendezvousWeight(b.Id, attempt), store.RendezvousWeight(a.Id, attempt))
	})
	count := min(len(members), constants.ReservationReplicas)
	if count < constants.ReservationReplicas {
		return members[:count]
	}
	isAlike := func(m *schema.Member) bool { return m.Zone == members[0].Zone }
	if isAlike(members[1]) && isAlike(members[2]) {
		if other := slices.IndexFunc(members, func(m *schema.Member) bool { return !isAlike(m) }); other > 2 {
			members[2] = members[other]
		}
	}
	return members[:count]
}

// Majority is how many of a set's replicas of one id must agree.
func Majority(count int) int { return min(count, constants.ReservationReplicas)/2 + 1 }

// Adopt takes the region's newest replica set; a changed set makes the replica silent until it has copied or waited.
func (k *Replica) Adopt(now time.Duration, set *schema.ReplicaSet) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if set == nil {
		return
	}
	if k.set == nil || set.Number > k.set.Number {
		wasReady := k.isReady && k.isMember && set.Number == k.set.Number+1
		k.set = set
		k.isMember = slices.ContainsFunc(set.Members, func(m *schema.Member) bool { return m.Id == k.id })
		k.isReady = set.First && !k.hasLived && k.isMember
		k.copied, k.copiedIn, k.pages = map[string]bool{}, map[string]bool{}, map[string]uint32{}
		k.reach = k.since
		if wasReady && slices.ContainsFunc(set.Former, func(m *schema.Member) bool { return m.Id == k.id }) {
			k.copied[k.id] = true
		}
		k.adoptedAt = now
		k.clearAt, k.askedAt = 0, now-constants.ReservationCopyEvery
		if k.hasLived && !k.hasAdopted {
			k.askedAt = now + constants.ReservationWait*5/4
		}
		k.hasAdopted = true
	}
	if k.set.Number == set.Number && !set.Fenced && k.clearAt == 0 {
		k.clearAt = now + constants.ReservationWindow
	}
	k.settle(now)
}

func (k *Replica) settle(now time.Duration) {
	if k.isReady || !k.isMember {
		return
	}
	isEnough := func(set []*schema.Member, copied map[string]bool) bool {
		return len(set) > 0 && len(copied) >= len(set)-(Majority(len(set))-1)
	}
	isCopied := isEnough(k.set.Former, k.copied) || isEnough(k.set.Members, k.copiedIn)
	switch {
	case isCopied:
		k.isReady, k.since = true, k.reach
	case k.clearAt > 0 && now >= k.clearAt:
		k.isReady, k.since = true, k.clearAt-constants.ReservationWindow
	}
}

// Asking is one replica to be asked for its reservations, and the request for it.
type Asking struct {
	Member  *schema.Member
	Message *schema.ReservationCopyRequest
}

// Ask gives the replicas that must still be asked for their reservations.
func (k *Replica) Ask(now time.Duration) []Asking {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.settle(now)
	if k.set == nil || !k.isMember || k.isReady || now-k.askedAt < constants.ReservationCopyEvery {
		return nil
	}
	k.askedAt = now
	var list []Asking
	seen := map[string]bool{k.id: true}
	for _, m := range slices.Concat(k.set.Former, k.set.Members) {
		if !seen[m.Id] && !k.copied[m.Id] {
			list = append(list, Asking{m, &schema.ReservationCopyRequest{Region: k.set.Region, ReplicaSet: k.set.Number, Page: k.pages[m.Id]}})
		}
		seen[m.Id] = true
	}
	return list
}

// Copy answers a replica of the set that this one has adopted too, a page at a time; from then on older sets are refused here.
func (k *Replica) Copy(now time.Duration, request *schema.ReservationCopyRequest) *schema.ReservationCopyResponse {
	k.lock.RLock()
	defer k.lock.RUnlock()
	if k.set == nil || k.set.Number != request.ReplicaSet || k.set.Region != request.Region || request.Page >= shards {
		return &schema.ReservationCopyResponse{ReplicaSet: k.set.GetNumber()}
	}
	if !k.copied[k.id] && !k.isReady {
		return &schema.ReservationCopyResponse{ReplicaSet: k.set.Number}
	}
	response := &schema.ReservationCopyResponse{Ready: true, Full: k.isReady && k.isMember, ReplicaSet: k.set.Number}
	since := k.since
	for i := range k.shards {
		s := &k.shards[i]
		s.lock.Lock()
		since = max(since, s.forgot)
		if i >= int(request.Page) && response.Next == 0 {
			for attempt, h := range s.reservations {
				if h.until > now {
					response.Reservations = append(response.Reservations, &schema.Reservation{Attempt: attempt, Digest: h.digest, Owner: h.owner, Number: h.number, Round: h.round, LeftMs: uint32((h.until - now).Milliseconds())})
				}
			}
			if len(response.Reservations) >= constants.ReservationPage && i+1 < shards {
				response.Next = uint32(i + 1)
			}
		}
		s.lock.Unlock()
	}
	if since > 0 {
		response.ReachMs = uint64(max(1, (now - since).Milliseconds()))
	}
	return response
}

// Copied takes a former replica's reservations.
func (k *Replica) Copied(now time.Duration, from string, response *schema.ReservationCopyResponse) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if !response.Ready || k.set == nil || response.ReplicaSet != k.set.Number {
		return
	}
	for _, c := range response.Reservations {
		s := &k.shards[store.RendezvousWeight(c.Attempt)%shards]
		s.lock.Lock()
		if s.reservations[c.Attempt] == nil {
			s.reservations[c.Attempt] = &held{c.Digest, c.Owner, c.Number, c.Round, now + time.Duration(c.LeftMs)*time.Millisecond}
		}
		s.lock.Unlock()
	}
	if response.ReachMs > 0 {
		k.reach = max(k.reach, now-time.Duration(response.ReachMs)*time.Millisecond)
	}
	if response.Next > 0 {
		k.pages[from] = response.Next
		k.askedAt = now - constants.ReservationCopyEvery
		return
	}
	if slices.ContainsFunc(k.set.Former, func(m *schema.Member) bool { return m.Id == from }) {
		k.copied[from] = true
	}
	if response.Full {
		k.copiedIn[from] = true
	}
	k.settle(now)
}

func (k *Replica) left(now time.Duration) time.Duration {
	switch {
	case k.clearAt > 0:
		return k.clearAt - now
	case now-k.adoptedAt < constants.RetryAfter:
		return constants.RetryAfter
	}
	return max(constants.RetryAfter, k.adoptedAt+constants.LeaseDuration+constants.LeaseClockMargin+constants.ReservationWindow-now)
}

// Take decides one reservation; isGranted is false when this node has no live lease.
func (k *Replica) Take(now time.Duration, c *schema.ReservationRequest, isGranted bool) *schema.ReservationResponse {
	k.lock.RLock()
	defer k.lock.RUnlock()
	response := &schema.ReservationResponse{ReplicaSet: k.set.GetNumber()}
	if c.Ended {
		k.end(c)
		response.State = schema.ReservationState_RESERVATION_ENDED
		return response
	}
	switch {
	case k.set == nil || !k.isMember || !isGranted:
		response.State = schema.ReservationState_RESERVATION_UNAVAILABLE
		return response
	case k.set.Number != c.ReplicaSet || k.set.Region != c.Region:
		response.State = schema.ReservationState_RESERVATION_STALE
		return response
	case !k.isReady:
		if k.clearAt == 0 || now < k.clearAt {
			response.State = schema.ReservationState_RESERVATION_UNAVAILABLE
			response.LeftMs = uint32(k.left(now).Milliseconds())
			return response
		}
	}
	s := &k.shards[store.RendezvousWeight(c.Attempt)%shards]
	s.lock.Lock()
	defer s.lock.Unlock()
	kept, pause := constants.ReservationKept, constants.ReservationWindow
	if len(s.reservations) >= constants.ReservationsMost/shards {
		kept, pause = constants.ReservationKeptLeast, time.Second
	}
	if now-s.swept >= pause {
		s.sweep(now, kept)
	}
	if h := s.reservations[c.Attempt]; h != nil && h.until > now {
		response.Owner = h.owner
		response.State = schema.ReservationState_RESERVATION_HELD
		if h.owner == c.Owner && c.Round >= h.round && bytes.Equal(h.digest, c.Digest) {
			h.round = c.Round
			response.State = schema.ReservationState_RESERVATION_TAKEN
		}
		return response
	}
	if c.AgeMs > 0 && now-time.Duration(c.AgeMs)*time.Millisecond < max(k.since, s.forgot) {
		response.State = schema.ReservationState_RESERVATION_HELD
		return response
	}
	if len(s.reservations) >= constants.ReservationsMost/shards {
		response.State, response.LeftMs = schema.ReservationState_RESERVATION_UNAVAILABLE, uint32(constants.RetryAfter.Milliseconds())
		return response
	}
	s.reservations[c.Attempt] = &held{c.Digest, c.Owner, c.Number, c.Round, now + constants.ReservationKept}
	response.State = schema.ReservationState_RESERVATION_TAKEN
	response.Owner = c.Owner
	return response
}

func (s *shard) sweep(now, kept time.Duration) {
	s.swept = now
	for attempt, h := range s.reservations {
		at := h.until - constants.ReservationKept
		if now-at < kept {
			continue
		}
		delete(s.reservations, attempt)
		if kept < constants.ReservationKept {
			s.forgot = max(s.forgot, at)
		}
	}
}

func (k *Replica) end(c *schema.ReservationRequest) {
	s := &k.shards[store.RendezvousWeight(c.Attempt)%shards]
	s.lock.Lock()
	defer s.lock.Unlock()
	if h := s.reservations[c.Attempt]; h != nil && h.owner == c.Owner && c.Round >= h.round {
		delete(s.reservations, c.Attempt)
	}
}

// State describes a replica for status: set number, membership, readiness and reservations held.
func (k *Replica) State() (number uint64, isMember, isReady bool, reservations int) {
	k.lock.RLock()
	defer k.lock.RUnlock()
	for i := range k.shards {
		k.shards[i].lock.Lock()
		reservations += len(k.shards[i].reservations)
		k.shards[i].lock.Unlock()
	}
	return k.set.GetNumber(), k.isMember, k.isReady, reservations
}

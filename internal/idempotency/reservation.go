package idempotency

import (
	"bytes"
	"sync"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const (
	// shardCount divides the reservations by attempt id, so that proxies seldom wait for each other's locks.
	shardCount = 32
	// shardLimit bounds the reservations of one shard.
	shardLimit = constants.MaxReservations / shardCount
	// fullEvictEvery is how often a full shard looks for reservations to evict early.
	fullEvictEvery = time.Second
)

// reservation binds an attempt id to the one proxy that may send it.
type reservation struct {
	digest []byte
	owner  string
	number uint64
	// round is the owner's latest request for the id; requests of earlier rounds that arrive late change nothing.
	round uint32
	until time.Duration
}

// shard holds the reservations of a part of all attempt ids.
type shard struct {
	lock         sync.Mutex
	reservations map[string]*reservation
	evictedAt    time.Duration
	// forgottenUntil is the latest instant of a reservation that was evicted before it lapsed.
	forgottenUntil time.Duration
}

func (r *Replica) shardOf(attempt string) *shard {
	return &r.shards[store.RendezvousWeight(attempt)%shardCount]
}

// Reserve decides one request for a reservation, or ends one. A node without a live lease from the leader refuses.
func (r *Replica) Reserve(now time.Duration, request *schema.ReservationRequest, hasLease bool) *schema.ReservationResponse {
	r.lock.RLock()
	defer r.lock.RUnlock()
	response := &schema.ReservationResponse{ReplicaSet: r.set.GetNumber()}
	switch {
	case request.Ended:
		r.shardOf(request.Attempt).end(request)
		response.State = schema.ReservationState_RESERVATION_ENDED
	case r.set == nil || !r.isMember || !hasLease:
		response.State = schema.ReservationState_RESERVATION_UNAVAILABLE
	case r.set.Number != request.ReplicaSet || r.set.Region != request.Region:
		response.State = schema.ReservationState_RESERVATION_STALE
	case !r.isReady && (r.readyAt == 0 || now < r.readyAt):
		response.State = schema.ReservationState_RESERVATION_UNAVAILABLE
		response.LeftMs = uint32(r.refusedFor(now).Milliseconds())
	default:
		r.shardOf(request.Attempt).reserve(now, request, response, r.knownSince)
	}
	return response
}

// reserve fills in the response to a request at a replica that is ready.
func (s *shard) reserve(
	now time.Duration, request *schema.ReservationRequest, response *schema.ReservationResponse, knownSince time.Duration,
) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.evictIfDue(now)
	if known := s.reservations[request.Attempt]; known != nil && known.until > now {
		response.Owner = known.owner
		response.State = schema.ReservationState_RESERVATION_HELD
		if known.isRepeatedBy(request) {
			known.round = request.Round
			response.State = schema.ReservationState_RESERVATION_TAKEN
		}
		return
	}
	firstSentAt := now - time.Duration(request.AgeMs)*time.Millisecond
	switch {
	case request.AgeMs > 0 && firstSentAt < max(knownSince, s.forgottenUntil):
		response.State = schema.ReservationState_RESERVATION_HELD
	case len(s.reservations) >= shardLimit:
		response.State = schema.ReservationState_RESERVATION_UNAVAILABLE
		response.LeftMs = uint32(constants.RetryAfter.Milliseconds())
	default:
		s.reservations[request.Attempt] = &reservation{
			digest: request.Digest,
			owner:  request.Owner,
			number: request.Number,
			round:  request.Round,
			until:  now + constants.ReservationKept,
		}
		response.State = schema.ReservationState_RESERVATION_TAKEN
		response.Owner = request.Owner
	}
}

// isRepeatedBy reports whether a request is the owner's own again, and not a late one of an earlier round.
func (r *reservation) isRepeatedBy(request *schema.ReservationRequest) bool {
	return r.owner == request.Owner && request.Round >= r.round && bytes.Equal(r.digest, request.Digest)
}

// end removes a reservation at its owner's request, unless that one is of an earlier round.
func (s *shard) end(request *schema.ReservationRequest) {
	s.lock.Lock()
	defer s.lock.Unlock()
	known := s.reservations[request.Attempt]
	if known != nil && known.owner == request.Owner && request.Round >= known.round {
		delete(s.reservations, request.Attempt)
	}
}

// evictIfDue evicts the lapsed reservations now and then; a full shard evicts earlier ones too, and more often.
func (s *shard) evictIfDue(now time.Duration) {
	kept, pause := constants.ReservationKept, constants.ReservationWindow
	if len(s.reservations) >= shardLimit {
		kept, pause = constants.MinReservationKept, fullEvictEvery
	}
	if now-s.evictedAt >= pause {
		s.evict(now, kept)
	}
}

// evict removes the reservations that are at least as old as kept.
func (s *shard) evict(now, kept time.Duration) {
	s.evictedAt = now
	for attempt, known := range s.reservations {
		reservedAt := known.until - constants.ReservationKept
		if now-reservedAt < kept {
			continue
		}
		delete(s.reservations, attempt)
		if kept < constants.ReservationKept {
			s.forgottenUntil = max(s.forgottenUntil, reservedAt)
		}
	}
}

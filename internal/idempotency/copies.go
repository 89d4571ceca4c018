package idempotency

import (
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// copies is what a replica has copied from the others since its set changed.
type copies struct {
	// former are the members of the former set that were copied whole, current the ready members of the present one.
	former  map[string]bool
	current map[string]bool
	// pages holds the next page to ask a member for.
	pages   map[string]uint32
	askedAt time.Duration
	// knownSince is the instant since when all that were copied know every reservation.
	knownSince time.Duration
}

func newCopies() copies {
	return copies{former: map[string]bool{}, current: map[string]bool{}, pages: map[string]uint32{}}
}

// CopyTask is a member to be asked for its reservations, and the request for it.
type CopyTask struct {
	Member  *schema.Member
	Request *schema.ReservationCopyRequest
}

// DueCopies returns the members that are to be asked for their reservations now.
func (r *Replica) DueCopies(now time.Duration) []CopyTask {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.updateReadiness(now)
	if r.set == nil || !r.isMember || r.isReady || now-r.copies.askedAt < constants.ReservationCopyEvery {
		return nil
	}
	r.copies.askedAt = now
	var tasks []CopyTask
	seen := map[string]bool{r.id: true}
	for _, member := range slices.Concat(r.set.Former, r.set.Members) {
		if !seen[member.Id] && !r.copies.former[member.Id] {
			request := &schema.ReservationCopyRequest{Region: r.set.Region, ReplicaSet: r.set.Number, Page: r.copies.pages[member.Id]}
			tasks = append(tasks, CopyTask{member, request})
		}
		seen[member.Id] = true
	}
	return tasks
}

// AnswerCopy returns a page of this replica's reservations to a member of the same set. Since this replica has adopted
// that set, it no longer reserves for older ones, so the copy is whole.
func (r *Replica) AnswerCopy(now time.Duration, request *schema.ReservationCopyRequest) *schema.ReservationCopyResponse {
	r.lock.RLock()
	defer r.lock.RUnlock()
	response := &schema.ReservationCopyResponse{ReplicaSet: r.set.GetNumber()}
	isSameSet := r.set != nil && r.set.Number == request.ReplicaSet && r.set.Region == request.Region
	if !isSameSet || request.Page >= shardCount || !r.copies.former[r.id] && !r.isReady {
		return response
	}
	response.Ready = true
	response.Full = r.isReady && r.isMember
	knownSince := r.knownSince
	for i := range r.shards {
		s := &r.shards[i]
		s.lock.Lock()
		knownSince = max(knownSince, s.forgottenUntil)
		if i >= int(request.Page) && response.Next == 0 {
			response.Reservations = append(response.Reservations, s.encode(now)...)
			if len(response.Reservations) >= constants.ReservationPage && i+1 < shardCount {
				response.Next = uint32(i + 1)
			}
		}
		s.lock.Unlock()
	}
	if knownSince > 0 {
		response.ReachMs = uint64(max(1, (now - knownSince).Milliseconds()))
	}
	return response
}

// encode returns the live reservations of a shard, which must be locked.
func (s *shard) encode(now time.Duration) []*schema.Reservation {
	var encoded []*schema.Reservation
	for attempt, known := range s.reservations {
		if known.until <= now {
			continue
		}
		encoded = append(encoded, &schema.Reservation{
			Attempt: attempt,
			Digest:  known.digest,
			Owner:   known.owner,
			Number:  known.number,
			Round:   known.round,
			LeftMs:  uint32((known.until - now).Milliseconds()),
		})
	}
	return encoded
}

// TakeCopy takes a page of another member's reservations.
func (r *Replica) TakeCopy(now time.Duration, from string, response *schema.ReservationCopyResponse) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !response.Ready || r.set == nil || response.ReplicaSet != r.set.Number {
		return
	}
	for _, copied := range response.Reservations {
		r.shardOf(copied.Attempt).addCopied(now, copied)
	}
	if response.ReachMs > 0 {
		knownSince := now - time.Duration(response.ReachMs)*time.Millisecond
		r.copies.knownSince = max(r.copies.knownSince, knownSince)
	}
	if response.Next > 0 {
		r.copies.pages[from] = response.Next
		r.copies.askedAt = now - constants.ReservationCopyEvery
		return
	}
	if hasMember(r.set.Former, from) {
		r.copies.former[from] = true
	}
	if response.Full {
		r.copies.current[from] = true
	}
	r.updateReadiness(now)
}

// addCopied adds another member's reservation, unless there is one of this id.
func (s *shard) addCopied(now time.Duration, copied *schema.Reservation) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.reservations[copied.Attempt] != nil {
		return
	}
	s.reservations[copied.Attempt] = &reservation{
		digest: copied.Digest,
		owner:  copied.Owner,
		number: copied.Number,
		round:  copied.Round,
		until:  now + time.Duration(copied.LeftMs)*time.Millisecond,
	}
}

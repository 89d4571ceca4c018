package proxy

import (
	"cmp"
	"net/http"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/idempotency"
	"topazshed/internal/schema"
)

// releaseParts divides the time for a reservation: releasing it may take one part.
const releaseParts = 3

// reservation is the state of the attempt id's reservation at its replicas.
type reservation struct {
	replicas *schema.ReplicaSet
	// members may have reserved the id for this request.
	members []*schema.Member
	// round counts the tries to reserve it.
	round   uint32
	begunAt time.Duration
	// isHeld says that a majority has reserved it.
	isHeld bool
	// pending, taken and elsewhere count the members of this round that have not answered, that have reserved the id for this request, and
	// that have it for another one.
	pending, taken, elsewhere int
	// otherOwner names that other request.
	otherOwner string
	// readyIn is when the replicas can reserve ids again, as one of them said.
	readyIn time.Duration
}

// reserve asks the replicas of the attempt id to reserve it.
func (m *RequestMachine) reserve() Order {
	r := &m.reservation
	m.phase = phaseReserve
	r.replicas = m.decision.Replicas
	r.members = idempotency.Match(r.replicas, m.Request.Attempt)
	r.begunAt = m.now
	r.round++
	r.pending = len(r.members)
	r.taken = 0
	r.elsewhere = 0
	order := Order{Kind: OrderReserve, For: constants.ReservationWait}
	for _, member := range r.members {
		order.Reservations = append(order.Reservations, ReservationCall{member, m.reservationRequest()})
	}
	return order
}

func (m *RequestMachine) reservationRequest() *schema.ReservationRequest {
	return &schema.ReservationRequest{
		Attempt:    m.Request.Attempt,
		Digest:     m.Request.Digest,
		Owner:      m.Owner,
		Number:     uint64(m.decision.Owner.Number),
		ReplicaSet: m.reservation.replicas.Number,
		Region:     m.reservation.replicas.Region,
		Round:      m.reservation.round,
		WaitMs:     uint32(m.Request.Wait.Milliseconds()),
		AgeMs:      uint64(m.age().Milliseconds()),
	}
}

func (m *RequestMachine) releaseRequest() *schema.ReservationRequest {
	return &schema.ReservationRequest{
		Attempt:    m.Request.Attempt,
		Owner:      m.Owner,
		ReplicaSet: m.reservation.replicas.Number,
		Region:     m.reservation.replicas.Region,
		Round:      m.reservation.round,
		Ended:      true,
	}
}

// takeReservation counts a replica's answer. The id is reserved once a majority of the replicas has answered so in time.
func (m *RequestMachine) takeReservation(e Event) Order {
	r := &m.reservation
	r.count(e.Reserved)
	isTaken := r.taken >= idempotency.Majority(len(r.members))
	switch {
	case isTaken && m.now-r.begunAt < constants.ReservationWait:
		r.isHeld = true
		return m.decide(false)
	case r.pending > 0 && !isTaken:
		return Order{Kind: OrderListen}
	case r.elsewhere > 0:
		return m.release(reservedElsewhere(), true)
	}
	m.parkedAt = cmp.Or(m.parkedAt, m.now)
	return m.release(nil, false)
}

func (r *reservation) count(response *schema.ReservationResponse) {
	r.pending--
	switch response.GetState() {
	case schema.ReservationState_RESERVATION_TAKEN:
		r.taken++
	case schema.ReservationState_RESERVATION_HELD:
		r.elsewhere++
		r.otherOwner = cmp.Or(response.Owner, r.otherOwner)
	case schema.ReservationState_RESERVATION_UNAVAILABLE:
		r.readyIn = time.Duration(response.LeftMs) * time.Millisecond
	}
}

func reservedElsewhere() *RefusalError {
	return &RefusalError{
		Status:     http.StatusConflict,
		Kind:       kindReservedElsewhere,
		Result:     ResultAmbiguous,
		RetryAfter: constants.RetryAfter,
		Message: "another request with this attempt id runs or ran, or may have run before its replicas' memory begins; " +
			"its result is not known here",
	}
}

// notReserved refuses a request whose replicas did not agree for too long.
func (m *RequestMachine) notReserved() *RefusalError {
	refusal := newRefusalLater(kindNotReserved, "the replicas of this attempt id did not agree; send again")
	refusal.RetryAfter = max(constants.RetryAfter, m.reservation.readyIn)
	return refusal
}

// release gives the reservation up. After a final one the request ends with the refusal, or with the response that another proxy has; after
// another the id is reserved anew.
func (m *RequestMachine) release(refusal *RefusalError, isFinal bool) Order {
	m.refusal = refusal
	m.isFinal = isFinal
	r := &m.reservation
	if len(r.members) == 0 {
		return m.released()
	}
	order := Order{Kind: OrderRelease, For: constants.ReservationWait / releaseParts}
	for _, member := range r.members {
		order.Reservations = append(order.Reservations, ReservationCall{member, m.releaseRequest()})
	}
	m.phase = phaseRelease
	r.members = nil
	r.isHeld = false
	return order
}

func (m *RequestMachine) released() Order {
	if m.isFinal {
		return m.replay()
	}
	m.phase = phaseReservePause
	return Order{Kind: OrderWait, For: constants.ParkStep}
}

// replay looks for the response to an earlier request with the same attempt id, at the proxy that had the id reserved.
func (m *RequestMachine) replay() Order {
	proxy, _, _ := strings.Cut(m.reservation.otherOwner, "/")
	m.reservation.otherOwner = ""
	if proxy == m.Self.Id {
		return m.replyWithEarlier(m.Responses.Get(m.Request.Attempt, m.Request.Digest))
	}
	node := m.local.View.Nodes[proxy]
	if proxy == "" || node == nil {
		return m.reply(m.refusal)
	}
	m.phase = phaseReplay
	return Order{
		Kind:    OrderReplay,
		For:     constants.ReservationWait,
		Address: node.Address,
		Replay:  &schema.ReplayRequest{Attempt: m.Request.Attempt, Digest: m.Request.Digest},
	}
}

func (m *RequestMachine) replayed(e Event) Order {
	if !e.Replayed.GetKept() {
		return m.reply(m.refusal)
	}
	return m.replyWithEarlier(resultOf(e.Replayed))
}

// replyWithEarlier gives the response to an earlier request with the same attempt id, if it is complete.
func (m *RequestMachine) replyWithEarlier(result *Result) Order {
	if result == nil || !isIntact(result, m.Request.Attempt) {
		return m.reply(m.refusal)
	}
	return Order{Kind: OrderReply, Result: result}
}

func isIntact(result *Result, attempt string) bool {
	return result.Header.Get(HeaderAttempt) == attempt && result.Header.Get(HeaderDigest) == ContentDigest(result.Body)
}

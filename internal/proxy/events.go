package proxy

import (
	"net/http"
	"time"

	"topazshed/internal/schema"
)

// OrderKind is what must be done for a request next.
type OrderKind int

// The orders of a RequestMachine. Each but OrderReply is answered by one event.
const (
	// OrderReply: respond with Result, or else with Refusal. The request has ended.
	OrderReply OrderKind = iota
	// OrderWait: wait so long; EventWoken follows. Wanted names a service whose rows this proxy lacks.
	OrderWait
	// OrderConnect: connect to Address, which must prove that it is Identity; EventConnected follows.
	OrderConnect
	// OrderSend: send the request with Path and Header on the open connection; EventAnswered follows.
	OrderSend
	// OrderReserve: send all Reservations; EventReserved follows for the first answer.
	OrderReserve
	// OrderListen: await the next answer of the last OrderReserve; EventReserved follows.
	OrderListen
	// OrderRelease: send all Reservations and await all answers; EventReleased follows.
	OrderRelease
	// OrderReplay: ask the proxy at Address for the response that it may have; EventReplayed follows.
	OrderReplay
)

// ReservationCall is one request for a reservation to one replica.
type ReservationCall struct {
	Member  *schema.Member
	Request *schema.ReservationRequest
}

// Order is one thing to do.
type Order struct {
	Kind OrderKind
	// For is how long it may take, or how long to wait.
	For      time.Duration
	Wanted   string
	Address  string
	Identity Identity
	Path     string
	Header   http.Header
	// Limit bounds the response's body, in bytes.
	Limit uint64
	// IsBound says that the attempt ends when the caller leaves; others may run to their end.
	IsBound      bool
	Reservations []ReservationCall
	Replay       *schema.ReplayRequest
	Result       *Result
	Refusal      *RefusalError
	// KeepsConn says that the open connection may be used again.
	KeepsConn bool
}

// EventKind is what has happened to a request.
type EventKind int

// The events that a RequestMachine takes.
const (
	// EventBegun: the request has come; this is its first event.
	EventBegun EventKind = iota
	// EventWoken: the wait that was ordered is over.
	EventWoken
	// EventGone: the caller has left, or its wait is over.
	EventGone
	// EventConnected: a connection stands, or Err says why not.
	EventConnected
	// EventAnswered: a whole response came, or Err says why not.
	EventAnswered
	// EventReserved: a replica answered, or did not (Reserved is nil).
	EventReserved
	// EventReleased: all replicas were told to release the reservation.
	EventReleased
	// EventReplayed: another proxy answered, or did not (Replayed is nil).
	EventReplayed
)

// Event answers an order.
type Event struct {
	Kind   EventKind
	Err    error
	Result *Result
	// MayHaveRun says that bytes were written, so that the request may have run.
	MayHaveRun bool
	// IsGone says that the attempt failed because the caller has left or its wait is over.
	IsGone   bool
	Reserved *schema.ReservationResponse
	Replayed *schema.ReplayResponse
}

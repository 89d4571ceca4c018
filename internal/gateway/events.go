package gateway

import (
	"time"

	"topazshed/internal/schema"
)

// OrderKind is what an execution must do for a request next.
type OrderKind int

// The orders of a RequestMachine.
const (
	// OrderConnect: connect to Backend within Wait.
	OrderConnect OrderKind = iota
	// OrderWait: wait so long.
	OrderWait
	// OrderSend: send the request on the open connection and read the response.
	OrderSend
	// OrderCheckWarm: ask the back end on the open connection, by HealthPath, whether it is in slow start.
	OrderCheckWarm
	// OrderPass: pass the last response on to the caller. The request has ended.
	OrderPass
	// OrderRefuse: respond that the request has not run. The request has ended.
	OrderRefuse
	// OrderFail: respond with Status that the request may have run. The request has ended.
	OrderFail
)

// Order is one thing for an execution to do.
type Order struct {
	Kind    OrderKind
	Backend *schema.Backend
	// HealthPath is the path of an OrderCheckWarm.
	HealthPath string
	// Wait bounds an OrderConnect, or is how long an OrderWait takes.
	Wait time.Duration
	// Refusal and RetryAfter say why, and when to come back, for a request that has not run and never will.
	Refusal    Refusal
	RetryAfter time.Duration
	// Status is that of the response to a request that may have run.
	Status int
	// Reason is what went wrong last.
	Reason string
}

// EventKind is what has happened to an attempt.
type EventKind int

// The events that a RequestMachine takes.
const (
	// EventBegun: the request has come; this is its first event.
	EventBegun EventKind = iota
	// EventConnected: a connection stands; nothing was written.
	EventConnected
	// EventChecked: the back end has told whether it is in slow start; the connection stands.
	EventChecked
	// EventUnreached: no connection came up, or it ended before a byte was written.
	EventUnreached
	// EventNotRun: the back end says that it did not run the request.
	EventNotRun
	// EventAnswered: a whole response to this request that may be passed on.
	EventAnswered
	// EventErrored: a whole response that tells of a failure of the back end's own.
	EventErrored
	// EventBroken: bytes were written and no whole, trustworthy response came.
	EventBroken
	// EventWoken: the wait that was ordered is over.
	EventWoken
	// EventOversize: the caller's body went over the limit while it was passed on.
	EventOversize
	// EventExpired: the deadline or the route's time-out is over.
	EventExpired
)

// Event is what an execution saw.
type Event struct {
	Kind   EventKind
	Reason string
	// IsForgotten says that the connection broke only because its back end had dropped it while it was idle, so that the back end may be
	// tried again.
	IsForgotten bool
	// AreRowsUnconfirmed says that a majority has not confirmed this node's rows lately, MayMissSlowStarts that back ends must be asked whether they
	// are in slow start, since the rows may not say so.
	AreRowsUnconfirmed bool
	MayMissSlowStarts  bool
}

package gateway

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// OrderKind is what the executor must do for a request next.
type OrderKind int

// The orders of a course.
const (
	OrderConnect OrderKind = iota
	OrderWait
	OrderSend
	OrderPass
	OrderRefuse
	OrderFail
)

// Order is one thing for the executor to do.
type Order struct {
	Kind    OrderKind
	Backend *schema.Backend
	// Wait bounds the connecting.
	Wait time.Duration
	// Refusal and RetryAfter say why and when to come back, for a request that has not run and never will.
	Refusal    Refusal
	RetryAfter time.Duration
	// Status and Reason tell of a request that may have run.
	Status int
	Reason string
}

// EventKind is what has happened to an attempt.
type EventKind int

// The events that a course takes.
const (
	EventBegun EventKind = iota
	// EventConnected: a connection stands; nothing was written.
	EventConnected
	// EventUnreached: no connection came up, or it ended before a byte was written.
	EventUnreached
	// EventNotRun: the back end says that it did not run the request.
	EventNotRun
	// EventAnswered: a whole answer of this request that may be passed on.
	EventAnswered
	// EventErrored: a whole answer that tells of a failure of the back end's own.
	EventErrored
	// EventBroken: bytes were written and no whole, trustworthy answer came.
	EventBroken
	// EventWoken: the wait that was ordered is over.
	EventWoken
	// EventOversize: the caller's body went over the limit while it was passed on.
	EventOversize
	// EventExpired: the deadline or the route's time-out is over.
	EventExpired
)

// Event is what the executor saw.
type Event struct {
	Kind   EventKind
	Reason string
	// IsForgotten says that the connection broke only because its back end had forgotten it, so that the back end may be asked again.
	IsForgotten bool
}

// RequestOptions make a Course.
type RequestOptions struct {
	Self  *schema.Node
	Loads *Loads
	// Pressure decides what is shed; without it nothing is.
	Pressure *Pressure
	Draw     func(int64) int64
	Route    *schema.Route
	Service  string
	Key      uint32
	HasKey   bool
	Token    string
	Begun    time.Duration
	Until    time.Duration
	// IsKeyed says that the service is divided by key and the request names one.
	IsKeyed bool
	// IsReplayable says that the body can be sent again.
	IsReplayable bool
}

// RequestMachine is one request's way through a gateway: events in, orders out, without I/O.
type RequestMachine struct {
	RequestOptions
	sent     int
	searches int
	tried    []string
	choice   Choice
	chosenAt time.Duration
	mayRun   bool
	parkedAt time.Duration
	reason   string
	Repeats  int
}

// NewRequestMachine begins a request's course.
func NewRequestMachine(options RequestOptions) *RequestMachine {
	return &RequestMachine{RequestOptions: options}
}

// Next takes an event and gives the next order.
func (c *RequestMachine) Next(now time.Duration, view *store.View, e Event) Order {
	switch e.Kind {
	case EventConnected:
		c.sent++
		if c.choice.IsCold {
			c.Loads.ColdSent(c.chosenAt, now, c.choice.Backend.Instance)
		}
		return Order{Kind: OrderSend, Backend: c.choice.Backend}
	case EventOversize:
		return Order{Kind: OrderFail, Status: 413, Reason: e.Reason}
	case EventAnswered:
		return Order{Kind: OrderPass}
	case EventExpired:
		if !c.mayRun && c.sent == 0 {
			return c.refuse(now, RefusalBusy)
		}
		return Order{Kind: OrderFail, Status: 504, Reason: "the deadline is over: " + c.reason}
	case EventUnreached:
		c.reason = e.Reason
		c.tried = append(c.tried, c.choice.Backend.Instance)
	case EventNotRun:
		c.reason = e.Reason
		c.tried = append(c.tried, c.choice.Backend.Instance)
		if c.sent >= c.most() {
			return c.end(now, RefusalBusy)
		}
	case EventErrored:
		c.mayRun = true
		c.tried = append(c.tried, c.choice.Backend.Instance)
		if !c.Route.Repeatable || !c.IsReplayable || c.sent >= c.most() {
			return Order{Kind: OrderPass}
		}
		if order := c.seek(now, view); order.Kind == OrderConnect {
			return order
		}
		return Order{Kind: OrderPass}
	case EventBroken:
		c.mayRun = true
		c.reason = e.Reason
		if !e.IsForgotten {
			c.tried = append(c.tried, c.choice.Backend.Instance)
		}
		if !c.Route.Repeatable || !c.IsReplayable || c.sent >= c.most() {
			return c.end(now, RefusalBusy)
		}
	}
	return c.seek(now, view)
}

func (c *RequestMachine) most() int { return int(max(1, c.Route.MaxAttempts)) }

func (c *RequestMachine) seek(now time.Duration, view *store.View) Order {
	if now >= c.Until {
		return c.Next(now, view, Event{Kind: EventExpired})
	}
	c.searches++
	if c.searches > constants.SearchesMost || !c.IsReplayable && c.sent > 0 {
		return c.end(now, RefusalBusy)
	}
	choice := Choose(Situation{Now: now, View: view, Self: c.Self, Loads: c.Loads, Draw: c.Draw, Route: c.Route, Service: c.Service,
		Key: c.Key, HasKey: c.HasKey, Token: c.Token, Tried: c.tried})
	if choice.Backend == nil {
		if choice.Refusal == RefusalMoving && c.park(now) {
			c.searches--
			return Order{Kind: OrderWait, Wait: min(constants.ParkPoll, c.Until-now)}
		}
		return c.end(now, choice.Refusal)
	}
	if c.sent == 0 && len(c.tried) == 0 && c.isShed(now, choice.Backend.Instance) {
		return c.refuse(now, RefusalBusy)
	}
	if c.sent > 0 {
		if !c.Loads.MayRepeat(now, c.Service, len(view.Nodes)) {
			return c.end(now, RefusalBudget)
		}
		c.Repeats++
	}
	c.choice, c.chosenAt = choice, now
	return Order{Kind: OrderConnect, Backend: choice.Backend, Wait: min(constants.BackendConnect, c.Until-now)}
}

func (c *RequestMachine) isShed(now time.Duration, instance string) bool {
	if c.Pressure == nil {
		return false
	}
	aim := time.Duration(max(c.Route.TargetMs, 100)) * time.Millisecond
	isBack := c.Until-c.Begun < time.Duration(float64(c.Route.TimeoutMs)*constants.BackPart)*time.Millisecond
	share := Shed(c.Pressure.Expect(now, c.Service, instance), aim, c.Route.Priority, isBack)
	return share > 0 && float64(c.Draw(1000)) < share*1000
}

// park tells whether a request may wait on for its key to be held again: a quarter of its aim, so that a refusal is never late.
func (c *RequestMachine) park(now time.Duration) bool {
	if c.parkedAt == 0 {
		c.parkedAt = now
	}
	most := time.Duration(max(c.Route.TargetMs, 100)) * time.Millisecond / constants.ParkParts
	return now-c.Begun < most && len(c.tried) == 0
}

func (c *RequestMachine) end(now time.Duration, refusal Refusal) Order {
	if c.mayRun {
		return Order{Kind: OrderFail, Status: 502, Reason: c.reason}
	}
	return c.refuse(now, refusal)
}

func (c *RequestMachine) refuse(now time.Duration, refusal Refusal) Order {
	after := constants.RefuseAfter
	if refusal == RefusalMoving || refusal == RefusalCold || refusal == RefusalNotReady {
		after = constants.RefuseAfterMove
	}
	after = ComeBack(after, c.Until-now, c.Draw)
	return Order{Kind: OrderRefuse, Refusal: refusal, RetryAfter: after, Reason: c.reason}
}

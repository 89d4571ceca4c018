package proxy

import (
	"cmp"
	"net/http"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
)

// phase is what the machine waits for.
type phase int

const (
	phaseDecide phase = iota
	phaseForwardConnect
	phaseForward
	phaseForwardPause
	phaseReserve
	phaseReservePause
	phaseConnect
	phaseAttempt
	phaseRelease
	phaseReplay
)

// RequestOptions make a RequestMachine.
type RequestOptions struct {
	Self      *schema.Node
	Loads     *Loads
	Responses *ResponseCache
	Draw      func(int64) int64
	Request   *Request
	// Owner names this request in its reservations: the proxy's id, a slash, and a number.
	Owner string
	// Begun is when the request came.
	Begun time.Duration
}

// RequestMachine decides what happens to one request: events in, orders out, without I/O. An Executor and the simulator both drive it; one
// goroutine at a time may use it.
//
// Its promises, for any events: a ResultRefused only if no back end can have run the request; an unsafe request is sent to one back end at
// most, and only with its attempt id reserved; a safe one is sent again only within the repeat budget.
type RequestMachine struct {
	RequestOptions
	// Repeats counts the attempts after the first.
	Repeats int

	phase phase
	now   time.Duration
	local *controlplane.Local
	// until is when the caller must have its response.
	until time.Duration
	// parkedAt is when the request first had to wait, or 0.
	parkedAt time.Duration
	decision Decision

	forwards    forwardState
	reservation reservation

	attempts int
	// mayHaveRun says that a back end may have run the request.
	mayHaveRun bool
	tried      map[string]bool
	// reason is what went wrong last.
	reason   string
	endKeyed func(mayRun bool)

	// refusal is given to the caller when the present phase leads to nothing better; isFinal says that the request then ends.
	refusal *RefusalError
	isFinal bool
}

// NewRequestMachine makes the machine of a request that has just come.
func NewRequestMachine(options RequestOptions) *RequestMachine {
	wait := options.Request.Wait
	wait -= min(constants.AnswerMargin, wait/constants.AnswerShare)
	return &RequestMachine{RequestOptions: options, until: options.Begun + wait, tried: map[string]bool{}}
}

// Next takes an event and gives the next order.
func (m *RequestMachine) Next(now time.Duration, local *controlplane.Local, e Event) Order {
	m.now = now
	m.local = local
	if e.Kind == EventGone {
		return m.gone()
	}
	switch m.phase {
	case phaseForwardConnect:
		return m.forwardConnected(e)
	case phaseForward:
		return m.forwardAnswered(e)
	case phaseForwardPause:
		if m.parked() >= constants.MaxPark {
			return m.reply(m.refusal)
		}
	case phaseReserve:
		return m.takeReservation(e)
	case phaseReservePause:
		if m.now-m.parkedAt >= constants.ParkShort {
			return m.giveUp(m.notReserved())
		}
	case phaseConnect:
		return m.connected(e)
	case phaseAttempt:
		return m.answered(e)
	case phaseRelease:
		return m.released()
	case phaseReplay:
		return m.replayed(e)
	}
	return m.decide(false)
}

// gone ends a request whose caller has left.
func (m *RequestMachine) gone() Order {
	if m.phase == phaseForwardPause {
		return m.reply(m.refusal)
	}
	return m.giveUp(newRefusalLater(kindCallerGone, "the caller left or the wait is over"))
}

// parked is how long ago the request first had to wait.
func (m *RequestMachine) parked() time.Duration {
	if m.parkedAt == 0 {
		return 0
	}
	return m.now - m.parkedAt
}

// age is how long ago the attempt id was first sent, or 0 if the caller does not say.
func (m *RequestMachine) age() time.Duration {
	if m.Request.Age == 0 {
		return 0
	}
	return m.Request.Age + m.now - m.Begun
}

func (m *RequestMachine) situation() Situation {
	s := Situation{
		Now:        m.now,
		Local:      m.local,
		Self:       m.Self,
		Request:    m.Request,
		Load:       m.Loads,
		Tried:      m.tried,
		IsReserved: m.reservation.isHeld,
		Parked:     m.parked(),
		Left:       m.until - m.now,
		Draw:       m.Draw,
	}
	if m.Request.Age > 0 {
		s.FirstSent = m.Begun - m.Request.Age
	}
	return s
}

// decide asks for a new decision and begins what it says. keepsConn says that the open connection may be used again.
func (m *RequestMachine) decide(keepsConn bool) Order {
	m.phase = phaseDecide
	d := Decide(m.situation())
	if d.Entry != nil && !d.IsSafe {
		m.until = min(m.until, m.Begun+constants.ReservationWindow)
	}
	m.decision = d
	order := m.begin(d)
	order.KeepsConn = order.KeepsConn || keepsConn
	return order
}

func (m *RequestMachine) begin(d Decision) Order {
	switch d.Action {
	case ActionPark:
		return m.park(d.Wanted)
	case ActionForward:
		return m.forward()
	case ActionReserve:
		return m.reserve()
	case ActionAttempt:
		return m.attempt()
	default:
		return m.giveUp(d.Refusal)
	}
}

func (m *RequestMachine) park(wanted string) Order {
	if m.now >= m.until {
		return m.giveUp(newRefusalLater(kindLate, "the wait is over"))
	}
	m.parkedAt = cmp.Or(m.parkedAt, m.now)
	return Order{Kind: OrderWait, For: min(constants.ParkStep, m.until-m.now), Wanted: wanted}
}

func (m *RequestMachine) reply(refusal *RefusalError) Order {
	return Order{Kind: OrderReply, Refusal: refusal}
}

// giveUp ends the request with a refusal; if it may have run, the refusal says so.
func (m *RequestMachine) giveUp(refusal *RefusalError) Order {
	if !m.mayHaveRun {
		return m.release(refusal, true)
	}
	ambiguous := *refusal
	ambiguous.Status = http.StatusBadGateway
	ambiguous.Kind = kindFailed
	ambiguous.Result = ResultAmbiguous
	ambiguous.Message = "an attempt was begun and gave no sealed response: " + m.reason
	ambiguous.RetryAfter = constants.RetryAfter
	return m.reply(&ambiguous)
}

// part is this proxy's part of the service's repeat budget.
func (m *RequestMachine) part() Part {
	view := m.local.View
	return anyPart(view, view.Services[m.decision.Entry.Service], m.Self.Id)
}

package gateway

import (
	"net/http"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// RequestOptions make a RequestMachine.
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
	// Token is the request's attempt id.
	Token string
	// Begun and Until are when the request came and when its caller or its route gives it up.
	Begun time.Duration
	Until time.Duration
	// IsKeyed says that the service is divided by key and the request names one.
	IsKeyed bool
	// IsReplayable says that the body can be sent again.
	IsReplayable bool
}

// RequestMachine decides what happens to one request: events in, orders out, without I/O. It is used by one goroutine.
//
// Its promises, for any events: an OrderRefuse only if no back end can have run the request; a second OrderSend only if the attempts before
// it have not run, or the route is repeatable and the retry budget allows it; never more than the route's attempts.
type RequestMachine struct {
	RequestOptions
	// Repeats counts the attempts after the first that were paid for from the retry budget.
	Repeats int

	sent     int
	searches int
	tried    []string
	choice   Choice
	// isHeld says that the choice is held of this node's share of a cold back end, and that the request has not left yet.
	isHeld bool
	// chosenBy is the view that the choice rests on.
	chosenBy *store.View
	// mayRun says that a back end may have run the request.
	mayRun bool
	// areRowsUnconfirmed and mayMissSlowStarts are those of the newest event.
	areRowsUnconfirmed bool
	mayMissSlowStarts  bool
	// reason is what went wrong last.
	reason string
}

// NewRequestMachine makes the machine of a request that has just come.
func NewRequestMachine(options RequestOptions) *RequestMachine {
	return &RequestMachine{RequestOptions: options}
}

// Next takes an event and gives the next order. After an OrderSend the caller must call Sent, and Abandon if it carries out no further orders.
func (m *RequestMachine) Next(now time.Duration, view *store.View, e Event) Order {
	order := m.next(now, view, e)
	if order.Kind != OrderConnect && order.Kind != OrderCheckWarm && order.Kind != OrderSend {
		m.Abandon()
	}
	return order
}

// Sent notes that the request has left now.
func (m *RequestMachine) Sent(now time.Duration) {
	if m.isHeld {
		m.Loads.ColdSent(now, m.choice.Backend.Instance)
	}
	m.isHeld = false
}

// Abandon notes that the request will not be sent to the back end that was chosen last, unless it has left already.
func (m *RequestMachine) Abandon() {
	if m.isHeld {
		m.Loads.ReleaseCold(m.choice.Backend.Instance)
	}
	m.isHeld = false
}

func (m *RequestMachine) next(now time.Duration, view *store.View, e Event) Order {
	m.areRowsUnconfirmed = e.AreRowsUnconfirmed
	m.mayMissSlowStarts = e.MayMissSlowStarts
	switch e.Kind {
	case EventConnected, EventChecked:
		if order, mayGoOn := m.connected(now, view, e.Kind); mayGoOn {
			return order
		}
	case EventOversize:
		return Order{Kind: OrderFail, Status: http.StatusRequestEntityTooLarge, Reason: e.Reason}
	case EventAnswered:
		return Order{Kind: OrderPass}
	case EventExpired:
		return m.expire(now)
	case EventUnreached:
		m.exclude(e.Reason)
	case EventNotRun:
		m.exclude(e.Reason)
		if m.isSpent() {
			return m.end(now, RefusalBusy)
		}
	case EventErrored:
		return m.retryOrPass(now, view)
	case EventBroken:
		m.mayRun = true
		m.reason = e.Reason
		if !e.IsForgotten {
			m.exclude(e.Reason)
		}
		if !m.mayRetry() {
			return m.end(now, RefusalBusy)
		}
	}
	return m.seek(now, view)
}

// connected sends the request on the open connection, after the back end was asked whether it is in slow start where the rows can't tell. It tells
// false if another choice must be made.
func (m *RequestMachine) connected(now time.Duration, view *store.View, event EventKind) (order Order, mayGoOn bool) {
	chosen := m.choice.Backend
	switch {
	case m.isOvertaken(view):
		m.reason = "the back end was closed to requests while the connection was made"
		return Order{}, false
	case !m.choice.IsCold && m.Loads.Read(now, chosen.Instance).SaysCold:
		m.reason = "the back end says that it is in slow start"
		return Order{}, false
	}
	if event == EventConnected {
		if path, isNeeded := m.mustAsk(now, view); isNeeded {
			return Order{Kind: OrderCheckWarm, Backend: chosen, HealthPath: path}, true
		}
	}
	return m.send(), true
}

func (m *RequestMachine) send() Order {
	m.sent++
	return Order{Kind: OrderSend, Backend: m.choice.Backend}
}

// isOvertaken tells whether the rows have changed since the choice so that it would not be made again. Connecting takes time, and
// nothing was sent yet.
func (m *RequestMachine) isOvertaken(view *store.View) bool {
	if m.choice.IsCold && m.areRowsUnconfirmed {
		return true
	}
	if view == m.chosenBy {
		return false
	}
	service := view.Services[m.Service]
	if service == nil {
		return true
	}
	chosen := m.choice.Backend
	backend := service.Backend(chosen.Instance)
	if backend == nil || backend.Address != chosen.Address || !isOpen(view, backend) {
		return true
	}
	if isCold(view, backend) && !m.choice.IsCold {
		return true
	}
	return service.Policy.GetKeyed() && !owns(service, m.Key, chosen.Instance)
}

// exclude gives the present back end no further attempt.
func (m *RequestMachine) exclude(reason string) {
	m.reason = reason
	m.tried = append(m.tried, m.choice.Backend.Instance)
}

// retryOrPass seeks another back end after a response that tells of a failure, which goes to the caller if there is none.
func (m *RequestMachine) retryOrPass(now time.Duration, view *store.View) Order {
	m.mayRun = true
	m.tried = append(m.tried, m.choice.Backend.Instance)
	if m.mayRetry() {
		if order := m.seek(now, view); order.Kind == OrderConnect {
			return order
		}
	}
	return Order{Kind: OrderPass}
}

// isSpent tells whether the request has had all its attempts.
func (m *RequestMachine) isSpent() bool { return m.sent >= int(max(1, m.Route.MaxAttempts)) }

// mayRetry tells whether a request that may have run may be sent once more.
func (m *RequestMachine) mayRetry() bool {
	return m.Route.Repeatable && m.IsReplayable && !m.isSpent()
}

// seek chooses a back end for the next attempt, and ends the request if there is none.
func (m *RequestMachine) seek(now time.Duration, view *store.View) Order {
	if now >= m.Until {
		return m.expire(now)
	}
	m.searches++
	if m.searches > constants.MaxSearches || !m.IsReplayable && m.sent > 0 {
		return m.end(now, RefusalBusy)
	}
	m.Abandon()
	choice := m.choose(now, view)
	m.choice = choice
	m.isHeld = choice.IsCold
	if choice.Backend == nil {
		if choice.Refusal == RefusalMoving && m.mayWaitForOwner(now) {
			// Waiting for an owner is no search.
			m.searches--
			return Order{Kind: OrderWait, Wait: min(constants.OwnerPollEvery, m.Until-now)}
		}
		return m.end(now, choice.Refusal)
	}
	if m.sent == 0 && len(m.tried) == 0 && m.isShed(now, choice.Backend.Instance) {
		return m.refuse(now, RefusalBusy)
	}
	if m.sent > 0 {
		if !m.Loads.MayRepeat(now, m.Service, len(view.Nodes)) {
			return m.end(now, RefusalBudget)
		}
		m.Repeats++
	}
	m.chosenBy = view
	return Order{Kind: OrderConnect, Backend: choice.Backend, Wait: min(constants.BackendConnect, m.Until-now)}
}

func (m *RequestMachine) choose(now time.Duration, view *store.View) Choice {
	return Choose(Situation{
		Now:     now,
		View:    view,
		Self:    m.Self,
		Loads:   m.Loads,
		Draw:    m.Draw,
		Route:   m.Route,
		Service: m.Service,
		Key:     m.Key,
		HasKey:  m.HasKey,
		Token:   m.Token,
		Tried:   m.tried,

		AreRowsUnconfirmed: m.areRowsUnconfirmed,
	})
}

// shedDraws is how many different random shares decide whether a request is shed.
const shedDraws = 1000

// isShed tells whether the request is refused before its first attempt, because the back end would take too long.
func (m *RequestMachine) isShed(now time.Duration, instance string) bool {
	if m.Pressure == nil {
		return false
	}
	// A caller that came back after a refusal has spent a part of its time.
	isBack := m.Until-m.Begun < time.Duration(float64(m.Route.TimeoutMs)*constants.BackPart)*time.Millisecond
	share := Shed(m.Pressure.Expect(now, m.Service, instance), targetOf(m.Route), m.Route.Priority, isBack)
	return share > 0 && float64(m.Draw(shedDraws)) < share*shedDraws
}

// mayWaitForOwner tells whether a request may wait until its key has an owner again: for a part of its latency target, so that a refusal
// never comes late.
func (m *RequestMachine) mayWaitForOwner(now time.Duration) bool {
	return now-m.Begun < targetOf(m.Route)/constants.OwnerWaitParts && len(m.tried) == 0
}

// expire ends a request whose time is over.
func (m *RequestMachine) expire(now time.Duration) Order {
	if !m.mayRun && m.sent == 0 {
		return m.refuse(now, RefusalBusy)
	}
	return Order{Kind: OrderFail, Status: http.StatusGatewayTimeout, Reason: "the deadline is over: " + m.reason}
}

// end ends a request that gets no further attempt.
func (m *RequestMachine) end(now time.Duration, refusal Refusal) Order {
	if m.mayRun {
		return Order{Kind: OrderFail, Status: http.StatusBadGateway, Reason: m.reason}
	}
	return m.refuse(now, refusal)
}

// refuse ends a request that no back end can have run.
func (m *RequestMachine) refuse(now time.Duration, refusal Refusal) Order {
	mean := constants.RefuseAfter
	if refusal == RefusalMoving || refusal == RefusalCold || refusal == RefusalNotReady {
		mean = constants.RefuseAfterMove
	}
	retryAfter := ComeBack(mean, m.Until-now, m.Draw)
	return Order{Kind: OrderRefuse, Refusal: refusal, RetryAfter: retryAfter, Reason: m.reason}
}

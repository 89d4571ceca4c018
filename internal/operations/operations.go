// Package operations answers the requests of operators: reads of the configuration and of the system's status, and
// changes of the configuration and of zones.
//
// The leader decides a request, proposes the record that it needs, and answers once that record is applied. An answer that rests on the
// leader's state alone is given only after a majority has confirmed that it still leads. Other nodes forward a request to the leader.
//
// A Manager owns the pending requests of one node, and nothing else: the log, the state, the nodes' reports and the
// sending of frames belong to others and are reached through the interfaces that it declares. It does no I/O, reads no
// clock, and is called from one goroutine only, the control plane's.
package operations

import (
	"log/slog"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/proposals"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Ticket numbers a request of a local caller; its response bears the same number.
type Ticket uint64

// Log is this node's part in the agreement on the log.
type Log interface {
	// IsLeading tells whether this node leads and has committed a record of its own term.
	IsLeading() bool
	// ConfirmLeadership asks a majority to confirm that this node still leads. Manager.ReadConfirmed or Manager.ReadLost is called with the
	// number later. It fails where this node doesn't lead.
	ConfirmLeadership(now time.Duration, number uint64) error
}

// Proposer proposes records; proposals.Proposer implements it.
type Proposer interface {
	// IsInFlight tells whether a row was proposed and the proposal is not applied yet.
	IsInFlight(key string) bool
	// Submit proposes a record whatever is in flight.
	Submit(now time.Duration, record *schema.Record) (proposals.Position, error)
}

// State is the replicated state as applied so far.
type State interface {
	Table() *store.Table
	View() *store.View
	// Changes are the newest changes of failover assignments, oldest first.
	Changes() []*schema.FailoverChange
}

// Fleet is what this node has heard of the others.
type Fleet interface {
	// Leader gives the leader's address, and whether that is another node that was heard of lately.
	Leader() (address string, isReachable bool)
	// Unconfirmed are the zones, sorted, with nodes that have not reported an index of the log yet.
	Unconfirmed(index raft.Index) []string
	// Reports are what the leader heard last from each node.
	Reports() []*schema.NodeReport
	// ToleratedLosses is how many more voters may be lost before there is no majority, and the voters that don't respond.
	ToleratedLosses() (count uint32, unresponsive []string)
}

// Sender takes what a Manager has to say.
type Sender interface {
	// Send sends a frame to a node's address.
	Send(to string, frame *schema.Frame)
	// Respond answers a local caller.
	Respond(ticket Ticket, response *schema.OperatorResponse)
}

// Options make a Manager.
type Options struct {
	Log      Log
	Proposer Proposer
	State    State
	Fleet    Fleet
	Sender   Sender
	Logger   *slog.Logger
	// Routes is set in a fleet of routes, and nil in a fleet of entries.
	Routes *RouteOptions
}

// RouteOptions are what a fleet of routes sets.
type RouteOptions struct {
	// Fits tells whether a record can be logged; nil is always.
	Fits func(*schema.Record) bool
	// FitsSnapshot tells whether a snapshot of the whole state fits the disk; nil is always.
	FitsSnapshot func(*schema.Snapshot) bool
}

// Manager holds the pending requests of one node.
type Manager struct {
	log      Log
	proposer Proposer
	state    State
	fleet    Fleet
	sender   Sender
	logger   *slog.Logger
	policy   policy
	deciders map[schema.OperatorKind]decider
	// now is the time of the call in progress.
	now time.Duration

	// forwarded wait for the leader's response.
	forwarded []*pendingRequest
	// proposed wait for their record to be applied.
	proposed []*pendingRequest
	// awaitingNodes are applied and wait for all nodes to report it.
	awaitingNodes []*pendingRequest
	// undecided had a void record and are decided anew once the records applied with it are in the state.
	undecided []*pendingRequest
	// deferred wait until another configuration is applied.
	deferred []*pendingRequest
	// reads wait for a majority's confirmation, by the number that it was asked under.
	reads      map[uint64]*pendingRequest
	lastRead   uint64
	staleCount uint64
}

// New gives a manager without requests.
func New(options Options) *Manager {
	m := &Manager{
		log:      options.Log,
		proposer: options.Proposer,
		state:    options.State,
		fleet:    options.Fleet,
		sender:   options.Sender,
		logger:   options.Logger,
		policy:   entriesPolicy,
		reads:    map[uint64]*pendingRequest{},
	}
	if options.Routes != nil {
		m.policy = routesPolicy
	}
	m.deciders = m.makeDeciders(options.Routes)
	return m
}

// Operate takes a local caller's request; the response goes to Sender.Respond. A nil caller waits for ever.
func (m *Manager) Operate(now time.Duration, ticket Ticket, request *schema.OperatorRequest, caller Caller) {
	m.now = now
	p := newRequest(now, origin{ticket: ticket, caller: caller}, request)
	m.noteZoneBase(p)
	if p.origin.isGone() {
		m.refuse(p, callerGone())
		return
	}
	m.handle(p)
}

// ReceiveRequest takes a request that the node at an address has forwarded under a call number of its own.
func (m *Manager) ReceiveRequest(now time.Duration, address string, call uint64, request *schema.OperatorRequest) {
	m.now = now
	m.handle(newRequest(now, origin{address: address, call: call}, request))
}

// Tick goes on with what has waited long enough: it confirms, resumes, forwards again and expires.
func (m *Manager) Tick(now time.Duration) {
	m.now = now
	m.respondToConfirmed()
	m.resumeDeferred()
	m.forwardAgain()
	m.expireWaiting()
	m.expireReads()
}

// Resume goes on with what waited for the state to change; it is called after each publication of applied records.
func (m *Manager) Resume(now time.Duration) {
	m.now = now
	m.decideAgain()
	m.resumeDeferred()
}

// StaleResponses counts the responses of other nodes that no request waited for.
func (m *Manager) StaleResponses() uint64 { return m.staleCount }

// handle decides a request where this node leads, and forwards it otherwise.
func (m *Manager) handle(p *pendingRequest) {
	if !m.log.IsLeading() {
		m.handleElsewhere(p)
		return
	}
	if isRead(p.request.Kind) {
		m.confirmLeadership(p)
		return
	}
	decider, isKnown := m.deciders[p.request.Kind]
	if !isKnown {
		m.refuse(p, unknown(0, "this kind of request is not known", "update this node, or ask for another kind"))
		return
	}
	m.carryOut(p, decider.decide(p.request))
}

// respond gives a response to whoever made the request.
func (m *Manager) respond(p *pendingRequest, response *schema.OperatorResponse) {
	if p.origin.isRemote() {
		body := &schema.Frame_OperatorResponse{OperatorResponse: response}
		m.sender.Send(p.origin.address, &schema.Frame{Call: p.origin.call, Body: body})
		return
	}
	if isStaleZone(p.request, response) {
		m.decideZoneAnew(p, response.Index)
		return
	}
	m.logUnanswered(p, response)
	m.sender.Respond(p.origin.ticket, response)
}

// logUnanswered logs that a local caller learns nothing of its request's fate: who was asked, and for how long.
func (m *Manager) logUnanswered(p *pendingRequest, response *schema.OperatorResponse) {
	switch response.Refusal {
	case schema.RefusalKind_REFUSAL_NO_LEADER, schema.RefusalKind_REFUSAL_AMBIGUOUS:
		m.logger.Info("an operator's request has no answer", "kind", p.request.Kind.String(), "reason", response.Message,
			"heldMilliseconds", (m.now - p.bornAt).Milliseconds(), "recipients", p.recipients)
	}
}

func (m *Manager) refuse(p *pendingRequest, refusal *Refusal) {
	m.respond(p, refusal.response())
}

// expireWaiting gives up on requests whose record or response has not come in time; what became of them is not known.
func (m *Manager) expireWaiting() {
	m.proposed = m.expire(m.proposed)
	m.forwarded = m.expire(m.forwarded)
}

func (m *Manager) expire(waiting []*pendingRequest) []*pendingRequest {
	var kept []*pendingRequest
	for _, p := range waiting {
		if !p.isExpired(m.now) {
			kept = append(kept, p)
			continue
		}
		m.refuse(p, ambiguous(0, "no majority answered in time", "the request may still be accepted, ask with its key or read back"))
	}
	return kept
}

// policy is how requests are handled in one kind of fleet.
type policy struct {
	// retriesForwarding keeps a request that finds no leader, and forwards it again until constants.OperatorPatience has passed.
	retriesForwarding bool
	// awaitsNodes answers a change only once all nodes have reported it, or constants.ConfirmWait has passed.
	awaitsNodes bool
}

var (
	entriesPolicy = policy{awaitsNodes: true}
	routesPolicy  = policy{retriesForwarding: true}
)

// forwardingEnds is when a request that finds no leader is given up.
func forwardingEnds(p *pendingRequest) time.Duration { return p.bornAt + constants.OperatorPatience }

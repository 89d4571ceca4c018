package operations

import (
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// headKey is the row that names the newest configuration; each change of the configuration writes it.
const headKey = store.CatalogHeadKey

func newestHead(state State) *schema.CatalogHead {
	return store.DecodeRow[schema.CatalogHead](state.Table().Get(headKey))
}

// decider decides one kind of change on the leader's present state. Fleets of entries and fleets of routes have a decider each for their
// configurations; zones have one that both use.
type decider interface {
	decide(request *schema.OperatorRequest) decision
}

// decision is what a decider wants done with a request: one of the types below.
type decision interface{ isDecision() }

// propose has a record committed; the request is answered once it is applied.
type propose struct {
	record *schema.Record
	// version is that of the configuration in the record; 0 is none.
	version uint64
}

// answer gives a response that rests on the leader's state and not on a record of its own: a refusal, or the word that
// the request changes nothing or was accepted before. It needs a majority's confirmation.
type answer struct{ response *schema.OperatorResponse }

// refuseAtOnce refuses for a reason that rests on no state that could be old.
type refuseAtOnce struct{ refusal *Refusal }

// deferRequest decides the request anew once the configuration in flight is applied.
type deferRequest struct{}

func (propose) isDecision()      {}
func (answer) isDecision()       {}
func (refuseAtOnce) isDecision() {}
func (deferRequest) isDecision() {}

func refuseOnState(refusal *Refusal) answer { return answer{refusal.response()} }

func (m *Manager) makeDeciders(routes *RouteOptions) map[schema.OperatorKind]decider {
	zones := &zoneDecider{state: m.state, proposer: m.proposer, fleet: m.fleet, settles: routes != nil}
	deciders := map[schema.OperatorKind]decider{
		schema.OperatorKind_OPERATOR_PUT:     &entriesDecider{state: m.state, proposer: m.proposer},
		schema.OperatorKind_OPERATOR_EMPTY:   zones,
		schema.OperatorKind_OPERATOR_RESTORE: zones,
	}
	if routes != nil {
		deciders[schema.OperatorKind_OPERATOR_PUT_ROUTES] = &routesDecider{state: m.state, proposer: m.proposer, options: *routes}
	} else {
		deciders[schema.OperatorKind_OPERATOR_PUT_ROUTES] = noRoutesDecider{}
	}
	return deciders
}

// carryOut does what a decider wants done with a request.
func (m *Manager) carryOut(p *pendingRequest, wanted decision) {
	switch wanted := wanted.(type) {
	case propose:
		m.submit(p, wanted)
	case answer:
		m.answer(p, wanted.response)
	case refuseAtOnce:
		m.refuse(p, wanted.refusal)
	case deferRequest:
		m.deferred = append(m.deferred, p)
	}
}

// answer gives a response that rests on this node's state. A node that leads no more, and doesn't know it yet, would
// give it by an old state: so a majority must have confirmed, after the request came, that this one leads. The request
// is then decided anew on the state of that moment.
func (m *Manager) answer(p *pendingRequest, response *schema.OperatorResponse) {
	if p.isLeaderConfirmed {
		m.respond(p, response)
		return
	}
	m.confirmLeadership(p)
}

// resumeDeferred decides the deferred requests once no configuration is in flight, or this node leads no more.
func (m *Manager) resumeDeferred() {
	if len(m.deferred) == 0 || m.proposer.IsInFlight(headKey) && m.log.IsLeading() {
		return
	}
	deferred := m.deferred
	m.deferred = nil
	for _, p := range deferred {
		if p.isExpired(m.now) {
			m.refuse(p, noLeader("another configuration was not committed in time", "ask again"))
			continue
		}
		m.handle(p)
	}
}

package operations

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/proposals"
	"topazshed/internal/schema"
)

// submit proposes a request's record; Applied goes on with the request.
func (m *Manager) submit(p *pendingRequest, wanted propose) {
	position, err := m.proposer.Submit(m.now, wanted.record)
	if err != nil {
		m.refuse(p, noLeader("", "").causedBy(err))
		return
	}
	p.position, p.version = position, wanted.version
	m.proposed = append(m.proposed, p)
	m.logZone(p)
}

// logZone logs that a change of a zone is proposed, who made the request and how long ago it came to this node.
func (m *Manager) logZone(p *pendingRequest) {
	if p.request.Zone == "" {
		return
	}
	m.logger.Info("a change of a zone is proposed", "zone", p.request.Zone, "kind", p.request.Kind.String(), "from", p.origin.address,
		"index", p.position.Index, "heldMilliseconds", (m.now - p.bornAt).Milliseconds())
}

// Applied takes the word that a record is applied, or void because its guards failed. It tells whether a request was accepted by it.
func (m *Manager) Applied(now time.Duration, position proposals.Position, isVoid bool) (isAccepted bool) {
	m.now = now
	var waiting []*pendingRequest
	for _, p := range m.proposed {
		switch {
		case p.position.Index != position.Index:
			waiting = append(waiting, p)
		case p.position.Term != position.Term:
			m.refuse(p, noLeader("the leader changed before the request was accepted", "it was not carried out, ask again"))
		case isVoid:
			m.undecided = append(m.undecided, p)
		default:
			isAccepted = true
			m.accepted(p)
		}
	}
	m.proposed = waiting
	return isAccepted
}

func (m *Manager) accepted(p *pendingRequest) {
	if !m.policy.awaitsNodes {
		m.respond(p, &schema.OperatorResponse{Version: p.version, Index: uint64(p.position.Index)})
		return
	}
	p.until = m.now + constants.ConfirmWait
	m.awaitingNodes = append(m.awaitingNodes, p)
}

// decideAgain decides the requests anew whose records were void because another one came before them in the log: that
// may have been the same request, proposed by a former leader or twice by this one, which is no conflict.
func (m *Manager) decideAgain() {
	undecided := m.undecided
	m.undecided = nil
	for _, p := range undecided {
		p.position, p.isLeaderConfirmed = proposals.Position{}, false
		m.handle(p)
	}
}

// respondToConfirmed answers the accepted requests that all nodes have reported, and those whose time is over with the
// zones that have not.
func (m *Manager) respondToConfirmed() {
	var waiting []*pendingRequest
	for _, p := range m.awaitingNodes {
		zones := m.fleet.Unconfirmed(p.position.Index)
		if len(zones) > 0 && m.now < p.until && m.log.IsLeading() {
			waiting = append(waiting, p)
			continue
		}
		m.respond(p, &schema.OperatorResponse{Version: p.version, Index: uint64(p.position.Index), Unconfirmed: zones})
	}
	m.awaitingNodes = waiting
}

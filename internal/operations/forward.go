package operations

import (
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// handleElsewhere has the leader decide a request, or refuses it to the node that forwarded it: a request is forwarded only once.
func (m *Manager) handleElsewhere(p *pendingRequest) {
	if p.origin.isRemote() {
		m.refuse(p, noLeader("the node asked does not lead", "ask again shortly"))
		return
	}
	if _, isReachable := m.fleet.Leader(); !isReachable && !m.policy.retriesForwarding {
		m.refuse(p, noLeaderKnown())
		return
	}
	p.isLeaderConfirmed = false
	m.forwarded = append(m.forwarded, p)
	m.forward(p)
}

func noLeaderKnown() *Refusal {
	return noLeader("no leader is known", "ask again shortly, and run doctor if it lasts")
}

// forward sends a request to the leader, if one is known.
func (m *Manager) forward(p *pendingRequest) {
	p.forwardedAt = m.now
	leader, isReachable := m.fleet.Leader()
	p.wasLeaderReachable = isReachable
	if !isReachable {
		return
	}
	p.addRecipient(leader)
	body := &schema.Frame_OperatorRequest{OperatorRequest: p.request}
	m.sender.Send(leader, &schema.Frame{Call: uint64(p.origin.ticket), Body: body})
}

// ReceiveResponse takes the response of the node at an address to a request that was forwarded under a ticket. Only a
// node that the request was forwarded to answers whoever waits for it.
func (m *Manager) ReceiveResponse(now time.Duration, address string, ticket Ticket, response *schema.OperatorResponse) {
	m.now = now
	at := slices.IndexFunc(m.forwarded, func(p *pendingRequest) bool {
		return p.origin.ticket == ticket && slices.Contains(p.recipients, address)
	})
	if at < 0 {
		m.staleCount++
		return
	}
	p := m.forwarded[at]
	if m.mayForwardAgain(p, response) {
		p.wasLeaderReachable = false
		p.forwardedAt = m.now - constants.ForwardWait + constants.ForwardPause
		return
	}
	m.forwarded = slices.Delete(m.forwarded, at, at+1)
	m.respond(p, response)
}

// mayForwardAgain tells that a response says only that another node must be asked, and that there is time to do so.
func (m *Manager) mayForwardAgain(p *pendingRequest, response *schema.OperatorResponse) bool {
	isNoLeader := response.Refusal == schema.RefusalKind_REFUSAL_NO_LEADER
	return m.policy.retriesForwarding && isNoLeader && m.now < forwardingEnds(p)
}

// forwardAgain repeats what found no leader or no response; the leader takes a request that comes twice as one.
func (m *Manager) forwardAgain() {
	if !m.policy.retriesForwarding {
		return
	}
	for _, p := range slices.Clone(m.forwarded) {
		if m.now-p.forwardedAt < constants.ForwardWait {
			continue
		}
		switch {
		case p.origin.isGone():
			m.removeForwarded(p)
			m.refuse(p, callerGone())
		case m.log.IsLeading():
			m.removeForwarded(p)
			m.handle(p)
		case m.now < forwardingEnds(p):
			m.forward(p)
		case !p.wasLeaderReachable:
			m.removeForwarded(p)
			m.refuse(p, noLeaderKnown())
		}
	}
}

func (m *Manager) removeForwarded(p *pendingRequest) {
	m.forwarded = slices.DeleteFunc(m.forwarded, func(other *pendingRequest) bool { return other == p })
}

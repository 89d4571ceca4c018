package operations

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// isRead tells whether requests of that kind only read the leader's state.
func isRead(kind schema.OperatorKind) bool {
	switch kind {
	case schema.OperatorKind_OPERATOR_SHOW, schema.OperatorKind_OPERATOR_STATUS, schema.OperatorKind_OPERATOR_ASK:
		return true
	}
	return false
}

// confirmLeadership has a majority confirm that this node still leads; ReadConfirmed or ReadLost goes on with the request.
func (m *Manager) confirmLeadership(p *pendingRequest) {
	m.lastRead++
	m.reads[m.lastRead] = p
	if err := m.log.ConfirmLeadership(m.now, m.lastRead); err != nil {
		delete(m.reads, m.lastRead)
		m.refuse(p, noLeader("", "").causedBy(err))
	}
}

// ReadConfirmed takes the word that a majority has confirmed that this node led after a request came.
func (m *Manager) ReadConfirmed(now time.Duration, number uint64) {
	m.now = now
	p := m.takeRead(number)
	if p == nil {
		return
	}
	if !isRead(p.request.Kind) {
		p.isLeaderConfirmed = true
		m.handle(p)
		return
	}
	m.respond(p, m.read(p.request))
}

// ReadLost takes the word that this node leads no more, before a majority has confirmed that it did.
func (m *Manager) ReadLost(now time.Duration, number uint64) {
	m.now = now
	p := m.takeRead(number)
	if p == nil {
		return
	}
	if m.policy.retriesForwarding {
		m.handle(p)
		return
	}
	m.refuse(p, noLeader("the leader changed while it answered", "ask again"))
}

// takeRead gives the request that waits under a number, which it does no more; nil if there is none.
func (m *Manager) takeRead(number uint64) *pendingRequest {
	p := m.reads[number]
	delete(m.reads, number)
	return p
}

// expireReads gives up on requests that no majority has confirmed in time.
func (m *Manager) expireReads() {
	for _, number := range slices.Sorted(maps.Keys(m.reads)) {
		if p := m.reads[number]; p.isExpired(m.now) {
			delete(m.reads, number)
			m.refuse(p, noLeader("no majority answered in time", "ask again"))
		}
	}
}

// read gives the response to a request that only reads.
func (m *Manager) read(request *schema.OperatorRequest) *schema.OperatorResponse {
	switch request.Kind {
	case schema.OperatorKind_OPERATOR_STATUS:
		return m.status()
	case schema.OperatorKind_OPERATOR_ASK:
		if head := newestHead(m.state); head.GetOperatorKey() != request.Key {
			return unknown(head.GetVersion(), "the newest configuration was not put with that key", "read it back and compare").response()
		}
	}
	document := m.document()
	return &schema.OperatorResponse{
		Version:  document.GetVersion(),
		Document: document.GetDocument(),
		Index:    uint64(m.state.Table().Version()),
	}
}

func (m *Manager) document() *schema.CatalogDocument {
	return store.DecodeRow[schema.CatalogDocument](m.state.Table().Get(store.CatalogDocumentKey))
}

func (m *Manager) status() *schema.OperatorResponse {
	newest := m.newestChange()
	losses, unresponsive := m.fleet.ToleratedLosses()
	return &schema.OperatorResponse{
		Version:            m.document().GetVersion(),
		Index:              uint64(newest),
		Unconfirmed:        m.fleet.Unconfirmed(newest),
		Reports:            m.fleet.Reports(),
		Changes:            m.state.Changes(),
		ToleratedLosses:    losses,
		UnresponsiveVoters: unresponsive,
	}
}

// newestChange is the index of the newest change that an operator has made: of the configuration or of a zone.
func (m *Manager) newestChange() raft.Index {
	table := m.state.Table()
	newest := raft.Index(table.Get(headKey).GetIndex())
	for name := range m.state.View().Zones {
		newest = max(newest, raft.Index(table.Get(store.ZoneKey(name)).GetIndex()))
	}
	return newest
}

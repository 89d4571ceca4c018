package proxy

import (
	"fmt"
	"slices"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
)

// attempt begins an attempt at the back end that was decided on.
func (m *RequestMachine) attempt() Order {
	backend := m.decision.Backend
	if m.attempts > 0 && (m.attempts >= constants.MaxAttempts || !m.Loads.MayRepeat(m.now, backend.Service, m.part())) {
		return m.giveUp(newRefusalLater(kindNoRepeat, "the repeat budget of %s is spent; send again later", backend.Service))
	}
	m.Loads.Begin(backend.Instance)
	m.Loads.BeginKey(backend.Service, m.Request.Key)
	m.phase = phaseConnect
	identity := Identity{Service: backend.Service, Instance: backend.Instance}
	return Order{Kind: OrderConnect, For: constants.ConnectWait, Address: backend.Address, Identity: identity}
}

func (m *RequestMachine) endAttempt() {
	backend := m.decision.Backend
	m.Loads.End(backend.Instance)
	m.Loads.EndKey(backend.Service, m.Request.Key)
}

// connected sends the request, unless connecting took so long that another decision has come due.
func (m *RequestMachine) connected(e Event) Order {
	if e.Err != nil {
		return m.unreached(e.Err)
	}
	again, mayAttempt := Check(m.situation())
	if !mayAttempt || !isStillValid(m.local, &again, &m.decision) {
		m.endAttempt()
		return m.decide(true)
	}
	m.endKeyed = func(bool) {}
	if m.decision.Entry.Keyed {
		m.endKeyed = m.Loads.BeginKeyed(m.decision.Version)
	}
	m.countAttempt()
	m.phase = phaseAttempt
	return m.sendAttempt()
}

// unreached ends an attempt before anything was sent.
func (m *RequestMachine) unreached(err error) Order {
	instance := m.decision.Backend.Instance
	m.endAttempt()
	m.Loads.Report(instance, err)
	m.exclude(err)
	return m.decide(false)
}

// exclude gives the present back end no further attempt.
func (m *RequestMachine) exclude(err error) {
	m.tried[m.decision.Backend.Instance] = true
	m.reason = err.Error()
}

// countAttempt counts for the repeat budget; the first attempt of a forwarded request was counted by the proxy that forwarded it.
func (m *RequestMachine) countAttempt() {
	switch {
	case m.attempts > 0:
		m.Repeats++
	case len(m.Request.Forwarded) == 0:
		m.Loads.First(m.now, m.decision.Backend.Service)
	}
	m.attempts++
}

func (m *RequestMachine) sendAttempt() Order {
	d := &m.decision
	left := m.until - m.now
	if d.IsSafe {
		left = min(left, constants.MaxSafeAttempt)
	}
	header := m.Request.attemptHeader(left)
	header.Set(HeaderService, d.Backend.Service)
	header.Set(HeaderInstance, d.Backend.Instance)
	header.Set(HeaderNumber, d.Owner.Trail.String())
	if d.Entry.Keyed {
		header.Set(HeaderSlot, fmt.Sprintf("%d;%d", d.Slot, d.SlotNumber))
	}
	return Order{Kind: OrderSend, For: left, Path: m.Request.Path, Header: header, Limit: d.Entry.ResponseLimit}
}

// answered ends an attempt that was sent.
func (m *RequestMachine) answered(e Event) Order {
	d := &m.decision
	err := e.Err
	if err == nil {
		err = verify(e.Result, m.Request, d.Backend)
	}
	m.endAttempt()
	m.mayHaveRun = m.mayHaveRun || e.MayHaveRun
	m.endKeyed(err != nil)
	if err == nil {
		return m.sealed(e.Result)
	}
	m.exclude(err)
	if m.now >= m.until || e.IsGone || !d.IsSafe && m.mayHaveRun {
		return m.giveUp(newRefusalLater(kindFailed, "%v", err))
	}
	return m.decide(false)
}

// sealed replies with a back end's response, and keeps it for repeats of an unsafe request.
func (m *RequestMachine) sealed(received *Result) Order {
	m.Loads.Report(m.decision.Backend.Instance, nil)
	result := &Result{Status: received.Status, Header: responseHeader(received.Header), Body: received.Body}
	if !m.decision.IsSafe {
		m.Responses.Put(m.now, m.Request, result)
	}
	return Order{Kind: OrderReply, Result: result, KeepsConn: true}
}

// isStillValid tells whether what was decided still holds by the present view, of which a second check is given.
func isStillValid(local *controlplane.Local, again, d *Decision) bool {
	if !slices.Equal(again.Owner.Trail, d.Owner.Trail) || again.Owner.Fenced && !d.IsSafe || again.Entry == nil {
		return false
	}
	service := local.View.Services[d.Backend.Service]
	if service == nil {
		return false
	}
	isSame := func(b *schema.Backend) bool {
		return b.Instance == d.Backend.Instance && b.Address == d.Backend.Address && isUsable(local.View, b, d.Owner.Region)
	}
	if !slices.ContainsFunc(service.Backends, isSame) {
		return false
	}
	if !d.Entry.Keyed {
		return true
	}
	slot := service.Slots[d.Slot]
	return slot != nil && slot.Next == "" && slot.Number == d.SlotNumber
}

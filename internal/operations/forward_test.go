package operations

import (
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// forwardingHost is a node that doesn't lead.
func forwardingHost(t *testing.T, routes *RouteOptions, leader string) *host {
	t.Helper()
	h := newHost(t, routes)
	h.isLeading, h.leader = false, leader
	return h
}

func TestEntriesAreForwardedOnceOrRefused(t *testing.T) {
	h := forwardingHost(t, nil, "")
	h.manager.Operate(h.now, 1, show(), nil)
	h.check(1, isNoLeader)

	h.leader = "leader"
	h.manager.Operate(h.now, 2, show(), nil)
	h.pass(2 * constants.ForwardWait)
	if got := len(h.sends["leader"]); got != 1 {
		t.Errorf("forwarded %d times, want once", got)
	}
	h.manager.ReceiveResponse(h.now, "leader", 2, &schema.OperatorResponse{Version: 7})
	h.check(2, accepted)
}

func TestRoutesAreForwardedAgain(t *testing.T) {
	h := forwardingHost(t, &RouteOptions{}, "leader")
	h.manager.Operate(h.now, ticket, show(), nil)
	h.pass(constants.ForwardWait - time.Millisecond)
	if got := len(h.sends["leader"]); got != 1 {
		t.Errorf("forwarded %d times, want once", got)
	}
	h.pass(time.Millisecond)
	if got := len(h.sends["leader"]); got != 2 {
		t.Errorf("forwarded %d times, want twice", got)
	}
}

func TestANodeThatLeadsNoMoreIsNotBelieved(t *testing.T) {
	noLeader := &schema.OperatorResponse{Refusal: isNoLeader}
	for _, c := range []struct {
		name   string
		after  time.Duration
		isKept bool
	}{
		{"while there is time", constants.OperatorPatience - time.Millisecond, true},
		{"at the end of the time", constants.OperatorPatience, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := forwardingHost(t, &RouteOptions{}, "leader")
			h.manager.Operate(h.now, ticket, show(), nil)
			h.manager.ReceiveResponse(h.now+c.after, "leader", ticket, noLeader)
			if isKept := h.responses[ticket] == nil; isKept != c.isKept {
				t.Errorf("kept %v, want %v", isKept, c.isKept)
			}
		})
	}
}

func TestARequestIsDecidedHereOnceThisNodeLeads(t *testing.T) {
	h := forwardingHost(t, &RouteOptions{}, "")
	h.manager.Operate(h.now, ticket, show(), nil)
	h.isLeading = true
	h.pass(constants.ForwardWait)
	h.confirm()
	h.check(ticket, accepted)
}

func TestARequestThatFindsNoLeaderIsRefusedInTime(t *testing.T) {
	h := forwardingHost(t, &RouteOptions{}, "")
	h.manager.Operate(h.now, ticket, show(), nil)
	h.pass(constants.ForwardWait)
	h.pass(constants.ForwardWait)
	h.checkPending(ticket)
	h.pass(constants.ForwardWait)
	h.check(ticket, isNoLeader)
}

func TestALostLeadershipForwardsAReadOfRoutes(t *testing.T) {
	for _, c := range []struct {
		name    string
		routes  *RouteOptions
		isAgain bool
	}{
		{"routes", &RouteOptions{}, true},
		{"entries", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t, c.routes)
			h.leader = "next"
			h.manager.Operate(h.now, ticket, show(), nil)
			h.lose()
			if isAgain := len(h.sends["next"]) == 1; isAgain != c.isAgain {
				t.Errorf("forwarded %v, want %v", isAgain, c.isAgain)
			}
			if !c.isAgain {
				h.check(ticket, isNoLeader)
			}
		})
	}
}

func TestOnlyTheNodesAskedAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		from    string
		ticket  Ticket
		isStale bool
	}{
		{"the node asked", "leader", ticket, false},
		{"another node", "other", ticket, true},
		{"another request", "leader", ticket + 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := forwardingHost(t, &RouteOptions{}, "leader")
			h.manager.Operate(h.now, ticket, show(), nil)
			h.manager.ReceiveResponse(h.now, c.from, c.ticket, &schema.OperatorResponse{})
			if isStale := h.manager.StaleResponses() == 1; isStale != c.isStale {
				t.Errorf("stale %v, want %v", isStale, c.isStale)
			}
			if isAnswered := h.responses[ticket] != nil; isAnswered == c.isStale {
				t.Errorf("answered %v", isAnswered)
			}
		})
	}
}

package operations

import (
	"crypto/sha256"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/proposals"
	"topazshed/internal/routes"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestAReadIsAnsweredOnceAMajorityHasConfirmed(t *testing.T) {
	for _, kind := range []schema.OperatorKind{schema.OperatorKind_OPERATOR_SHOW, schema.OperatorKind_OPERATOR_STATUS, schema.OperatorKind_OPERATOR_ASK} {
		t.Run(kind.String(), func(t *testing.T) {
			h := newHost(t, nil)
			h.manager.Operate(h.now, ticket, &schema.OperatorRequest{Kind: kind}, nil)
			h.checkPending(ticket)
			h.confirm()
			h.check(ticket, accepted)
		})
	}
}

func TestAskNamesTheNewestConfigurationsKey(t *testing.T) {
	for key, want := range map[string]schema.RefusalKind{"k-1": accepted, "k-2": isUnknown} {
		t.Run(key, func(t *testing.T) {
			h := newHost(t, nil)
			h.put(store.EncodeRow(store.CatalogHeadKey, &schema.CatalogHead{Version: 4, OperatorKey: "k-1"}))
			h.manager.Operate(h.now, ticket, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_ASK, Key: key}, nil)
			h.confirm()
			h.check(ticket, want)
		})
	}
}

func TestAReadWithoutAMajorityIsRefusedInTime(t *testing.T) {
	h := newHost(t, nil)
	h.manager.Operate(h.now, ticket, show(), nil)
	h.pass(constants.ProposalWait)
	h.checkPending(ticket)
	h.pass(time.Millisecond)
	h.check(ticket, isNoLeader)
	h.confirm()
}

func TestAChangeIsAnsweredOnceItIsApplied(t *testing.T) {
	h := newHost(t, &RouteOptions{})
	h.put(zoneRow("z"))
	h.manager.Operate(h.now, ticket, emptyZone("z"), nil)
	h.checkPending(ticket)
	h.commit(h.term)
	h.check(ticket, accepted)
	if !h.view.Zones["z"].Emptied {
		t.Error("the zone is not emptied")
	}
}

func TestAChangeOfEntriesWaitsForTheNodes(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*host)
		behind int
	}{
		{"all have reported", func(h *host) { h.zonesBehind = nil }, 0},
		{"the time is over", func(h *host) { h.now += constants.ConfirmWait }, 1},
		{"the leader changed", func(h *host) { h.isLeading = false }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t, nil)
			h.put(zoneRow("z"))
			h.zonesBehind = []string{"z"}
			h.manager.Operate(h.now, ticket, emptyZone("z"), nil)
			h.commit(h.term)
			h.pass(time.Millisecond)
			h.checkPending(ticket)
			c.change(h)
			h.pass(time.Millisecond)
			h.check(ticket, accepted)
			if got := len(h.responses[ticket].Unconfirmed); got != c.behind {
				t.Errorf("%d zones are unconfirmed, want %d", got, c.behind)
			}
		})
	}
}

func TestAChangeWithoutAMajorityIsAmbiguous(t *testing.T) {
	h := newHost(t, &RouteOptions{})
	h.put(zoneRow("z"))
	h.manager.Operate(h.now, ticket, emptyZone("z"), nil)
	h.pass(constants.ProposalWait)
	h.checkPending(ticket)
	h.pass(time.Millisecond)
	h.check(ticket, isAmbiguous)
	h.commit(h.term)
}

func TestAnotherLeadersRecordAtTheIndexRefusesTheChange(t *testing.T) {
	h := newHost(t, &RouteOptions{})
	h.put(zoneRow("z"))
	h.manager.Operate(h.now, ticket, emptyZone("z"), nil)
	h.commit(h.term + 1)
	h.check(ticket, isNoLeader)
}

func TestAppliedTellsWhetherARequestWasAccepted(t *testing.T) {
	for _, c := range []struct {
		name     string
		position proposals.Position
		isVoid   bool
		want     bool
	}{
		{"its record", proposals.Position{Index: 2, Term: 3}, false, true},
		{"its record, void", proposals.Position{Index: 2, Term: 3}, true, false},
		{"a record of another term", proposals.Position{Index: 2, Term: 4}, false, false},
		{"another record", proposals.Position{Index: 1, Term: 3}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t, &RouteOptions{})
			h.put(zoneRow("z"))
			h.manager.Operate(h.now, ticket, emptyZone("z"), nil)
			if got := h.manager.Applied(h.now, c.position, c.isVoid); got != c.want {
				t.Errorf("accepted %v, want %v", got, c.want)
			}
		})
	}
}

func TestARequestWhoseRecordIsVoidIsDecidedAnew(t *testing.T) {
	for _, c := range []struct {
		name   string
		former *schema.OperatorRequest
		want   schema.RefusalKind
	}{
		{"the same request came first", putRoutes(1, 0, "{}"), accepted},
		{"another one came first", putRoutes(1, 0, "{ }"), isConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t, &RouteOptions{})
			// A former leader's proposal stands in the log and is not applied yet.
			config := c.former.Routes
			digest := sha256.Sum256(config.Document)
			h.last++
			h.records[h.last] = routes.Plan(h.table, config, digest[:])
			h.manager.Operate(h.now, ticket, putRoutes(1, 0, "{}"), nil)
			h.commit(h.term)
			h.checkPending(ticket)
			h.confirm()
			h.check(ticket, c.want)
		})
	}
}

func TestAnAnswerByStateAloneNeedsAMajority(t *testing.T) {
	h := newHost(t, &RouteOptions{})
	h.manager.Operate(h.now, ticket, putRoutes(2, 1, "{}"), nil)
	h.checkPending(ticket)
	h.confirm()
	h.check(ticket, isConflict)
}

func TestADeferredConfigurationIsDecidedOnceTheOtherIsApplied(t *testing.T) {
	h := newHost(t, &RouteOptions{})
	h.manager.Operate(h.now, 1, putRoutes(1, 0, "{}"), nil)
	h.manager.Operate(h.now, 2, putRoutes(2, 1, "{ }"), nil)
	h.pass(time.Millisecond)
	h.checkPending(2)
	h.commit(h.term)
	h.check(1, accepted)
	h.commit(h.term)
	h.check(2, accepted)
}

func TestAForwardedRequestIsAnsweredByAFrame(t *testing.T) {
	h := newHost(t, &RouteOptions{})
	h.manager.ReceiveRequest(h.now, remoteAddress, remoteCall, show())
	h.confirm()
	frames := h.sends[remoteAddress]
	if len(frames) != 1 || frames[0].Call != remoteCall || frames[0].GetOperatorResponse() == nil {
		t.Errorf("%v", frames)
	}
	if len(h.responses) != 0 {
		t.Error("a local caller is answered")
	}
}

func TestAForwardedRequestIsNotForwardedAgain(t *testing.T) {
	h := newHost(t, &RouteOptions{})
	h.isLeading, h.leader = false, "leader"
	h.manager.ReceiveRequest(h.now, remoteAddress, remoteCall, show())
	if len(h.sends["leader"]) != 0 {
		t.Error("it is forwarded")
	}
	if got := h.sends[remoteAddress][0].GetOperatorResponse().GetRefusal(); got != isNoLeader {
		t.Errorf("%v", got)
	}
}

func TestAnUnknownKindIsRefused(t *testing.T) {
	h := newHost(t, nil)
	h.manager.Operate(h.now, ticket, &schema.OperatorRequest{Kind: 99}, nil)
	h.check(ticket, isUnknown)
}

func TestALogThatRefusesIsNoLeader(t *testing.T) {
	for name, request := range map[string]*schema.OperatorRequest{"a read": show(), "a change": emptyZone("z")} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, nil)
			h.put(zoneRow("z"))
			h.isLogFailed = true
			h.manager.Operate(h.now, ticket, request, nil)
			h.check(ticket, isNoLeader)
			if h.responses[ticket].Message != errNotLeading.Error() {
				t.Errorf("%q", h.responses[ticket].Message)
			}
		})
	}
}

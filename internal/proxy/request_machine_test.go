package proxy

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func sealed(attempt, instance, body string) *Result {
	o := &Result{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body)}
	o.Header.Set(HeaderAttempt, attempt)
	o.Header.Set(HeaderService, "ledger")
	o.Header.Set(HeaderInstance, instance)
	o.Header.Set(HeaderDigest, ContentDigest(o.Body))
	return o
}

func TestRequestMachine(t *testing.T) {
	begun := Event{Kind: EventBegun}
	up := Event{Kind: EventConnected}
	down := Event{Kind: EventConnected, Err: errors.New("refused")}
	good := Event{Kind: EventAnswered, Result: sealed("attempt-1", "l-1", "ok"), MayHaveRun: true}
	other := Event{Kind: EventAnswered, Result: sealed("attempt-1", "l-2", "ok"), MayHaveRun: true}
	foreign := Event{Kind: EventAnswered, Result: sealed("attempt-2", "l-1", "ok"), MayHaveRun: true}
	lost := Event{Kind: EventAnswered, Err: errors.New("reset"), MayHaveRun: true}
	reserved := func(state schema.ReservationState) Event {
		return Event{Kind: EventReserved, Reserved: &schema.ReservationResponse{State: state}}
	}
	taken, elsewhere, silent := reserved(schema.ReservationState_RESERVATION_TAKEN), reserved(schema.ReservationState_RESERVATION_HELD), reserved(schema.ReservationState_RESERVATION_UNAVAILABLE)
	released := Event{Kind: EventReleased}
	heldBy := func(owner string) Event {
		return Event{Kind: EventReserved, Reserved: &schema.ReservationResponse{State: schema.ReservationState_RESERVATION_HELD, Owner: owner}}
	}
	elsewhereKept := NewResponseCache()
	elsewhereKept.Put(noon, &Request{Attempt: "attempt-1", Digest: []byte("d")}, sealed("attempt-1", "l-1", "before"))
	again := Event{Kind: EventReplayed, Replayed: elsewhereKept.Replay(&schema.ReplayRequest{Attempt: "attempt-1", Digest: []byte("d")})}
	torn := Event{Kind: EventReplayed, Replayed: &schema.ReplayResponse{Kept: true, Status: 200, Header: again.Replayed.Header, Body: []byte("bef")}}
	isolated := func(l *controlplane.Local) { l.View.Version = 0 }
	names := map[OrderKind]string{OrderReply: "reply", OrderWait: "wait", OrderConnect: "connect", OrderSend: "send", OrderReserve: "reserve", OrderListen: "listen", OrderRelease: "release", OrderReplay: "replay"}
	for _, c := range []struct {
		name     string
		isUnsafe bool
		wait     time.Duration
		change   func(*controlplane.Local)
		after    time.Duration
		events   []Event
		orders   string
		result   string
		other    byte
	}{
		{"a sealed answer is passed on", false, time.Second, nil, 0, []Event{begun, up, good}, "connect send reply", "sealed", 0},
		{"a safe request moves on when not reached", false, time.Second, nil, 0, []Event{begun, down, up, other}, "connect connect send reply", "sealed", 0},
		{"or when the answer is another's, within the repeat budget", false, time.Second, nil, 0, []Event{begun, up, foreign}, "connect send connect", "", 0},
		{"and is ambiguous in the end", false, time.Second, nil, 0, []Event{begun, up, lost, up, lost, up, lost}, "connect send connect send connect send reply", "doubtful", 0},
		{"an unsafe request is reserved by two of three, then has its attempt", true, time.Second, nil, 0, []Event{begun, taken, silent, taken, up, good}, "reserve listen listen connect send reply", "sealed", 0},
		{"a lost answer is ambiguous at once", true, time.Second, nil, 0, []Event{begun, taken, taken, up, lost}, "reserve listen connect send reply", "doubtful", 0},
		{"a back end not reached is passed over", true, time.Second, nil, 0, []Event{begun, taken, taken, down, up}, "reserve listen connect connect send", "", 0},
		{"an id held elsewhere is released and ambiguous", true, time.Second, nil, 0, []Event{begun, elsewhere, elsewhere, taken, released}, "reserve listen listen release reply", "doubtful", 0},
		{"a repeat gets the sealed answer that this proxy still has", true, time.Second, nil, 0, []Event{begun, heldBy("nnorth-a/3"), heldBy("nnorth-a/3"), taken, released}, "reserve listen listen release reply", "sealed", 0},
		{"but not for another request", true, time.Second, nil, 0, []Event{begun, heldBy("nnorth-a/3"), heldBy("nnorth-a/3"), taken, released}, "reserve listen listen release reply", "doubtful", 9},
		{"or that another proxy still has", true, time.Second, nil, 0, []Event{begun, heldBy("nnorth-b/3"), heldBy("nnorth-b/3"), taken, released, again}, "reserve listen listen release replay reply", "sealed", 9},
		{"unless it has it no longer", true, time.Second, nil, 0, []Event{begun, heldBy("nnorth-b/3"), heldBy("nnorth-b/3"), taken, released, {Kind: EventReplayed}}, "reserve listen listen release replay reply", "doubtful", 9},
		{"or gives one that is not sealed", true, time.Second, nil, 0, []Event{begun, heldBy("nnorth-b/3"), heldBy("nnorth-b/3"), taken, released, torn}, "reserve listen listen release replay reply", "doubtful", 9},
		{"unresponsive replicas are asked again", true, time.Second, nil, 0, []Event{begun, silent, silent, silent, released, {Kind: EventWoken}}, "reserve listen listen release wait reserve", "", 0},
		{"a caller that left is refused", true, time.Second, nil, 0, []Event{begun, silent, silent, silent, released, {Kind: EventGone}}, "reserve listen listen release wait reply", "declined", 0},
		{"a wait that is over is refused at once, not parked again", false, 100 * time.Millisecond, isolated, 100 * time.Millisecond, []Event{begun, {Kind: EventWoken}}, "wait reply", "declined", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &Request{Service: "ledger", Path: "/balances/7", Method: "GET", Attempt: "attempt-1", Wait: c.wait, Origin: failover.Origin{Region: "north"}}
			if c.isUnsafe {
				q.Path, q.Method, q.Origin = "/pay", "POST", failover.Origin{Service: "ledger", Path: "/pay"}
			}
			w := base(backend("l-1", "north-a"), backend("l-2", "north-a"), backend("l-3", "north-b"))
			local := fresh(w.view())
			if c.change != nil {
				c.change(local)
			}
			loads, kept := NewLoads(func() time.Duration { return noon }), NewResponseCache()
			q.SetDigest()
			kept.Put(noon, &Request{Attempt: q.Attempt, Digest: append([]byte{c.other}, q.Digest[1:]...)}, sealed("attempt-1", "l-1", "before"))
			if c.other == 0 {
				kept.Put(noon, q, sealed("attempt-1", "l-1", "before"))
			}
			machine := NewRequestMachine(RequestOptions{Self: &schema.Node{Id: "nnorth-a", Zone: "north-a", Region: "north"}, Loads: loads, Responses: kept, Draw: func(int64) int64 { return 0 }, Request: q, Owner: "h/1", Begun: noon})
			var kinds []string
			var last Order
			now := noon
			for _, e := range c.events {
				last = machine.Next(now, local, e)
				kinds = append(kinds, names[last.Kind])
				now += c.after
				local.FreshAt, local.TickAt = now, now
			}
			result := ""
			if last.Kind == OrderReply {
				result = CallerResult("self", q.Attempt, last.Result, last.Refusal).Header.Get(HeaderOutcome)
			}
			if got := strings.Join(kinds, " "); got != c.orders || result != c.result {
				t.Fatalf("orders %q result %q, want %q %q (%v)", got, result, c.orders, c.result, last.Refusal)
			}
			if last.Kind == OrderReply && loads.InFlight("l-1")+loads.InFlight("l-2")+loads.InFlight("l-3") != 0 {
				t.Error("an attempt is still counted after the reply")
			}
			if last.Kind == OrderWait && last.For <= 0 {
				t.Errorf("a wait of %v", last.For)
			}
		})
	}
}

func TestAKeyedAttemptWithoutAWholeAnswerCountsAsRunning(t *testing.T) {
	for _, c := range []struct {
		name      string
		event     Event
		isRunning bool
	}{
		{"a sealed answer ends it", Event{Kind: EventAnswered, Result: sealed("attempt-1", "l-1", "ok"), MayHaveRun: true}, false},
		{"a lost connection does not", Event{Kind: EventAnswered, Err: errors.New("reset"), MayHaveRun: true}, true},
		{"nor does another's answer", Event{Kind: EventAnswered, Result: sealed("attempt-2", "l-1", "ok"), MayHaveRun: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := base(backend("l-1", "north-a"))
			w.put("", store.EncodeRow(store.EntryKey("ledger", "/keyed"), &schema.Entry{Service: "ledger", Path: "/keyed", Methods: []string{"GET"}, SafeMethods: []string{"GET"}, Keyed: true, ResponseLimit: 4096, ColdRate: 6}))
			w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/keyed", "north"), &schema.FailoverAssignment{Service: "ledger", Path: "/keyed", Region: "north", Number: 100}))
			w.put("", store.EncodeRow(store.EntityKey("ledger", "/keyed"), &schema.Entity{Service: "ledger", Path: "/keyed", Region: "north", Number: 101}))
			w.put("", store.EncodeRow(store.ShardSlotKey("ledger", Slot("k")), &schema.ShardSlot{Service: "ledger", Slot: Slot("k"), Instance: "l-1", Number: 1}))
			now := noon
			loads, kept := NewLoads(func() time.Duration { return now }), NewResponseCache()
			local := fresh(w.view())
			q := &Request{Service: "ledger", Path: "/keyed", Method: "GET", Key: "k", Attempt: "attempt-1", Wait: time.Second, Origin: failover.Origin{Service: "ledger", Path: "/keyed"}}
			machine := NewRequestMachine(RequestOptions{Self: &schema.Node{Id: "nnorth-a", Zone: "north-a", Region: "north"}, Loads: loads, Responses: kept, Draw: func(int64) int64 { return 0 }, Request: q, Begun: noon})
			for _, e := range []Event{{Kind: EventBegun}, {Kind: EventConnected}} {
				machine.Next(now, local, e)
			}
			if loads.OldestVersion() != uint64(local.View.Version) {
				t.Fatalf("an attempt in flight has oldest version %d", loads.OldestVersion())
			}
			machine.Next(now, local, c.event)
			if isRunning := loads.OldestVersion() != 0; isRunning != c.isRunning {
				t.Fatalf("running %v, want %v", isRunning, c.isRunning)
			}
			if now += constants.KeyedAfterglow; loads.OldestVersion() != 0 {
				t.Error("it still runs after the afterglow")
			}
		})
	}
}

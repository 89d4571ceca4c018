package controlplane

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/schema"
)

func TestAnOperatorsRequestIsForwardedUntilALeaderAnswers(t *testing.T) {
	type step struct {
		after   time.Duration
		leader  string
		answer  *schema.OperatorResponse
		sends   int
		refusal schema.RefusalKind
		isDone  bool
	}
	ms := time.Millisecond
	noLeader := &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"the leader answers", []step{{leader: "l", sends: 0}, {after: 420 * ms, sends: 1}, {answer: &schema.OperatorResponse{Version: 7}, isDone: true}}},
		{"a leader is known after a while", []step{{after: 420 * ms}, {after: 200 * ms, leader: "l"}, {after: 220 * ms, sends: 1}, {answer: &schema.OperatorResponse{}, isDone: true}}},
		{"the former leader was asked", []step{{leader: "old"}, {after: 420 * ms, sends: 1}, {answer: noLeader}, {after: 20 * ms, leader: "new"}, {after: 100 * ms, sends: 1}, {answer: &schema.OperatorResponse{}, isDone: true}}},
		{"the request was lost on its way", []step{{leader: "l"}, {after: 420 * ms, sends: 1}, {after: 420 * ms, sends: 1}, {answer: &schema.OperatorResponse{}, isDone: true}}},
		{"there is no leader", []step{{after: 420 * ms}, {after: 420 * ms}, {after: 420 * ms, refusal: schema.RefusalKind_REFUSAL_NO_LEADER, isDone: true}}},
		{"nobody leads to the end", []step{{leader: "l"}, {after: 420 * ms, sends: 1}, {after: 480 * ms, sends: 1}, {after: 100 * ms}, {answer: noLeader, refusal: schema.RefusalKind_REFUSAL_NO_LEADER, isDone: true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Hour
			control := New(now, Options{Self: &schema.Node{Id: "n", Address: "n", Zone: "z", Region: "r"}, Seeds: []string{"s"}, System: "x", Draw: func(int64) int64 { return 0 },
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Routes: &RouteOptions{LongestLease: time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
			control.Operate(now, 5, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW}, nil)
			control.Take()
			for i, s := range c.steps {
				if s.leader != "" {
					control.leader.observe(s.leader, now)
				}
				if s.answer != nil {
					control.Receive(now, &schema.Frame{System: "x", From: control.leader.address, Address: control.leader.address, Call: 5, Response: true, Body: &schema.Frame_OperatorResponse{OperatorResponse: s.answer}})
				}
				for until := now + s.after; now < until; {
					now += 20 * ms
					if control.leader.address != "" {
						control.leader.seenAt = now
					}
					control.Tick(now)
				}
				sends := 0
				effects := control.Take()
				for _, send := range effects.Sends {
					if send.Frame.GetOperatorRequest() != nil {
						sends++
						if send.To != control.leader.address || send.Frame.Call != 5 {
							t.Errorf("step %d: sent to %s as call %d", i, send.To, send.Frame.Call)
						}
					}
				}
				if sends != s.sends {
					t.Fatalf("step %d: forwarded %d times, want %d", i, sends, s.sends)
				}
				if isDone := len(effects.Responses) > 0; isDone != s.isDone || isDone && effects.Responses[0].Response.Refusal != s.refusal {
					t.Fatalf("step %d: responses %v", i, effects.Responses)
				}
			}
		})
	}
}

// A response is given to a caller only if it comes from a node that the request was forwarded to, and bears the number of
// a pending request: numbers of another incarnation, of others' requests or of answered ones belong to nobody here.
func TestAnAnswerGoesToNoOtherCaller(t *testing.T) {
	for _, c := range []struct {
		name string
		from string
		call uint64
		want bool
	}{
		{"from the node asked", "l", 5, true},
		{"from another node", "other", 5, false},
		{"to a request of another incarnation", "l", 4, false},
		{"to a request that is not there", "l", 6, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Hour
			control := New(now, Options{Self: &schema.Node{Id: "n", Address: "n", Zone: "z", Region: "r"}, Seeds: []string{"s"}, System: "x", Draw: func(int64) int64 { return 0 },
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Routes: &RouteOptions{LongestLease: time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
			control.leader.observe("l", now)
			control.Operate(now, 5, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW}, nil)
			answer := &schema.Frame{System: "x", From: c.from, Address: c.from, Call: c.call, Response: true, Body: &schema.Frame_OperatorResponse{OperatorResponse: &schema.OperatorResponse{Version: 7}}}
			control.Receive(now, answer)
			if got := len(control.Take().Responses) == 1; got != c.want {
				t.Fatalf("given to the caller: %v, want %v", got, c.want)
			}
			control.Receive(now, answer)
			if len(control.Take().Responses) != 0 {
				t.Fatal("an answer was given twice")
			}
			if staleResponses := control.Local().StaleResponses; c.want && staleResponses != 1 || !c.want && staleResponses != 2 {
				t.Errorf("%d stale responses are counted", staleResponses)
			}
		})
	}
}

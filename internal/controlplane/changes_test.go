package controlplane

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

type solo struct {
	control   *Machine
	now       time.Duration
	epoch     time.Time
	entries   []*schema.LogItem
	hardState *schema.HardState
	response  *schema.OperatorResponse
}

func (s *solo) options() Options {
	self := &schema.Node{Id: "a", Address: "a", Proxy: "a", Admin: "a", Zone: "mu-a", Region: "mu", Disk: true, Incarnation: 1, State: schema.NodeState_NODE_READY}
	return Options{Self: self, Seeds: []string{"a"}, Draw: func(int64) int64 { return 0 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Epoch: s.epoch,
		Routes: &RouteOptions{LongestLease: 10 * time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}}
}

// run lets time pass; the machines whose zones are named report in the meantime.
func (s *solo) run(span time.Duration, zones ...string) {
	for until := s.now + span; s.now < until; s.now += 20 * time.Millisecond {
		s.control.Tick(s.now)
		if s.control.IsLeading() {
			for _, zone := range zones {
				s.control.workload.takeOwnHeartbeat(&schema.Heartbeat{Version: uint64(s.control.state.Version()), Node: &schema.Node{Id: "of-" + zone, Address: zone, Proxy: zone, Admin: zone, Zone: zone, Region: "mu", Incarnation: 1, State: schema.NodeState_NODE_READY}})
			}
		}
		for range 8 {
			effects := s.control.Take()
			if !effects.IsWork {
				break
			}
			if effects.HardState != nil {
				s.hardState = effects.HardState
			}
			for _, response := range effects.Responses {
				s.response = response.Response
			}
			s.entries = append(s.entries, effects.Raft.Entries...)
			s.control.Synced(s.now, effects)
		}
	}
}

func (s *solo) ask(request *schema.OperatorRequest, zones ...string) *schema.OperatorResponse {
	s.response = nil
	s.control.Operate(s.now, 7, request, nil)
	s.run(400*time.Millisecond, zones...)
	return s.response
}

func TestChangesOfAssignmentsAreReportedFromTheLog(t *testing.T) {
	s := &solo{now: time.Hour, epoch: time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)}
	s.control = New(s.now, s.options())
	s.run(5*time.Second, "mu-a", "mu-b")
	begun := len(s.control.state.Changes())
	emptied := s.ask(&schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_EMPTY, Zone: "mu-b", Reason: "new racks"}, "mu-a", "mu-b")
	if emptied.GetRefusal() != schema.RefusalKind_REFUSAL_NONE {
		t.Fatal(emptied)
	}
	at := s.epoch.Add(s.now).UnixMilli()
	status := s.ask(&schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_STATUS}, "mu-a", "mu-b")
	if len(status.Changes) != begun+1 {
		t.Fatalf("%d changes, had %d", len(status.Changes), begun)
	}
	last := status.Changes[begun]
	row := store.DecodeRow[schema.FailoverAssignment](s.control.state.Table().Get(store.DefaultAssignmentKey("mu")))
	if last.Region != "mu" || last.From >= last.To || last.To != row.Number || last.Cause != row.Reason || last.Evidence != "mu-b is emptied (new racks)" || last.Leader != "a" || last.Term == 0 ||
		last.AtMs > at || last.AtMs < at-1000 {
		t.Errorf("%v, row %v, at %d", last, row, at)
	}
	reports := map[string]*schema.NodeReport{}
	for _, report := range status.Reports {
		reports[report.Id] = report
	}
	if r := reports["of-mu-b"]; r == nil || r.NeverHeard || r.HeardMs > 100 || r.Index == 0 || r.InForce {
		t.Errorf("%v: no configuration was put", r)
	}

	// The same after a start from the disk: the log is read again.
	restarted := &solo{now: time.Hour, epoch: s.epoch}
	options := restarted.options()
	options.Restart, options.System, options.HardState = true, s.hardState.System, proto.Clone(s.hardState).(*schema.HardState)
	for _, item := range s.entries {
		options.Entries = append(options.Entries, proto.Clone(item).(*schema.LogItem))
	}
	restarted.control = New(restarted.now, options)
	restarted.run(3*time.Second, "mu-a", "mu-b")
	again := restarted.ask(&schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_STATUS}, "mu-a", "mu-b")
	if len(again.GetChanges()) < begun+1 || !proto.Equal(again.Changes[begun], last) {
		t.Errorf("after a start %v, want %v", again.GetChanges(), last)
	}
}

func TestReportsTellWhereAConfigurationIsInForce(t *testing.T) {
	s := &solo{now: time.Hour}
	s.control = New(s.now, s.options())
	s.run(5*time.Second, "mu-a", "mu-b")
	config := &schema.RouteConfig{Version: 1, Document: []byte("{}")}
	if response := s.ask(&schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT_ROUTES, Routes: config}, "mu-a"); response.GetRefusal() != schema.RefusalKind_REFUSAL_NONE {
		t.Fatal(response)
	}
	for _, report := range s.ask(&schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_STATUS}, "mu-a").Reports {
		if want := report.Id != "of-mu-b"; report.InForce != want {
			t.Errorf("%v, want in force %v", report, want)
		}
	}
}

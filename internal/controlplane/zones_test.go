package controlplane

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/schema"
)

func TestALeaderOfARoutedFleetTakesTheZonesOfTheSizeToDesignFor(t *testing.T) {
	self := &schema.Node{Id: "a", Address: "a", Proxy: "a", Admin: "a", Zone: "d000", Region: "r00", Disk: true, Incarnation: 1, State: schema.NodeState_NODE_READY}
	control := New(time.Hour, Options{Self: self, Seeds: []string{"a"}, Draw: func(int64) int64 { return 0 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Routes: &RouteOptions{LongestLease: 10 * time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
	for now := time.Hour; now < time.Hour+6*time.Second; now += 20 * time.Millisecond {
		control.Tick(now)
		if control.IsLeading() {
			for i := range 182 {
				name := fmt.Sprintf("n%03d", i)
				control.workload.takeOwnHeartbeat(&schema.Heartbeat{Node: &schema.Node{Id: name, Address: name, Proxy: name, Admin: name, Zone: fmt.Sprintf("d%03d", i), Region: fmt.Sprintf("r%02d", i%46), Incarnation: 1, State: schema.NodeState_NODE_READY}})
			}
		}
		for range 8 {
			effects := control.Take()
			if !effects.IsWork {
				break
			}
			control.Synced(now, effects)
		}
	}
	if len(control.state.View().Zones) != 182 || len(control.state.View().Regions) != 46 || len(control.state.View().Groups) < 46 || len(control.state.View().DefaultAssignments) != 46 {
		t.Errorf("%d zones, %d regions, %d groups, %d default assignments, want 182, 46, 46 or more and 46", len(control.state.View().Zones), len(control.state.View().Regions), len(control.state.View().Groups), len(control.state.View().DefaultAssignments))
	}
}

// Back ends may lie in a zone without a machine; as long as it had no row, they got no requests and it could not be emptied.
func TestALeaderTakesTheZonesWithoutMachines(t *testing.T) {
	for _, c := range []struct {
		name    string
		zones   map[string]string
		zone    string
		refusal schema.RefusalKind
		known   int
	}{
		{"its own", map[string]string{"d1": "r1"}, "d1", schema.RefusalKind_REFUSAL_NONE, 1},
		{"another in its region", map[string]string{"d1": "r1", "d2": "r1"}, "d2", schema.RefusalKind_REFUSAL_NONE, 2},
		{"another in a region without machines", map[string]string{"d1": "r1", "d9": "r9"}, "d9", schema.RefusalKind_REFUSAL_NONE, 2},
		{"one that the deployment has not", map[string]string{"d1": "r1", "d2": "r1"}, "d3", schema.RefusalKind_REFUSAL_UNKNOWN, 2},
		{"none told", nil, "d1", schema.RefusalKind_REFUSAL_NONE, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			self := &schema.Node{Id: "a", Address: "a", Proxy: "a", Admin: "a", Zone: "d1", Region: "r1", Disk: true, Incarnation: 1, State: schema.NodeState_NODE_READY}
			control := New(time.Hour, Options{Self: self, Seeds: []string{"a"}, Draw: func(int64) int64 { return 0 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
				Routes: &RouteOptions{Zones: c.zones, LongestLease: 10 * time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
			var response *schema.OperatorResponse
			for now := time.Hour; now < time.Hour+8*time.Second; now += 20 * time.Millisecond {
				control.Tick(now)
				if now == time.Hour+6*time.Second {
					control.Operate(now, 1, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_EMPTY, Zone: c.zone}, nil)
				}
				for range 8 {
					effects := control.Take()
					for _, o := range effects.Responses {
						response = o.Response
					}
					if !effects.IsWork {
						break
					}
					control.Synced(now, effects)
				}
			}
			if response == nil || response.Refusal != c.refusal || len(control.state.View().Zones) != c.known {
				t.Fatalf("response %v, %d zones, want %v and %d", response, len(control.state.View().Zones), c.refusal, c.known)
			}
			if got := control.state.View().Zones[c.zone].GetEmptied(); got != (c.refusal == schema.RefusalKind_REFUSAL_NONE) {
				t.Fatalf("emptied: %v", got)
			}
		})
	}
}

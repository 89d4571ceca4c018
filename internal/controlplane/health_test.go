package controlplane

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/schema"
)

func TestNodesWordsMakeABackEndFailing(t *testing.T) {
	healthReports := func(ids ...string) []*schema.HealthReport {
		var notified []*schema.HealthReport
		for _, id := range ids {
			notified = append(notified, &schema.HealthReport{Instance: id, Failing: true})
		}
		return notified
	}
	for _, c := range []struct {
		name string
		// told by the leader itself, straight to it, and through a relay in one heartbeat.
		own, straight, relayed []*schema.HealthReport
		want                   bool
	}{
		{"the leader's word alone", healthReports("i-0"), nil, nil, false},
		{"words that name different ones", healthReports("i-0"), healthReports("i-1"), healthReports("i-2"), false},
		{"the leader's, a node's and a relayed word", healthReports("i-0"), healthReports("i-0"), healthReports("i-0", "i-3"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			node := func(id string) *schema.Node {
				return &schema.Node{Id: id, Address: id, Proxy: id, Admin: id, Zone: "d", Region: "r", Disk: id == "a", Incarnation: 1, State: schema.NodeState_NODE_READY}
			}
			control := New(time.Hour, Options{Self: node("a"), Seeds: []string{"a"}, Draw: func(int64) int64 { return 0 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
				Routes: &RouteOptions{LongestLease: 10 * time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }, HealthReports: func() []*schema.HealthReport { return c.own }}})
			isFailing := false
			for now := time.Hour; now < time.Hour+12*time.Second; now += 20 * time.Millisecond {
				control.Tick(now)
				if control.IsLeading() {
					var entries []discovery.Listed
					for i := range 8 {
						id := fmt.Sprint("i-", i)
						entries = append(entries, discovery.Listed{Service: "copper", Instance: id, Address: id, Zone: "d", Slots: 6})
					}
					control.SetListing(now, discovery.Listing{Items: entries, BegunAt: now, IsComplete: true})
					for i := range 4 {
						control.workload.takeOwnHeartbeat(&schema.Heartbeat{Node: node(fmt.Sprint("idle-", i))})
					}
					control.workload.receiveHeartbeat(nil, &schema.Heartbeat{Node: node("b"), Health: c.straight, Relayed: []*schema.Heartbeat{{Node: node("c"), Health: c.relayed}}})
				}
				for range 8 {
					effects := control.Take()
					if !effects.IsWork {
						break
					}
					control.Synced(now, effects)
				}
				if service := control.state.View().Services["copper"]; service != nil {
					for _, b := range service.Backends {
						if b.Failing && b.Instance != "i-0" {
							t.Fatalf("%s is failing", b.Instance)
						}
						isFailing = isFailing || b.Failing
					}
				}
			}
			if len(control.state.View().Services["copper"].Backends) != 8 || isFailing != c.want {
				t.Fatalf("%d back ends; failing %v, want %v", len(control.state.View().Services["copper"].Backends), isFailing, c.want)
			}
		})
	}
}

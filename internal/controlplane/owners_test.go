package controlplane

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/sharding"
	"topazshed/internal/store"
)

func TestLeasesFollowTheirRecordAtOnce(t *testing.T) {
	const tick = 20 * time.Millisecond
	for _, c := range []struct{ backends, spans int }{{1, 1}, {4, 12}} {
		t.Run(fmt.Sprint(c.backends), func(t *testing.T) {
			self := &schema.Node{Id: "a", Address: "a", Zone: "d", Region: "r", Disk: true, Incarnation: 1, State: schema.NodeState_NODE_READY}
			control := New(time.Hour, Options{Self: self, Seeds: []string{"a"}, Draw: func(int64) int64 { return 0 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
				Routes: &RouteOptions{LongestLease: 10 * time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
			record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{store.EncodeRow(store.ServicePolicyKey("s"), &schema.ServicePolicy{Service: "s", Keyed: true})}}
			for i := range c.backends {
				name := fmt.Sprint("i", i)
				record.Rows = append(record.Rows, store.EncodeRow(store.BackendKey("s", name), &schema.Backend{Service: "s", Instance: name, Address: name, Zone: "d", State: schema.BackendState_BACKEND_READY}))
			}
			isPut, laidAt, leases := false, time.Duration(0), 0
			for now := time.Hour; now < time.Hour+12*time.Second && leases == 0; now += tick {
				control.Tick(now)
				if control.IsLeading() && !isPut {
					isPut = control.proposals.Propose(control.now, record)
				}
				for range 8 {
					effects := control.Take()
					if !effects.IsWork {
						break
					}
					for _, call := range effects.Calls {
						if call.Kind == sharding.GrantLease {
							leases++
						}
					}
					control.Synced(now, effects)
				}
				spans := 0
				control.state.Table().Each("s/s/", func(row *schema.Row) {
					if strings.Contains(row.Key, "/span/") {
						spans++
					}
				})
				if spans > 0 && laidAt == 0 {
					laidAt = now
					if spans != c.spans {
						t.Errorf("%d spans, want %d", spans, c.spans)
					}
				}
				if leases > 0 && (leases != c.spans || now-laidAt > 2*tick) {
					t.Errorf("%d lease calls %v after their record, want %d within two ticks", leases, now-laidAt, c.spans)
				}
			}
			if leases == 0 {
				t.Errorf("no lease call; the record was taken at %v", laidAt-time.Hour)
			}
		})
	}
}

package controlplane

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func TestAnUnresponsiveSourceIsLeftAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// speaks is how long after the subscription's beginning its source goes on sending deltas.
		speaks time.Duration
	}{{"it never answers", 0}, {"it ends after a while", 2 * time.Second}, {"it ends soon after", 2*time.Second + 400*time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			drawn := int64(0)
			control := New(time.Hour, Options{Self: &schema.Node{Id: "n", Address: "n", Zone: "z", Region: "r"}, Seeds: []string{"a", "b"}, System: "x", Rejoin: true,
				Draw: func(n int64) int64 { drawn++; return drawn % n }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
				Routes: &RouteOptions{LongestLease: time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
			for _, id := range []string{"a", "b"} {
				control.peerSampler.Learn(&schema.Node{Id: id, Address: id, Zone: "z", Region: "r", Disk: true})
			}
			begun := time.Hour
			first, heardAt, leftAt := "", begun, time.Duration(0)
			serial := uint64(0)
			for now := begun; now < begun+8*time.Second && leftAt == 0; now += 50 * time.Millisecond {
				control.Tick(now)
				for _, send := range control.Take().Sends {
					if probe := send.Frame.GetProbe(); probe != nil && (send.To != first || now < begun+c.speaks) {
						control.Receive(now, &schema.Frame{System: "x", From: send.To, Address: send.To, Body: &schema.Frame_ProbeResponse{ProbeResponse: &schema.ProbeResponse{Subject: send.To, Serial: probe.Serial}}})
					}
					if send.Frame.GetSubscribe() == nil {
						continue
					}
					serial = send.Frame.GetSubscribe().Serial
					switch {
					case first == "":
						first, heardAt = send.To, now
					case send.To != first:
						leftAt = now
					}
				}
				if first != "" && now < begun+c.speaks {
					heardAt = now
					control.Receive(now, &schema.Frame{System: "x", From: first, Address: first, Body: &schema.Frame_Delta{Delta: &schema.Delta{Serial: serial}}})
				}
			}
			if most := constants.SourceTimeout + 2*constants.RoutedTick; leftAt == 0 || leftAt-heardAt > most {
				t.Fatalf("the source was left %v after its last word, want %v at the most", leftAt-heardAt, most)
			}
		})
	}
}

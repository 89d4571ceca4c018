package controlplane

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
)

func TestFramesKeepWhatTheyWereSentWith(t *testing.T) {
	ms := time.Millisecond
	peer := &schema.Node{Id: "p", Address: "p", Zone: "z", Region: "r", State: schema.NodeState_NODE_READY}
	lostSelf := &schema.Node{Id: "n", Address: "n", State: schema.NodeState_NODE_LOST, Incarnation: 5}
	for _, c := range []struct {
		name   string
		system string
		heard  *schema.Frame
		change func(control *Machine, now time.Duration)
	}{
		{"shuffles before a stop", "x", nil, func(control *Machine, now time.Duration) { control.Stop(now) }},
		{"questions for a system before a stop", "", nil, func(control *Machine, now time.Duration) { control.Stop(now) }},
		{"an introduction before a stop", "x", &schema.Frame{System: "x", From: "p", Address: "p", Body: &schema.Frame_DiscoverRequest{DiscoverRequest: &schema.DiscoverRequest{Node: peer}}}, func(control *Machine, now time.Duration) { control.Stop(now) }},
		{"shuffles before a refuted suspicion", "x", nil, func(control *Machine, now time.Duration) {
			control.Receive(now, &schema.Frame{System: "x", From: "p", Address: "p", Body: &schema.Frame_Shuffle{Shuffle: &schema.Shuffle{Nodes: []*schema.Node{lostSelf}, Reply: true}}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Hour
			control := New(now, Options{Self: &schema.Node{Id: "n", Address: "n", Zone: "z", Region: "r", State: schema.NodeState_NODE_READY}, Seeds: []string{"s"}, System: c.system,
				Draw: func(int64) int64 { return 0 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Routes: &RouteOptions{LongestLease: time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
			if c.heard != nil {
				control.Receive(now, c.heard)
			}
			for until := now + 400*ms; now < until; now += 20 * ms {
				control.Tick(now)
			}
			sends := control.Take().Sends
			var before []*schema.Frame
			carriers := 0
			for _, send := range sends {
				before = append(before, proto.Clone(send.Frame).(*schema.Frame))
				if send.Frame.GetShuffle() != nil || send.Frame.GetDiscoverRequest() != nil || len(send.Frame.GetDiscoverResponse().GetNodes()) > 0 {
					carriers++
				}
			}
			if carriers == 0 {
				t.Fatal("no frame that carries the node's own description was sent")
			}
			c.change(control, now)
			if control.self.Incarnation == 0 {
				t.Fatal("the node's description did not change")
			}
			for i, send := range sends {
				if !proto.Equal(before[i], send.Frame) {
					t.Errorf("a frame that still waits to be written changed: %v, was %v", send.Frame, before[i])
				}
			}
		})
	}
}

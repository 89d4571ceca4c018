package node

import (
	"testing"

	"topazshed/internal/schema"
)

func TestOnlyTheCalledPeerAnswersACall(t *testing.T) {
	const called = "10.0.0.1:7001"
	for _, c := range []struct {
		name     string
		response *schema.Frame
		accepted bool
	}{
		{"the called peer", &schema.Frame{Call: 5, Address: called}, true},
		{"another peer", &schema.Frame{Call: 5, Address: "10.0.0.2:7001"}, false},
		{"another call, as of an earlier incarnation", &schema.Frame{Call: 4, Address: called}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			peers := &transport{}
			waiting := &pendingCall{address: called, response: make(chan *schema.Frame, 1)}
			peers.calls.Store(uint64(5), waiting)
			peers.accept(c.response)
			if isAccepted := len(waiting.response) == 1; isAccepted != c.accepted {
				t.Errorf("accepted %v", isAccepted)
			}
			if isStale := peers.staleResponses.Load() == 1; isStale == c.accepted {
				t.Errorf("counted as stale %v", isStale)
			}
		})
	}
	t.Run("a second response", func(t *testing.T) {
		peers := &transport{}
		waiting := &pendingCall{address: called, response: make(chan *schema.Frame, 1)}
		peers.calls.Store(uint64(5), waiting)
		peers.accept(&schema.Frame{Call: 5, Address: called})
		peers.accept(&schema.Frame{Call: 5, Address: called})
		if len(waiting.response) != 1 || peers.staleResponses.Load() != 1 {
			t.Errorf("%d responses, %d stale", len(waiting.response), peers.staleResponses.Load())
		}
	})
}

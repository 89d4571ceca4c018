// Package replication brings the rows of the replicated state from the members of the log to the nodes that keep no log.
//
// A node without a log (a reader) holds a Subscription: it takes deltas from one member of the log at a time, its source. A member holds a
// Publisher, which sends each subscriber what has changed since the last delta. Both are state machines without sockets and clocks: the
// goroutine that steps the node's control plane calls them with the present time, sends the envelopes that they return, and publishes the
// rows that they report. Neither ever writes to the log.
//
// Invariants:
//   - A reader installs only rows that it asked for, from the node that it asked: a delta bears the serial number of a subscription of this
//     incarnation.
//   - A reader prefers rows that a majority confirmed within SubscriptionOptions.ConfirmedWithin. A source that is silent, or whose rows no majority has
//     confirmed for that long, is left for another; a node that is not the source is heeded only with confirmed rows.
//   - A reader's table changes only in whole deltas that join its version without a gap.
//   - Only a member of the log publishes, and each delta tells how long ago a majority last confirmed what it says.
package replication

import (
	"topazshed/internal/frame"
	"topazshed/internal/schema"
)

func deltaEnvelope(to string, delta *schema.Delta) frame.Envelope {
	return frame.Envelope{To: to, Frame: &schema.Frame{Body: &schema.Frame_Delta{Delta: delta}}}
}

func subscribeEnvelope(to string, subscribe *schema.Subscribe) frame.Envelope {
	return frame.Envelope{To: to, Frame: &schema.Frame{Body: &schema.Frame_Subscribe{Subscribe: subscribe}}}
}

func digestRequestEnvelope(to string, request *schema.DigestRequest) frame.Envelope {
	return frame.Envelope{To: to, Frame: &schema.Frame{Body: &schema.Frame_DigestRequest{DigestRequest: request}}}
}

func digestResponseEnvelope(to string, response *schema.DigestResponse) frame.Envelope {
	return frame.Envelope{To: to, Frame: &schema.Frame{Body: &schema.Frame_DigestResponse{DigestResponse: response}}}
}

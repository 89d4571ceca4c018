package node

import (
	"context"

	"topazshed/internal/gateway"
	"topazshed/internal/leasecall"
	"topazshed/internal/sharding"
)

// HandoverHeader carries what the next owner of released keys is given.
const HandoverHeader = "Topazshed-Handover"

// Paths of the calls that a back end of a keyed service takes.
const (
	grantPath   = "/keys/grant"
	releasePath = "/keys/release"
)

// KeyCall is the body of a call to a back end of a keyed service: it owns the keys from First to Last under the fencing
// token Number, or owns them no longer.
type KeyCall struct {
	Service string `json:"service"`
	First   uint32 `json:"first"`
	Last    uint32 `json:"last"`
	// Number is the fencing token; a back end refuses a lower one than it has seen for these keys.
	Number uint64 `json:"number"`
	// HoldMS is how long the lease lasts from when the call arrives, in milliseconds; 0 in a release.
	HoldMS int64 `json:"hold_ms,omitempty"`
	// Handover is what the former owner gave at its release.
	Handover string `json:"handover,omitempty"`
}

// nativeLeases makes lease calls in the product's own form.
type nativeLeases struct{ client *leasecall.Client }

func newNativeLeases(dial leasecall.Dial) *nativeLeases {
	names := gateway.DefaultNames()
	headers := leasecall.Headers{Target: names.Target, NotRun: names.NotRun, Handover: HandoverHeader}
	return &nativeLeases{leasecall.NewClient(dial, headers)}
}

func (l *nativeLeases) grantLease(ctx context.Context, call sharding.Call) (sharding.Answer, error) {
	body := KeyCall{Service: call.Service, First: uint32(call.First), Last: uint32(call.Last), Number: uint64(call.Fence)}
	switch call.Kind {
	case sharding.Probe:
		return l.client.Probe(ctx, call)
	case sharding.GrantLease:
		body.HoldMS, body.Handover = call.LeaseDuration.Milliseconds(), call.Handover
		return l.client.Post(ctx, call, grantPath, body)
	default:
		return l.client.Post(ctx, call, releasePath, body)
	}
}

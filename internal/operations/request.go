package operations

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/proposals"
	"topazshed/internal/schema"
)

// Caller is who waits for the response to a request at this node.
type Caller interface {
	// IsWaiting tells whether the caller has not given up yet; one that has may have made a newer request since.
	IsWaiting() bool
}

// origin is who made a request: a local caller, or the node that forwarded it.
type origin struct {
	ticket Ticket
	// caller is nil for a caller that never gives up, and at nodes that a request was forwarded to.
	caller  Caller
	address string
	call    uint64
}

func (o origin) isRemote() bool { return o.address != "" }

// isGone tells whether the caller has given the request up.
func (o origin) isGone() bool { return o.caller != nil && !o.caller.IsWaiting() }

// pendingRequest is a request that has no response yet.
type pendingRequest struct {
	origin  origin
	request *schema.OperatorRequest
	bornAt  time.Duration
	// until is when it is given up.
	until time.Duration
	// position is where its record was proposed; version is that of the configuration in it.
	position proposals.Position
	version  uint64
	// isLeaderConfirmed says that a majority has confirmed since the request came that this node leads.
	isLeaderConfirmed bool
	// recipients are the nodes that it was forwarded to, forwardedAt is when that was done or tried last.
	recipients  []string
	forwardedAt time.Duration
	// wasLeaderReachable says that a leader was known when it was last forwarded, and has not refused it since.
	wasLeaderReachable bool
}

func newRequest(now time.Duration, from origin, request *schema.OperatorRequest) *pendingRequest {
	return &pendingRequest{origin: from, request: request, bornAt: now, until: now + constants.ProposalWait}
}

// setBase gives the request another base. It is copied, since frames that are still being sent have the former one.
func (p *pendingRequest) setBase(base uint64) {
	p.request = proto.Clone(p.request).(*schema.OperatorRequest)
	p.request.Base = base
}

func (p *pendingRequest) isExpired(now time.Duration) bool { return now > p.until }

func (p *pendingRequest) addRecipient(address string) {
	if !slices.Contains(p.recipients, address) {
		p.recipients = append(p.recipients, address)
	}
}

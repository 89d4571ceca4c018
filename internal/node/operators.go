package node

import (
	"context"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/controlplane"
	"topazshed/internal/operations"
	"topazshed/internal/schema"
	"topazshed/internal/sockets"
)

// operate hands an operator's request to the control machine and waits for its response or the context's end. After an
// error the request may still take effect.
func (n *Node) operate(ctx context.Context, request *schema.OperatorRequest) (*schema.OperatorResponse, error) {
	answer := make(chan *schema.OperatorResponse, 1)
	ticket := operations.Ticket(n.transport.nextNumber())
	n.operatorRequests.Store(ticket, answer)
	defer n.operatorRequests.Delete(ticket)
	n.do(func() {
		n.machine.Operate(n.Now(), ticket, proto.Clone(request).(*schema.OperatorRequest), waitingCaller{ctx})
	})
	select {
	case response := <-answer:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// operatorAnswered gives a response to the caller of operate that waits for it, if it still does.
func (n *Node) operatorAnswered(local controlplane.LocalResponse) {
	answer, isWaiting := n.operatorRequests.LoadAndDelete(local.Ticket)
	if isWaiting {
		answer.(chan *schema.OperatorResponse) <- local.Response
	}
}

// waitingCaller is the caller of operate, who waits until its context is done or its connection is closed. A process that stood still
// finds both a request and the end of its connection, and the context learns of the end later.
type waitingCaller struct{ ctx context.Context }

// IsWaiting implements operations.Caller.
func (c waitingCaller) IsWaiting() bool {
	return c.ctx.Err() == nil && !sockets.IsClosedByPeer(sockets.ConnOf(c.ctx))
}

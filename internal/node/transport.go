package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"topazshed/internal/frame"
	"topazshed/internal/inflight"
	"topazshed/internal/schema"
)

// transport is a node's connection to its peers: frames out, frames in, and calls that wait for a response. Any goroutine
// may use it.
type transport struct {
	node    *Node
	network *frame.Network
	// number is the last number of a call. Each incarnation begins at a random one, so that a response to an earlier
	// incarnation's call is recognised as stale.
	number atomic.Uint64
	calls  sync.Map // call number (uint64) -> *pendingCall
	// staleResponses counts responses that no call waits for.
	staleResponses atomic.Uint64
}

// pendingCall is a call to a peer that has no response yet.
type pendingCall struct {
	address  string
	response chan *schema.Frame
}

// CallError says that a peer did not answer a call in time. Whether the peer acted on it is not known.
type CallError struct {
	// Address is the peer's.
	Address string
	// Cause is the context's error.
	Cause error
}

func (e *CallError) Error() string { return fmt.Sprintf("call to %s: %v", e.Address, e.Cause) }

// Unwrap gives the context's error.
func (e *CallError) Unwrap() error { return e.Cause }

func newTransport(n *Node) *transport {
	t := &transport{node: n}
	t.number.Store(uint64(draw(inflight.FirstSerialLimit)))
	return t
}

// openNetwork listens for peers and starts the owner. Its clean-up ends the owner and waits for all tasks.
func (n *Node) openNetwork(ctx context.Context) error {
	var network *frame.Network
	err := n.retryStart(ctx, "peers", func() (err error) {
		network, err = frame.Open(frame.Options{Listen: n.settings.Peer, Handle: n.receive, Log: n.log.With("part", "frame")})
		return err
	})
	if err != nil {
		return err
	}
	n.transport.network = network
	n.tasks.Go(n.own)
	n.cleanup.push("owner", func() error {
		n.cancel()
		err := network.Close()
		n.tasks.Wait()
		return err
	})
	return nil
}

// receive takes a frame from a peer; a goroutine of the peer's connection calls it.
func (n *Node) receive(received *schema.Frame) {
	if received.Response {
		n.transport.accept(received)
		return
	}
	if n.service.respond(received) {
		return
	}
	if received.Body == nil {
		n.log.Warn("frame without body ignored", "from", received.From)
		return
	}
	n.do(func() { n.machine.Receive(n.Now(), received) })
}

func (t *transport) send(address string, f *schema.Frame) { t.network.Send(address, f) }

func (t *transport) nextNumber() uint64 { return t.number.Add(1) }

// accept gives a response to the call that waits for it. One to a call of an earlier incarnation, or from another node
// than the one that was called, is stale.
func (t *transport) accept(response *schema.Frame) {
	waiting, isThere := t.calls.Load(response.Call)
	if !isThere || waiting.(*pendingCall).address != response.Address || !t.calls.CompareAndDelete(response.Call, waiting) {
		t.staleResponses.Add(1)
		return
	}
	waiting.(*pendingCall).response <- response
}

// respond sends a response to a peer's request.
func (t *transport) respond(request, response *schema.Frame) {
	response.Call, response.Response = request.Call, true
	t.sign(response)
	t.send(request.Address, response)
}

// call sends a request to a peer and waits for its response; the error is a *CallError.
func (t *transport) call(ctx context.Context, address string, request *schema.Frame) (*schema.Frame, error) {
	waiting := &pendingCall{address, make(chan *schema.Frame, 1)}
	request.Call = t.nextNumber()
	t.sign(request)
	t.calls.Store(request.Call, waiting)
	defer t.calls.Delete(request.Call)
	t.send(address, request)
	select {
	case response := <-waiting.response:
		return response, nil
	case <-ctx.Done():
		return nil, &CallError{Address: address, Cause: ctx.Err()}
	}
}

// sign names this node as a frame's sender.
func (t *transport) sign(f *schema.Frame) {
	f.System, f.From, f.Address = t.node.local.Load().System, t.node.self.Id, t.node.self.Address
}

package sim

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
)

// budgetFactor is how often a first attempt is counted under FaultBudget.
const budgetFactor = 20

// respondFunc gets a proxy's answer, or how the connection broke: one of checker's Broken values.
type respondFunc func(result *proxy.Result, broken string)

// proxyRequest drives the request state machine of one request at a proxy: it carries out each order and hands back
// what came of it.
type proxyRequest struct {
	fleet    *Fleet
	node     *Node
	nodeBoot int
	id       uint64
	request  *proxy.Request
	machine  *proxy.RequestMachine
	respond  respondFunc
	// step numbers the orders; what came of an earlier one is dropped.
	step   int
	isDone bool
	// backend or peer is the other end of the open connection; peerBoot tells which process of the peer.
	backend  *Backend
	peer     *Node
	peerBoot int
}

// sortedRequests gives the requests in flight in the order of their arrival.
func (n *Node) sortedRequests() []*proxyRequest {
	var list []*proxyRequest
	for _, id := range slices.Sorted(maps.Keys(n.inFlight)) {
		list = append(list, n.inFlight[id])
	}
	return list
}

// startRequest hands a request to a machine's proxy.
func (f *Fleet) startRequest(n *Node, httpRequest *http.Request, respond respondFunc) {
	if !n.IsUp || n.isShut {
		respond(nil, checker.BrokenDial)
		return
	}
	f.onNode(n, n.Boot, func() {
		request, fault := proxy.ReadRequest(httpRequest)
		if fault != nil {
			respond(proxy.CallerResult(n.id, httpRequest.Header.Get(proxy.HeaderAttempt), nil, fault), "")
			return
		}
		request.SetDigest()
		n.serial++
		r := &proxyRequest{fleet: f, node: n, nodeBoot: n.Boot, id: n.serial, request: request, respond: respond}
		r.machine = proxy.NewRequestMachine(proxy.RequestOptions{
			Self:      &schema.Node{Id: n.id, Zone: n.Zone, Region: n.Region},
			Loads:     n.loads,
			Responses: n.kept,
			Draw:      n.random.Int63n,
			Request:   request,
			Owner:     fmt.Sprintf("%s/%d", n.id, n.serial),
			Begun:     f.clock(n),
		})
		n.inFlight[r.id] = r
		r.next(0, proxy.Event{Kind: proxy.EventBegun})
	})
}

// answer ends the request, once.
func (r *proxyRequest) answer(result *proxy.Result, broken string) {
	if r.isDone {
		return
	}
	r.isDone = true
	delete(r.node.inFlight, r.id)
	r.respond(result, broken)
}

// next hands an event to the request state machine and carries out its order. An event of an earlier step is dropped.
func (r *proxyRequest) next(step int, event proxy.Event) {
	f, n := r.fleet, r.node
	f.onNode(n, r.nodeBoot, func() {
		if r.isDone || step != r.step {
			return
		}
		switch f.Options.Fault {
		case FaultTouched:
			event.MayHaveRun = false
		case FaultBudget:
			for range budgetFactor {
				n.loads.First(f.clock(n), r.request.Service)
			}
		}
		retriesBefore := r.machine.Repeats
		order := r.machine.Next(f.clock(n), f.faultyLocal(n), event)
		f.Counts["repeats"] += r.machine.Repeats - retriesBefore
		if order.Kind != proxy.OrderListen {
			r.step++
		}
		r.perform(order)
	})
}

// perform carries out one order.
func (r *proxyRequest) perform(order proxy.Order) {
	f, n, step := r.fleet, r.node, r.step
	switch order.Kind {
	case proxy.OrderReply:
		if order.Refusal != nil {
			f.Counts[order.Refusal.Result+" "+order.Refusal.Kind]++
		}
		r.answer(proxy.CallerResult(n.id, r.request.Attempt, order.Result, order.Refusal), "")
	case proxy.OrderWait:
		if order.Wanted != "" {
			n.machine.Want(f.clock(n), order.Wanted)
			f.perform(n)
		}
		f.after(max(order.For, time.Microsecond), func() { r.next(step, proxy.Event{Kind: proxy.EventWoken}) })
	case proxy.OrderConnect:
		r.connect(step, order)
	case proxy.OrderSend:
		r.send(step, order)
	case proxy.OrderReserve:
		r.reserve(order, func(response *schema.ReservationResponse) {
			r.next(step, proxy.Event{Kind: proxy.EventReserved, Reserved: response})
		})
	case proxy.OrderReplay:
		r.replay(step, order)
	case proxy.OrderRelease:
		left := len(order.Reservations)
		r.reserve(order, func(*schema.ReservationResponse) {
			if left--; left == 0 {
				r.next(step, proxy.Event{Kind: proxy.EventReleased})
			}
		})
	}
}

// replay asks another proxy for the answer that it kept; nil after the order's time.
func (r *proxyRequest) replay(step int, order proxy.Order) {
	take := func(response *schema.ReplayResponse) {
		r.next(step, proxy.Event{Kind: proxy.EventReplayed, Replayed: response})
	}
	r.fleet.after(order.For, func() { take(nil) })
	frame := &schema.Frame{Body: &schema.Frame_ReplayRequest{ReplayRequest: order.Replay}}
	r.fleet.call(r.node, order.Address, frame, func(answer *schema.Frame) { take(answer.GetReplayResponse()) })
}

// reserve sends an order's reservations to their replicas; take gets one answer of each, nil after the order's time.
func (r *proxyRequest) reserve(order proxy.Order, take func(*schema.ReservationResponse)) {
	for _, call := range order.Reservations {
		isAnswered := false
		takeOnce := func(response *schema.ReservationResponse) {
			if !isAnswered {
				isAnswered = true
				take(response)
			}
		}
		r.fleet.after(order.For, func() { takeOnce(nil) })
		frame := &schema.Frame{Body: &schema.Frame_ReservationRequest{ReservationRequest: call.Request}}
		r.fleet.call(r.node, call.Member.Address, frame, func(answer *schema.Frame) { takeOnce(answer.GetReservationResponse()) })
	}
}

package sim

import (
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"topazshed/internal/proxy"
	"topazshed/internal/schema"
)

type proxyRequest struct {
	fleet    *Fleet
	node     *Node
	nodeBoot int
	id       uint64
	request  *proxy.Request
	machine  *proxy.RequestMachine
	respond  func(o *proxy.Result, broken string)
	step     int
	isDone   bool
	backend  *Backend
	peer     *Node
	peerBoot int
}

func (n *Node) sortedRequests() []*proxyRequest {
	var list []*proxyRequest
	for _, id := range slices.Sorted(maps.Keys(n.inFlight)) {
		list = append(list, n.inFlight[id])
	}
	return list
}

func (f *Fleet) startRequest(n *Node, r *http.Request, respond func(o *proxy.Result, broken string)) {
	if !n.IsUp || n.isShut {
		respond(nil, "dial")
		return
	}
	f.on(n, n.Boot, func() {
		q, fault := proxy.ReadRequest(r)
		if fault != nil {
			respond(proxy.Tell(n.id, r.Header.Get(proxy.HeaderAttempt), nil, fault), "")
			return
		}
		q.Seal()
		n.serial++
		c := &proxyRequest{fleet: f, node: n, nodeBoot: n.Boot, id: n.serial, request: q, respond: respond}
		c.machine = proxy.NewRequestMachine(proxy.RequestOptions{Self: &schema.Node{Id: n.id, Zone: n.Zone, Region: n.Region}, Loads: n.loads, Kept: n.kept, Draw: n.random.Int63n, Request: q,
			Owner: fmt.Sprintf("%s/%d", n.id, n.serial), Begun: f.clock(n)})
		n.inFlight[c.id] = c
		c.next(0, proxy.Event{Kind: proxy.EventBegun})
	})
}

func (c *proxyRequest) answer(o *proxy.Result, broken string) {
	if !c.isDone {
		c.isDone = true
		delete(c.node.inFlight, c.id)
		c.respond(o, broken)
	}
}

func (c *proxyRequest) next(step int, e proxy.Event) {
	f, n := c.fleet, c.node
	f.on(n, c.nodeBoot, func() {
		if c.isDone || step != c.step {
			return
		}
		if f.Options.Fault == "touched" {
			e.IsTouched = false
		}
		if f.Options.Fault == "budget" {
			for range 20 {
				n.loads.First(f.clock(n), c.request.Service)
			}
		}
		before := c.machine.Repeats
		order := c.machine.Next(f.clock(n), f.faultyLocal(n), e)
		f.Counts["repeats"] += c.machine.Repeats - before
		if order.Kind != proxy.OrderListen {
			c.step++
		}
		c.perform(order)
	})
}

func (c *proxyRequest) perform(order proxy.Order) {
	f, n, step := c.fleet, c.node, c.step
	switch order.Kind {
	case proxy.OrderReply:
		if order.Fault != nil {
			f.Counts[order.Fault.Result+" "+order.Fault.Kind]++
		}
		c.answer(proxy.Tell(n.id, c.request.Attempt, order.Result, order.Fault), "")
	case proxy.OrderWait:
		if order.Wanted != "" {
			n.machine.Want(f.clock(n), order.Wanted)
			f.perform(n)
		}
		f.after(max(order.For, time.Microsecond), func() { c.next(step, proxy.Event{Kind: proxy.EventWoken}) })
	case proxy.OrderConnect:
		c.connect(step, order)
	case proxy.OrderSend:
		c.send(step, order)
	case proxy.OrderReserve:
		c.reserve(step, order, func(o *schema.ReservationResponse) {
			c.next(step, proxy.Event{Kind: proxy.EventReserved, Reserved: o})
		})
	case proxy.OrderReplay:
		tell := func(o *schema.ReplayResponse) { c.next(step, proxy.Event{Kind: proxy.EventReplayed, Replayed: o}) }
		f.after(order.For, func() { tell(nil) })
		f.call(n, order.Address, &schema.Frame{Body: &schema.Frame_ReplayRequest{ReplayRequest: order.Replay}}, func(o *schema.Frame) { tell(o.GetReplayResponse()) })
	case proxy.OrderRelease:
		left := len(order.Reservations)
		c.reserve(step, order, func(*schema.ReservationResponse) {
			if left--; left == 0 {
				c.next(step, proxy.Event{Kind: proxy.EventReleased})
			}
		})
	}
}

func (c *proxyRequest) reserve(step int, order proxy.Order, take func(*schema.ReservationResponse)) {
	f := c.fleet
	for _, call := range order.Reservations {
		isNotified := false
		tell := func(o *schema.ReservationResponse) {
			if !isNotified {
				isNotified = true
				take(o)
			}
		}
		f.after(order.For, func() { tell(nil) })
		f.call(c.node, call.Member.Address, &schema.Frame{Body: &schema.Frame_ReservationRequest{ReservationRequest: call.Request}}, func(o *schema.Frame) { tell(o.GetReservationResponse()) })
	}
}

func (c *proxyRequest) connect(step int, order proxy.Order) {
	f, n := c.fleet, c.node
	tell := func(after time.Duration, err error) {
		f.after(after, func() { c.next(step, proxy.Event{Kind: proxy.EventConnected, Err: err}) })
	}
	c.backend, c.peer = nil, nil
	if name, isProxy := strings.CutSuffix(order.Address, ":p"); isProxy {
		peer := f.Node(name)
		span := 2 * f.delay(n, peer)
		switch {
		case f.cuts[[2]string{n.Name, name}] || f.cuts[[2]string{name, n.Name}] || f.Now < peer.frozenUntil || !peer.IsUp && peer.isUnresponsive:
			tell(order.For, fmt.Errorf("connect to %s: no answer", name))
		case !peer.IsUp || peer.isShut:
			tell(span, fmt.Errorf("connect to %s: refused", name))
		case peer.id != order.Who.Instance:
			tell(span, &proxy.IdentityError{Want: order.Who, Got: proxy.Identity{Service: "topazshed", Instance: peer.id}})
		default:
			c.peer, c.peerBoot = peer, peer.Boot
			tell(span, nil)
		}
		return
	}
	b := f.backendAt(order.Address)
	switch {
	case b == nil:
		span, err := time.Millisecond, f.connectionRefused(order.Address)
		if listed := f.findBackend(order.Who.Instance); listed != nil && listed.isUnresponsive {
			span, err = order.For, fmt.Errorf("connect to %s: no answer", order.Address)
		}
		tell(span, err)
	case f.cuts[[2]string{n.Name, b.Instance}] || f.Now < b.frozenUntil:
		tell(order.For, fmt.Errorf("connect to %s: no answer", order.Address))
	case (b.Service != order.Who.Service || b.Instance != order.Who.Instance) && f.Options.Fault != "identity":
		tell(time.Millisecond, &proxy.IdentityError{Want: order.Who, Got: proxy.Identity{Service: b.Service, Instance: b.Instance}})
	default:
		c.backend = b
		tell(time.Millisecond, nil)
	}
}

func (c *proxyRequest) send(step int, order proxy.Order) {
	f, n := c.fleet, c.node
	finish := func(e proxy.Event) { c.next(step, e) }
	late := proxy.Event{Kind: proxy.EventAnswered, Err: os.ErrDeadlineExceeded, IsTouched: true}
	f.after(order.For, func() { finish(late) })
	if c.peer == nil {
		b := c.backend
		f.checkTrail(c.request, order.Header.Get(proxy.HeaderNumber))
		if f.freezeBeforeSend > 0 && c.request.Method != http.MethodGet {
			f.Freeze(n, f.freezeBeforeSend)
			f.freezeBeforeSend = 0
		}
		f.after(500*time.Microsecond, func() {
			f.onWire(n, c.nodeBoot, func() {
				switch {
				case !b.IsUp:
					finish(proxy.Event{Kind: proxy.EventAnswered, Err: fmt.Errorf("connection reset by %s", b.Instance), IsTouched: true})
				case !f.cuts[[2]string{n.Name, b.Instance}]:
					f.receiveRequest(b, n, order, c.request.Method, finish)
				}
			})
		})
		return
	}
	peer, run := c.peer, c.peerBoot
	link, back := [2]string{n.Name, peer.Name}, [2]string{peer.Name, n.Name}
	f.after(f.delay(n, peer), func() {
		if f.cuts[link] || f.Now < peer.frozenUntil && !peer.IsUp {
			return
		}
		if !peer.IsUp || peer.Boot != run {
			finish(proxy.Event{Kind: proxy.EventAnswered, Err: fmt.Errorf("connection reset by %s", peer.Name), IsTouched: true})
			return
		}
		target, err := url.Parse("http://" + peer.Name + order.Path)
		if err != nil {
			f.addViolation("a forward has path %q", order.Path)
			return
		}
		f.startRequest(peer, &http.Request{Method: c.request.Method, URL: target, Header: order.Header.Clone()}, func(o *proxy.Result, broken string) {
			f.after(f.delay(n, peer), func() {
				switch {
				case f.cuts[back]:
				case broken != "":
					finish(proxy.Event{Kind: proxy.EventAnswered, Err: fmt.Errorf("the proxy's connection broke: %s", broken), IsTouched: true})
				default:
					finish(proxy.Event{Kind: proxy.EventAnswered, Result: o, IsTouched: true})
				}
			})
		})
	})
}

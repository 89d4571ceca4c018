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

type carried struct {
	fleet   *Fleet
	node    *Node
	boot    int
	id      uint64
	request *proxy.Request
	machine *proxy.RequestMachine
	respond func(o *proxy.Result, broken string)
	step    int
	isOver  bool
	backend *Backend
	peer    *Node
	peerRun int
}

func (n *Node) sorted() []*carried {
	var list []*carried
	for _, id := range slices.Sorted(maps.Keys(n.flying)) {
		list = append(list, n.flying[id])
	}
	return list
}

func (f *Fleet) carry(n *Node, r *http.Request, respond func(o *proxy.Result, broken string)) {
	if !n.IsUp || n.isShut {
		respond(nil, "dial")
		return
	}
	f.on(n, n.Boot, func() {
		q, fault := proxy.ReadRequest(r)
		if fault != nil {
			respond(proxy.Tell(n.ident, r.Header.Get(proxy.HeaderAttempt), nil, fault), "")
			return
		}
		q.Seal()
		n.serial++
		c := &carried{fleet: f, node: n, boot: n.Boot, id: n.serial, request: q, respond: respond}
		c.machine = proxy.NewRequestMachine(proxy.RequestOptions{Self: &schema.Node{Id: n.ident, Zone: n.Zone, Region: n.Region}, Loads: n.loads, Kept: n.kept, Draw: n.random.Int63n, Request: q,
			Owner: fmt.Sprintf("%s/%d", n.ident, n.serial), Begun: f.clock(n)})
		n.flying[c.id] = c
		c.next(0, proxy.Event{Kind: proxy.EventBegun})
	})
}

func (c *carried) answer(o *proxy.Result, broken string) {
	if !c.isOver {
		c.isOver = true
		delete(c.node.flying, c.id)
		c.respond(o, broken)
	}
}

func (c *carried) next(step int, e proxy.Event) {
	f, n := c.fleet, c.node
	f.on(n, c.boot, func() {
		if c.isOver || step != c.step {
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
		order := c.machine.Next(f.clock(n), f.local(n), e)
		f.Counts["repeats"] += c.machine.Repeats - before
		if order.Kind != proxy.OrderListen {
			c.step++
		}
		c.obey(order)
	})
}

func (c *carried) obey(order proxy.Order) {
	f, n, step := c.fleet, c.node, c.step
	switch order.Kind {
	case proxy.OrderReply:
		if order.Fault != nil {
			f.Counts[order.Fault.Result+" "+order.Fault.Kind]++
		}
		c.answer(proxy.Tell(n.ident, c.request.Attempt, order.Result, order.Fault), "")
	case proxy.OrderWait:
		if order.Wanted != "" {
			n.core.Want(f.clock(n), order.Wanted)
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

func (c *carried) reserve(step int, order proxy.Order, take func(*schema.ReservationResponse)) {
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

func (c *carried) connect(step int, order proxy.Order) {
	f, n := c.fleet, c.node
	tell := func(after time.Duration, err error) {
		f.after(after, func() { c.next(step, proxy.Event{Kind: proxy.EventConnected, Err: err}) })
	}
	c.backend, c.peer = nil, nil
	if name, isProxy := strings.CutSuffix(order.Address, ":p"); isProxy {
		peer := f.Node(name)
		span := 2 * f.delay(n, peer)
		switch {
		case f.cuts[[2]string{n.Name, name}] || f.cuts[[2]string{name, n.Name}] || f.Now < peer.frozen || !peer.IsUp && peer.isSilent:
			tell(order.For, fmt.Errorf("connect to %s: no answer", name))
		case !peer.IsUp || peer.isShut:
			tell(span, fmt.Errorf("connect to %s: refused", name))
		case peer.ident != order.Who.Instance:
			tell(span, &proxy.IdentityError{Want: order.Who, Got: proxy.Identity{Service: "topazshed", Instance: peer.ident}})
		default:
			c.peer, c.peerRun = peer, peer.Boot
			tell(span, nil)
		}
		return
	}
	b := f.at(order.Address)
	switch {
	case b == nil:
		span, err := time.Millisecond, f.refused(order.Address)
		if listed := f.backend(order.Who.Instance); listed != nil && listed.isSilent {
			span, err = order.For, fmt.Errorf("connect to %s: no answer", order.Address)
		}
		tell(span, err)
	case f.cuts[[2]string{n.Name, b.Instance}] || f.Now < b.frozen:
		tell(order.For, fmt.Errorf("connect to %s: no answer", order.Address))
	case (b.Service != order.Who.Service || b.Instance != order.Who.Instance) && f.Options.Fault != "identity":
		tell(time.Millisecond, &proxy.IdentityError{Want: order.Who, Got: proxy.Identity{Service: b.Service, Instance: b.Instance}})
	default:
		c.backend = b
		tell(time.Millisecond, nil)
	}
}

func (c *carried) send(step int, order proxy.Order) {
	f, n := c.fleet, c.node
	finish := func(e proxy.Event) { c.next(step, e) }
	late := proxy.Event{Kind: proxy.EventAnswered, Err: os.ErrDeadlineExceeded, IsTouched: true}
	f.after(order.For, func() { finish(late) })
	if c.peer == nil {
		b := c.backend
		f.began(c.request, order.Header.Get(proxy.HeaderNumber))
		if f.freezeAttempt > 0 && c.request.Method != http.MethodGet {
			f.Freeze(n, f.freezeAttempt)
			f.freezeAttempt = 0
		}
		f.after(500*time.Microsecond, func() {
			f.onWire(n, c.boot, func() {
				switch {
				case !b.IsUp:
					finish(proxy.Event{Kind: proxy.EventAnswered, Err: fmt.Errorf("connection reset by %s", b.Instance), IsTouched: true})
				case !f.cuts[[2]string{n.Name, b.Instance}]:
					f.arrive(b, n, order, c.request.Method, finish)
				}
			})
		})
		return
	}
	peer, run := c.peer, c.peerRun
	link, back := [2]string{n.Name, peer.Name}, [2]string{peer.Name, n.Name}
	f.after(f.delay(n, peer), func() {
		if f.cuts[link] || f.Now < peer.frozen && !peer.IsUp {
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
		f.carry(peer, &http.Request{Method: c.request.Method, URL: target, Header: order.Header.Clone()}, func(o *proxy.Result, broken string) {
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

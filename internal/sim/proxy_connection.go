package sim

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"topazshed/internal/proxy"
)

// proxyService is the service name that proxies prove on a connection.
const proxyService = "topazshed"

// connect opens a connection to a back end or to another proxy.
func (r *proxyRequest) connect(step int, order proxy.Order) {
	r.backend, r.peer = nil, nil
	var delay time.Duration
	var err error
	if name, isProxy := strings.CutSuffix(order.Address, proxySuffix); isProxy {
		delay, err = r.connectPeer(name, order)
	} else {
		delay, err = r.connectBackend(order)
	}
	r.fleet.after(delay, func() { r.next(step, proxy.Event{Kind: proxy.EventConnected, Err: err}) })
}

// connectPeer gives how long a connection to another proxy takes and its error.
func (r *proxyRequest) connectPeer(name string, order proxy.Order) (time.Duration, error) {
	f, n := r.fleet, r.node
	peer := f.Node(name)
	roundTrip := 2 * f.delay(n, peer)
	isFrozen := f.Now < peer.frozenUntil
	switch {
	case f.links.isCutEitherWay(n.Name, name) || isFrozen || !peer.IsUp && peer.isUnresponsive:
		return order.For, noAnswerError(name)
	case !peer.IsUp || peer.isShut:
		return roundTrip, fmt.Errorf("connect to %s: refused", name)
	case peer.id != order.Identity.Instance:
		got := proxy.Identity{Service: proxyService, Instance: peer.id}
		return roundTrip, &proxy.IdentityError{Want: order.Identity, Got: got}
	}
	r.peer, r.peerBoot = peer, peer.Boot
	return roundTrip, nil
}

// connectBackend gives how long a connection to a back end takes and its error.
func (r *proxyRequest) connectBackend(order proxy.Order) (time.Duration, error) {
	f := r.fleet
	b := f.backendAt(order.Address)
	if b == nil {
		if listed := f.findBackend(order.Identity.Instance); listed != nil && listed.isUnresponsive {
			return order.For, noAnswerError(order.Address)
		}
		return connectDelay, f.refusedError(order.Address)
	}
	if f.links.isCut(r.node.Name, b.Instance) || f.Now < b.frozenUntil {
		return order.For, noAnswerError(order.Address)
	}
	got := proxy.Identity{Service: b.Service, Instance: b.Instance}
	if got != order.Identity && f.Options.Fault != FaultIdentity {
		return connectDelay, &proxy.IdentityError{Want: order.Identity, Got: got}
	}
	r.backend = b
	return connectDelay, nil
}

// send writes an attempt on the open connection; it breaks after the order's time.
func (r *proxyRequest) send(step int, order proxy.Order) {
	finish := func(event proxy.Event) { r.next(step, event) }
	r.fleet.after(order.For, func() { finish(failedEvent(os.ErrDeadlineExceeded)) })
	if r.peer != nil {
		r.sendToPeer(order, finish)
		return
	}
	r.sendToBackend(order, finish)
}

func (r *proxyRequest) sendToBackend(order proxy.Order, finish func(proxy.Event)) {
	f, n, b := r.fleet, r.node, r.backend
	f.checkTrail(r.request, order.Header.Get(proxy.HeaderNumber))
	if f.freezeBeforeSend > 0 && r.request.Method != http.MethodGet {
		f.Freeze(n, f.freezeBeforeSend)
		f.freezeBeforeSend = 0
	}
	f.after(backendDelay, func() {
		f.whenAwake(n, r.nodeBoot, func() {
			switch {
			case !b.IsUp:
				finish(failedEvent(resetError(b.Instance)))
			case !f.links.isCut(n.Name, b.Instance):
				f.receiveRequest(b, n, order, r.request.Method, finish)
			}
		})
	})
}

// sendToPeer forwards an attempt to another proxy.
func (r *proxyRequest) sendToPeer(order proxy.Order, finish func(proxy.Event)) {
	f, n, peer, peerBoot := r.fleet, r.node, r.peer, r.peerBoot
	f.after(f.delay(n, peer), func() {
		if f.links.isCut(n.Name, peer.Name) || f.Now < peer.frozenUntil && !peer.IsUp {
			return
		}
		if !peer.IsUp || peer.Boot != peerBoot {
			finish(failedEvent(resetError(peer.Name)))
			return
		}
		target, err := url.Parse("http://" + peer.Name + order.Path)
		if err != nil {
			f.addViolation("a forwarded request has path %q", order.Path)
			return
		}
		forwarded := &http.Request{Method: r.request.Method, URL: target, Header: order.Header.Clone()}
		f.startRequest(peer, forwarded, func(result *proxy.Result, broken string) {
			f.after(f.delay(n, peer), func() { r.finishForwarded(peer, result, broken, finish) })
		})
	})
}

// finishForwarded hands back what came of a forwarded attempt, unless the way back is cut.
func (r *proxyRequest) finishForwarded(peer *Node, result *proxy.Result, broken string, finish func(proxy.Event)) {
	switch {
	case r.fleet.links.isCut(peer.Name, r.node.Name):
	case broken != "":
		finish(failedEvent(fmt.Errorf("the proxy's connection broke: %s", broken)))
	default:
		finish(proxy.Event{Kind: proxy.EventAnswered, Result: result, MayHaveRun: true})
	}
}

package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
)

// The kinds of the gateway's own responses that are no refusals.
const (
	kindOversize   = "oversize"
	kindBadAttempt = "bad-attempt"
	kindBadPath    = "bad-path"
	kindNoRoute    = "no-route"
	kindFailed     = "failed"
)

// noRouteLogEvery is the least time between two log lines about requests that no route fits.
const noRouteLogEvery = time.Second

// ServeHTTP takes one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := g.options.Now()
	local := g.options.Local()
	id := r.Header.Get(g.options.Names.Attempt)
	if !IsFit(local) {
		retryAfter := ComeBack(constants.RefuseAfterMove, g.waitOf(r, constants.RefuseUnknown), g.options.Draw)
		g.refuse(w, id, RefusalNotReady, "this node does not know the newest state yet; another node may", retryAfter)
		return
	}
	if limit := local.View.Limits.GetHeaderBytes(); limit > 0 && headerBytes(r) > int(limit) {
		g.respond(w, id, ownResponse{
			Status:           http.StatusRequestHeaderFieldsTooLarge,
			Kind:             kindOversize,
			Message:          fmt.Sprintf("the head is above the limit of %d bytes; send less", limit),
			ClosesConnection: true,
		})
		return
	}
	if id == "" || len(r.Header.Values(g.options.Names.Attempt)) != 1 {
		message := "send one " + g.options.Names.Attempt
		g.respond(w, "", ownResponse{Status: http.StatusBadRequest, Kind: kindBadAttempt, Message: message, ClosesConnection: true})
		return
	}
	g.route(w, r, local, begun)
}

// route finds the route of a request, and refuses the request if the node is full.
func (g *Gateway) route(w http.ResponseWriter, r *http.Request, local *controlplane.Local, begun time.Duration) {
	id := r.Header.Get(g.options.Names.Attempt)
	route := local.View.Route(hostOf(r), pathOf(r))
	if route == nil {
		g.logNoRoute(local, begun)
		if g.areRowsStale(local, begun) {
			retryAfter := ComeBack(constants.RefuseAfterMove, g.waitOf(r, constants.RefuseUnknown), g.options.Draw)
			g.refuse(w, id, RefusalNotReady, "this node's configuration is not confirmed; another node may know the route", retryAfter)
			return
		}
		message := "no route of this host begins the path; see the configuration"
		g.respond(w, id, ownResponse{Status: http.StatusNotFound, Kind: kindNoRoute, Message: message})
		return
	}
	wait := g.waitOf(r, time.Duration(route.TimeoutMs)*time.Millisecond)
	inFlight := int(g.inFlight.Add(1))
	defer g.inFlight.Add(-1)
	if g.options.Capacity > 0 && IsFull(inFlight, g.options.Capacity, route.Priority) {
		retryAfter := ComeBack(constants.RefuseAfter, wait, g.options.Draw)
		g.refuse(w, id, RefusalBusy, "this node has too many requests in flight; another may have capacity", retryAfter)
		return
	}
	options := g.requestOptions(r, route, begun, wait)
	g.serveRoute(w, r, local, &options)
}

// areRowsStale tells whether a change may be in force that this node does not know: a majority has not confirmed its rows for so
// long that a configuration acknowledged since must be in force.
func (g *Gateway) areRowsStale(local *controlplane.Local, now time.Duration) bool {
	within := g.options.Bounds.ApplyWithin
	return within > 0 && now-local.FreshAt >= within
}

// logNoRoute logs, at most once in noRouteLogEvery, by how old a state a request was answered that no route fits.
func (g *Gateway) logNoRoute(local *controlplane.Local, now time.Duration) {
	last := g.noRouteLoggedAt.Load()
	if now-time.Duration(last) < noRouteLogEvery || !g.noRouteLoggedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	g.options.Log.Info("no route fits a request", "configuration", local.View.Head.GetVersion(),
		"ageMilliseconds", (now - local.FreshAt).Milliseconds(), "role", local.Role, "term", local.Term, "leader", local.Leader, "source", local.Source)
}

// requestOptions draws the service that the route sends this request to.
func (g *Gateway) requestOptions(r *http.Request, route *schema.Route, begun, wait time.Duration) RequestOptions {
	options := RequestOptions{
		Self:     g.options.Self,
		Loads:    g.loads,
		Pressure: g.pressure,
		Draw:     g.options.Draw,
		Route:    route,
		Service:  g.drawService(route),
		Token:    r.Header.Get(g.options.Names.Attempt),
		Begun:    begun,
		Until:    begun + wait,
	}
	options.Key, options.HasKey = g.keyOf(r)
	return options
}

// drawService picks one of a route's services by their weights.
func (g *Gateway) drawService(route *schema.Route) string {
	total := int64(0)
	for _, target := range route.Targets {
		total += int64(target.Weight)
	}
	if total <= 0 {
		return ""
	}
	drawn := g.options.Draw(total)
	for _, target := range route.Targets {
		drawn -= int64(target.Weight)
		if drawn < 0 {
			return target.Service
		}
	}
	return ""
}

// serveRoute reads the body of a request whose route is known, and carries it out.
func (g *Gateway) serveRoute(w http.ResponseWriter, r *http.Request, local *controlplane.Local, options *RequestOptions) {
	if response, isBad := limitBody(w, r, local.View.Limits); isBad {
		g.respond(w, options.Token, response)
		return
	}
	if hasAmbiguousPath(r) {
		g.respond(w, options.Token, ownResponse{
			Status:           http.StatusBadRequest,
			Kind:             kindBadPath,
			Message:          "the path begins with two slashes and is not in its plain form; send it escaped",
			ClosesConnection: true,
		})
		return
	}
	e := execution{
		gateway:  g,
		writer:   w,
		request:  r,
		exchange: exchange{names: g.options.Names, request: r, id: options.Token, length: r.ContentLength},
	}
	if err := e.exchange.takeBody(); err != nil {
		if !isTooLarge(err) {
			panic(http.ErrAbortHandler)
		}
		message := "the body is above the limit; send less"
		g.respond(w, options.Token, ownResponse{Status: http.StatusRequestEntityTooLarge, Kind: kindOversize, Message: message})
		return
	}
	options.IsReplayable = e.exchange.stream == nil
	g.loads.First(options.Begun, options.Service)
	if service := local.View.Services[options.Service]; service != nil {
		options.IsKeyed = service.Policy.GetKeyed() && options.HasKey
	}
	e.machine.RequestOptions = *options
	e.run()
}

// limitBody bounds what is read of a request's body, and gives the response to one whose length is known to be above the limit.
func limitBody(w http.ResponseWriter, r *http.Request, limits *schema.Limits) (response ownResponse, isBad bool) {
	limit := limits.GetBodyBytes()
	if limit == 0 {
		return ownResponse{}, false
	}
	if r.ContentLength > int64(limit) {
		return ownResponse{
			Status:           http.StatusRequestEntityTooLarge,
			Kind:             kindOversize,
			Message:          fmt.Sprintf("the body is above the limit of %d bytes; send less", limit),
			ClosesConnection: true,
		}, true
	}
	r.Body = http.MaxBytesReader(w, r.Body, int64(limit))
	return ownResponse{}, false
}

// isTooLarge tells that a body ended because it is above the limit.
func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

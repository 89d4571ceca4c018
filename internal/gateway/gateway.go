// Package gateway carries the requests of a routed fleet to back ends: a pure course is asked, an executor obeys.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Names are the header names of a deployment.
type Names struct {
	Attempt  string
	Deadline string
	Seal     string
	Target   string
	NotRun   string
	Key      string
}

// DefaultNames are the product's own.
func DefaultNames() Names {
	return Names{Attempt: "Topazshed-Attempt", Deadline: "Topazshed-Wait", Seal: "Content-Digest", Target: "Topazshed-Instance", NotRun: "Topazshed-Not-Run", Key: "Topazshed-Key"}
}

// Options make a Gateway.
type Options struct {
	Self   *schema.Node
	Now    func() time.Duration
	Local  func() *controlplane.Local
	Draw   func(int64) int64
	Names  Names
	Bounds Bounds
	Listen string
	// Room is how many requests may be in flight; 0 is no bound.
	Capacity int
	Log      *slog.Logger
}

// Stats count what a gateway did since its start.
type Stats struct {
	Served      atomic.Uint64
	Refused     atomic.Uint64
	Failed      atomic.Uint64
	Repeats     atomic.Uint64
	Connections atomic.Uint64
}

// Gateway takes requests from callers.
type Gateway struct {
	options  Options
	stats    Stats
	pool     *Pool
	loads    *Loads
	pressure *Pressure
	inFlight atomic.Int64
	stopping atomic.Bool
}

// New makes one.
func New(options Options) *Gateway {
	g := &Gateway{options: options, loads: NewLoads(options.Now(), options.Bounds), pressure: NewPressure()}
	g.pool = NewPool(options.Listen, &g.stats)
	return g
}

// Loads are the hot tables.
func (g *Gateway) Loads() *Loads { return g.loads }

// Stats are the counts.
func (g *Gateway) Stats() map[string]uint64 {
	return map[string]uint64{"sealed": g.stats.Served.Load(), "declined": g.stats.Refused.Load(), "doubtful": g.stats.Failed.Load(),
		"repeats": g.stats.Repeats.Load(), "connections": g.stats.Connections.Load()}
}

// Stop lets every answer close its connection, so that callers turn elsewhere.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Close closes the idle connections to back ends.
func (g *Gateway) Close() error { return g.pool.Close() }

// Tend forgets what the view no longer holds; the node calls it now and then.
func (g *Gateway) Tend(view *store.View) {
	known := map[string]bool{}
	for _, service := range view.Services {
		for _, backend := range service.Backends {
			if backend.State == schema.BackendState_BACKEND_READY {
				known[backend.Instance] = true
			}
		}
	}
	isKnown := func(id string) bool { return known[id] }
	g.pool.Trim(isKnown)
	g.loads.Keep(isKnown)
	g.pressure.Keep(isKnown)
}

// HealthReports reports are the back ends that failed this node's requests, or served it although they are failing, since it was last asked.
func (g *Gateway) HealthReports() []*schema.HealthReport {
	failing := map[string]bool{}
	for _, service := range g.options.Local().View.Services {
		for _, backend := range service.Backends {
			if backend.Failing {
				failing[backend.Instance] = true
			}
		}
	}
	return g.loads.TakeHealthReports(g.options.Now(), func(id string) bool { return failing[id] })
}

type fault struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

func (g *Gateway) tell(w http.ResponseWriter, id string, status int, kind, message string, after time.Duration) {
	body, err := json.Marshal(fault{kind, message})
	if err != nil {
		body = []byte("{}")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if id != "" {
		header.Set(g.options.Names.Attempt, id)
	}
	if after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if g.stopping.Load() {
		header.Set("Connection", "close")
	}
	w.WriteHeader(status)
	w.Write(body)
}

// IsFit tells whether a node has a configuration: its own disk's after a start, until it is told of a newer one.
func IsFit(local *controlplane.Local) bool { return local.View.Head.GetVersion() > 0 }

func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("  \r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

func hostOf(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = r.URL.EscapedPath()
	}
	return path
}

// wait is how long a caller waits, at most so long.
func (g *Gateway) wait(r *http.Request, most time.Duration) time.Duration {
	if ms, err := strconv.ParseInt(r.Header.Get(g.options.Names.Deadline), 10, 64); err == nil && ms >= 0 {
		return min(most, time.Duration(ms)*time.Millisecond)
	}
	return most
}

// ServeHTTP takes one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := g.options.Now()
	names := g.options.Names
	ids := r.Header.Values(names.Attempt)
	id := r.Header.Get(names.Attempt)
	local := g.options.Local()
	if !IsFit(local) {
		g.stats.Refused.Add(1)
		g.tell(w, id, http.StatusServiceUnavailable, string(RefusalNotReady), "this node does not know the newest state yet; another node may", ComeBack(constants.RefuseAfterMove, g.wait(r, constants.RefuseUnknown), g.options.Draw))
		return
	}
	if limit := local.View.Limits.GetHeaderBytes(); limit > 0 && headerBytes(r) > int(limit) {
		w.Header().Set("Connection", "close")
		g.tell(w, id, http.StatusRequestHeaderFieldsTooLarge, "oversize", fmt.Sprintf("the head is above the limit of %d bytes; send less", limit), 0)
		return
	}
	if len(ids) != 1 || id == "" {
		w.Header().Set("Connection", "close")
		g.tell(w, "", http.StatusBadRequest, "bad-attempt", "send one "+names.Attempt, 0)
		return
	}
	route := local.View.Route(hostOf(r), pathOf(r))
	if route == nil {
		g.tell(w, id, http.StatusNotFound, "no-route", "no route of this host begins the path; see the configuration", 0)
		return
	}
	left := g.wait(r, time.Duration(route.TimeoutMs)*time.Millisecond)
	inFlight := int(g.inFlight.Add(1))
	defer g.inFlight.Add(-1)
	if g.options.Capacity > 0 && IsFull(inFlight, g.options.Capacity, route.Priority) {
		g.stats.Refused.Add(1)
		g.tell(w, id, http.StatusServiceUnavailable, string(RefusalBusy), "this node has too many requests in flight; another may have room", ComeBack(constants.RefuseAfter, left, g.options.Draw))
		return
	}
	options := RequestOptions{Self: g.options.Self, Loads: g.loads, Pressure: g.pressure, Draw: g.options.Draw, Route: route, Service: g.pick(route), Token: id, Begun: begun, Until: begun + left, IsReplayable: true}
	if text := r.Header.Get(names.Key); text != "" {
		key, err := strconv.ParseUint(text, 10, 16)
		options.Key, options.HasKey = uint32(key), err == nil
	}
	if limit := local.View.Limits.GetBodyBytes(); limit > 0 {
		if r.ContentLength > int64(limit) {
			w.Header().Set("Connection", "close")
			g.tell(w, id, http.StatusRequestEntityTooLarge, "oversize", fmt.Sprintf("the body is above the limit of %d bytes; send less", limit), 0)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, int64(limit))
	}
	if strings.HasPrefix(r.RequestURI, "//") && target(r).RequestURI() != r.RequestURI {
		w.Header().Set("Connection", "close")
		g.tell(w, id, http.StatusBadRequest, "bad-path", "the path begins with two slashes and is not in its plain form; send it escaped", 0)
		return
	}
	x := &exchange{names: names, request: r, id: id, length: r.ContentLength}
	if err := x.take(r); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			g.tell(w, id, http.StatusRequestEntityTooLarge, "oversize", "the body is above the limit; send less", 0)
			return
		}
		panic(http.ErrAbortHandler)
	}
	options.IsReplayable = x.stream == nil
	g.loads.First(begun, options.Service)
	if service := local.View.Services[options.Service]; service != nil {
		options.IsKeyed = service.Policy.GetKeyed() && options.HasKey
	}
	g.run(w, r, x, NewRequestMachine(options))
}

func (x *exchange) take(r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	kept, err := io.ReadAll(io.LimitReader(r.Body, constants.KeepBody+1))
	if err != nil {
		return err
	}
	x.body = kept
	if len(kept) > constants.KeepBody {
		x.stream = &limited{Reader: r.Body}
	}
	return nil
}

func (g *Gateway) pick(route *schema.Route) string {
	total := int64(0)
	for _, target := range route.Targets {
		total += int64(target.Weight)
	}
	if total <= 0 {
		return ""
	}
	at := g.options.Draw(total)
	for _, target := range route.Targets {
		if at -= int64(target.Weight); at < 0 {
			return target.Service
		}
	}
	return ""
}

func (g *Gateway) run(w http.ResponseWriter, r *http.Request, x *exchange, machine *RequestMachine) {
	ctx, cancel := context.WithTimeout(r.Context(), machine.Until-machine.Begun)
	defer cancel()
	defer func() { g.stats.Repeats.Add(uint64(machine.Repeats)) }()
	var conn *Conn
	var answer *Answer
	isClean := false
	event := Event{Kind: EventBegun}
	for {
		order := machine.Next(g.options.Now(), g.options.Local().View, event)
		if conn != nil && order.Kind != OrderSend && order.Kind != OrderPass {
			g.end(machine, conn, answer, isClean)
			conn = nil
		}
		switch order.Kind {
		case OrderConnect:
			answer = nil
			instance := order.Backend.Instance
			g.loads.Begin(instance)
			fresh, err := g.pool.Get(ctx, order.Backend, order.Wait, machine.Route.Repeatable)
			if err != nil {
				g.loads.End(g.options.Now(), instance, 0, false)
				event = Event{Kind: EventUnreached, Reason: err.Error()}
				if ctx.Err() == nil || errors.Is(err, syscall.ECONNREFUSED) {
					g.loads.Fail(g.options.Now(), instance)
					g.loads.Judge(g.options.Now(), machine.Service, instance, VerdictFailed, 0)
				}
				if errors.Is(ctx.Err(), context.Canceled) {
					panic(http.ErrAbortHandler)
				}
				if ctx.Err() != nil {
					event = Event{Kind: EventExpired}
				}
				continue
			}
			conn, isClean = fresh, false
			event = Event{Kind: EventConnected}
		case OrderWait:
			event = Event{Kind: EventWoken}
			select {
			case <-ctx.Done():
				if errors.Is(ctx.Err(), context.Canceled) {
					panic(http.ErrAbortHandler)
				}
				event = Event{Kind: EventExpired}
			case <-time.After(order.Wait):
			}
		case OrderSend:
			answer, isClean, event = g.send(ctx, x, conn, order, machine)
			if event.Kind == EventExpired && errors.Is(ctx.Err(), context.Canceled) {
				conn.Close()
				panic(http.ErrAbortHandler)
			}
		case OrderPass:
			g.stats.Served.Add(1)
			stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
			isWhole := g.pass(w, r, answer)
			stop()
			g.end(machine, conn, answer, isClean && isWhole)
			if !isWhole {
				panic(http.ErrAbortHandler)
			}
			return
		case OrderRefuse:
			g.stats.Refused.Add(1)
			g.options.Log.Debug("refused", "id", x.id, "service", machine.Service, "why", string(order.Refusal), "reason", order.Reason, "ms", (g.options.Now() - machine.Begun).Milliseconds())
			g.tell(w, x.id, http.StatusServiceUnavailable, string(order.Refusal), "the request has not run; come back after Retry-After", order.RetryAfter)
			return
		case OrderFail:
			g.stats.Failed.Add(1)
			g.options.Log.Debug("failed", "id", x.id, "service", machine.Service, "reason", order.Reason, "ms", (g.options.Now() - machine.Begun).Milliseconds())
			g.tell(w, x.id, order.Status, "failed", order.Reason, 0)
			return
		}
	}
}

func (g *Gateway) end(machine *RequestMachine, conn *Conn, answer *Answer, isClean bool) {
	if isClean && answer != nil && answer.Rest != nil {
		n, err := answer.Rest.Read(make([]byte, 1))
		isClean = n == 0 && err == io.EOF
	}
	if isClean && answer != nil && conn.reader.Buffered() == 0 && machine.choice.Backend != nil {
		g.pool.Put(machine.choice.Backend.Instance, conn)
		return
	}
	conn.Close()
}

func (g *Gateway) send(ctx context.Context, x *exchange, conn *Conn, order Order, machine *RequestMachine) (*Answer, bool, Event) {
	instance := order.Backend.Instance
	begun := g.options.Now()
	g.loads.Start(begun, instance)
	judge := func(verdict Verdict) {
		now := g.options.Now()
		g.loads.Judge(now, machine.Service, instance, verdict, now-begun)
	}
	finish := func(isServed bool) {
		now := g.options.Now()
		g.loads.Stop(instance, begun)
		g.loads.End(now, instance, now-begun, isServed)
		if isServed || ctx.Err() != nil {
			g.pressure.Note(now, machine.Service, instance, now-begun)
		}
		if machine.IsKeyed {
			g.loads.KeyLoad(machine.Service, machine.Key, now-begun, isServed)
		}
	}
	x.target = instance
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	broken := func(reason string) (*Answer, bool, Event) {
		finish(false)
		if ctx.Err() != nil {
			if errors.Is(ctx.Err(), context.DeadlineExceeded) && g.loads.IsOverdue(machine.Service, g.options.Now()-begun) {
				judge(VerdictFailed)
			}
			return nil, false, Event{Kind: EventExpired, Reason: reason}
		}
		g.loads.Fail(g.options.Now(), instance)
		judge(VerdictFailed)
		return nil, false, Event{Kind: EventBroken, Reason: reason}
	}
	writeErr := x.write(conn, machine.Until-begun)
	if x.stream != nil && x.stream.err != nil && ctx.Err() == nil {
		finish(false)
		var large *http.MaxBytesError
		if errors.As(x.stream.err, &large) {
			return nil, false, Event{Kind: EventOversize, Reason: x.stream.err.Error()}
		}
		conn.Close()
		panic(http.ErrAbortHandler)
	}
	answer, isClean, err := x.read(conn)
	if err != nil {
		var end *BrokenError
		if errors.As(err, &end) && end.IsUnbegun && ctx.Err() == nil && g.options.Now()-begun < constants.FreshReset && g.pool.Forgot(order.Backend.Service, conn) {
			finish(false)
			return nil, false, Event{Kind: EventBroken, Reason: "the back end had forgotten the idle connection: " + err.Error(), IsForgotten: true}
		}
		if writeErr != nil {
			err = fmt.Errorf("%w (while writing: %v)", err, writeErr)
		}
		return broken(err.Error())
	}
	isClean = isClean && writeErr == nil
	isNotRun := answer.Header.Get(g.options.Names.NotRun) != ""
	switch {
	case isNotRun || answer.Status == http.StatusMisdirectedRequest:
		finish(false)
		switch {
		case answer.Status != http.StatusMisdirectedRequest:
			judge(VerdictRefused)
		case !machine.IsKeyed:
			for range constants.FailuresToRest {
				g.loads.Fail(g.options.Now(), instance)
			}
		}
		return answer, isClean, Event{Kind: EventNotRun, Reason: fmt.Sprintf("status %d, not run", answer.Status)}
	case answer.Status >= 200 && answer.Status < 300:
		if answer.Header.Get(g.options.Names.Seal) == "" || answer.Header.Get("Content-Encoding") != "" {
			return broken("the answer has no seal")
		}
		finish(true)
		judge(VerdictHealthy)
		return answer, isClean, Event{Kind: EventAnswered}
	case answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusRequestTimeout:
		return broken(fmt.Sprintf("status %d without word that it has not run", answer.Status))
	case answer.Status >= 500:
		finish(false)
		judge(VerdictFailed)
		return answer, isClean, Event{Kind: EventErrored, Reason: fmt.Sprintf("status %d", answer.Status)}
	}
	finish(true)
	judge(VerdictHealthy)
	return answer, isClean, Event{Kind: EventAnswered}
}

func (g *Gateway) pass(w http.ResponseWriter, r *http.Request, answer *Answer) bool {
	header := w.Header()
	for name, values := range endToEnd(answer.Header) {
		header[name] = values
	}
	if answer.Length >= 0 && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	if g.stopping.Load() {
		header.Set("Connection", "close")
	}
	w.WriteHeader(answer.Status)
	_, err := w.Write(answer.Body)
	if err == nil && answer.Rest != nil {
		_, err = io.Copy(w, answer.Rest)
	}
	return err == nil || r.Method == http.MethodHead
}

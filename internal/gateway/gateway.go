// Package gateway carries the requests of a fleet of routes from callers to back ends.
//
// A RequestMachine decides what happens to one request; it is pure, and so are Choose, Outliers, Freshness and Await. An execution performs
// its orders with real connections. The gateway owns its tables (Loads, Pressure) and its pool of connections; it never changes the
// control plane's view, and reads it anew at each step of a request.
//
// ServeHTTP runs on the HTTP server's goroutine of each request, which also runs the request's machine and execution. The node's timers
// call Tend, HealthReports and Loads.TakeKeyLoad, and its shutdown calls Stop and Close, from goroutines of their own; the tables are
// locked by stripe for that (package stripe), and a request holds at most one lock at a time.
//
// Package proxy does the same for fleets of entries. What is the same in both stands in connpool, stripe, forwarding, budget and sockets.
// The machines stay two: a proxy reserves attempt ids, forwards to other proxies and obeys leases, a gateway sheds load, streams bodies
// and judges outliers, and one machine for both would carry the state of each through every request of the other.
package gateway

import (
	"log/slog"
	"sync/atomic"
	"time"

	"topazshed/internal/controlplane"
	"topazshed/internal/responses"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Names are the names of the HTTP header fields of a deployment.
type Names struct {
	// Attempt carries the request's id, in requests and responses.
	Attempt string
	// Deadline carries how long the caller still waits, in milliseconds.
	Deadline string
	// Seal marks a response that its back end vouches for.
	Seal string
	// Target carries the instance that a request is meant for.
	Target string
	// NotRun marks a response that says that the request did not run.
	NotRun string
	// Key carries the key of a request for a keyed service.
	Key string
	// Instance tells in the response to a health check which instance answers, ColdLeft for how many milliseconds it is still in slow start.
	Instance string
	ColdLeft string
}

// DefaultNames are the product's own.
func DefaultNames() Names {
	return Names{
		Attempt:  "Topazshed-Attempt",
		Deadline: "Topazshed-Wait",
		Seal:     "Content-Digest",
		Target:   "Topazshed-Instance",
		NotRun:   "Topazshed-Not-Run",
		Key:      "Topazshed-Key",
		Instance: "Topazshed-Instance",
		ColdLeft: "Topazshed-Cold-Left",
	}
}

// Options make a Gateway.
type Options struct {
	Self *schema.Node
	// Now is the process's monotonic clock.
	Now func() time.Duration
	// Local gives the newest view of the replicated state.
	Local func() *controlplane.Local
	// Draw gives a random number from 0 to below its argument.
	Draw   func(int64) int64
	Names  Names
	Bounds Bounds
	// Listen is the "IP:port" from whose IP back ends are dialed.
	Listen string
	// Capacity is how many requests may be in flight; 0 is no bound.
	Capacity int
	// Responses counts the responses of back ends that exceeded a bound; nil counts nothing.
	Responses *responses.Tally
	Log       *slog.Logger
}

// Stats count what a gateway did since its start.
type Stats struct {
	Served      atomic.Uint64
	Refused     atomic.Uint64
	Failed      atomic.Uint64
	Repeats     atomic.Uint64
	Connections atomic.Uint64
	// Overtaken are the choices that were given up since the rows changed while the connection was made.
	Overtaken atomic.Uint64
	// Cold are the requests that were sent to back ends in slow start, Stale those that were sent by rows which no majority has confirmed
	// for as long as a configuration may take to be in force.
	Cold  atomic.Uint64
	Stale atomic.Uint64
	// WarmChecks are the health checks that asked back ends for their slow start.
	WarmChecks atomic.Uint64
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
	// unconfirmedAt is when the rows were last seen to be unconfirmed, a time.Duration of the node's clock.
	unconfirmedAt atomic.Int64
	// noRouteLoggedAt is when a request that no route fits was last logged, a time.Duration of the node's clock.
	noRouteLoggedAt atomic.Int64
}

// New makes a gateway without connections.
func New(options Options) *Gateway {
	g := &Gateway{options: options, loads: NewLoads(options.Now(), options.Bounds), pressure: NewPressure()}
	g.unconfirmedAt.Store(int64(options.Now()))
	g.pool = NewPool(options.Listen, &g.stats)
	return g
}

// Loads are the gateway's tables of back ends and services.
func (g *Gateway) Loads() *Loads { return g.loads }

// Stats are the counts since the start, by their names in the admin API.
func (g *Gateway) Stats() map[string]uint64 {
	return map[string]uint64{
		"sealed":      g.stats.Served.Load(),
		"declined":    g.stats.Refused.Load(),
		"doubtful":    g.stats.Failed.Load(),
		"repeats":     g.stats.Repeats.Load(),
		"connections": g.stats.Connections.Load(),
		"overtaken":   g.stats.Overtaken.Load(),
		"cold":        g.stats.Cold.Load(),
		"stale":       g.stats.Stale.Load(),
		"warm_checks": g.stats.WarmChecks.Load(),
	}
}

// Stop lets every response close its connection, so that callers turn to other nodes.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Close closes the idle connections to back ends; its error is always nil.
func (g *Gateway) Close() error { return g.pool.Close() }

// Tend forgets the back ends that the view no longer holds as ready; the node calls it regularly.
func (g *Gateway) Tend(view *store.View) {
	known := instances(view, func(b *schema.Backend) bool { return b.State == schema.BackendState_BACKEND_READY })
	isKnown := func(id string) bool { return known[id] }
	g.pool.Trim(isKnown)
	g.loads.Keep(isKnown)
	g.pressure.Keep(isKnown)
}

// HealthReports are the back ends that failed this node's requests, or served it although they are failing, since the last call.
func (g *Gateway) HealthReports() []*schema.HealthReport {
	failing := instances(g.options.Local().View, func(b *schema.Backend) bool { return b.Failing })
	return g.loads.TakeHealthReports(g.options.Now(), func(id string) bool { return failing[id] })
}

// instances are the back ends of all services that fulfil a condition.
func instances(view *store.View, isMeant func(*schema.Backend) bool) map[string]bool {
	found := map[string]bool{}
	for _, service := range view.Services {
		for _, backend := range service.Backends {
			if isMeant(backend) {
				found[backend.Instance] = true
			}
		}
	}
	return found
}

// IsFit tells whether a node has a configuration. After a start that may be the one on its own disk, until the node learns of a
// newer one; meanwhile it serves the routes that it knows and denies no others.
func IsFit(local *controlplane.Local) bool { return local.View.Head.GetVersion() > 0 }

// Package proxy carries the requests of a fleet of entries from callers to back ends, over the proxy of the zone that owns the entry.
//
// A RequestMachine decides what happens to one request; it is pure, and so are Decide and Check. An Executor performs its orders with real
// connections, the simulator with simulated ones. The package owns the proxy's tables (Loads, ResponseCache) and its pool of connections;
// it never changes the control plane's view, and gets it anew at each step of a request.
//
// Executor.ServeHTTP runs on the HTTP server's goroutine of each request, which also runs the request's machine. Reservations are asked of
// all replicas at once, each call on a goroutine of its own, and their answers are taken by the goroutine of the request. The node calls
// Loads.Report after its health checks, Pool.Get, Conn.Prove and Pool.Put for them, and ResponseCache.Replay for other proxies, from
// goroutines of its own; the tables are locked by stripe for that (package stripe), and a request holds at most one lock at a time.
//
// Package gateway does the same for fleets of routes; its package comment says what is shared and why the two machines are two.
package proxy

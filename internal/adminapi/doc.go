// Package adminapi is the HTTP/1.1 interface with JSON bodies for operators and for callers that look for a proxy. Every node
// has one; what a node can't settle itself it passes to the leader through Options.Operate. The package keeps no state: it
// reads what the node published and formats it. Its handlers run in the goroutines of net/http.
//
// Calls that only read, and ask no operator's leave (NewInsight):
//
//	GET /v1/status               the node's Status, with what the leader knows of each node
//	GET /v1/standings            routes: all failover assignments and the proxy groups
//	GET /v1/standings/{region}   routes: what a region (and ?service=S) resolves to, as an AssignmentsAnswer
//	GET /metrics                 the node's counters in the text form of Prometheus; asks no other node
//
// Further calls (New):
//
//	GET  /v1/match                          where a caller may send its requests; routes: ?region=R&district=Z, as a Match
//	GET  /v1/ready                          routes: 200 if this node may get requests, else 503
//	GET  /v1/configuration                  the newest configuration, its version in the header Topazshed-Version
//	PUT  /v1/configuration?base=N           replaces configuration N by the body; the header Topazshed-Operator-Key makes
//	                                        repeated puts of a fleet of entries one
//	GET  /v1/configuration/outcome?key=K    entries: whether the put with that operator key was taken
//	POST /v1/districts/{district}/empty     takes all traffic off a zone; ?reason=R is shown by status
//	POST /v1/districts/{district}/restore   undoes it
//
// A refused call is answered with a Reply whose kind says why. Status 503 means that asking again is safe (see Retry-After),
// 504 that the call may still take effect.
package adminapi

package adminapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/documents"
	"topazshed/internal/gateway"
	"topazshed/internal/idempotency"
	"topazshed/internal/proxy"
	"topazshed/internal/responses"
	"topazshed/internal/schema"
)

// retryAfter (seconds) is what a caller is told to wait after a 503, in the Retry-After header.
const retryAfter = "1"

// Options are what a Server asks its node. All functions may be called by any goroutine.
type Options struct {
	// Self is the node itself.
	Self *schema.Node
	// Now is the process's own clock, by which Local tells times.
	Now func() time.Duration
	// Local gives the newest state that the node published.
	Local func() *controlplane.Local
	// Operate passes a request to the leader and waits for its response. After an error the request may still take effect.
	Operate func(ctx context.Context, request *schema.OperatorRequest) (*schema.OperatorResponse, error)
	// Documents bounds the configurations that are read and shown at once; nil is a budget of this API alone.
	Documents *documents.Budget
	// Stats gives the node's counters of requests by their result.
	Stats func() map[string]uint64
	// Exceeded gives the node's counts of responses that exceeded a bound; nil if it counts none.
	Exceeded func() []responses.Count
	// Replica gives the state of the node's replica of reservations; nil in a fleet of routes.
	Replica func() idempotency.Status
	// Disk gives the state of the data folder; it is called only on a node with a disk.
	Disk func() Disk
	// Match serves GET /v1/match in a fleet of entries.
	Match http.Handler
	// Resting gives the back ends that this node sends nothing to for a moment, since they failed it; nil if it does not
	// know.
	Resting func() []string
	// Routed makes this the API of a fleet that carries routes.
	Routed *Routed
}

// Routed is what the API of a fleet that carries routes asks its node beside.
type Routed struct {
	// Resolve gives the addresses of nodes for a caller and how long they may be used.
	Resolve func(region, zone string) ([]string, time.Duration)
	// IsReady tells whether this node may get requests.
	IsReady func() bool
}

// Server serves the calls of one node.
type Server struct{ options Options }

// New gives the handler of all calls.
func New(options Options) http.Handler {
	if options.Documents == nil {
		options.Documents = documents.NewBudget(constants.DocumentBudget, constants.DocumentWait)
	}
	s := &Server{options}
	router := s.newRouter()
	if options.Routed != nil {
		router.Get("/v1/match", s.match)
		router.Get("/v1/ready", s.ready)
	} else {
		router.Method(http.MethodGet, "/v1/match", options.Match)
	}
	router.Get("/v1/configuration", s.showConfiguration)
	router.Put("/v1/configuration", s.putConfiguration)
	router.Get("/v1/configuration/outcome", s.askOutcome)
	router.Post("/v1/districts/{district}/empty", s.changeZone(schema.OperatorKind_OPERATOR_EMPTY))
	router.Post("/v1/districts/{district}/restore", s.changeZone(schema.OperatorKind_OPERATOR_RESTORE))
	return router
}

// NewInsight gives the handler of the calls that only read: status, failover assignments and metrics.
func NewInsight(options Options) http.Handler { return (&Server{options}).newRouter() }

// newRouter has the calls that only read.
func (s *Server) newRouter() *chi.Mux {
	router := chi.NewRouter()
	router.Get("/v1/status", s.showStatus)
	router.Get("/metrics", s.showMetrics)
	if s.options.Routed != nil {
		router.Get("/v1/standings", s.showAssignments)
		router.Get("/v1/standings/{region}", s.showAssignment)
	}
	router.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		write(w, http.StatusNotFound, Reply{Kind: kindUnknown, Message: "no such call; see docs/operators.md for the calls of the admin API"})
	})
	return router
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// isFit tells whether this node's state is fresh enough to serve by.
func (s *Server) isFit(now time.Duration, local *controlplane.Local) bool {
	if s.options.Routed != nil {
		return gateway.IsFit(local)
	}
	return proxy.IsFit(now, local)
}

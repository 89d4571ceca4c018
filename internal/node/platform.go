package node

import (
	"context"
	"net/http"
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/documents"
	"topazshed/internal/gateway"
	"topazshed/internal/schema"
	"topazshed/internal/sharding"
)

// Bounds are a deployment's figures that a fleet of routes must keep.
type Bounds struct {
	gateway.Bounds
	// MaxHold is the longest shard lease that back ends take.
	MaxHold time.Duration
	// ListLag is how far the platform's list is behind.
	ListLag time.Duration
	// ListRate is how many calls a second the list takes from all nodes together; 0 is no bound.
	ListRate float64
	// StopGrace is the time that a stopping process has.
	StopGrace time.Duration
	// MaxResolve is the longest time that callers use a response of the directory.
	MaxResolve time.Duration
	// Quiet is how long after a fault an undisturbed machine must keep every bound again; 0 is unknown.
	Quiet time.Duration
	// DrainWithin is how long after the list showed it as draining a back end may still get requests; 0 is unknown.
	DrainWithin time.Duration
}

// Platform is what a fleet of routes needs of the system that it runs on: names, formats and calls. It decides nothing.
type Platform struct {
	// Names are the names of headers.
	Names gateway.Names
	// Bounds are the deployment's figures.
	Bounds Bounds
	// Zones are the deployment's, each with its region, also those without a machine.
	Zones map[string]string
	// TellsFirstStart says that the settings of every machine tell whether this is the first start of the whole system.
	TellsFirstStart bool
	// List reads the platform's whole list once and tells how many calls it took. It waits for its turn before each call;
	// an error of the turn ends the read. nil where this node can't reach the list.
	List func(ctx context.Context, turn Turn) ([]discovery.Listed, int, error)
	// GrantLease carries out one call to a back end; the error tells why there was no response.
	GrantLease func(ctx context.Context, call sharding.Call) (sharding.Answer, error)
	// Serve gives a node's handlers by the address that each listens on.
	Serve func(*Outside) map[string]http.Handler
}

// Turn waits until the list may be called. refusals is how often the page was refused, items are those of the pages before.
type Turn func(ctx context.Context, refusals int, items []discovery.Listed) error

// Outside is what a node offers to those who speak to it through a platform.
type Outside struct {
	// Requests takes callers' requests.
	Requests http.Handler
	// Operate carries an operator's request to the leader. After an error the request may still take effect.
	Operate func(ctx context.Context, request *schema.OperatorRequest) (*schema.OperatorResponse, error)
	// Documents bounds the configurations that are read and shown at once.
	Documents *documents.Budget
	// Resolve gives the addresses of nodes for a caller and how long they may be used; none if this node does not know.
	Resolve func(region, zone string) ([]string, time.Duration)
	// IsReady tells whether this node may get requests.
	IsReady func() bool
	// Admin is the whole admin API; Insight is the part of it that only reads: status, failover assignments and metrics.
	Admin   http.Handler
	Insight http.Handler
}

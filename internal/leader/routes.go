package leader

import (
	"slices"
	"strings"
	"time"

	"topazshed/internal/schema"
)

// RouteOptions are the figures of a deployment that carries routes.
type RouteOptions struct {
	// LongestLease is the longest lease of shards that back ends take; 0 is unknown.
	LongestLease time.Duration
	// ListLag is how far the platform's list is behind what it tells of.
	ListLag time.Duration
	// Zones are the deployment's zones, each with its region.
	Zones map[string]string
	// ColdRate is how many requests a second the whole fleet may send to a back end that is warming up.
	ColdRate func(*schema.ServicePolicy) int
}

// routes performs the duties of a fleet that carries routes.
type routes struct {
	options   *RouteOptions
	endpoints *routeEndpoints
	shards    *shardLeases
	signer    signer
}

func newRoutes(options *RouteOptions, signer signer) *routes {
	r := &routes{options: options, signer: signer, shards: &shardLeases{longestLease: options.LongestLease}}
	r.resigned()
	return r
}

func (r *routes) admissionRules() AdmissionRules {
	return AdmissionRules{Zones: r.options.Zones, ReplacesByAddress: true}
}

func (r *routes) report(now time.Duration, node *schema.Node, heartbeat *schema.Heartbeat) {
	if len(heartbeat.Load) > 0 {
		r.shards.loads.note(now, node.Id, heartbeat.Load)
	}
	r.endpoints.outlierQuorum.Report(now, node.Id, node.Zone, heartbeat.Health)
}

func (r *routes) forget(string) {}

func (r *routes) take(now time.Duration, input Input) bool {
	switch input := input.(type) {
	case Listing:
		r.endpoints.take(input.Listing)
		return true
	case LeaseAnswer:
		return r.shards.answered(now, input)
	}
	return false
}

// isUrgent tells whether rows of services have changed: each move of shards takes two records, and the second one
// should follow at once.
func (r *routes) isUrgent(rows []*schema.Row) bool {
	return slices.ContainsFunc(rows, func(row *schema.Row) bool { return strings.HasPrefix(row.Key, "s/") })
}

func (r *routes) elected() {}

func (r *routes) resigned() {
	r.endpoints = newRouteEndpoints(r.options)
	r.shards.reset()
}

// plan performs the duties in the order in which one rests on the other: back ends, outliers, failover assignments,
// leases of shards.
func (r *routes) plan(t *turn) []LeaseCall {
	r.endpoints.plan(t)
	planGroupAssignments(t, r.signer)
	return r.shards.plan(t)
}

package controlplane

import (
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/timing"
)

// RouteOptions are the figures of a deployment whose fleet carries routes.
type RouteOptions struct {
	// LongestLease is the longest lease of shards that back ends take; 0 is unknown.
	LongestLease time.Duration
	// ListLag is how far the platform's list is behind what it tells of.
	ListLag time.Duration
	// Zones are the deployment's, each with its region; back ends may lie in one that has no node.
	Zones map[string]string
	// RecoveryBound is how long after a fault an undisturbed node must keep every promise again; 0 is unknown.
	RecoveryBound time.Duration
	// ApplyBound is how long after its acknowledgement a change must be in force at every such node; 0 is unknown.
	ApplyBound time.Duration
	// ColdRate is how many requests a second the whole fleet may send to a back end that is warming up.
	ColdRate func(*schema.ServicePolicy) int
	// Fits tells whether a record can be logged; nil is always.
	Fits func(*schema.Record) bool
	// FitsSnapshot tells whether a snapshot of the whole state fits the disk; nil is always.
	FitsSnapshot func(*schema.Snapshot) bool
	// Load gives the load of shards, by key, since it was last asked; nil is none.
	Load func(since time.Duration) []*schema.ShardLoad
	// HealthReports gives the back ends that failed this node's requests, or served them although they are marked as
	// failing, since it was last asked; nil is none.
	HealthReports func() []*schema.HealthReport
}

// routeWorkload is the workload of a fleet that carries routes: nodes report through relays, and nobody needs a lease
// to serve.
type routeWorkload struct{ machine *Machine }

func (w *routeWorkload) timing() timing.Timing {
	routes := w.machine.options.Routes
	return timing.ForRoutes(routes.RecoveryBound, routes.ApplyBound)
}

// restorable gives all: a node serves on its own last state before a leader has sent it the newest.
func (w *routeWorkload) restorable(hardState *schema.HardState) *schema.HardState { return hardState }

// receiveHeartbeat takes a heartbeat and those that it relays if this node leads, and relays them if it keeps the log.
func (w *routeWorkload) receiveHeartbeat(_ *schema.Frame, heartbeat *schema.Heartbeat) {
	c := w.machine
	if !c.IsLeading() {
		if c.raft != nil {
			c.heartbeats.Relay(heartbeat)
		}
		return
	}
	for _, relayed := range heartbeat.Relayed {
		w.takeOwnHeartbeat(relayed)
	}
	heartbeat.Relayed = nil
	w.takeOwnHeartbeat(heartbeat)
}

func (w *routeWorkload) takeOwnHeartbeat(heartbeat *schema.Heartbeat) {
	c := w.machine
	c.duties.TakeHeartbeat(c.leaderState(), heartbeat)
}

func (w *routeWorkload) peersHeardAt() time.Duration { return 0 }

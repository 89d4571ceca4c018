package controlplane

import (
	"log/slog"
	"time"

	"topazshed/internal/bootstrap"
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
)

// Options make a Machine.
type Options struct {
	// Self is this node, Seeds are the addresses that it asks for a system to join.
	Self  *schema.Node
	Seeds []string
	// System is the id of the system that this node belongs to; "" is none yet.
	System string
	// Hard, Snapshot and Items are what the journal held; a node without a disk has none.
	HardState *schema.HardState
	Snapshot  *schema.Snapshot
	Entries   []*schema.LogItem
	// Draw gives a random number from 0 up to, and without, its argument.
	Draw func(int64) int64
	Log  *slog.Logger
	// Restart says that the journal names this node, so that it is not new.
	Restart bool
	// Rejoin says that the system was founded before, so that this node never founds one.
	Rejoin bool
	// TellsFirstStart says that the settings of every node tell whether this is the first start of the whole system.
	TellsFirstStart bool
	// InitialCluster is this node's recorded part in that first start; nil is none.
	InitialCluster *bootstrap.InitialCluster
	// Routes is set in a fleet of routes, and nil in a fleet of entries. Routes never send an attempt id twice, so that they
	// need neither reservations nor fences.
	Routes *RouteOptions
	// Epoch is the time of day at which this node's clock would have stood at 0; records of failover assignments tell by it
	// when they were made.
	Epoch time.Time
	// Speaks are the protocol versions that this process speaks; the zero value is the program's own.
	Speaks protocolversion.Span
	// RiseAfter is how long all nodes must have spoken a version before the fleet uses it; 0 is constants.FleetRiseAfter.
	RiseAfter time.Duration
}

package controlplane

import (
	"log/slog"
	"time"

	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
)

// Options make a Core. Hard, Snapshot and Items are what the journal held; Draw is the seeded source.
type Options struct {
	Self     *schema.Node
	Seeds    []string
	System   string
	Hard     *schema.HardState
	Snapshot *schema.Snapshot
	Items    []*schema.LogItem
	Draw     func(int64) int64
	Log      *slog.Logger
	Restart  bool
	// Rejoin says that the system was founded before, so that this node never founds one.
	Rejoin bool
	// Routes are the figures of a fleet that carries routes; nil is a fleet of entries. Attempt ids of routes are never sent twice, so that
	// neither reservations nor fences are needed.
	Routes *RouteOptions
	// Epoch is the time of day at which this node's clock would have stood at 0; records of failover assignment tell by it when they were made.
	Epoch time.Time
	// Speaks are the versions that this process speaks; the zero value is the program's own.
	Speaks protocolversion.Span
	// RiseAfter is how long all must have read a version before the fleet uses it; 0 is the time of the constants.
	RiseAfter time.Duration
}

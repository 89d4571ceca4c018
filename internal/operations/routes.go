package operations

import (
	"crypto/sha256"
	"slices"

	"topazshed/internal/routes"
	"topazshed/internal/schema"
)

// routesDecider decides a configuration of routes.
type routesDecider struct {
	state    State
	proposer Proposer
	options  RouteOptions
}

func (d *routesDecider) decide(request *schema.OperatorRequest) decision {
	if d.proposer.IsInFlight(headKey) {
		return deferRequest{}
	}
	table := d.state.Table()
	config := request.Routes
	digest := sha256.Sum256(config.GetDocument())
	newest := newestHead(d.state).GetVersion()
	switch routes.Recall(table, config, digest[:]) {
	case routes.Accepted:
		return answer{&schema.OperatorResponse{Version: config.Version, Index: table.Get(headKey).Index}}
	case routes.Forgotten:
		return refuseOnState(ambiguous(newest, "this configuration is older than what is remembered of accepted ones",
			"read the newest back and compare"))
	}
	if config.GetBase() != newest {
		return refuseOnState(conflict(newest, "another configuration is in place", "read it, merge, and put again on its version"))
	}
	if faults := routes.Check(config, newest, d.state.View()); len(faults) > 0 {
		return refuseOnState(invalid(newest, faults))
	}
	record := routes.Plan(table, config, digest[:])
	if !d.fits(record) {
		return refuseOnState(oversize(newest, "the change, or the state with it, does not fit the disks of this system's voters",
			"put it in several smaller changes, put fewer routes, or give them larger disks"))
	}
	return propose{record, config.Version}
}

// fits tells whether the voters' disks have room for a record in the log, and for a snapshot of the state with it.
func (d *routesDecider) fits(record *schema.Record) bool {
	if d.options.Fits != nil && !d.options.Fits(record) {
		return false
	}
	return d.options.FitsSnapshot == nil || d.options.FitsSnapshot(d.snapshotWith(record))
}

// snapshotWith is the snapshot of the state once a record is applied.
func (d *routesDecider) snapshotWith(record *schema.Record) *schema.Snapshot {
	isChanged := map[string]bool{}
	for _, row := range record.Rows {
		isChanged[row.Key] = true
	}
	snapshot := d.state.Table().Snapshot()
	snapshot.Rows = slices.DeleteFunc(snapshot.Rows, func(row *schema.Row) bool { return isChanged[row.Key] })
	for _, row := range record.Rows {
		if !row.Gone {
			snapshot.Rows = append(snapshot.Rows, row)
		}
	}
	return snapshot
}

// noRoutesDecider refuses configurations of routes in a fleet of entries.
type noRoutesDecider struct{}

func (noRoutesDecider) decide(*schema.OperatorRequest) decision {
	return refuseAtOnce{unknown(0, "this fleet carries entries, not routes", "put a configuration of entries")}
}

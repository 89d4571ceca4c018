package leader

import (
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// entryEndpoints keeps the rows of back ends of a fleet of entries in line with the platform's list and with the nodes'
// probes.
type entryEndpoints struct {
	list *discovery.Endpoints
	// read is the newest read of the list that is not planned on yet, or nil.
	read *discovery.ListRead
}

func newEntryEndpoints() *entryEndpoints { return &entryEndpoints{list: discovery.NewEndpoints()} }

func (e *entryEndpoints) plan(t *turn) {
	read := e.read
	e.read = nil
	record := e.list.Plan(t.Now, t.View, t.Table, read)
	if t.propose(record) {
		t.logger.Info("back ends change", "rows", len(record.Rows))
	}
}

// routeEndpoints keeps the rows of back ends of a fleet of routes in line with the platform's list, and ejects
// outliers.
type routeEndpoints struct {
	watch         *discovery.Watch
	outlierQuorum *discovery.OutlierQuorum
	coldRate      func(*schema.ServicePolicy) int
	// listing is the newest read of the list that is not planned on yet, or nil.
	listing *discovery.Listing
}

func newRouteEndpoints(options *RouteOptions) *routeEndpoints {
	return &routeEndpoints{
		watch:         discovery.NewWatch(options.ListLag),
		outlierQuorum: discovery.NewOutlierQuorum(),
		coldRate:      options.ColdRate,
	}
}

func (e *routeEndpoints) plan(t *turn) {
	e.planListed(t)
	record := e.outlierQuorum.Plan(t.Now, t.View, t.Table)
	if t.propose(record) {
		t.logger.Info("back ends are ejected or taken back", "rows", len(record.Rows))
	}
}

// take takes a read of the list. A part of a read doesn't replace one that is not planned on yet.
func (e *routeEndpoints) take(listing discovery.Listing) {
	if e.listing != nil && !listing.IsComplete {
		listing = listing.WithOlder(*e.listing)
	}
	e.listing = &listing
}

// planListed plans on a listing until a record that follows from it is proposed, or none does.
func (e *routeEndpoints) planListed(t *turn) {
	if e.listing != nil && e.listing.BegunAt < t.fleet.electedAt {
		// A former leader may have planned on a newer one.
		e.listing = nil
	}
	record := e.watch.Plan(discovery.WatchFacts{Now: t.Now, View: t.View, Table: t.Table, Listing: e.listing, ColdRate: e.coldRate})
	if record == nil {
		e.listing = nil
		return
	}
	if !t.propose(record) {
		return
	}
	sinceRead := time.Duration(0)
	if e.listing != nil {
		sinceRead = t.Now - e.listing.BegunAt
	}
	e.listing = nil
	t.logger.Info("back ends change", "rows", len(record.Rows), "sinceReadMilliseconds", sinceRead.Milliseconds())
	logSlowStarts(t, record, sinceRead)
}

// logSlowStarts logs which back ends a record puts into slow start, by whom they are sent to, and which it takes out of it.
func logSlowStarts(t *turn, record *schema.Record, sinceRead time.Duration) {
	for _, row := range record.Rows {
		fresh := store.DecodeRow[schema.Backend](row)
		if fresh == nil || row.Key != store.BackendKey(fresh.Service, fresh.Instance) {
			continue
		}
		var old *schema.Backend
		if service := t.View.Services[fresh.Service]; service != nil {
			old = service.Backend(fresh.Instance)
		}
		if fresh.Cold != old.GetCold() {
			t.logger.Info("slow start", "service", fresh.Service, "instance", fresh.Instance, "cold", fresh.Cold,
				"senders", fresh.SlowStartSenders, "sinceReadMilliseconds", sinceRead.Milliseconds())
		}
	}
}

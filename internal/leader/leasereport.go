package leader

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/sharding"
)

// leaseReportEvery is the time between two log lines about the leases of shards.
const leaseReportEvery = 2 * time.Second

// leaseReport sums up what was done for the leases of shards since the last log line about them.
type leaseReport struct {
	loggedAt time.Duration
	// changes counts the proposed records by their reason, results the answers to calls.
	changes map[string]int
	results map[sharding.CallResult]int
	calls   int
}

func newLeaseReport() leaseReport {
	return leaseReport{changes: map[string]int{}, results: map[sharding.CallResult]int{}}
}

func (r *leaseReport) note(records []*schema.Record, calls int) {
	r.calls += calls
	for _, record := range records {
		r.changes[record.Reason]++
	}
}

func (r *leaseReport) answered(result sharding.CallResult) { r.results[result]++ }

// log writes a line if one is due and there are shard ranges, and begins anew.
func (r *leaseReport) log(now time.Duration, logger *slog.Logger, stats sharding.Stats) {
	if now-r.loggedAt < leaseReportEvery {
		return
	}
	if stats.Ranges > 0 {
		logger.Info("leases of shards", "ranges", stats.Ranges, "inFlight", stats.InFlight, "outstanding", stats.Outstanding,
			"calls", r.calls, r.resultGroup(), r.changeGroup())
	}
	*r = newLeaseReport()
	r.loggedAt = now
}

func (r *leaseReport) resultGroup() slog.Attr {
	var counts []any
	for _, result := range slices.Sorted(maps.Keys(r.results)) {
		counts = append(counts, slog.Int(result.String(), r.results[result]))
	}
	return slog.Group("answers", counts...)
}

func (r *leaseReport) changeGroup() slog.Attr {
	var counts []any
	for _, reason := range slices.Sorted(maps.Keys(r.changes)) {
		counts = append(counts, slog.Int(reason, r.changes[reason]))
	}
	return slog.Group("changes", counts...)
}

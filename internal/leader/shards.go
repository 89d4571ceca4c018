package leader

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/sharding"
)

// LeaseCall is a call to a back end about a lease of shards.
type LeaseCall struct {
	sharding.Call
	// Incarnation is that of the lease manager which made the call; answers for a former one are of no use.
	Incarnation uint64
}

// shardLeases assigns the shards of a fleet of routes to back ends and keeps their leases. It begins anew each time
// that this node resigns.
type shardLeases struct {
	longestLease time.Duration
	manager      *sharding.LeaseManager
	incarnation  uint64
	loads        loadReports
	report       leaseReport
}

func (s *shardLeases) reset() {
	s.manager = sharding.New(sharding.Options{MaxLease: s.longestLease})
	s.incarnation++
	s.loads = loadReports{}
	s.report = newLeaseReport()
}

// answered takes an answer; it tells whether the answer is for this lease manager.
func (s *shardLeases) answered(now time.Duration, answer LeaseAnswer) bool {
	if answer.Incarnation != s.incarnation {
		return false
	}
	s.report.answered(answer.Result)
	s.manager.Answered(now, answer.Answer)
	return true
}

func (s *shardLeases) plan(t *turn) []LeaseCall {
	effects := s.manager.Step(sharding.Facts{
		Now:       t.Now,
		View:      t.View,
		Table:     t.Table,
		IsLeading: true,
		ElectedAt: t.fleet.electedAt,
		LeaseAt:   t.log.LeadershipConfirmedAt(),
		Load:      s.loads.sum(t.Now),
	})
	s.report.note(effects.Records, len(effects.Calls))
	s.report.log(t.Now, t.logger, s.manager.Stats())
	for _, record := range effects.Records {
		t.propose(record)
	}
	calls := make([]LeaseCall, 0, len(effects.Calls))
	for _, call := range effects.Calls {
		calls = append(calls, LeaseCall{Call: call, Incarnation: s.incarnation})
	}
	return calls
}

// loadReport is what one node has reported of the load of shards.
type loadReport struct {
	at    time.Duration
	loads []*schema.ShardLoad
}

// loadReports holds the newest reports of each node.
type loadReports map[string][]loadReport

// note keeps the newest constants.LoadReports reports of a node.
func (r loadReports) note(now time.Duration, node string, loads []*schema.ShardLoad) {
	reports := append(r[node], loadReport{now, loads})
	r[node] = reports[max(0, len(reports)-constants.LoadReports):]
}

// sum gives how many requests the back ends of each service work on at once, by equal buckets of its keys. It forgets
// nodes that have stopped to report.
func (r loadReports) sum(now time.Duration) map[string][]float64 {
	sums := map[string][]float64{}
	for id, reports := range r {
		newest := reports[len(reports)-1].at
		if now-newest > constants.LoadReports*constants.LoadEvery {
			delete(r, id)
			continue
		}
		addLoads(sums, reports)
	}
	return sums
}

// addLoads adds one node's reports, as an average over the span that they cover.
func addLoads(sums map[string][]float64, reports []loadReport) {
	span := coveredSpan(reports)
	for _, report := range reports {
		for _, load := range report.loads {
			sum := sums[load.Service]
			if sum == nil {
				sum = make([]float64, constants.LoadBuckets)
				sums[load.Service] = sum
			}
			addLoad(sum, load, span)
		}
	}
}

// coveredSpan gives the milliseconds that reports cover; all loads of one report cover the same.
func coveredSpan(reports []loadReport) float64 {
	span := float64(0)
	for _, report := range reports {
		if len(report.loads) > 0 {
			span += float64(report.loads[0].SpanMs)
		}
	}
	return span
}

func addLoad(sum []float64, load *schema.ShardLoad, span float64) {
	if span == 0 {
		return
	}
	count := min(len(load.Buckets), len(load.BusyMs))
	for i, bucket := range load.Buckets[:count] {
		if bucket < constants.LoadBuckets {
			sum[bucket] += float64(load.BusyMs[i]) / span
		}
	}
}

package leader

import (
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func loadOf(service string, spanMillis uint32, busy map[uint32]uint32) *schema.ShardLoad {
	load := &schema.ShardLoad{Service: service, SpanMs: spanMillis}
	for bucket, millis := range busy {
		load.Buckets = append(load.Buckets, bucket)
		load.BusyMs = append(load.BusyMs, millis)
	}
	return load
}

func TestLoadReportsAreAveragedAndAdded(t *testing.T) {
	const now = startedAt
	for _, c := range []struct {
		name string
		note func(loadReports)
		// want is the load of bucket 3 of service s.
		want   float64
		isNone bool
	}{
		{name: "no report", note: func(loadReports) {}, isNone: true},
		{name: "one node", note: func(r loadReports) {
			r.note(now, "n", []*schema.ShardLoad{loadOf("s", 1000, map[uint32]uint32{3: 500})})
		}, want: 0.5},
		{name: "two nodes add up", note: func(r loadReports) {
			r.note(now, "n", []*schema.ShardLoad{loadOf("s", 1000, map[uint32]uint32{3: 500})})
			r.note(now, "m", []*schema.ShardLoad{loadOf("s", 1000, map[uint32]uint32{3: 2000})})
		}, want: 2.5},
		{name: "two reports of a node are averaged", note: func(r loadReports) {
			r.note(now, "n", []*schema.ShardLoad{loadOf("s", 1000, map[uint32]uint32{3: 500})})
			r.note(now, "n", []*schema.ShardLoad{loadOf("s", 3000, map[uint32]uint32{3: 1500})})
		}, want: 0.5},
		{name: "only the newest of a node count", note: func(r loadReports) {
			r.note(now, "n", []*schema.ShardLoad{loadOf("s", 1000, map[uint32]uint32{3: 60000})})
			for range constants.LoadReports {
				r.note(now, "n", []*schema.ShardLoad{loadOf("s", 1000, map[uint32]uint32{3: 1000})})
			}
		}, want: 1},
		{name: "a node that reports no more is forgotten", note: func(r loadReports) {
			r.note(now-constants.LoadReports*constants.LoadEvery-1, "n", []*schema.ShardLoad{loadOf("s", 1000, map[uint32]uint32{3: 500})})
		}, isNone: true},
		{name: "a report over no time counts nothing", note: func(r loadReports) { r.note(now, "n", []*schema.ShardLoad{loadOf("s", 0, map[uint32]uint32{3: 500})}) }},
		{name: "a bucket out of range is left out", note: func(r loadReports) {
			r.note(now, "n", []*schema.ShardLoad{loadOf("s", 1000, map[uint32]uint32{3: 500, constants.LoadBuckets: 500})})
		}, want: 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			reports := loadReports{}
			c.note(reports)
			sum := reports.sum(now)["s"]
			if c.isNone != (sum == nil) {
				t.Fatalf("%d buckets", len(sum))
			}
			if sum != nil && sum[3] != c.want {
				t.Errorf("a load of %v, want %v", sum[3], c.want)
			}
		})
	}
}

func TestAnswersForAFormerLeaseManagerAreOfNoUse(t *testing.T) {
	r := newRoutes(&RouteOptions{LongestLease: 10 * time.Second}, signer{})
	answer := LeaseAnswer{Incarnation: r.shards.incarnation}
	if !r.take(startedAt, answer) {
		t.Error("an answer for the present lease manager was left out")
	}
	r.resigned()
	if r.take(startedAt, answer) {
		t.Error("an answer for the former lease manager was taken")
	}
}

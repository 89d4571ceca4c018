package sharding

import (
	"maps"
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// alternating is a settled world whose owners have equal shard ranges in turn.
func alternating(t *testing.T, seed int64, owners, ranges int) *world {
	w := newWorld(t, seed, owners, "a")
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS}
	for i := range uint32(ranges) {
		first, last := i*(constants.LastKey+1)/uint32(ranges), (i+1)*(constants.LastKey+1)/uint32(ranges)-1
		record.Rows = append(record.Rows, store.EncodeRow(store.ShardRangeKey("a", first),
			&schema.ShardRange{Service: "a", First: first, Last: last, Instance: w.owners[int(i)%owners].row.Instance, Fence: 1 + uint64(i%3)}))
	}
	w.apply(record)
	w.run(8 * time.Second)
	if unleased := w.unleased(); unleased > 0 {
		t.Fatalf("%d keys have no lease at the start", unleased)
	}
	return w
}

func (w *world) rangeCount() int { return len(w.view.Services["a"].ShardRanges) }

func TestLoadLeavesItsOwnerAlsoWithManyRanges(t *testing.T) {
	for _, c := range []struct {
		name         string
		ranges       int
		first, count int
		rate         float64
		isMoved      bool
	}{
		{"few ranges, one hot bucket beside a warm one", 8, 100, 2, 100, true},
		{"many ranges, a hot range", 80, 100, 3, 100, true},
		{"many ranges, two hot buckets of one owner", 80, 100, 2, 100, true},
		{"many ranges, a little uneven", 80, 100, 3, 9, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := alternating(t, 1, 4, c.ranges)
			w.setLoad(c.first, c.count, c.rate)
			before := slices.Max(slices.Collect(maps.Values(w.loads("a"))))
			w.run(5 * time.Second)
			most := slices.Max(slices.Collect(maps.Values(w.loads("a"))))
			t.Logf("the most loaded has %.1f after %.1f of a mean of %.1f, %d ranges", most, before, newKeyLoad(w.keyLoad).total/4, w.rangeCount())
			if most < before-10 != c.isMoved || w.violations > 0 || w.unleased() > 0 {
				t.Fatalf("the most loaded has %.1f after %.1f, %d violations, %d without a lease", most, before, w.violations, w.unleased())
			}
		})
	}
}

func TestRangesAreCoalescedInTheCalm(t *testing.T) {
	limit := constants.MaxKeyRanges
	for _, c := range []struct {
		name    string
		ranges  int
		calm    time.Duration
		most    int
		isMoved bool
		rate    float64
	}{
		{"few ranges stay", 40, 30 * time.Second, 40, false, 0},
		{"many ranges become fewer", 80, 60 * time.Second, limit, true, 0},
		{"without load nothing is known", 80, 30 * time.Second, 80, false, -1},
		{"a hot range stays where it is", 80, 60 * time.Second, limit, true, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := alternating(t, 2, 4, c.ranges)
			switch {
			case c.rate == 0:
				w.setLoad(0, 0, 0)
			case c.rate > 0:
				w.setLoad(64, 3, c.rate)
			}
			w.moved, w.coldStarts = 0, 0
			before := w.view.Services["a"].ShardRange(65 * (constants.LastKey + 1) / buckets).Instance
			w.run(c.calm)
			loads := slices.Collect(maps.Values(w.loads("a")))
			t.Logf("%d ranges, share moved %.3f, loads %.1f to %.1f", w.rangeCount(), float64(w.moved)/(constants.LastKey+1),
				slices.Min(loads), slices.Max(loads))
			if w.rangeCount() > c.most || w.moved > 0 != c.isMoved || w.coldStarts > 0 || w.violations > 0 || w.unleased() > 0 {
				t.Fatalf("%d ranges, %d keys moved, %d without handover, %d violations, %d without a lease", w.rangeCount(), w.moved,
					w.coldStarts, w.violations, w.unleased())
			}
			if after := w.view.Services["a"].ShardRange(65 * (constants.LastKey + 1) / buckets).Instance; c.rate > 0 && after != before {
				t.Fatalf("the hot range went from %s to %s", before, after)
			}
			w.moved = 0
			w.run(10 * time.Second)
			if w.moved > 0 && w.rangeCount() <= limit/2 {
				t.Fatalf("%d more keys moved with %d ranges", w.moved, w.rangeCount())
			}
		})
	}
}

func TestAdjacentRangesOfOneOwnerAreMerged(t *testing.T) {
	w := alternating(t, 3, 1, 30)
	if w.rangeCount() != 1 || w.moved > 0 || w.violations > 0 {
		t.Fatalf("%d ranges, %d keys moved, %d violations", w.rangeCount(), w.moved, w.violations)
	}
}

func TestFirstLayoutDividesABusyRange(t *testing.T) {
	for _, c := range []struct{ owners, ranges, most int }{{1, 1, 100}, {2, 6, 95}, {8, 24, 50}, {16, 48, 30}, {40, 120, 15}} {
		w := newWorld(t, 5, c.owners, "a")
		w.run(3 * time.Second)
		for i := range w.keyLoad {
			w.keyLoad[i] = 0
		}
		for i := 40; i < 64; i++ {
			w.keyLoad[i] = 1
		}
		most := slices.Max(slices.Collect(maps.Values(w.loads("a")))) * 100 / newKeyLoad(w.keyLoad).total
		t.Logf("%d owners: %d ranges, the most loaded has %.0f percent", c.owners, w.rangeCount(), most)
		if w.rangeCount() != c.ranges || int(most) > c.most || w.unleased() > 0 {
			t.Errorf("%d owners: %d ranges, the most loaded has %.0f percent, %d keys without a lease", c.owners, w.rangeCount(), most, w.unleased())
		}
	}
}

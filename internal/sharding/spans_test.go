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

// striped is a settled world whose owners have equal spans in turn.
func striped(t *testing.T, seed int64, owners, spans int) *world {
	w := newWorld(t, seed, owners, "a")
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS}
	for i := range uint32(spans) {
		first, last := i*(constants.LastKey+1)/uint32(spans), (i+1)*(constants.LastKey+1)/uint32(spans)-1
		record.Rows = append(record.Rows, store.EncodeRow(store.ShardRangeKey("a", first),
			&schema.ShardRange{Service: "a", First: first, Last: last, Instance: w.owners[int(i)%owners].row.Instance, Fence: 1 + uint64(i%3)}))
	}
	w.apply(record)
	w.run(8 * time.Second)
	if unheld := w.unheld(); unheld > 0 {
		t.Fatalf("%d keys are not held at the start", unheld)
	}
	return w
}

func (w *world) spanCount() int { return len(w.view.Services["a"].Spans) }

func TestLoadLeavesItsOwnerAlsoWithManySpans(t *testing.T) {
	for _, c := range []struct {
		name         string
		spans        int
		first, count int
		rate         float64
		isMoved      bool
	}{
		{"few spans, one hot bucket beside a warm one", 8, 100, 2, 100, true},
		{"many spans, a hot range", 80, 100, 3, 100, true},
		{"many spans, two hot buckets of one holder", 80, 100, 2, 100, true},
		{"many spans, a little uneven", 80, 100, 3, 9, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := striped(t, 1, 4, c.spans)
			w.warm(c.first, c.count, c.rate)
			before := slices.Max(slices.Collect(maps.Values(w.loads("a"))))
			w.run(5 * time.Second)
			most := slices.Max(slices.Collect(maps.Values(w.loads("a"))))
			t.Logf("the most loaded has %.1f after %.1f of a mean of %.1f, %d spans", most, before, newKeyLoad(w.keyLoad).total/4, w.spanCount())
			if most < before-10 != c.isMoved || w.violations > 0 || w.unheld() > 0 {
				t.Fatalf("the most loaded has %.1f after %.1f, %d breaches, %d not held", most, before, w.violations, w.unheld())
			}
		})
	}
}

func TestSpansAreGatheredInTheCalm(t *testing.T) {
	limit := constants.KeySpansMost
	for _, c := range []struct {
		name    string
		spans   int
		calm    time.Duration
		most    int
		isMoved bool
		rate    float64
	}{
		{"few spans stay", 40, 30 * time.Second, 40, false, 0},
		{"many spans become fewer", 80, 60 * time.Second, limit, true, 0},
		{"without load nothing is known", 80, 30 * time.Second, 80, false, -1},
		{"a hot span stays where it is", 80, 60 * time.Second, limit, true, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := striped(t, 2, 4, c.spans)
			switch {
			case c.rate == 0:
				w.warm(0, 0, 0)
			case c.rate > 0:
				w.warm(64, 3, c.rate)
			}
			w.moved, w.cold = 0, 0
			before := w.view.Services["a"].Span(65 * (constants.LastKey + 1) / buckets).Instance
			w.run(c.calm)
			loads := slices.Collect(maps.Values(w.loads("a")))
			t.Logf("%d spans, share moved %.3f, loads %.1f to %.1f", w.spanCount(), float64(w.moved)/(constants.LastKey+1), slices.Min(loads), slices.Max(loads))
			if w.spanCount() > c.most || w.moved > 0 != c.isMoved || w.cold > 0 || w.violations > 0 || w.unheld() > 0 {
				t.Fatalf("%d spans, %d keys moved, %d without handover, %d breaches, %d not held", w.spanCount(), w.moved, w.cold, w.violations, w.unheld())
			}
			if after := w.view.Services["a"].Span(65 * (constants.LastKey + 1) / buckets).Instance; c.rate > 0 && after != before {
				t.Fatalf("the hot span went from %s to %s", before, after)
			}
			w.moved = 0
			w.run(10 * time.Second)
			if w.moved > 0 && w.spanCount() <= limit/2 {
				t.Fatalf("%d more keys moved with %d spans", w.moved, w.spanCount())
			}
		})
	}
}

func TestAdjacentRangesOfOneOwnerAreMerged(t *testing.T) {
	w := striped(t, 3, 1, 30)
	if w.spanCount() != 1 || w.moved > 0 || w.violations > 0 {
		t.Fatalf("%d spans, %d keys moved, %d breaches", w.spanCount(), w.moved, w.violations)
	}
}

func TestFirstLayoutDividesABusyRange(t *testing.T) {
	for _, c := range []struct{ owners, spans, most int }{{1, 1, 100}, {2, 6, 95}, {8, 24, 50}, {16, 48, 30}, {40, 120, 15}} {
		w := newWorld(t, 5, c.owners, "a")
		w.run(3 * time.Second)
		for i := range w.keyLoad {
			w.keyLoad[i] = 0
		}
		for i := 40; i < 64; i++ {
			w.keyLoad[i] = 1
		}
		most := slices.Max(slices.Collect(maps.Values(w.loads("a")))) * 100 / newKeyLoad(w.keyLoad).total
		t.Logf("%d holders: %d spans, the most loaded has %.0f percent", c.owners, w.spanCount(), most)
		if w.spanCount() != c.spans || int(most) > c.most || w.unheld() > 0 {
			t.Errorf("%d holders: %d spans, the most loaded has %.0f percent, %d keys not held", c.owners, w.spanCount(), most, w.unheld())
		}
	}
}

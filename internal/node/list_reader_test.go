package node

import (
	"testing"
	"time"

	"topazshed/internal/constants"
)

func TestALongListIsReadLessOften(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls int
		rate  float64
		want  time.Duration
		drain time.Duration
	}{
		{"one page", 1, 43, constants.ListEvery, 0},
		{"six pages", 6, 43, 6 * constants.ListPageEvery, 0},
		{"very many pages without a bound", 200, 0, constants.MaxListEvery, 0},
		{"as many as a slow list allows", 14, 10, 2 * time.Second, 0},
		{"one page, draining ones at the usual bound", 1, 43, constants.ListEvery, 2500 * time.Millisecond},
		{"many pages, at the usual bound", 90, 0, constants.MaxListEvery, 2500 * time.Millisecond},
		{"many pages, at a wide bound", 90, 0, constants.MaxListEvery, 9 * time.Second},
		{"one page, at half of it", 1, 43, 200 * time.Millisecond, 1200 * time.Millisecond},
		{"many pages, at half of it", 90, 0, 200 * time.Millisecond, 1200 * time.Millisecond},
	} {
		reader := &listReader{bounds: Bounds{ListRate: c.rate, DrainWithin: c.drain}}
		if pause := reader.pauseAfter(c.calls); pause.Round(time.Millisecond) != c.want {
			t.Errorf("%s: %v, want %v", c.name, pause, c.want)
		}
	}
}

// Guards against requests to a back end that leaves (DRAIN): the waits between the list and the farthest node took the whole bound,
// and the sum ended before the request that was already under way had reached the back end.
func TestADrainingBackEndIsKnownEverywhereWithinTheBound(t *testing.T) {
	const (
		bound   = 2500 * time.Millisecond
		farWay  = 35 * time.Millisecond
		farPage = 2*farWay + 5*time.Millisecond
		sync    = 30 * time.Millisecond
	)
	for _, pages := range []int{1, 2, 6, 7, 14} {
		reader := &listReader{bounds: Bounds{ListRate: 50, DrainWithin: bound}}
		waits := []time.Duration{
			reader.pauseAfter(pages), // until the next read begins
			farPage,                  // until the back end's page is read, which is as long after the begin as before
			lateTick,                 // the leader's next step, on a busy machine
			2*farWay + sync,          // the record's commit
			farWay,                   // the commit index to a far voter
			constants.RoutedTick,     // its delta to a reader
			farWay,                   // the reader on a far link
			constants.BackendConnect, // a request that was chosen just before waits for its connection
			farWay,                   // and goes to a far back end
		}
		worst := time.Duration(0)
		for _, wait := range waits {
			worst += wait
		}
		if worst > bound {
			t.Errorf("a list of %d pages: known everywhere only after %v (%v)", pages, worst, waits)
		}
	}
}

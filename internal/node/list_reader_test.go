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

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
	}{
		{"one page", 1, 43, constants.ListEvery},
		{"six pages", 6, 43, 6 * constants.ListPageEvery},
		{"very many pages without a bound", 200, 0, constants.ListEveryMost},
		{"as many as a slow list allows", 14, 10, 2 * time.Second},
	} {
		n := &Node{seam: &Seam{Bounds: Bounds{ListRate: c.rate}}}
		if pause := n.listPause(c.calls); pause.Round(time.Millisecond) != c.want {
			t.Errorf("%s: %v, want %v", c.name, pause, c.want)
		}
	}
}

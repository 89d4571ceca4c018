package controlplane

import (
	"testing"
	"time"

	"topazshed/internal/constants"
)

// Calm machines must keep every bound again a given span after trouble: by then there must be a leader, and readers must have found a source.
func TestPaceFollowsTheQuietSpan(t *testing.T) {
	for _, c := range []struct {
		quiet    time.Duration
		election time.Duration
		far      time.Duration
	}{
		{0, constants.RoutedElectionLeast, constants.FarSourceAfter},
		{9 * time.Second, constants.RoutedElectionLeast, constants.FarSourceAfter},
		{4 * time.Second, constants.RoutedElectionLeast, constants.FarSourceAfter},
		{3 * time.Second, constants.RoutedElectionLeast, 1500 * time.Millisecond},
		{2 * time.Second, 2 * time.Second / 3, 500 * time.Millisecond},
		{time.Second, constants.RaftElectionLeast, 0},
	} {
		r := newRoutedState(Options{Routed: &Routed{Quiet: c.quiet}})
		pace := r.raftTiming()
		if pace.ElectionLeast != c.election || 4*pace.Heartbeat > pace.ElectionLeast || pace.ElectionLeast <= constants.KeyLeaseTime {
			t.Errorf("quiet %v: %+v, want a shortest wait of %v", c.quiet, pace, c.election)
		}
		if whole := pace.ElectionLeast + pace.ElectionSpread; c.quiet >= 2*time.Second && whole > c.quiet*6/10 {
			t.Errorf("quiet %v: an election may begin only after %v", c.quiet, whole)
		}
		if got := r.farAfter(); got != c.far {
			t.Errorf("quiet %v: a far source is taken after %v, want %v", c.quiet, got, c.far)
		}
	}
}

package timing_test

import (
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/timing"
)

// A healthy node must keep every promise again within the recovery bound: by then there must be a leader, and readers must have found a source.
func TestTimingForRoutesFollowsTheRecoveryBound(t *testing.T) {
	for _, c := range []struct {
		bound, applyBound time.Duration
		minElection       time.Duration
		remoteSourceAfter time.Duration
	}{
		{0, 0, constants.MinRoutedElection, constants.FarSourceAfter},
		{9 * time.Second, 0, constants.MinRoutedElection, constants.FarSourceAfter},
		{4 * time.Second, 2500 * time.Millisecond, constants.MinRoutedElection, constants.FarSourceAfter},
		{4 * time.Second, 1700 * time.Millisecond, constants.MinRoutedElection, 200 * time.Millisecond},
		{3 * time.Second, 0, constants.MinRoutedElection, constants.FarSourceAfter},
		{2 * time.Second, 0, 2 * time.Second / 3, 500 * time.Millisecond},
		{time.Second, 0, constants.MinRaftElection, 0},
	} {
		t.Run(c.bound.String()+" "+c.applyBound.String(), func(t *testing.T) {
			spans := timing.ForRoutes(c.bound, c.applyBound)
			pace := spans.Raft
			if pace.ElectionTimeout != c.minElection || 4*pace.HeartbeatInterval > pace.ElectionTimeout || pace.ElectionTimeout <= constants.KeyLeaseTime {
				t.Errorf("%+v, want a shortest election time-out of %v", pace, c.minElection)
			}
			if longest := pace.ElectionTimeout + pace.ElectionJitter; c.bound >= 2*time.Second && longest > c.bound*6/10 {
				t.Errorf("an election may begin only after %v", longest)
			}
			if sum := constants.SourceTimeout + spans.RemoteSourceAfter + constants.SourceFound; c.applyBound > 0 && sum > c.applyBound {
				t.Errorf("a source that is lost is replaced by a remote one only after %v", sum)
			}
			if got := spans.RemoteSourceAfter; got != c.remoteSourceAfter {
				t.Errorf("a remote source is taken after %v, want %v", got, c.remoteSourceAfter)
			}
		})
	}
}

func TestTimingForEntriesIsThatOfTheConstants(t *testing.T) {
	want := timing.Timing{
		HeartbeatInterval: constants.HeartbeatEvery,
		LostAfter:         constants.NodeLostAfter,
		DeltaInterval:     constants.DeltaEvery,
		SubscribeInterval: constants.SubscribeEvery,
		ConfirmedWithin:   constants.SourceTimeout + 2*constants.RaftHeartbeat,
		DigestInterval:    constants.DigestEvery,
	}
	if got := timing.ForEntries(); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

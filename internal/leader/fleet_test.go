package leader

import (
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

const inheritedLeases = constants.LeaseDuration + constants.LeaseClockMargin

func TestLeasesAreReleasedOnceReachedOrLapsed(t *testing.T) {
	const index = raft.Index(7)
	for _, c := range []struct {
		name       string
		since      time.Duration
		version    uint64
		isHeard    bool
		lease      time.Duration
		isReleased bool
		isDrained  bool
	}{
		{name: "a former leader's lease holds", since: inheritedLeases - 1},
		{name: "a former leader's lease has lapsed", since: inheritedLeases, isReleased: true},
		{name: "its requests are over after a window", since: inheritedLeases + constants.ReservationWindow, isReleased: true, isDrained: true},
		{name: "the node has reached the index", since: 1, isHeard: true, version: uint64(index), isReleased: true, isDrained: true},
		{name: "the node is behind and its lease holds", since: time.Minute, isHeard: true, version: 6, lease: time.Minute},
		{name: "the node is behind and its lease is just over", since: time.Minute, isHeard: true, version: 6, lease: time.Minute - constants.LeaseClockMargin, isReleased: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := NewFleet()
			fleet.Elected(startedAt)
			if c.isHeard {
				fleet.Heard(startedAt, readyNode("n"), &schema.Heartbeat{Version: c.version})
				fleet.GiveLease(startedAt, "n", c.lease)
			}
			state := newState(t, startedAt+c.since, nodeRow(readyNode("n")))
			if isReleased, _ := fleet.Released(state, index); isReleased != c.isReleased {
				t.Errorf("released: %v", isReleased)
			}
			if isDrained := fleet.hasDrained(state, index); isDrained != c.isDrained {
				t.Errorf("drained: %v", isDrained)
			}
		})
	}
}

func TestReleasedTellsSinceWhen(t *testing.T) {
	fleet := NewFleet()
	fleet.Elected(startedAt)
	state := newState(t, startedAt+time.Minute, nodeRow(readyNode("n")))
	fleet.Released(state, 3)
	state.Now += 1500 * time.Millisecond
	if isReleased, since := fleet.Released(state, 3); !isReleased || since != 1500 {
		t.Errorf("released %v since %d ms, want since 1500 ms", isReleased, since)
	}
	fleet.Reset()
	if _, since := fleet.Released(state, 3); since != 0 {
		t.Errorf("after a reset since %d ms, want 0", since)
	}
}

func TestOldestIndexIsTheLowestThatANodeReliesOn(t *testing.T) {
	for _, c := range []struct {
		name      string
		heartbeat *schema.Heartbeat
		want      raft.Index
	}{
		{"no request in flight", &schema.Heartbeat{Version: 9}, 9},
		{"a request in flight", &schema.Heartbeat{Version: 9, OldestIndex: 5}, 5},
		{"a request begun on a newer state than the version tells", &schema.Heartbeat{Version: 9, OldestIndex: 11}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := NewFleet()
			fleet.Heard(startedAt, readyNode("n"), c.heartbeat)
			if got := fleet.Node("n").OldestIndex; got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

func TestDescribeCompletesShortHeartbeats(t *testing.T) {
	short := &schema.Node{Id: "n", State: schema.NodeState_NODE_STOPPING, Incarnation: 2}
	for _, c := range []struct {
		name    string
		node    *schema.Node
		row     *schema.Node
		isHeard bool
		// address is that of the description; an empty one wants none.
		address string
	}{
		{"a whole description", readyNode("n"), nil, false, "n"},
		{"known from a heartbeat", short, nil, true, "n"},
		{"known from the row", short, readyNode("n"), false, "n"},
		{"not known", short, nil, false, ""},
		{"none", nil, nil, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := NewFleet()
			if c.isHeard {
				fleet.Heard(startedAt, readyNode("n"), &schema.Heartbeat{})
			}
			got := fleet.Describe(c.node, c.row)
			if got.GetAddress() != c.address || got != nil && (got.State != c.node.State || got.Incarnation != c.node.Incarnation) {
				t.Errorf("%v", got)
			}
		})
	}
}

func TestUnreachedLeavesOutStoppingNodes(t *testing.T) {
	fleet := NewFleet()
	fleet.Heard(startedAt, readyNode("new"), &schema.Heartbeat{Version: 5})
	fleet.Heard(startedAt, readyNode("old"), &schema.Heartbeat{Version: 4})
	state := newState(t, startedAt, nodeRow(readyNode("new")), nodeRow(readyNode("old")), nodeRow(readyNode("stopping", isStopping)), nodeRow(readyNode("unheard")))
	got := map[string]bool{}
	for _, node := range fleet.Unreached(state.View, 5) {
		got[node.Id] = true
	}
	if len(got) != 2 || !got["old"] || !got["unheard"] {
		t.Errorf("%v, want old and unheard", got)
	}
}

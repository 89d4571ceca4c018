package leader

import (
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const testRiseAfter = 4 * time.Second

func speaks(low, high uint32) func(*schema.Node) {
	return func(node *schema.Node) { node.SpeaksLow, node.SpeaksHigh = low, high }
}

func TestFleetRisesOnceAllHaveReadAVersionForLongEnough(t *testing.T) {
	for _, c := range []struct {
		name string
		row  *schema.Node
		// heard is what the node tells of itself now, nil if nothing was heard of it.
		heard *schema.Node
		// last is the index of the log's newest item beyond those applied.
		ahead raft.Index
		after time.Duration
		want  protocolversion.Version
	}{
		{"all read it long enough", readyNode("n", speaks(1, 2)), readyNode("n", speaks(1, 2)), 0, testRiseAfter, 2},
		{"not long enough", readyNode("n", speaks(1, 2)), readyNode("n", speaks(1, 2)), 0, testRiseAfter - 1, 0},
		{"a record is under way", readyNode("n", speaks(1, 2)), readyNode("n", speaks(1, 2)), 1, testRiseAfter, 0},
		{"one reads only the first", readyNode("n", speaks(1, 1)), readyNode("n", speaks(1, 1)), 0, testRiseAfter, 0},
		{"one was not heard of", readyNode("n", speaks(1, 2)), nil, 0, testRiseAfter, 0},
		{"one has no row yet", nil, readyNode("n", speaks(1, 2)), 0, testRiseAfter, 0},
		{"one has gone back and its row is old", readyNode("n", speaks(1, 2)), readyNode("n", speaks(1, 1)), 0, testRiseAfter, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			rows := []*schema.Row{systemRow}
			if c.row != nil {
				rows = append(rows, nodeRow(c.row))
			}
			fleet := NewFleet()
			rise := newVersionRise(protocolversion.Span{Low: 1, High: 2}, testRiseAfter)
			state := newState(t, startedAt, rows...)
			var got protocolversion.Version
			for _, now := range []time.Duration{startedAt, startedAt + c.after} {
				state.Now = now
				if c.heard != nil {
					fleet.Heard(now, c.heard, &schema.Heartbeat{})
				}
				got = rise.next(state, readers(state, fleet, &schema.Members{}), state.Table.Version()+c.ahead)
			}
			if got != c.want {
				t.Errorf("the fleet should use %d, want %d", got, c.want)
			}
		})
	}
}

func TestNodesThatSpeakNoVersionOfTheFleetAreRefused(t *testing.T) {
	for _, c := range []struct {
		name     string
		node     *schema.Node
		inUse    protocolversion.Version
		isRising bool
		isFit    bool
	}{
		{"it speaks the version in use", readyNode("n", speaks(1, 2)), 2, false, true},
		{"it speaks only older ones", readyNode("n", speaks(1, 1)), 2, false, false},
		{"the fleet is about to use a newer one", readyNode("n", speaks(1, 1)), 1, true, false},
		{"the newer one was not accepted", readyNode("n", speaks(1, 1)), 1, false, true},
		{"its span is impossible", readyNode("n", speaks(3, 2)), 1, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			rows := []*schema.Row{systemRow}
			if c.inUse > 1 {
				rows = append(rows, store.EncodeRow(store.FleetVersionKey, &schema.FleetVersion{Version: uint32(c.inUse)}))
			}
			proposer := &fakeProposer{inFlight: map[string]bool{store.FleetVersionKey: c.isRising}}
			l := New(Options{Self: "l", Speaks: protocolversion.Span{Low: 1, High: 2}, Proposer: proposer, Log: &fakeLog{members: &schema.Members{}}, Logger: slog.New(slog.DiscardHandler)})
			l.version.proposed = 2
			if got := l.isFit(newState(t, startedAt, rows...), c.node); got != c.isFit {
				t.Errorf("fit: %v", got)
			}
			if isNew := l.version.noteRefused(c.node); isNew != c.isFit {
				t.Errorf("the refusal would be logged again: %v", isNew)
			}
		})
	}
}

package controlplane_test

import (
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/journal"
	"topazshed/internal/schema"
	"topazshed/internal/sim"
)

func TestDriverWaitsForTheDiskAloneWithWhatRestsOnIt(t *testing.T) {
	for _, c := range []struct {
		name      string
		fault     error
		wantVotes int
		wantErr   bool
	}{
		{"a vote goes out once it is on disk", nil, 1, false},
		{"and never if the disk fails", errors.New("input/output error"), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			j, state, err := journal.Open(sim.NewDisk(), journal.Options{Files: 4, FileBytes: 64 << 10, SnapshotBytes: 64 << 10})
			if err != nil {
				t.Fatal(err)
			}
			now := time.Hour
			self := &schema.Node{Id: "a", Address: "a", Zone: "d", Region: "r", Disk: true, Incarnation: 1, State: schema.NodeState_NODE_READY}
			machine := controlplane.New(now, controlplane.Options{Self: self, Seeds: []string{"a", "b", "c"}, System: "s", HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries,
				Draw: func(n int64) int64 { return n - 1 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
			var finish func(error)
			votes, others := 0, 0
			driver := &controlplane.Driver{Machine: machine, Journal: j, Now: func() time.Duration { return now }, Publish: func() {}, Answer: func(controlplane.LocalResponse) {}, Synced: func(time.Duration, error) {},
				Send: func(_ string, f *schema.Frame) {
					if raft := f.GetRaft(); raft != nil && raft.Kind == schema.RaftKind_RAFT_VOTE_RESPONSE && !raft.Rejected {
						votes++
					} else {
						others++
					}
				},
				Write: func(work func() error, done func(error)) {
					if c.fault == nil {
						if err := work(); err != nil {
							t.Fatal(err)
						}
					}
					finish = done
				}}
			machine.Receive(now, &schema.Frame{System: "s", From: "b", Address: "b", Body: &schema.Frame_Raft{Raft: &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE, From: "b", To: "a", Term: 7}}})
			if err := driver.Perform(); err != nil || finish == nil || votes != 0 {
				t.Fatalf("before the sync: error %v, writing %v, %d votes", err, finish != nil, votes)
			}
			others = 0
			for range 100 {
				now += constants.Tick
				machine.Tick(now)
				if err := driver.Perform(); err != nil {
					t.Fatal(err)
				}
			}
			if others == 0 || votes != 0 || now-machine.Local().TickAt > 0 {
				t.Fatalf("while the disk is busy: %d votes and %d other frames went out, the last tick %v ago", votes, others, now-machine.Local().TickAt)
			}
			finish(c.fault)
			if err := driver.Perform(); (err != nil) != c.wantErr || votes != c.wantVotes {
				t.Fatalf("after it: error %v, %d votes, want %d", err, votes, c.wantVotes)
			}
		})
	}
}

package core

import (
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/journal"
	"topazshed/internal/schema"
)

type memory struct{ bytes []byte }

func (m *memory) ReadAt(p []byte, at int64) (int, error)  { return copy(p, m.bytes[at:]), nil }
func (m *memory) WriteAt(p []byte, at int64) (int, error) { return copy(m.bytes[at:], p), nil }
func (m *memory) Sync() error                             { return nil }
func (m *memory) Size() int64                             { return int64(len(m.bytes)) }

type memories map[string]*memory

func (m memories) Area(name string, size int64) (journal.Area, error) {
	if m[name] == nil {
		m[name] = &memory{make([]byte, size)}
	}
	return m[name], nil
}

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
			j, state, err := journal.Open(memories{}, journal.Options{Files: 4, FileBytes: 64 << 10, ImageBytes: 64 << 10})
			if err != nil {
				t.Fatal(err)
			}
			now := time.Hour
			self := &schema.Node{Id: "a", Address: "a", District: "d", Region: "r", Disk: true, Incarnation: 1, State: schema.NodeState_NODE_READY}
			core := New(now, Options{Self: self, Seeds: []string{"a", "b", "c"}, System: "s", Hard: state.Hard, Image: state.Image, Items: state.Items,
				Draw: func(n int64) int64 { return n - 1 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
			var finish func(error)
			votes, others := 0, 0
			driver := &Driver{Core: core, Journal: j, Now: func() time.Duration { return now }, Publish: func() {}, Answer: func(Outcome) {}, Synced: func(time.Duration, error) {},
				Send: func(_ string, f *schema.Frame) {
					if raft := f.GetRaft(); raft != nil && raft.Kind == schema.RaftKind_RAFT_VOTE_OUTCOME && !raft.Declined {
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
			core.Receive(now, &schema.Frame{System: "s", From: "b", Address: "b", Body: &schema.Frame_Raft{Raft: &schema.Raft{Kind: schema.RaftKind_RAFT_VOTE, From: "b", To: "a", Term: 7}}})
			if err := driver.Perform(); err != nil || finish == nil || votes != 0 {
				t.Fatalf("before the sync: error %v, writing %v, %d votes", err, finish != nil, votes)
			}
			others = 0
			for range 100 {
				now += constants.Tick
				core.Tick(now)
				if err := driver.Perform(); err != nil {
					t.Fatal(err)
				}
			}
			if others == 0 || votes != 0 || now-core.Local().TickAt > 0 {
				t.Fatalf("while the disk is busy: %d votes and %d other frames went out, the last tick %v ago", votes, others, now-core.Local().TickAt)
			}
			finish(c.fault)
			if err := driver.Perform(); (err != nil) != c.wantErr || votes != c.wantVotes {
				t.Fatalf("after it: error %v, %d votes, want %d", err, votes, c.wantVotes)
			}
		})
	}
}

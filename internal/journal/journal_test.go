package journal_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"
	"testing"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/journal"
	"topazshed/internal/schema"
	"topazshed/internal/sim"
	"topazshed/internal/store"
)

var sizes = journal.Options{Files: 4, FileBytes: 16 << 10, SnapshotBytes: 32 << 10}

func entry(index, term uint64, size int) *schema.LogItem {
	row := &schema.Row{Key: "k", Value: make([]byte, size)}
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{row}}
	return &schema.LogItem{Index: index, Term: term, Record: record}
}

func open(t *testing.T, disk journal.Disk) (*journal.Journal, *journal.State) {
	t.Helper()
	j, state, err := journal.Open(disk, sizes)
	if err != nil {
		t.Fatal(err)
	}
	return j, state
}

func TestSyncedEntriesSurviveACrash(t *testing.T) {
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		disk := sim.NewDisk()
		j, _ := open(t, disk)
		var kept []*schema.LogItem
		hard := &schema.HardState{Term: 1, Id: "n"}
		snapshotIndex := uint64(0)
		for range 200 {
			switch random.Intn(12) {
			case 0:
				hard = &schema.HardState{Term: hard.Term + 1, Id: "n", Vote: "v"}
			case 1:
				if len(kept) > 4 {
					kept = kept[:len(kept)-1-random.Intn(3)]
				}
			case 2:
				disk.Crash(random)
				var state *schema.HardState
				opened, read := open(t, disk)
				j, state = opened, read.HardState
				compare(t, seed, state, hard, read, kept, snapshotIndex)
			}
			next := snapshotIndex + 1
			if len(kept) > 0 {
				next = kept[len(kept)-1].Index + 1
			}
			it := entry(next, hard.Term, random.Intn(900))
			err := j.Append(hard, []*schema.LogItem{it})
			var full *journal.RingFullError
			if errors.As(err, &full) || err == nil && j.NeedsSnapshot() {
				if err != nil && len(kept) == 0 {
					t.Fatalf("seed %d: the ring is full with nothing in it", seed)
				}
				if len(kept) > 0 {
					snapshotIndex = kept[len(kept)-1].Index
					if err := j.WriteSnapshot(&schema.Snapshot{Index: snapshotIndex, Term: hard.Term}); err != nil {
						t.Fatal(err)
					}
					kept = nil
				}
				if err != nil {
					err = j.Append(hard, []*schema.LogItem{it})
				}
			}
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			kept = append(kept, it)
		}
	}
}

func compare(t *testing.T, seed int64, state, hard *schema.HardState, read *journal.State, kept []*schema.LogItem, snapshotIndex uint64) {
	t.Helper()
	if len(kept) > 0 && !proto.Equal(state, hard) && state.Term < kept[len(kept)-1].Term {
		t.Fatalf("seed %d: hard state %v, want %v", seed, state, hard)
	}
	if read.Snapshot.GetIndex() != snapshotIndex {
		t.Fatalf("seed %d: snapshot %d, want %d", seed, read.Snapshot.GetIndex(), snapshotIndex)
	}
	for i, it := range kept {
		if i >= len(read.Entries) || !proto.Equal(read.Entries[i], it) {
			t.Fatalf("seed %d: entry %d of %d is not what was synced", seed, i, len(kept))
		}
	}
}

func TestOpenTellsDamageFromATornTail(t *testing.T) {
	for _, c := range []struct {
		name      string
		damage    func(*sim.Disk)
		isCorrupt bool
		items     int
	}{
		{"nothing", func(*sim.Disk) {}, false, 10},
		{"a byte in the middle", func(d *sim.Disk) { d.Flip("ring-0", 300) }, true, 0},
		{"the last record, as a torn tail", func(d *sim.Disk) { d.FlipLast("ring-0") }, false, 9},
		{"the segment header", func(d *sim.Disk) { d.Flip("ring-0", 9) }, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			disk := sim.NewDisk()
			j, _ := open(t, disk)
			for i := range uint64(10) {
				if err := j.Append(&schema.HardState{Term: 1, Id: "n"}, []*schema.LogItem{entry(i+1, 1, 110)}); err != nil {
					t.Fatal(err)
				}
			}
			c.damage(disk)
			_, state, err := journal.Open(disk, sizes)
			var corrupt *journal.CorruptError
			if errors.As(err, &corrupt) != c.isCorrupt {
				t.Fatalf("got %v, corrupt wanted %v", err, c.isCorrupt)
			}
			if err == nil && len(state.Entries) != c.items {
				t.Fatalf("%d entries, want %d", len(state.Entries), c.items)
			}
		})
	}
}

func TestWriteSnapshotRefusesOneThatIsTooLarge(t *testing.T) {
	j, _ := open(t, sim.NewDisk())
	value := make([]byte, 64<<10)
	rand.New(rand.NewSource(1)).Read(value)
	err := j.WriteSnapshot(&schema.Snapshot{Index: 1, Rows: []*schema.Row{{Key: "k", Value: value}}})
	var large *journal.TooLargeError
	if !errors.As(err, &large) {
		t.Fatalf("got %v", err)
	}
}

func TestALargeConfigurationFitsASmallRing(t *testing.T) {
	sizes := journal.OptionsForDisk(64 << 20)
	disk := sim.NewDisk()
	j, _, err := journal.Open(disk, sizes)
	if err != nil {
		t.Fatal(err)
	}
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS}
	for i := range 5000 {
		host, prefix := fmt.Sprintf("host%05d.example", i/8), fmt.Sprintf("/path%d/", i%8)
		record.Rows = append(record.Rows, store.EncodeRow(store.RouteKey(host, prefix), &schema.Route{
			Name:        fmt.Sprintf("route%05d", i),
			Host:        host,
			Prefix:      prefix,
			Repeatable:  true,
			TimeoutMs:   2000,
			TargetMs:    800,
			MaxAttempts: 2,
			HomeRegions: []string{"north", "south"},
			Targets:     []*schema.Target{{Service: "ledger", Weight: 1}},
		}))
	}
	document := bytes.Repeat([]byte(`{"name":"route","host":"host.example","prefix":"/path/"}`), 30000)
	record.Rows = append(record.Rows, &schema.Row{Key: store.CatalogDocumentKey, Value: document})
	if size := proto.Size(record); int64(size) < sizes.FileBytes {
		t.Fatalf("the record of %d bytes must not fit uncompressed; a segment has %d", size, sizes.FileBytes)
	}
	if !sizes.Fits(record) {
		t.Fatal("the record is said not to fit")
	}
	if err := j.Append(&schema.HardState{Term: 1, Id: "a", System: "s"}, []*schema.LogItem{{Index: 1, Term: 1, Record: record}}); err != nil {
		t.Fatal(err)
	}
	if err := j.WriteSnapshot(&schema.Snapshot{Index: 1, Term: 1, Rows: record.Rows}); err != nil {
		t.Fatal(err)
	}
	_, state, err := journal.Open(disk, sizes)
	if err != nil {
		t.Fatal(err)
	}
	if len(state.Snapshot.GetRows()) != len(record.Rows) || !proto.Equal(state.Snapshot.Rows[77], record.Rows[77]) {
		t.Fatalf("%d rows came back", len(state.Snapshot.GetRows()))
	}
	noise := make([]byte, 2*sizes.FileBytes)
	rand.New(rand.NewSource(1)).Read(noise)
	if sizes.Fits(&schema.Record{Rows: []*schema.Row{{Key: "noise", Value: noise}}}) {
		t.Fatal("a record that can't be compressed into a segment is said to fit")
	}
}

package journal_test

import (
	"fmt"
	"math/rand"
	"testing"

	"topazshed/internal/journal"
	"topazshed/internal/schema"
	"topazshed/internal/sim"
)

// The power fails at each step of writing several records: each unsynced write may survive, be missing or come back torn,
// whatever became of the writes before it. What was synced must be there, and the member must keep its identity.
func TestPowerLossWhileSeveralRecordsAreWritten(t *testing.T) {
	const synced = 5
	for _, batch := range []int{1, 2, 3, 8} {
		for cut := range 2*batch + 4 {
			for seed := range int64(60) {
				random := rand.New(rand.NewSource(seed))
				disk := sim.NewDisk()
				j, _ := open(t, disk)
				for index := range uint64(synced) {
					if err := j.Append(&schema.HardState{Term: 1, Id: "n", Commit: index}, []*schema.LogItem{entry(index+1, 1, 100)}); err != nil {
						t.Fatal(err)
					}
				}
				var items []*schema.LogItem
				for i := range batch {
					items = append(items, entry(synced+1+uint64(i), 1, 40+random.Intn(400)))
				}
				disk.CutAfter(cut)
				isSynced := j.Append(&schema.HardState{Term: 1, Id: "n", Commit: synced}, items) == nil
				disk.Crash(random)
				disk.Fault = nil
				_, state, err := journal.Open(disk, sizes)
				if err != nil {
					t.Fatalf("batch %d, cut %d, seed %d: %v", batch, cut, seed, err)
				}
				least := synced
				if isSynced {
					least += batch
				}
				if len(state.Entries) < least || state.HardState.Id != "n" {
					t.Fatalf("batch %d, cut %d, seed %d: %d records of member %q are left, want %d",
						batch, cut, seed, len(state.Entries), state.HardState.Id, least)
				}
			}
		}
	}
}

// Records that a power loss left behind a missing one must not come back once the member writes on where that one stood.
func TestRecordsBehindALostOneStayErased(t *testing.T) {
	for seed := range int64(400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewSource(seed))
			disk := sim.NewDisk()
			j, _ := open(t, disk)
			if err := j.Append(&schema.HardState{Term: 1, Id: "n"}, []*schema.LogItem{entry(1, 1, 100)}); err != nil {
				t.Fatal(err)
			}
			disk.CutAfter(3)
			batch := []*schema.LogItem{entry(2, 1, 100), entry(3, 1, 100), entry(4, 1, 100)}
			if err := j.Append(&schema.HardState{Term: 1, Id: "n", Commit: 1}, batch); err == nil {
				t.Fatal("the power did not fail")
			}
			disk.Crash(random)
			disk.Fault = nil
			j, state := open(t, disk)
			next := uint64(len(state.Entries)) + 1
			if err := j.Append(&schema.HardState{Term: 2, Id: "n", Commit: 1}, []*schema.LogItem{entry(next, 2, 100)}); err != nil {
				t.Fatal(err)
			}
			_, state = open(t, disk)
			if last := state.Entries[len(state.Entries)-1]; last.Index != next || last.Term != 2 {
				t.Fatalf("the log ends with record %d of term %d, want %d of term 2", last.Index, last.Term, next)
			}
		})
	}
}

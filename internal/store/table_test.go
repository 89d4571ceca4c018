package store

import (
	"fmt"
	"math/rand"
	"testing"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

func TestReadersFollowDeltasAndRepairByDigests(t *testing.T) {
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		source, reader := NewTable(), NewTable()
		slices := []string{"node/", ServicePrefix("a")}
		for i := range 400 {
			key := fmt.Sprintf("%s%d", []string{"node/", ServicePrefix("a"), ServicePrefix("b")}[random.Intn(3)], random.Intn(20))
			row := &schema.Row{Key: key, Value: []byte(fmt.Sprint(i))}
			if random.Intn(4) == 0 {
				row = Tombstone(key)
			}
			apply(t, source, raft.Index(i+1), row)
			if random.Intn(5) > 0 {
				continue
			}
			delta := &schema.Delta{From: uint64(reader.Version()), To: uint64(source.Version())}
			if random.Intn(6) == 0 {
				delta.Whole, delta.All = slices, true
				delta.Rows = source.Rows(slices)
			} else {
				rows, isKnown := source.Changes(reader.Version(), slices)
				if !isKnown {
					t.Fatal("the source forgot too early")
				}
				delta.Rows = rows
			}
			if _, isTaken := reader.Merge(delta); !isTaken {
				t.Fatalf("seed %d: delta %d-%d was not taken at %d", seed, delta.From, delta.To, reader.Version())
			}
			old := &schema.Delta{From: 0, To: uint64(reader.Version()) - 1, All: true, Whole: slices}
			if _, isTaken := reader.Merge(old); isTaken {
				t.Fatalf("seed %d: an older delta was taken", seed)
			}
			if _, isTaken := reader.Merge(&schema.Delta{From: uint64(reader.Version()) + 1, To: uint64(reader.Version()) + 2}); isTaken {
				t.Fatalf("seed %d: a delta with a gap was taken", seed)
			}
			var ranges []*schema.RangeDigest
			for _, prefix := range slices {
				ranges = append(ranges, reader.Digest(prefix))
			}
			if names := source.Differing(ranges); len(names) > 0 {
				t.Fatalf("seed %d: ranges %v differ at %d", seed, names, reader.Version())
			}
			if len(reader.Rows([]string{ServicePrefix("b")})) > 0 {
				t.Fatal("the reader holds a slice it did not ask for")
			}
		}
		rows, _ := source.Changes(reader.Version(), slices)
		if _, isTaken := reader.Merge(&schema.Delta{From: uint64(reader.Version()), To: uint64(source.Version()), Rows: rows}); !isTaken {
			t.Fatal("the last delta was not taken")
		}
		reader.rows.Put("node/7", &schema.Row{Key: "node/7", Value: []byte("damaged"), Index: 1})
		digests := []*schema.RangeDigest{reader.Digest("node/"), reader.Digest(ServicePrefix("a"))}
		if names := source.Differing(digests); len(names) != 1 || names[0] != "node/" {
			t.Fatalf("seed %d: damage shows as %v", seed, names)
		}
		damaged := []string{"node/"}
		version := uint64(source.Version())
		whole := &schema.Delta{From: version, To: version, Whole: damaged, Rows: source.Rows(damaged)}
		if _, isTaken := reader.Merge(whole); !isTaken || len(source.Differing([]*schema.RangeDigest{reader.Digest("node/")})) > 0 {
			t.Fatalf("seed %d: the damaged range was not repaired", seed)
		}
	}
}

package journal_test

import (
	"encoding/binary"
	"errors"
	"testing"

	"topazshed/internal/journal"
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
	"topazshed/internal/sim"
)

func TestOpenRefusesADiskOfANewerVersion(t *testing.T) {
	snapshot := func(version uint32) *schema.Snapshot {
		return &schema.Snapshot{Index: 1, Term: 1, Members: &schema.Members{}, Version: version}
	}
	for _, c := range []struct {
		name     string
		hard     uint32
		snapshot *schema.Snapshot
		spoil    func(*sim.Disk)
		isNew    bool
	}{
		{"of version 1, which has no number", 0, snapshot(0), nil, false},
		{"of the newest version that is read", 2, snapshot(2), nil, false},
		{"the hard state is newer", 3, nil, nil, true},
		{"the snapshot is newer", 0, snapshot(3), nil, true},
		{"a snapshot of an unknown format", 0, snapshot(0), func(disk *sim.Disk) {
			area, _ := disk.Area("image-0", sizes.SnapshotBytes)
			area.WriteAt(binary.BigEndian.AppendUint32(nil, 0x7a5d0009), 0)
			area.Sync()
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			disk := sim.NewDisk()
			j, _, err := journal.Open(disk, sizes)
			if err != nil {
				t.Fatal(err)
			}
			if c.snapshot != nil {
				if err := j.WriteSnapshot(c.snapshot); err != nil {
					t.Fatal(err)
				}
			}
			if err := j.Append(&schema.HardState{Term: 1, Id: "n", Version: c.hard}, nil); err != nil {
				t.Fatal(err)
			}
			if c.spoil != nil {
				c.spoil(disk)
			}
			for range 2 {
				_, state, err := journal.Open(disk, sizes)
				var newer *protocolversion.DiskError
				if errors.As(err, &newer) != c.isNew || (err == nil) == c.isNew {
					t.Fatalf("opened as %v, %v", state, err)
				}
			}
		})
	}
}

package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"topazshed/internal/bootstrap"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/journal"
)

// Folder is a data folder. One process uses it at a time.
type Folder interface {
	journal.Disk
	// InitialCluster and RecordInitialCluster are this machine's part in the first start of its system; nil is none.
	InitialCluster() (*journal.InitialCluster, error)
	RecordInitialCluster(*journal.InitialCluster) error
	// Wipe deletes what the folder holds, so that the process starts as a machine without state.
	Wipe() error
	Close() error
}

// OpenFolder opens the data folder at that path on the real disk; it fails while another process has it open.
func OpenFolder(path string) (Folder, error) { return journal.OpenFolder(path) }

// openDisk reads the data folder into the control machine's options.
func (n *Node) openDisk(ctx context.Context, openFolder func(path string) (Folder, error), options *controlplane.Options) error {
	var folder Folder
	err := n.retryStart(ctx, "data folder", func() (err error) {
		folder, err = openFolder(n.settings.Data)
		return err
	})
	if err != nil {
		return err
	}
	n.cleanup.push("data folder", folder.Close)
	// Before the journal, since that takes longer: a process that is killed meanwhile goes on from here.
	var initial *bootstrap.InitialCluster
	err = n.retryStart(ctx, "record of the first start", func() (err error) {
		initial, err = n.initialCluster(folder, options.TellsFirstStart)
		return err
	})
	if err != nil {
		return err
	}
	var state *journal.State
	var isWiped bool
	err = n.retryStart(ctx, "journal", func() (err error) {
		state, isWiped, err = n.openJournal(folder)
		return err
	})
	if err != nil {
		return err
	}
	options.HardState, options.Snapshot, options.Entries = state.HardState, state.Snapshot, state.Entries
	options.System, options.Restart = state.HardState.System, state.HardState.Id != ""
	if !isWiped {
		options.InitialCluster = initial
	}
	switch {
	case options.Restart:
		n.self.Id = state.HardState.Id
	case options.InitialCluster != nil:
		n.self.Id = bootstrap.InitialMemberID(initial.Seeds, n.self.Address)
	}
	return nil
}

// initialCluster gives this machine's part in the first start of its system: what its disk recorded, whatever the settings say now, or
// what is recorded at the first start; nil is none.
func (n *Node) initialCluster(folder Folder, tellsFirstStart bool) (*bootstrap.InitialCluster, error) {
	recorded, err := folder.InitialCluster()
	var corrupt *journal.CorruptError
	if errors.As(err, &corrupt) {
		n.log.Error("the record of the first start is corrupt; without a journal this machine joins as a new one", "reason", err.Error())
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	isFirst := recorded == nil
	if isFirst {
		if !tellsFirstStart || n.settings.Rejoin || !slices.Contains(n.settings.Seeds, n.self.Address) {
			return nil, nil
		}
		recorded = &journal.InitialCluster{Seeds: slices.Sorted(slices.Values(n.settings.Seeds))}
		if err := folder.RecordInitialCluster(recorded); err != nil {
			return nil, err
		}
	}
	if !slices.Contains(recorded.Seeds, n.self.Address) {
		return nil, nil
	}
	return &bootstrap.InitialCluster{Seeds: recorded.Seeds, IsFromEarlierProcess: !isFirst}, nil
}

// openJournal reads the journal. A corrupt one is wiped: the machine then joins again under a new identity.
func (n *Node) openJournal(folder Folder) (state *journal.State, isWiped bool, err error) {
	sizes := journal.OptionsForDisk(n.settings.DiskBytes)
	opened, state, err := journal.Open(folder, sizes)
	var corrupt *journal.CorruptError
	if errors.As(err, &corrupt) {
		n.log.Error("the journal is corrupt; rejoining empty under a new identity", "reason", err.Error())
		if err := folder.Wipe(); err != nil {
			return nil, false, fmt.Errorf("wipe data folder: %w", err)
		}
		isWiped = true
		opened, state, err = journal.Open(folder, sizes)
	}
	if err != nil {
		return nil, false, err
	}
	if state.Torn {
		n.log.Warn("the journal ended in a half-written record, which was cut off")
	}
	n.journal = opened
	return state, isWiped, nil
}

// write runs work beside the owner and then gives the owner its error.
func (n *Node) write(work func() error, done func(error)) {
	n.tasks.Go(func() {
		err := work()
		n.do(func() { done(err) })
	})
}

// synced notes how long a write with its sync took. A leader whose disk is slow hands its duty over. The owner calls it.
func (n *Node) synced(took time.Duration, err error) {
	disk := *n.disk.Load()
	disk.LastSyncMs = took.Milliseconds()
	disk.WorstMs = max(disk.WorstMs, took.Milliseconds())
	if err != nil {
		disk.Fault = err.Error()
	}
	n.disk.Store(&disk)
	if took > constants.SlowSync {
		n.log.Warn("slow sync", "milliseconds", took.Milliseconds())
		n.machine.SlowDisk(n.Now())
	}
}

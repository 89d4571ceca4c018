package node

import (
	"errors"
	"fmt"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/journal"
)

// Folder is a data folder. One process uses it at a time.
type Folder interface {
	journal.Disk
	// Wipe deletes what the folder holds, so that the process starts as a machine without state.
	Wipe() error
	Close() error
}

// OpenFolder opens the data folder at that path on the real disk; it fails while another process has it open.
func OpenFolder(path string) (Folder, error) { return journal.OpenFolder(path) }

// openJournal reads the data folder. A corrupt journal is wiped: the machine then joins again under a new identity.
func (n *Node) openJournal(openFolder func(path string) (Folder, error)) (*journal.State, error) {
	folder, err := openFolder(n.settings.Data)
	if err != nil {
		return nil, err
	}
	n.cleanup.push("data folder", folder.Close)
	sizes := journal.OptionsForDisk(n.settings.DiskBytes)
	opened, state, err := journal.Open(folder, sizes)
	var corrupt *journal.CorruptError
	if errors.As(err, &corrupt) {
		n.log.Error("the journal is corrupt; rejoining empty under a new identity", "reason", err.Error())
		if err := folder.Wipe(); err != nil {
			return nil, fmt.Errorf("wipe data folder: %w", err)
		}
		opened, state, err = journal.Open(folder, sizes)
	}
	if err != nil {
		return nil, err
	}
	if state.Torn {
		n.log.Warn("the journal ended in a half-written record, which was cut off")
	}
	n.journal = opened
	return state, nil
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

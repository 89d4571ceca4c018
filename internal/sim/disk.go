package sim

import (
	"errors"
	"math/rand"
	"strings"

	"topazshed/internal/journal"
)

// Prefixes of the names of the journal's files.
const (
	ringFiles     = "ring"
	snapshotFiles = "image"
)

// flippedBit is the bit that Flip damages.
const flippedBit = 0x40

// errPowerLost is what a disk returns once its power is lost.
var errPowerLost = errors.New("power lost")

// Disk is a simulated disk that loses what was not synced. It is a journal.Disk in memory.
type Disk struct {
	// Syncs counts the syncs that succeeded.
	Syncs int
	// Fault, where it is set, fails every write and sync.
	Fault error
	// Only, where it is set, restricts Fault to files whose names begin so: ring or image.
	Only string

	areas map[string]*area
	// isSyncDeferred makes syncs return before anything is durable; Flush makes it so.
	isSyncDeferred bool
	// writesLeft counts down to a loss of power, if it isn't 0.
	writesLeft int
}

// write is one write that was not synced yet.
type write struct {
	at   int64
	data []byte
}

// area is one file: written is what reads see, synced what a loss of power leaves.
type area struct {
	name            string
	disk            *Disk
	written, synced []byte
	pending         []write
}

// NewDisk makes an empty disk.
func NewDisk() *Disk { return &Disk{areas: map[string]*area{}} }

// Area opens or makes one file.
func (d *Disk) Area(name string, size int64) (journal.Area, error) {
	a := d.areas[name]
	if a == nil {
		a = &area{name: name, written: make([]byte, size), synced: make([]byte, size), disk: d}
		d.areas[name] = a
	}
	return a, nil
}

func (a *area) ReadAt(p []byte, at int64) (int, error) { return copy(p, a.written[at:]), nil }

func (a *area) WriteAt(p []byte, at int64) (int, error) {
	if err := a.fault(); err != nil {
		return 0, err
	}
	a.pending = append(a.pending, write{at, append([]byte(nil), p...)})
	return copy(a.written[at:], p), nil
}

func (a *area) Sync() error {
	if err := a.fault(); err != nil {
		return err
	}
	a.disk.Syncs++
	if a.disk.isSyncDeferred {
		return nil
	}
	a.flush()
	return nil
}

// CutAfter lets that many writes and syncs through; the next fails as if the power had gone.
func (d *Disk) CutAfter(count int) { d.writesLeft = count + 1 }

func (a *area) fault() error {
	if a.disk.writesLeft > 0 {
		if a.disk.writesLeft--; a.disk.writesLeft == 0 {
			a.disk.Fault, a.disk.Only = errPowerLost, ""
		}
	}
	if a.disk.Fault != nil && strings.HasPrefix(a.name, a.disk.Only) {
		return a.disk.Fault
	}
	return nil
}

// Flush keeps what a slow sync has now finished.
func (d *Disk) Flush() {
	for _, a := range d.areas {
		a.flush()
	}
}

func (a *area) flush() {
	for _, w := range a.pending {
		copy(a.synced[w.at:], w.data)
	}
	a.pending = nil
}

func (a *area) Size() int64 { return int64(len(a.written)) }

// Crash keeps what was synced and, of the rest, what the seed decides: each write by itself survives, is missing or comes back torn.
func (d *Disk) Crash(random *rand.Rand) {
	for _, name := range []string{"ring-0", "ring-1", "ring-2", "ring-3", "image-0", "image-1"} {
		a := d.areas[name]
		if a == nil {
			continue
		}
		for _, w := range a.pending {
			if random.Intn(2) == 0 {
				continue
			}
			part := w.data
			if random.Intn(2) == 0 {
				part = part[:random.Intn(len(part)+1)]
			}
			copy(a.synced[w.at:], part)
		}
		a.pending = nil
		copy(a.written, a.synced)
	}
}

// Flip damages one byte of a file.
func (d *Disk) Flip(name string, at int64) {
	a := d.areas[name]
	a.written[at] ^= flippedBit
	a.synced[at] ^= flippedBit
}

// FlipLast damages the last byte of a file that is not zero.
func (d *Disk) FlipLast(name string) {
	written := d.areas[name].written
	for at := len(written) - 1; at >= 0; at-- {
		if written[at] != 0 {
			d.Flip(name, int64(at))
			return
		}
	}
}

package sim

import (
	"math/rand"

	"topazshed/internal/journal"
)

type write struct {
	at    int64
	bytes []byte
}

type area struct {
	live, kept []byte
	pending    []write
	disk       *Disk
}

// Disk is a simulated disk that loses what was not synced.
type Disk struct {
	areas map[string]*area
	Syncs int
	Fault error
}

// NewDisk makes an empty disk.
func NewDisk() *Disk { return &Disk{areas: map[string]*area{}} }

// Area opens or makes one file.
func (d *Disk) Area(name string, size int64) (journal.Area, error) {
	a := d.areas[name]
	if a == nil {
		a = &area{live: make([]byte, size), kept: make([]byte, size), disk: d}
		d.areas[name] = a
	}
	return a, nil
}

func (a *area) ReadAt(p []byte, at int64) (int, error) { return copy(p, a.live[at:]), nil }

func (a *area) WriteAt(p []byte, at int64) (int, error) {
	if a.disk.Fault != nil {
		return 0, a.disk.Fault
	}
	a.pending = append(a.pending, write{at, append([]byte(nil), p...)})
	return copy(a.live[at:], p), nil
}

func (a *area) Sync() error {
	if a.disk.Fault != nil {
		return a.disk.Fault
	}
	a.disk.Syncs++
	for _, w := range a.pending {
		copy(a.kept[w.at:], w.bytes)
	}
	a.pending = nil
	return nil
}

func (a *area) Size() int64 { return int64(len(a.live)) }

// Crash keeps what was synced and, of the rest, a part that the seed decides.
func (d *Disk) Crash(random *rand.Rand) {
	for _, name := range []string{"ring-0", "ring-1", "ring-2", "ring-3", "image-0", "image-1"} {
		a := d.areas[name]
		if a == nil {
			continue
		}
		for _, w := range a.pending {
			if random.Intn(2) == 0 {
				break
			}
			part := w.bytes
			if random.Intn(2) == 0 {
				part = part[:random.Intn(len(part)+1)]
			}
			copy(a.kept[w.at:], part)
		}
		a.pending = nil
		copy(a.live, a.kept)
	}
}

// Flip damages one byte of a file.
func (d *Disk) Flip(name string, at int64) {
	a := d.areas[name]
	a.live[at] ^= 0x40
	a.kept[at] ^= 0x40
}

// FlipLast damages the last byte of a file that is not zero.
func (d *Disk) FlipLast(name string) {
	live := d.areas[name].live
	for at := len(live) - 1; at >= 0; at-- {
		if live[at] != 0 {
			d.Flip(name, int64(at))
			return
		}
	}
}

package controlplane

import (
	"errors"
	"time"

	"topazshed/internal/journal"
	"topazshed/internal/leader"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// Driver performs a Machine's effects in their order: write, apply, send, answer. The node and the simulator both use
// it. While the disk is busy, what rests on nothing unwritten goes on.
type Driver struct {
	Machine *Machine
	// Journal is the disk; nil is a node that keeps no log.
	Journal *journal.Journal
	// Now gives the time of the node's clock.
	Now func() time.Duration
	// Send sends a frame, Answer answers a local operator's request, and Leased makes a lease call to a back end.
	Send   func(to string, f *schema.Frame)
	Answer func(LocalResponse)
	Leased func(leader.LeaseCall)
	// Synced tells how long a write took, and its error.
	Synced func(took time.Duration, err error)
	// Publish tells that Machine.Local may have changed.
	Publish func()
	// Write carries out work on the disk, perhaps elsewhere, and then has done called on the goroutine that owns the Machine.
	Write  func(work func() error, done func(error))
	isBusy bool
	failed error
}

// Perform works until nothing is due or the disk is busy. After an error, of the disk or Machine.Refused, nothing may be sent any more.
func (d *Driver) Perform() error {
	for !d.isBusy && d.failed == nil {
		effects := d.Machine.Take()
		if !effects.IsWork {
			break
		}
		if d.Journal != nil && effects.needsDisk() {
			d.store(effects, false)
			continue
		}
		d.finish(effects)
	}
	if d.failed == nil {
		d.failed = d.Machine.Refused()
	}
	if d.failed != nil {
		return d.failed
	}
	if d.Journal != nil && !d.isBusy && (d.Machine.NeedsSnapshot() || d.Journal.NeedsSnapshot()) {
		d.compact(func() {})
	}
	if d.isBusy {
		d.deliver(d.Machine.TakeIndependent())
	}
	d.Publish()
	return d.failed
}

// write has work done on the disk and then calls done; nothing else is written meanwhile.
func (d *Driver) write(work func() error, done func(error)) {
	d.isBusy = true
	begun := d.Now()
	d.Write(work, func(err error) {
		d.isBusy = false
		d.Synced(d.Now()-begun, err)
		done(err)
	})
}

// store writes what the log needs and finishes the effects. A full journal is compacted once, and the write repeated.
func (d *Driver) store(effects Effects, isAgain bool) {
	d.write(func() error {
		if snapshot := effects.Raft.Snapshot; snapshot != nil && uint64(d.Journal.SnapshotIndex()) < snapshot.Index {
			if err := d.Journal.WriteSnapshot(snapshot); err != nil {
				return err
			}
		}
		return d.Journal.Append(effects.HardState, effects.Raft.Entries)
	}, func(err error) {
		var full *journal.RingFullError
		switch {
		case errors.As(err, &full) && !isAgain:
			d.compact(func() { d.store(effects, true) })
		case err != nil:
			d.failed = err
		default:
			d.finish(effects)
		}
	})
}

// finish goes on with effects that are on the disk.
func (d *Driver) finish(effects Effects) {
	d.Machine.Synced(d.Now(), effects)
	d.Publish()
	d.deliver(effects)
}

// deliver sends, answers and calls.
func (d *Driver) deliver(effects Effects) {
	for _, s := range effects.Sends {
		d.Send(s.To, s.Frame)
	}
	for _, o := range effects.Responses {
		d.Answer(o)
	}
	for _, call := range effects.Calls {
		d.Leased(call)
	}
}

// compact writes a snapshot, which lets the journal drop what is older, and then calls next.
func (d *Driver) compact(next func()) {
	snapshot := d.Machine.Snapshot()
	if snapshot.Index == 0 || uint64(d.Journal.SnapshotIndex()) >= snapshot.Index {
		next()
		return
	}
	d.write(func() error { return d.Journal.WriteSnapshot(snapshot) }, func(err error) {
		if err != nil {
			d.failed = err
			return
		}
		d.Machine.SnapshotWritten(raft.Index(snapshot.Index))
		next()
	})
}

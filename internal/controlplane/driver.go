package controlplane

import (
	"errors"
	"time"

	"topazshed/internal/journal"
	"topazshed/internal/leader"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// Driver performs a Core's effects in their order: write, apply, send, answer. The shell and the simulator both use it.
// Write carries out work on the disk and then has done called by the Core's owner; meanwhile what rests on nothing unwritten goes on.
type Driver struct {
	Core    *Machine
	Journal *journal.Journal
	Now     func() time.Duration
	Send    func(to string, f *schema.Frame)
	Answer  func(LocalResponse)
	Leased  func(leader.LeaseCall)
	Synced  func(took time.Duration, err error)
	Publish func()
	Write   func(work func() error, done func(error))
	isBusy  bool
	failed  error
}

// Perform works until nothing is due or the disk is busy; its error is the disk's, after which nothing may be said any more.
func (d *Driver) Perform() error {
	for !d.isBusy && d.failed == nil {
		effects := d.Core.Take()
		if !effects.IsWork {
			break
		}
		if d.Journal != nil && (effects.Hard != nil || len(effects.Quorum.Entries) > 0 || effects.Quorum.Snapshot != nil) {
			d.store(effects, false)
			continue
		}
		d.finish(effects)
	}
	if d.failed == nil {
		d.failed = d.Core.Refused()
	}
	if d.failed != nil {
		return d.failed
	}
	if d.Journal != nil && !d.isBusy && (d.Core.Compactable() || d.Journal.NeedsSnapshot()) {
		d.compact(func() {})
	}
	if d.isBusy {
		d.tell(d.Core.TakeUnbound())
	}
	d.Publish()
	return d.failed
}

func (d *Driver) write(work func() error, done func(error)) {
	d.isBusy = true
	begun := d.Now()
	d.Write(work, func(err error) {
		d.isBusy = false
		d.Synced(d.Now()-begun, err)
		done(err)
	})
}

func (d *Driver) store(effects Effects, isAgain bool) {
	d.write(func() error {
		if snapshot := effects.Quorum.Snapshot; snapshot != nil && uint64(d.Journal.SnapshotIndex()) < snapshot.Index {
			if err := d.Journal.WriteSnapshot(snapshot); err != nil {
				return err
			}
		}
		return d.Journal.Append(effects.Hard, effects.Quorum.Entries)
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

func (d *Driver) finish(effects Effects) {
	d.Core.Synced(d.Now(), effects)
	d.Publish()
	d.tell(effects)
}

func (d *Driver) tell(effects Effects) {
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

func (d *Driver) compact(next func()) {
	whole := d.Core.Whole()
	if whole.Index == 0 || uint64(d.Journal.SnapshotIndex()) >= whole.Index {
		next()
		return
	}
	d.write(func() error { return d.Journal.WriteSnapshot(whole) }, func(err error) {
		if err != nil {
			d.failed = err
			return
		}
		d.Core.Compacted(raft.Index(whole.Index))
		next()
	})
}

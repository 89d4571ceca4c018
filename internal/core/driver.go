package core

import (
	"errors"
	"time"

	"topazshed/internal/journal"
	"topazshed/internal/schema"
)

// Driver performs a Core's effects in their order: sync, apply, send, answer. The shell and the simulator both use it.
type Driver struct {
	Core    *Core
	Journal *journal.Journal
	Now     func() time.Duration
	Send    func(to string, f *schema.Frame)
	Answer  func(Outcome)
	Synced  func(took time.Duration, err error)
	Publish func()
}

// Perform works until nothing is due.
func (d *Driver) Perform() error {
	for {
		effects := d.Core.Take()
		if !effects.IsWork {
			break
		}
		if d.Journal != nil && (effects.Hard != nil || len(effects.Quorum.Items) > 0 || effects.Quorum.Image != nil) {
			begun := d.Now()
			err := d.sync(effects)
			d.Synced(d.Now()-begun, err)
			if err != nil {
				return err
			}
		}
		d.Core.Synced(d.Now(), effects)
		d.Publish()
		for _, s := range effects.Sends {
			d.Send(s.To, s.Frame)
		}
		for _, o := range effects.Outcomes {
			d.Answer(o)
		}
	}
	if d.Journal != nil && (d.Core.Compactable() || d.Journal.NeedsImage()) {
		if err := d.compact(); err != nil {
			return err
		}
	}
	d.Publish()
	return nil
}

func (d *Driver) compact() error {
	whole := d.Core.Whole()
	if whole.Index == 0 || d.Journal.ImageIndex() >= whole.Index {
		return nil
	}
	if err := d.Journal.PutImage(whole); err != nil {
		return err
	}
	d.Core.Compacted(whole.Index)
	return nil
}

func (d *Driver) sync(effects Effects) error {
	if effects.Quorum.Image != nil {
		if err := d.Journal.PutImage(effects.Quorum.Image); err != nil {
			return err
		}
	}
	err := d.Journal.Append(effects.Hard, effects.Quorum.Items)
	var full *journal.FullError
	if errors.As(err, &full) {
		if err := d.compact(); err != nil {
			return err
		}
		err = d.Journal.Append(effects.Hard, effects.Quorum.Items)
	}
	return err
}

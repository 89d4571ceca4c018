package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/journal"
)

// retryStart tries a step of the start again while what it needs is held by a former process of this machine or the disk is full, for
// constants.StartWait at most. It ends early with the context's error.
func (n *Node) retryStart(ctx context.Context, part string, step func() error) error {
	begun := time.Now()
	err := step()
	if !passesByItself(err) {
		return err
	}
	n.log.Warn("the start waits for what passes by itself", "part", part, "reason", err.Error(), "at_most", constants.StartWait.String())
	for passesByItself(err) && time.Since(begun) < constants.StartWait {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(constants.StartRetry):
		}
		err = step()
	}
	if err == nil {
		n.log.Info("the start goes on", "part", part, "milliseconds", time.Since(begun).Milliseconds())
	}
	return err
}

// passesByItself tells whether an error of a step of the start can end without anyone's help: another process still has the data folder
// or the address, or the disk has no room.
func passesByItself(err error) bool {
	var inUse *journal.InUseError
	return errors.As(err, &inUse) || errors.Is(err, syscall.EADDRINUSE) || journal.IsDiskFull(err)
}

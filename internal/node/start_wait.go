package node

import (
	"context"
	"errors"
	"syscall"

	"topazshed/internal/constants"
	"topazshed/internal/journal"
	"topazshed/internal/startup"
)

// retryStart does a step of the start, and does it again while what it needs is held by a former process of this machine or the disk is full.
func (n *Node) retryStart(ctx context.Context, part string, step func() error) error {
	wait := startup.Wait{Part: part, AtMost: constants.StartWait, PassesByItself: passesByItself}
	return wait.Retry(ctx, n.log, step)
}

// passesByItself tells whether an error of a step of the start can end without anyone's help: another process still has the data folder
// or the address, or the disk has no room.
func passesByItself(err error) bool {
	var inUse *journal.InUseError
	return errors.As(err, &inUse) || errors.Is(err, syscall.EADDRINUSE) || journal.IsDiskFull(err)
}

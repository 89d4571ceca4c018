package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"topazshed/internal/adminapi"
)

// Wait blocks until ctx ends or the process fails, and then ends the process. After ctx's end, requests in flight are
// finished first. The error is what failed; it is nil after a clean stop.
func (n *Node) Wait(ctx context.Context) error {
	select {
	case err := <-n.fatal:
		return errors.Join(err, n.Close())
	case <-ctx.Done():
	}
	n.stopping.Store(true)
	n.log.Info("stopping; requests in flight are finished first")
	n.do(func() { n.machine.Stop(n.Now()) })
	if err := n.service.drain(); err != nil {
		return errors.Join(err, n.Close())
	}
	err := n.Close()
	n.log.Info("stopped")
	return err
}

// drain goes on accepting requests for a while, so that callers can learn of the stop, and then waits for those in flight,
// for the grace period at most. It returns early with the error that made the process fail.
func (n *Node) drain(linger, grace time.Duration) error {
	timer := time.NewTimer(linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case err := <-n.fatal:
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range n.servers {
		group.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				n.log.Warn("requests were still in flight at the end", "reason", err.Error())
			}
		})
	}
	group.Wait()
	return nil
}

func (n *Node) diskState() adminapi.Disk { return *n.disk.Load() }

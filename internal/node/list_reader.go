package node

import (
	"context"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/discovery"
)

// listReader reads the platform's list while its node leads a fleet of routes. One goroutine uses it.
type listReader struct {
	node   *Node
	read   func(ctx context.Context, turn Turn) ([]discovery.Listed, int, error)
	bounds Bounds
	pace   *discovery.ListLimiter
}

func newListReader(n *Node, platform *Platform) *listReader {
	return &listReader{node: n, read: platform.List, bounds: platform.Bounds, pace: discovery.NewListLimiter(platform.Bounds.ListRate)}
}

// run reads the list again and again until ctx ends.
func (r *listReader) run(ctx context.Context) {
	pause := constants.ListEvery
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if r.node.local.Load().Role != roleLeader {
			continue
		}
		listing := discovery.Listing{BegunAt: r.pace.BeginRead(r.node.Now()), IsComplete: true}
		items, calls, err := r.read(ctx, r.turn)
		took := r.node.Now() - listing.BegunAt
		pause = max(r.shortestPause(), r.pauseAfter(calls)-took)
		r.node.responses.Note("list", err)
		if err != nil {
			listing.IsComplete, listing.Reason = false, err.Error()
		}
		listing.Items = r.pace.Stamp(r.node.Now(), items)
		r.report(listing)
	}
}

// turn reports what was read so far where that is due, and waits until the list may be called again.
func (r *listReader) turn(ctx context.Context, refusals int, items []discovery.Listed) error {
	found := r.pace.Stamp(r.node.Now(), items)
	if begun, isDue := r.pace.Partial(r.node.Now(), found); isDue {
		r.report(discovery.Listing{BegunAt: begun, Items: found})
	}
	wait, err := r.pace.Reserve(r.node.Now(), refusals)
	if err != nil || wait <= 0 {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

func (r *listReader) report(listing discovery.Listing) {
	n := r.node
	n.do(func() { n.machine.SetListing(n.Now(), listing) })
}

// shortestPause is the least time between two reads: less where draining back ends must be known sooner.
func (r *listReader) shortestPause() time.Duration {
	if within := r.bounds.DrainWithin; within > 0 {
		return min(constants.ListEvery, within/constants.ListDrainParts)
	}
	return constants.ListEvery
}

// pauseAfter is the time from the begin of a read that took so many calls to the next one: a long list is read less often,
// since calls are paid for and bounded.
func (r *listReader) pauseAfter(calls int) time.Duration {
	most := constants.MaxListEvery
	if within := r.bounds.DrainWithin; within > 0 {
		most = min(most, within-constants.ListRest)
	}
	pause := max(r.shortestPause(), min(time.Duration(calls)*constants.ListPageEvery, most))
	if rate := r.bounds.ListRate; rate > 0 {
		pause = max(pause, time.Duration(float64(calls)/(rate*constants.ListRateShare)*float64(time.Second)))
	}
	return pause
}

package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"topazshed/internal/adminapi"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/discovery"
	"topazshed/internal/gateway"
	"topazshed/internal/journal"
	"topazshed/internal/leader"
	"topazshed/internal/schema"
	"topazshed/internal/sharding"
)

// Bounds are a deployment's figures that a routed fleet must keep.
type Bounds struct {
	gateway.Bounds
	HoldMost time.Duration
	ListLag  time.Duration
	// ListRate is how many calls a second the list takes from all nodes together; 0 is no bound.
	ListRate    float64
	StopGrace   time.Duration
	ResolveMost time.Duration
	// Quiet is how long after trouble a calm machine must keep every bound again; 0 is unknown.
	Quiet time.Duration
	// DrainWithin is how long after the list told of it a leaving back end may still get requests; 0 is unknown.
	DrainWithin time.Duration
}

// Platform is how the outside of a routed fleet is spoken to: names, formats and calls; it decides nothing.
type Platform struct {
	Names  gateway.Names
	Bounds Bounds
	// Zones are the deployment's, each with its region, also those without a machine.
	Zones map[string]string
	// List reads the platform's whole list once, and tells how many calls it took. It takes its turn before each call; an error of the turn
	// ends the read.
	List func(ctx context.Context, turn Turn) ([]discovery.Listed, int, error)
	// Lease carries out one call to a back end; the error tells why there was no answer.
	GrantLease func(ctx context.Context, call sharding.Call) (sharding.Answer, error)
	// Serve gives the handlers of a node by the addresses that they listen on.
	Serve func(*Outside) map[string]http.Handler
}

// Turn waits until the list may be called; refusals are how often the page was refused, items those of the pages before.
type Turn func(ctx context.Context, refusals int, items []discovery.Listed) error

// Outside is what a node offers to those who speak to it through a seam.
type Outside struct {
	// Requests takes callers' requests.
	Requests http.Handler
	// Operate carries an operator's request to the leader.
	Operate func(ctx context.Context, request *schema.OperatorRequest) (*schema.OperatorResponse, error)
	// Resolve gives the addresses of nodes for a caller and how long they may be used; none if this node does not know.
	Resolve func(region, zone string) ([]string, time.Duration)
	// IsReady tells whether this node may get requests.
	IsReady func() bool
	// Door is the product's own door for directory and operators; Insight is the part of it that only reads: status and failover assignments.
	Admin   http.Handler
	Insight http.Handler
}

func (n *Node) routed() *controlplane.Routed {
	bounds := n.platform.Bounds
	reckon := gateway.NewLoads(n.Now(), bounds.Bounds)
	sizes := journal.Sized(n.settings.DiskBytes)
	return &controlplane.Routed{Fits: sizes.Fits, FitsWhole: sizes.FitsSnapshot, HoldMost: bounds.HoldMost, ListLag: bounds.ListLag, Zones: n.platform.Zones, Quiet: bounds.Quiet, ColdRate: reckon.ColdRate,
		Load:          func(span time.Duration) []*schema.ShardLoad { return n.gateway.Loads().TakeKeyLoad(span) },
		HealthReports: func() []*schema.HealthReport { return n.gateway.HealthReports() }}
}

func (n *Node) startRouted() error {
	n.gateway = gateway.New(gateway.Options{Self: n.self, Now: n.Now, Local: n.local.Load, Draw: rand.Int64N, Names: n.platform.Names, Bounds: n.platform.Bounds.Bounds,
		Listen: n.settings.Proxy, Capacity: gateway.Capacity(debug.SetMemoryLimit(-1)), Log: n.log.With("part", "gateway")})
	n.Push("gateway", n.gateway.Close)
	for name, service := range map[string]any{"core": n.core, "gateway": n.gateway} {
		if err := n.Register(name, service); err != nil {
			return err
		}
	}
	if err := n.openNetwork(); err != nil {
		return err
	}
	outside := &Outside{Requests: n.gateway, Operate: n.operate, Resolve: n.resolve, IsReady: n.isReady}
	options := adminapi.Options{Self: n.self, Now: n.Now, Local: n.local.Load, Operate: n.operate, Stats: n.gateway.Stats, Resting: func() []string { return n.gateway.Loads().Failing(n.Now()) },
		Disk: func() adminapi.Disk { return *n.disk.Load() }, Routed: &adminapi.Routed{Resolve: n.resolve, IsReady: n.isReady}}
	outside.Admin, outside.Insight = adminapi.New(options), adminapi.NewInsight(options)
	for address, handler := range n.platform.Serve(outside) {
		if err := n.serve("door", address, handler); err != nil {
			return err
		}
	}
	n.tasks.Go(n.tend)
	if n.platform.List != nil {
		n.tasks.Go(n.readList)
	}
	n.log.Info("started", "peer", n.settings.Peer, "proxy", n.settings.Proxy, "door", n.settings.Admin, "district", n.settings.Zone, "region", n.settings.Region, "disk", n.self.Disk)
	return nil
}

func (n *Node) isReady() bool { return !n.stopping.Load() && gateway.IsFit(n.local.Load()) }

func (n *Node) resolve(region, zone string) ([]string, time.Duration) {
	view := n.local.Load().View
	var own, near, far []string
	for _, node := range view.Nodes {
		switch {
		case node.State != schema.NodeState_NODE_READY:
		case node.Zone == zone:
			own = append(own, node.Proxy)
		case node.Region == region:
			near = append(near, node.Proxy)
		default:
			far = append(far, node.Proxy)
		}
	}
	if len(own) < constants.ResolveLeast {
		own = append(own, near...)
	}
	if len(own) == 0 {
		own = far
	}
	slices.Sort(own)
	return own[:min(len(own), constants.ResolveMost)], min(constants.ResolveTTL, n.platform.Bounds.ResolveMost)
}

func (n *Node) tend() {
	ticker := time.NewTicker(constants.TendEvery)
	defer ticker.Stop()
	for {
		select {
		case <-n.context.Done():
			return
		case <-ticker.C:
			n.gateway.Tend(n.local.Load().View)
			if n.callers == nil {
				continue
			}
			if err := n.callers.Follow(); err != nil {
				n.log.Debug("an idle caller's connection ended meanwhile", "reason", err.Error())
			}
		}
	}
}

func (n *Node) readList() {
	pause := constants.ListEvery
	pace := discovery.NewPace(n.platform.Bounds.ListRate)
	turn := func(ctx context.Context, refusals int, items []discovery.Listed) error {
		if begun, isDue := pace.Part(n.Now(), len(items)); isDue {
			part := discovery.Listing{BegunAt: begun, Items: slices.Clone(items)}
			n.do(func() { n.core.SetListing(n.Now(), part) })
		}
		wait, err := pace.Turn(n.Now(), refusals)
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
	for {
		select {
		case <-n.context.Done():
			return
		case <-time.After(pause):
		}
		if n.local.Load().Role != "leader" {
			continue
		}
		listing := discovery.Listing{BegunAt: pace.Begin(n.Now()), IsWhole: true}
		items, calls, err := n.platform.List(n.context, turn)
		pause = max(n.listEvery(), n.listPause(calls)-(n.Now()-listing.BegunAt))
		if err != nil {
			listing.IsWhole, listing.Reason = false, err.Error()
		}
		listing.Items = items
		n.do(func() { n.core.SetListing(n.Now(), listing) })
	}
}

// listEvery is the shortest pause between two reads: less where leaving back ends must be known sooner.
func (n *Node) listEvery() time.Duration {
	if within := n.platform.Bounds.DrainWithin; within > 0 {
		return min(constants.ListEvery, within/constants.ListDrainParts)
	}
	return constants.ListEvery
}

// listPause is how long to wait after a read that took so many calls: a long list is read less often, since calls are paid for and bounded.
func (n *Node) listPause(calls int) time.Duration {
	most := constants.ListEveryMost
	if within := n.platform.Bounds.DrainWithin; within > 0 {
		most = min(most, within-constants.ListRest)
	}
	pause := max(n.listEvery(), min(time.Duration(calls)*constants.ListPageEvery, most))
	if rate := n.platform.Bounds.ListRate; rate > 0 {
		pause = max(pause, time.Duration(float64(calls)/(rate*constants.ListRateShare)*float64(time.Second)))
	}
	return pause
}

func (n *Node) sendLeaseCall(call leader.LeaseCall) {
	n.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(n.context, call.Wait)
		defer cancel()
		answer, err := n.platform.GrantLease(ctx, call.Call)
		n.do(func() {
			now := n.Now()
			if errors.Is(err, syscall.ECONNREFUSED) {
				if at, isNoted := n.refused[call.Instance]; !isNoted {
					n.refused[call.Instance] = now
				} else if now-at >= constants.RefusedApart {
					n.core.SetDead(call.Instance)
				}
			} else {
				delete(n.refused, call.Instance)
			}
			n.core.LeaseAnswered(now, call.Incarnation, answer)
		})
	})
}

func (n *Node) stopRouted() error {
	n.log.Info("stopping; requests in flight are finished first")
	n.do(func() { n.core.Stop(n.Now()) })
	n.gateway.Stop()
	grace := time.Duration(float64(n.platform.Bounds.StopGrace) * constants.DrainShare)
	linger := time.NewTimer(grace / 2)
	defer linger.Stop()
	select {
	case <-linger.C:
	case err := <-n.fatal:
		return errors.Join(err, n.Close())
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace/2)
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
	err := n.Close()
	n.log.Info("stopped")
	return err
}

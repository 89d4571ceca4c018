package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"topazshed/internal/adminapi"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/gateway"
	"topazshed/internal/journal"
	"topazshed/internal/schema"
)

// routeTimeouts are short, since gateway.Callers closes idle connections itself by the limits of the configuration.
var routeTimeouts = serverTimeouts{header: constants.CallerHeadMark, idle: constants.CallerIdleMark}

// routeService is the service of a fleet of routes: a gateway, behind a platform's interface.
type routeService struct {
	node     *Node
	platform *Platform
	gateway  *gateway.Gateway
	// callers are the connections to the gateway; nil where the platform does not serve it.
	callers *gateway.Callers
}

func newRouteService(n *Node, platform *Platform) *routeService {
	return &routeService{node: n, platform: platform}
}

func (s *routeService) routed() *controlplane.RouteOptions {
	bounds := s.platform.Bounds
	sizes := journal.OptionsForDisk(s.node.settings.DiskBytes)
	return &controlplane.RouteOptions{
		Fits:          sizes.Fits,
		FitsSnapshot:  sizes.FitsSnapshot,
		LongestLease:  bounds.MaxHold,
		ListLag:       bounds.ListLag,
		Zones:         s.platform.Zones,
		RecoveryBound: bounds.Quiet,
		ApplyBound:    bounds.ApplyWithin,
		ColdRate:      gateway.NewLoads(s.node.Now(), bounds.Bounds).ColdRate,
		Load: func(span time.Duration) []*schema.ShardLoad {
			return s.gateway.Loads().TakeKeyLoad(span)
		},
		HealthReports: func() []*schema.HealthReport { return s.gateway.HealthReports() },
	}
}

func (s *routeService) tickEvery() time.Duration { return constants.RoutedTick }

func (s *routeService) start(ctx context.Context, _ bool) error {
	n := s.node
	s.gateway = gateway.New(gateway.Options{
		Self:      n.self,
		Now:       n.Now,
		Local:     n.local.Load,
		Draw:      rand.Int64N,
		Names:     s.platform.Names,
		Bounds:    s.platform.Bounds.Bounds,
		Listen:    n.settings.Proxy,
		Capacity:  gateway.Capacity(debug.SetMemoryLimit(-1)),
		Responses: n.responses,
		Log:       n.log.With("part", "gateway"),
	})
	n.cleanup.push("gateway", s.gateway.Close)
	if err := n.openNetwork(ctx); err != nil {
		return err
	}
	for address, handler := range s.platform.Serve(s.outside()) {
		if err := s.listen(ctx, address, handler); err != nil {
			return err
		}
	}
	n.tasks.Go(func() { s.maintain(n.ctx) })
	if s.platform.List != nil {
		reader := newListReader(n, s.platform)
		n.tasks.Go(func() { reader.run(n.ctx) })
	}
	return nil
}

func (s *routeService) listen(ctx context.Context, address string, handler http.Handler) error {
	n := s.node
	if handler != http.Handler(s.gateway) {
		listener, err := n.listen(ctx, "platform", address)
		if err != nil {
			return err
		}
		n.serve("platform", listener, handler, defaultTimeouts)
		return nil
	}
	listener, err := n.listen(ctx, "gateway", address)
	if err != nil {
		return err
	}
	s.callers = s.acceptCallers(listener)
	n.serve("gateway", s.callers, handler, routeTimeouts)
	return nil
}

func (s *routeService) acceptCallers(listener net.Listener) *gateway.Callers {
	return gateway.NewCallers(listener, func() *schema.Limits { return s.node.local.Load().View.Limits })
}

func (s *routeService) outside() *Outside {
	n := s.node
	options := adminapi.Options{
		Self:      n.self,
		Now:       n.Now,
		Local:     n.local.Load,
		Operate:   n.operate,
		Documents: n.documents,
		Stats:     s.gateway.Stats,
		Exceeded:  n.responses.Counts,
		Resting:   func() []string { return s.gateway.Loads().Failing(n.Now()) },
		Disk:      n.diskState,
		Routed:    &adminapi.Routed{Resolve: s.resolve, IsReady: s.isReady},
	}
	return &Outside{
		Requests:  s.gateway,
		Operate:   n.operate,
		Documents: n.documents,
		Resolve:   s.resolve,
		IsReady:   s.isReady,
		Admin:     adminapi.New(options),
		Insight:   adminapi.NewInsight(options),
	}
}

// published does nothing: the gateway reads the newest state itself.
func (s *routeService) published(_, _ *controlplane.Local) {}

// respond drops frames without a body; all others are the control machine's.
func (s *routeService) respond(request *schema.Frame) bool { return request.Body == nil }

func (s *routeService) isReady() bool {
	return !s.node.stopping.Load() && gateway.IsFit(s.node.local.Load())
}

// resolve names nodes for a caller: those of its zone, with those of its region if they are few, else any.
func (s *routeService) resolve(region, zone string) ([]string, time.Duration) {
	var sameZone, sameRegion, elsewhere []string
	for _, node := range s.node.local.Load().View.Nodes {
		switch {
		case node.State != schema.NodeState_NODE_READY:
		case node.Zone == zone:
			sameZone = append(sameZone, node.Proxy)
		case node.Region == region:
			sameRegion = append(sameRegion, node.Proxy)
		default:
			elsewhere = append(elsewhere, node.Proxy)
		}
	}
	addresses := sameZone
	if len(addresses) < constants.MinResolve {
		addresses = append(addresses, sameRegion...)
	}
	if len(addresses) == 0 {
		addresses = elsewhere
	}
	slices.Sort(addresses)
	lifetime := min(constants.ResolveTTL, s.platform.Bounds.MaxResolve)
	return addresses[:min(len(addresses), constants.MaxResolve)], lifetime
}

// maintain does the gateway's regular upkeep until ctx ends.
func (s *routeService) maintain(ctx context.Context) {
	ticker := time.NewTicker(constants.TendEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.gateway.Tend(s.node.local.Load().View)
		if s.callers == nil {
			continue
		}
		if err := s.callers.Follow(); err != nil {
			s.node.log.Debug("an idle caller's connection ended meanwhile", "reason", err.Error())
		}
	}
}

// drain has the gateway refuse new requests, and uses a part of the deployment's grace period: half of it to go on
// accepting, half to finish.
func (s *routeService) drain() error {
	s.gateway.Stop()
	grace := time.Duration(float64(s.platform.Bounds.StopGrace) * constants.DrainShare)
	return s.node.drain(grace/2, grace/2)
}

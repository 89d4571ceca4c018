package node

import (
	"context"
	"net/http"
	"time"

	"topazshed/internal/adminapi"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/directory"
	"topazshed/internal/idempotency"
	"topazshed/internal/leader"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// entryService is the service of a fleet of entries: a proxy, a replica of reservations and a directory. Its parts have
// locks of their own.
type entryService struct {
	node     *Node
	replica  *idempotency.Replica
	loads    *proxy.Loads
	kept     *proxy.ResponseCache
	pool     *proxy.Pool
	executor *proxy.Executor
}

func (s *entryService) routed() *controlplane.RouteOptions { return nil }

func (s *entryService) tickEvery() time.Duration { return constants.Tick }

func (s *entryService) start(ctx context.Context, isRestart bool) error {
	n := s.node
	s.replica = idempotency.NewReplica(n.self.Id, isRestart)
	s.pool = proxy.NewPool(n.settings.Proxy)
	n.cleanup.push("pool", s.pool.Close)
	s.loads = proxy.NewLoads(n.Now)
	s.kept = proxy.NewResponseCache()
	s.executor = proxy.NewExecutor(proxy.Options{
		Self:      n.self,
		Now:       n.Now,
		Local:     n.local.Load,
		Want:      n.want,
		Call:      s.call,
		Draw:      draw,
		Pool:      s.pool,
		Loads:     s.loads,
		Responses: s.kept,
		Exceeded:  n.responses,
		Log:       n.log.With("part", "proxy"),
	})
	if err := n.openNetwork(ctx); err != nil {
		return err
	}
	if err := s.listen(ctx); err != nil {
		return err
	}
	n.tasks.Go(func() { s.checkHealth(n.ctx) })
	if n.settings.Platform != "" {
		n.tasks.Go(func() { s.readList(n.ctx) })
	}
	n.tasks.Go(func() { s.copyReservations(n.ctx) })
	return nil
}

func (s *entryService) listen(ctx context.Context) error {
	n := s.node
	proxyListener, err := n.listen(ctx, "proxy", n.settings.Proxy)
	if err != nil {
		return err
	}
	n.serve("proxy", proxyListener, s.proxyHandler(), defaultTimeouts)
	adminListener, err := n.listen(ctx, "admin", n.settings.Admin)
	if err != nil {
		return err
	}
	n.serve("admin", adminListener, s.adminHandler(), defaultTimeouts)
	return nil
}

// published forgets the connections to back ends that are no longer ready, and gives the replica of reservations its set.
func (s *entryService) published(previous, current *controlplane.Local) {
	n := s.node
	if previous.View != current.View {
		s.forgetConnections(previous.View, current.View)
	}
	if set := current.View.ReplicaSets[n.self.Region]; set != nil {
		s.replica.Adopt(n.Now(), set)
	}
	status := s.replica.Status()
	n.machine.SetReservationReplica(status.SetNumber, status.IsMember && status.IsReady)
	n.machine.SetOldestIndex(s.loads.OldestVersion())
}

func (s *entryService) forgetConnections(previous, current *store.View) {
	for name, service := range current.Services {
		if previous.Services[name] == service {
			continue
		}
		for _, backend := range service.Backends {
			if backend.State != schema.BackendState_BACKEND_READY {
				s.pool.Forget(proxy.Identity{Service: backend.Service, Instance: backend.Instance})
			}
		}
	}
}

// respond answers what peers ask of the replica of reservations and of the stored responses. A request of another system
// gets no response.
func (s *entryService) respond(request *schema.Frame) bool {
	local := s.node.local.Load()
	isOwnSystem := request.System == local.System
	var response *schema.Frame
	switch body := request.Body.(type) {
	case *schema.Frame_ReservationRequest:
		if isOwnSystem && local.System != "" {
			response = s.reserve(local, body.ReservationRequest)
		}
	case *schema.Frame_ReservationCopyRequest:
		if isOwnSystem {
			copied := s.replica.AnswerCopy(s.node.Now(), body.ReservationCopyRequest)
			response = &schema.Frame{Body: &schema.Frame_ReservationCopyResponse{ReservationCopyResponse: copied}}
		}
	case *schema.Frame_ReplayRequest:
		if isOwnSystem {
			replayed := s.kept.Replay(body.ReplayRequest)
			response = &schema.Frame{Body: &schema.Frame_ReplayResponse{ReplayResponse: replayed}}
		}
	default:
		return false
	}
	if response != nil {
		s.node.transport.respond(request, response)
	}
	return true
}

// reserve asks this node's own replica for a reservation, under the node's lease.
func (s *entryService) reserve(local *controlplane.Local, request *schema.ReservationRequest) *schema.Frame {
	now := s.node.Now()
	isLeased := now < local.LeaseUntil
	reserved := s.replica.Reserve(now, request, isLeased)
	return &schema.Frame{Body: &schema.Frame_ReservationResponse{ReservationResponse: reserved}}
}

// call sends a request to a peer and waits for its response; a reservation at this node itself needs no network.
func (s *entryService) call(ctx context.Context, address string, request *schema.Frame) (*schema.Frame, error) {
	reservation := request.GetReservationRequest()
	if address == s.node.self.Address && reservation != nil {
		return s.reserve(s.node.local.Load(), reservation), nil
	}
	return s.node.transport.call(ctx, address, request)
}

// copyReservations asks the former replicas for their reservations until ctx ends, whenever this node's replica has become
// a member of a new set.
func (s *entryService) copyReservations(ctx context.Context) {
	ticker := time.NewTicker(constants.ReservationCopyEvery / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, task := range s.replica.DueCopies(s.node.Now()) {
			s.node.tasks.Go(func() { s.copyFrom(ctx, task) })
		}
	}
}

func (s *entryService) copyFrom(ctx context.Context, task idempotency.CopyTask) {
	ctx, cancel := context.WithTimeout(ctx, constants.ReservationWait)
	defer cancel()
	request := &schema.Frame{Body: &schema.Frame_ReservationCopyRequest{ReservationCopyRequest: task.Request}}
	response, err := s.call(ctx, task.Member.Address, request)
	if err != nil || response.GetReservationCopyResponse() == nil {
		return
	}
	s.replica.TakeCopy(s.node.Now(), task.Member.Id, response.GetReservationCopyResponse())
}

func (s *entryService) adminHandler() http.Handler {
	n := s.node
	finder := directory.New(directory.Options{Self: n.self, Now: n.Now, Local: n.local.Load, Want: n.want, Draw: draw})
	return adminapi.New(adminapi.Options{
		Self:      n.self,
		Now:       n.Now,
		Local:     n.local.Load,
		Operate:   n.operate,
		Documents: n.documents,
		Stats:     s.executor.Stats,
		Exceeded:  n.responses.Counts,
		Replica:   s.replica.Status,
		Disk:      n.diskState,
		Match:     finder,
	})
}

// grantLease is never called: a fleet of entries has no shards.
func (s *entryService) grantLease(leader.LeaseCall) {}

// drain accepts requests until callers have had time to learn that this node stops, then finishes those in flight.
func (s *entryService) drain() error {
	return s.node.drain(constants.StopLinger, constants.MaxStop-constants.StopLinger)
}

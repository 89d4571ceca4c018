package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/leader"
)

// grantLease carries out a call to a back end about a shard lease and gives its result to the control machine.
func (s *routeService) grantLease(call leader.LeaseCall) {
	n := s.node
	n.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, call.Timeout)
		defer cancel()
		answer, err := s.platform.GrantLease(ctx, call.Call)
		n.do(func() {
			now := n.Now()
			s.noteConnection(now, call.Instance, err)
			n.machine.LeaseAnswered(now, call.Incarnation, answer)
		})
	})
}

// noteConnection takes a back end as dead whose address refused connections throughout constants.RefusedApart. The owner
// calls it.
func (s *routeService) noteConnection(now time.Duration, instance string, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		delete(s.refusedSince, instance)
		return
	}
	since, wasRefused := s.refusedSince[instance]
	switch {
	case !wasRefused:
		s.refusedSince[instance] = now
	case now-since >= constants.RefusedApart:
		s.node.log.Info("back end is taken as ended, its address refuses connections", "instance", instance,
			"milliseconds", (now - since).Milliseconds())
		s.node.machine.BackendEnded(instance)
	}
}

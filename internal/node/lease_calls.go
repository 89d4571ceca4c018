package node

import (
	"context"

	"topazshed/internal/leader"
)

// grantLease carries out a call to a back end about a shard lease and gives its result to the control machine.
func (s *routeService) grantLease(call leader.LeaseCall) {
	n := s.node
	n.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, call.Timeout)
		defer cancel()
		answer, err := s.platform.GrantLease(ctx, call.Call)
		n.responses.Note(call.Instance, err)
		if err != nil {
			n.log.Debug("a lease call has no response", "instance", call.Instance, "reason", err.Error())
		}
		n.do(func() { n.machine.LeaseAnswered(n.Now(), call.Incarnation, answer) })
	})
}

package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// healthChecks remembers how often in a row each back end failed its check.
type healthChecks struct {
	lock     sync.Mutex
	failures map[string]int // by instance
}

// checkHealth checks the back ends of this region until ctx ends and reports what it saw to the control machine.
func (s *entryService) checkHealth(ctx context.Context) {
	ticker := time.NewTicker(constants.HealthCheckEvery)
	defer ticker.Stop()
	checks := &healthChecks{failures: map[string]int{}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		backends := regionalBackends(s.node.local.Load().View, s.node.self.Region)
		var group sync.WaitGroup
		for _, backend := range backends {
			group.Go(func() {
				err := s.checkBackend(ctx, backend)
				s.node.responses.Note(backend.Instance, err)
				checks.note(backend.Instance, err)
				s.loads.Report(backend.Instance, err)
			})
		}
		group.Wait()
		s.node.setHealthReports(checks.reports(backends))
	}
}

// regionalBackends gives the back ends in a region of all services that have an entry.
func regionalBackends(view *store.View, region string) []*schema.Backend {
	var backends []*schema.Backend
	for _, service := range view.Services {
		if len(service.Entries) == 0 {
			continue
		}
		for _, backend := range service.Backends {
			zone := view.Zones[backend.Zone]
			if zone != nil && zone.Region == region {
				backends = append(backends, backend)
			}
		}
	}
	return backends
}

// checkBackend asks a back end for its identity over a connection of the pool.
func (s *entryService) checkBackend(ctx context.Context, backend *schema.Backend) error {
	ctx, cancel := context.WithTimeout(ctx, constants.HealthCheckTimeout)
	defer cancel()
	conn, err := s.pool.Get(ctx, backend.Address, proxy.Identity{Service: backend.Service, Instance: backend.Instance})
	if err != nil {
		return err
	}
	if err := conn.Prove(ctx); err != nil {
		conn.Close()
		return err
	}
	s.pool.Put(conn)
	return nil
}

func (c *healthChecks) note(instance string, err error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if err != nil {
		c.failures[instance]++
	} else {
		c.failures[instance] = 0
	}
}

// reports gives the health of the listed back ends, sorted by instance, and forgets all others.
func (c *healthChecks) reports(listed []*schema.Backend) []*schema.HealthReport {
	c.lock.Lock()
	defer c.lock.Unlock()
	isListed := map[string]bool{}
	for _, backend := range listed {
		isListed[backend.Instance] = true
	}
	var reports []*schema.HealthReport
	for instance, failures := range c.failures {
		if !isListed[instance] {
			delete(c.failures, instance)
			continue
		}
		reports = append(reports, &schema.HealthReport{Instance: instance, Failing: failures >= constants.HealthCheckFailures})
	}
	slices.SortFunc(reports, func(a, b *schema.HealthReport) int { return strings.Compare(a.Instance, b.Instance) })
	return reports
}

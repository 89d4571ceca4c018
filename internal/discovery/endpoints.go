package discovery

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Endpoints plans the rows of back ends in a fleet of entries, by the list and the nodes' health checks.
type Endpoints struct {
	// missingReads counts the whole reads in a row that lacked a listed back end.
	missingReads map[backendID]int
	// isFailingAt holds what each node found of the instances that it checks.
	isFailingAt map[string]map[string]bool
	// coldAt holds when a back end began to warm up.
	coldAt map[backendID]time.Duration
}

// NewEndpoints returns an Endpoints that has heard of no back end.
func NewEndpoints() *Endpoints {
	return &Endpoints{
		missingReads: map[backendID]int{},
		isFailingAt:  map[string]map[string]bool{},
		coldAt:       map[backendID]time.Duration{},
	}
}

// Report takes a node's health checks in place of its former ones.
func (e *Endpoints) Report(node string, reports []*schema.HealthReport) {
	isFailing := map[string]bool{}
	for _, report := range reports {
		isFailing[report.Instance] = report.Failing
	}
	e.isFailingAt[node] = isFailing
}

// Drop forgets a lost node's health checks.
func (e *Endpoints) Drop(node string) { delete(e.isFailingAt, node) }

// isFailing reports whether an instance fails the health checks of most nodes that check it, and of more than one
// unless it passes none.
func (e *Endpoints) isFailing(instance string) bool {
	failed, passed := 0, 0
	for _, isFailing := range e.isFailingAt {
		switch hasFailed, isChecked := isFailing[instance]; {
		case isChecked && hasFailed:
			failed++
		case isChecked:
			passed++
		}
	}
	return failed > 0 && failed >= passed+min(passed, 1) && (failed >= 2 || passed == 0)
}

// Plan returns the record that brings the rows in line with a read of the list, if there is a new one, and with the
// health checks; nil if nothing changes.
func (e *Endpoints) Plan(now time.Duration, view *store.View, table *store.Table, read *ListRead) *schema.Record {
	p := &endpointsPlan{
		Endpoints: e,
		now:       now,
		read:      read,
		changes:   newChanges(table, "back ends"),
		known:     map[backendID]*schema.Backend{},
		counts:    map[string]int{},
		listed:    map[backendID]bool{},
		missing:   map[string]int{},
	}
	for _, service := range view.Services {
		for _, backend := range service.Backends {
			p.known[idOf(backend)] = backend
			p.counts[backend.Service]++
		}
	}
	p.takeListed()
	p.countMissing()
	for _, id := range slices.Sorted(maps.Keys(p.known)) {
		if backend := p.known[id]; !p.removeIfMissing(id, backend) {
			p.updateHealth(id, backend)
		}
	}
	return p.changes.recordOrNil()
}

// endpointsPlan is one call of Plan.
type endpointsPlan struct {
	*Endpoints
	now     time.Duration
	read    *ListRead
	changes *changes
	// known are the rows that are not changed by the list itself.
	known map[backendID]*schema.Backend
	// counts are the rows of each service, missing those that enough reads in a row lacked.
	counts  map[string]int
	missing map[string]int
	listed  map[backendID]bool
}

// takeListed writes the rows of back ends that are new to the list or whose line differs.
func (p *endpointsPlan) takeListed() {
	if p.read == nil {
		return
	}
	for _, item := range p.read.Items {
		id := newBackendID(item.Service, item.Instance)
		p.listed[id] = true
		delete(p.missingReads, id)
		old := p.known[id]
		isMoved := old == nil || old.Address != item.Address
		state := schema.BackendState_BACKEND_READY
		if item.State == drainingState || !isMoved && old.State == schema.BackendState_BACKEND_DRAINING {
			state = schema.BackendState_BACKEND_DRAINING
		}
		if !isMoved && old.State == state && old.Zone == item.Zone {
			continue
		}
		p.changes.putBackend(&schema.Backend{
			Service:  item.Service,
			Instance: item.Instance,
			Address:  item.Address,
			Zone:     item.Zone,
			State:    state,
			Cold:     p.counts[item.Service] > 0 && (isMoved || old.Cold),
		})
		delete(p.known, id)
	}
}

// countMissing counts the back ends that a whole read lacks.
func (p *endpointsPlan) countMissing() {
	for id, backend := range p.known {
		if !p.isMissing(id) {
			continue
		}
		p.missingReads[id]++
		if p.missingReads[id] >= constants.EndpointMissingReads {
			p.missing[backend.Service]++
		}
	}
}

func (p *endpointsPlan) isMissing(id backendID) bool {
	return p.read != nil && p.read.IsComplete && !p.listed[id]
}

// removeIfMissing takes out a back end that enough reads lacked. Where most of a service is missing it takes out only
// those that fail their health checks.
func (p *endpointsPlan) removeIfMissing(id backendID, backend *schema.Backend) (isRemoved bool) {
	if !p.isMissing(id) || p.missingReads[id] < constants.EndpointMissingReads {
		return false
	}
	isMost := p.missing[backend.Service]*100 > p.counts[backend.Service]*constants.EndpointFloor
	if isMost && !p.isFailing(backend.Instance) {
		return false
	}
	p.changes.removeBackend(backend.Service, backend.Instance)
	delete(p.missingReads, id)
	return true
}

// updateHealth marks a back end that fails, and one that is warming up after it came back or was first listed.
func (p *endpointsPlan) updateHealth(id backendID, backend *schema.Backend) {
	isFailing := p.isFailing(backend.Instance)
	isBack := backend.Failing && !isFailing
	if isBack || backend.Cold && p.coldAt[id] == 0 {
		p.coldAt[id] = p.now
	}
	isCold := (backend.Cold || isBack) && p.now-p.coldAt[id] < constants.ColdRamp
	if !isCold {
		delete(p.coldAt, id)
	}
	if isFailing == backend.Failing && isCold == backend.Cold {
		return
	}
	p.changes.putBackend(&schema.Backend{
		Service:  backend.Service,
		Instance: backend.Instance,
		Address:  backend.Address,
		Zone:     backend.Zone,
		State:    backend.State,
		Failing:  isFailing,
		Cold:     isCold,
	})
}

// Package sharding assigns ranges of a keyed service's keys to its back ends.
//
// A keyed service's keys (0 to constants.LastKey) are divided into shard ranges, one row of the table each. A row
// names the range's owner and a fencing token, which rises with every new owner. The owner may serve the range only
// while it has a lease, which the leader's LeaseManager renews by calls to the back end. Back ends refuse calls with a
// lower fence than the highest that they have seen on any key of the range.
//
// The package owns the layout of ranges, the leases, the calls whose effect at a back end is not known, and the moves
// of ranges from one owner to another: away from back ends that leave, and for the sake of even load. Its invariant is
// that a range gets a new owner only when no earlier owner can still have a lease on any of its keys.
//
// LeaseManager is a pure state machine: it opens no connection, reads no clock and starts no goroutine. The control
// plane's goroutine calls Step and Answered, proposes the records and sends the calls that Step returns.
package sharding

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Options configure a LeaseManager.
type Options struct {
	// MaxLease is the longest lease that back ends accept; 0 means that the bound is not known.
	MaxLease time.Duration
}

// LeaseManager decides which back end owns which shard ranges. Only the leader's one has an effect.
type LeaseManager struct {
	leaseDuration    time.Duration
	isLeading        bool
	electedAt        time.Duration
	lastCallID       uint64
	pending          map[uint64]*pendingCall
	outstandingCalls []*outstandingCall
	// budget counts the calls in flight during a step.
	budget   *callBudget
	services map[string]*serviceState
	// ended are the instances whose process has certainly ended, since another one answered at its address. Silence, a
	// refused connection and a missing line in the list are no proof.
	ended map[string]bool
	// withdrawn holds, by row key, the index of a row that a proposed record takes from its owner; such an owner gets
	// no more leases.
	withdrawn   map[string]raft.Index
	homeRegions map[string]*homeRegions
	// homeRegionsHead is the head of the catalog that homeRegions was made from.
	homeRegionsHead *schema.CatalogHead
	// ranges counts the shard ranges of all services at the last step.
	ranges int
	// instancesAt holds the listed instances by address, as instancesView lists them.
	instancesAt   map[string][]string
	instancesView *store.View
}

// New returns a LeaseManager that does not lead.
func New(options Options) *LeaseManager {
	duration := constants.MaxKeyLease
	if share := options.MaxLease * constants.KeyLeaseShare / 100; options.MaxLease > 0 && share < duration {
		duration = share
	}
	m := &LeaseManager{leaseDuration: duration, withdrawn: map[string]raft.Index{}}
	m.reset()
	return m
}

// reset forgets everything that holds for one term of leadership only.
func (m *LeaseManager) reset() {
	m.isLeading = false
	m.homeRegions = nil
	m.pending = map[uint64]*pendingCall{}
	m.outstandingCalls = nil
	m.services = map[string]*serviceState{}
	m.ended = map[string]bool{}
}

// Step returns the records to propose and the calls to send at one instant.
func (m *LeaseManager) Step(facts Facts) Effects {
	if !facts.IsLeading {
		m.reset()
		return Effects{}
	}
	if !m.isLeading || facts.ElectedAt != m.electedAt {
		m.reset()
		m.isLeading = true
		m.electedAt = facts.ElectedAt
		m.inherit(facts)
	}
	m.expirePending(facts.Now)
	m.dropLapsed(facts.Now)
	if m.homeRegions == nil || m.homeRegionsHead != facts.View.Head {
		m.homeRegions = homeRegionsOf(facts.View)
		m.homeRegionsHead = facts.View.Head
	}
	var effects Effects
	m.budget = newCallBudget(m.pending)
	m.ranges = 0
	for _, name := range slices.Sorted(maps.Keys(facts.View.Services)) {
		service := facts.View.Services[name]
		if service.Policy == nil || !service.Policy.Keyed {
			continue
		}
		p := &planner{manager: m, state: m.stateOf(name), facts: facts, service: service, effects: &effects}
		p.run()
		m.ranges += len(p.shards)
	}
	return effects
}

// Stats counts what there is to do.
func (m *LeaseManager) Stats() Stats {
	return Stats{Ranges: m.ranges, InFlight: len(m.pending), Outstanding: len(m.outstandingCalls)}
}

// stateOf returns what the leader remembers of a service.
func (m *LeaseManager) stateOf(service string) *serviceState {
	state := m.services[service]
	if state == nil {
		state = newServiceState()
		m.services[service] = state
	}
	return state
}

// listedAt returns the instances that are listed at an address.
func (m *LeaseManager) listedAt(view *store.View, address string) []string {
	if m.instancesAt == nil || m.instancesView != view {
		m.instancesView = view
		m.instancesAt = map[string][]string{}
		for _, service := range view.Services {
			for _, backend := range service.Backends {
				m.instancesAt[backend.Address] = append(m.instancesAt[backend.Address], backend.Instance)
			}
		}
	}
	return m.instancesAt[address]
}

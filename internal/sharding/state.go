package sharding

import (
	"maps"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/store"
)

// callProgress says whether a call is in flight and when the next may be sent.
type callProgress struct {
	nextAt    time.Duration
	isWaiting bool
}

// leaseProgress is the state of the lease calls for one shard range.
type leaseProgress struct {
	callProgress
	// isGranted is true once the owner has taken a lease.
	isGranted bool
	// refusals counts the refusals since the last lease was given; the fence rises by as many.
	refusals uint64
	// isRefused is true once the owner has refused the fence, so that the row needs a higher one.
	isRefused bool
}

// releaseProgress is the state of the release calls for one shard range.
type releaseProgress struct {
	callProgress
	isReleased bool
	handover   string
}

// proposal is a proposed change of a row.
type proposal struct {
	// index is the row's index when the change was proposed.
	index raft.Index
	at    time.Duration
	// width is how many keys the change takes off their owner.
	width uint32
}

// serviceState is what the leader remembers of one service. A new leader does without it.
type serviceState struct {
	// hasEligible, eligibleSince and eligibleCount tell how long the number of eligible back ends has been the same
	// before the first layout.
	hasEligible   bool
	eligibleSince time.Duration
	eligibleCount int
	// proposed holds the changes under way, by row key.
	proposed map[string]proposal
	leases   map[shardID]*leaseProgress
	releases map[shardID]*releaseProgress
	// targets holds the next owners of ranges that are being released, by first key.
	targets map[Key]string
	// failingSince holds, by instance, since when no lease call has succeeded: when the first that failed was sent, but
	// not long before that one ended.
	failingSince map[string]time.Duration
	// unresponsive holds the back ends that left a lease call unanswered: only probes go to them until one is answered.
	unresponsive map[string]*callProgress
	// excludedUntil holds the back ends that get no shards for a while because they could not be reached.
	excludedUntil map[string]time.Duration
	evacuations   map[string]evacuation
	// homes are the home regions in force, once hasHomes is true; nextHomes are other ones since homesChangedAt, 0 if there
	// are none.
	hasHomes       bool
	homes          *homeRegions
	nextHomes      *homeRegions
	homesChangedAt time.Duration
	isUneven       bool
	unevenSince    time.Duration
}

func newServiceState() *serviceState {
	return &serviceState{
		proposed:      map[string]proposal{},
		leases:        map[shardID]*leaseProgress{},
		releases:      map[shardID]*releaseProgress{},
		targets:       map[Key]string{},
		failingSince:  map[string]time.Duration{},
		unresponsive:  map[string]*callProgress{},
		excludedUntil: map[string]time.Duration{},
		evacuations:   map[string]evacuation{},
	}
}

func (s *serviceState) markUnresponsive(instance string, now time.Duration) {
	if s.unresponsive[instance] == nil {
		s.unresponsive[instance] = &callProgress{nextAt: now + constants.KeyRetryPause}
	}
}

// forgetStale drops what is remembered of shard ranges and instances that are no more.
func (p *planner) forgetStale() {
	p.forgetStaleShards()
	p.forgetStaleInstances()
	for instance, since := range p.state.failingSince {
		if p.facts.Now-since >= constants.KeyUnreachableAfter {
			p.state.excludedUntil[instance] = p.facts.Now + constants.KeyUnreachableKept
			delete(p.state.failingSince, instance)
		}
	}
}

func (p *planner) forgetStaleShards() {
	indexes := map[string]raft.Index{}
	isReleasingAt := map[Key]bool{}
	current := map[shardID]bool{}
	for _, s := range p.shards {
		indexes[s.rowKey] = s.rowIndex
		isReleasingAt[s.first] = s.isReleasing
		current[s.id()] = true
	}
	prefix := store.ServicePrefix(p.service.Name)
	maps.DeleteFunc(p.state.proposed, func(key string, change proposal) bool { return indexes[key] != change.index })
	maps.DeleteFunc(p.manager.withdrawn, func(key string, index raft.Index) bool {
		return strings.HasPrefix(key, prefix) && indexes[key] != index
	})
	maps.DeleteFunc(p.state.leases, func(id shardID, progress *leaseProgress) bool { return !current[id] && !progress.isWaiting })
	maps.DeleteFunc(p.state.releases, func(id shardID, progress *releaseProgress) bool { return !current[id] && !progress.isWaiting })
	for first := range p.state.targets {
		if isReleasing, isThere := isReleasingAt[first]; isThere && !isReleasing && len(p.state.proposed) == 0 {
			delete(p.state.targets, first)
		}
	}
}

func (p *planner) forgetStaleInstances() {
	isUnlisted := func(instance string) bool { return p.service.Backend(instance) == nil }
	maps.DeleteFunc(p.state.excludedUntil, func(_ string, until time.Duration) bool { return until <= p.facts.Now })
	maps.DeleteFunc(p.state.failingSince, func(instance string, _ time.Duration) bool { return isUnlisted(instance) })
	maps.DeleteFunc(p.state.unresponsive, func(instance string, _ *callProgress) bool { return isUnlisted(instance) })
}

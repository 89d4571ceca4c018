package discovery

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// vote is a node's latest report that a back end failed its requests.
type vote struct {
	at   time.Duration
	zone string
}

// OutlierQuorum ejects back ends in a fleet of routes once several nodes report that these fail their requests. So a
// node that seldom meets one need not find out by failures of its own. A new leader's quorum takes over the ejections
// that it finds in the rows.
type OutlierQuorum struct {
	// votes holds the latest vote of each node, by instance and node.
	votes     map[string]map[string]vote
	ejections map[string]*ejection
}

// NewOutlierQuorum returns an OutlierQuorum without votes.
func NewOutlierQuorum() *OutlierQuorum {
	return &OutlierQuorum{votes: map[string]map[string]vote{}, ejections: map[string]*ejection{}}
}

// Report takes a node's news since its last report: the back ends that failed its requests, and those marked as
// failing that served it.
func (q *OutlierQuorum) Report(now time.Duration, node, zone string, reports []*schema.HealthReport) {
	for _, report := range reports {
		id := report.Instance
		if !report.Failing {
			if e := q.ejections[id]; e != nil && e.state == onTrial {
				e.successes++
			}
			continue
		}
		if q.votes[id] == nil {
			q.votes[id] = map[string]vote{}
		}
		q.votes[id][node] = vote{now, zone}
	}
}

// Plan returns the record that brings the rows in line with the ejections, or nil if nothing changes.
func (q *OutlierQuorum) Plan(now time.Duration, view *store.View, table *store.Table) *schema.Record {
	if len(q.votes) == 0 && len(q.ejections) == 0 && !hasFailing(view) {
		return nil
	}
	p := &outlierPlan{OutlierQuorum: q, now: now, view: view, ready: readyNodesOf(view), changes: newChanges(table, "failing back ends")}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		p.planService(view.Services[name])
	}
	q.forget(now, view)
	return p.changes.recordOrNil()
}

func hasFailing(view *store.View) bool {
	for _, service := range view.Services {
		if slices.ContainsFunc(service.Backends, func(backend *schema.Backend) bool { return backend.Failing }) {
			return true
		}
	}
	return false
}

// forget drops what is remembered of back ends that are no more, and ejections that ended long ago.
func (q *OutlierQuorum) forget(now time.Duration, view *store.View) {
	isKnown := map[string]bool{}
	for _, service := range view.Services {
		for _, backend := range service.Backends {
			isKnown[backend.Instance] = true
		}
	}
	maps.DeleteFunc(q.votes, func(id string, votes map[string]vote) bool { return !isKnown[id] || len(votes) == 0 })
	maps.DeleteFunc(q.ejections, func(id string, e *ejection) bool { return !isKnown[id] || e.isForgiven(now) })
}

// recentVotes drops an instance's votes that are too old or from before an instant, and returns the others.
func (q *OutlierQuorum) recentVotes(now time.Duration, instance string, since time.Duration) map[string]vote {
	votes := q.votes[instance]
	maps.DeleteFunc(votes, func(_ string, v vote) bool { return now-v.at > constants.EjectionVoteWindow || v.at < since })
	return votes
}

// outlierPlan is one call of Plan.
type outlierPlan struct {
	*OutlierQuorum
	now     time.Duration
	view    *store.View
	ready   readyNodes
	changes *changes
}

// planService advances the ejections of a service's back ends and writes the rows that differ from them. No more than
// a part of a service is ejected at once, and more votes are needed while many back ends are voted against, since the
// fault is then hardly theirs.
func (p *outlierPlan) planService(service *store.Service) {
	ready, failing, votedAgainst := 0, 0, 0
	for _, backend := range service.Backends {
		if backend.State == schema.BackendState_BACKEND_READY {
			ready++
		}
		if backend.Failing {
			failing++
		}
		if len(p.recentVotes(p.now, backend.Instance, 0)) > 0 {
			votedAgainst++
		}
	}
	needed := min(constants.EjectionVotes, max(1, p.ready.count()/2))
	if votedAgainst*100 > ready*constants.OutlierQuorumFloor {
		needed *= 2
	}
	for _, backend := range service.Backends {
		if backend.State != schema.BackendState_BACKEND_READY || backend.Cold {
			continue
		}
		e := p.advance(backend, service.Policy.GetKeyed(), needed, failing*100 < ready*constants.OutlierQuorumFloor)
		if e == nil {
			continue
		}
		fresh := p.rowOf(backend, e)
		if fresh.Failing && !backend.Failing {
			failing++
		}
		if !proto.Equal(backend, fresh) {
			p.changes.put(store.BackendKey(service.Name, backend.Instance), fresh)
		}
	}
}

// rowOf returns the row of a back end with its ejection; the senders of a trial stay the same until it ends.
func (p *outlierPlan) rowOf(backend *schema.Backend, e *ejection) *schema.Backend {
	fresh := proto.Clone(backend).(*schema.Backend)
	fresh.Failing = e.state != healthy
	fresh.SlowStartSenders = nil
	if e.state == onTrial {
		fresh.SlowStartSenders = backend.SlowStartSenders
		if len(fresh.SlowStartSenders) == 0 {
			fresh.SlowStartSenders = trialSenders(backend, p.view, p.ready, e.count)
		}
	}
	return fresh
}

// advance moves a back end's ejection on and returns it; nil if there has been none. A shard owner is not tried: its
// keys are elsewhere by then.
func (p *outlierPlan) advance(backend *schema.Backend, isKeyed bool, needed int, mayEject bool) *ejection {
	id := backend.Instance
	e := p.ejections[id]
	if e == nil && backend.Failing {
		e = &ejection{state: ejected, since: p.now, until: p.now + constants.EjectionTime, count: 1}
		p.ejections[id] = e
	}
	if e == nil {
		e = &ejection{}
	}
	votes := p.recentVotes(p.now, id, e.since)
	switch e.state {
	case healthy:
		if len(votes) >= needed && mayEject && isSeenWidely(backend, votes, p.ready) {
			p.eject(id, e, isKeyed)
		}
	case ejected:
		// Requests that fail while it is ejected were sent before, or for want of any other back end.
		delete(p.votes, id)
		if p.now >= e.until && isKeyed {
			e.clear(p.now)
		} else if p.now >= e.until {
			e.startTrial(p.now)
		}
	case onTrial:
		if len(votes) > 0 {
			p.eject(id, e, isKeyed)
		} else if e.successes >= constants.OutlierQuorumGoods || p.now-e.since >= constants.EjectionTrial {
			e.clear(p.now)
		}
	}
	return p.ejections[id]
}

func (p *outlierPlan) eject(instance string, e *ejection, isKeyed bool) {
	e.eject(p.now, isKeyed)
	p.ejections[instance] = e
	delete(p.votes, instance)
}

// isSeenWidely reports whether nodes of the back end's own zone, or of several zones, see it fail. One that fails only
// the callers of one other zone is left to those to avoid.
func isSeenWidely(backend *schema.Backend, votes map[string]vote, ready readyNodes) bool {
	zones := map[string]bool{}
	for _, v := range votes {
		zones[v.zone] = true
	}
	return len(zones) > 1 || zones[backend.Zone] || len(ready[backend.Zone]) == 0
}

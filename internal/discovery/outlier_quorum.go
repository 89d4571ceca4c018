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

type stage int

const (
	stageClear stage = iota
	stageOut
	stageTrial
)

type trial struct {
	stage   stage
	since   time.Duration
	until   time.Duration
	strikes int
	goods   int
}

type vote struct {
	at   time.Duration
	zone string
}

// OutlierQuorum decides for a routed fleet which back ends are failing, by what nodes tell of their own attempts. A node that meets one seldom so gains by the others' losses.
// It is a pure state machine of the leader; a new leader's takes over the rows that it finds.
type OutlierQuorum struct {
	votes  map[string]map[string]vote
	trials map[string]*trial
}

// NewOutlierQuorum makes one without votes.
func NewOutlierQuorum() *OutlierQuorum {
	return &OutlierQuorum{votes: map[string]map[string]vote{}, trials: map[string]*trial{}}
}

// Report takes what a node tells of the back ends that failed it, or that served it although they are failing, since it last told.
func (j *OutlierQuorum) Report(now time.Duration, node, zone string, healthReports []*schema.HealthReport) {
	for _, healthReport := range healthReports {
		id := healthReport.Instance
		if !healthReport.Failing {
			if t := j.trials[id]; t != nil && t.stage == stageTrial {
				t.goods++
			}
			continue
		}
		if j.votes[id] == nil {
			j.votes[id] = map[string]vote{}
		}
		j.votes[id][node] = vote{now, zone}
	}
}

// Plan gives the record that brings the rows in line with the verdicts, or nil.
func (j *OutlierQuorum) Plan(now time.Duration, view *store.View, table *store.Table) *schema.Record {
	if len(j.votes) == 0 && len(j.trials) == 0 && !hasFailing(view) {
		return nil
	}
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "failing back ends"}
	ready := map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(view.Nodes)) {
		if node := view.Nodes[id]; node.State == schema.NodeState_NODE_READY {
			ready[node.Zone] = append(ready[node.Zone], id)
		}
	}
	known := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		service := view.Services[name]
		open, failing, doubted := 0, 0, 0
		for _, backend := range service.Backends {
			known[backend.Instance] = true
			if backend.State == schema.BackendState_BACKEND_READY {
				open++
			}
			if backend.Failing {
				failing++
			}
			if len(j.recent(now, backend.Instance, 0)) > 0 {
				doubted++
			}
		}
		needed := min(constants.EjectionVotes, max(1, count(ready)/2))
		if doubted*100 > open*constants.OutlierQuorumFloor {
			needed *= 2
		}
		for _, backend := range service.Backends {
			if backend.State != schema.BackendState_BACKEND_READY || backend.Cold {
				continue
			}
			t := j.step(now, backend, service.Policy.GetKeyed(), ready, needed, failing*100 < open*constants.OutlierQuorumFloor)
			if t == nil {
				continue
			}
			isFailing := t.stage != stageClear
			if isFailing && !backend.Failing {
				failing++
			}
			fresh := proto.Clone(backend).(*schema.Backend)
			fresh.Failing, fresh.SlowStartSenders = isFailing, nil
			if isFailing && t.stage == stageTrial {
				fresh.SlowStartSenders = backend.SlowStartSenders
				if len(fresh.SlowStartSenders) == 0 {
					fresh.SlowStartSenders = slowStartSenders(backend, view, ready, t.strikes)
				}
			}
			if !proto.Equal(backend, fresh) {
				key := store.BackendKey(name, backend.Instance)
				record.Guards = append(record.Guards, &schema.Guard{Key: key, Index: table.Get(key).GetIndex()})
				record.Rows = append(record.Rows, store.EncodeRow(key, fresh))
			}
		}
	}
	maps.DeleteFunc(j.votes, func(id string, votes map[string]vote) bool { return !known[id] || len(votes) == 0 })
	maps.DeleteFunc(j.trials, func(id string, t *trial) bool {
		return !known[id] || t.stage == stageClear && now-t.since > constants.OutlierQuorumForgiven
	})
	return whole(record)
}

func hasFailing(view *store.View) bool {
	for _, service := range view.Services {
		if slices.ContainsFunc(service.Backends, func(b *schema.Backend) bool { return b.Failing }) {
			return true
		}
	}
	return false
}

func (j *OutlierQuorum) recent(now time.Duration, id string, since time.Duration) map[string]vote {
	votes := j.votes[id]
	maps.DeleteFunc(votes, func(_ string, v vote) bool { return now-v.at > constants.EjectionVoteWindow || v.at < since })
	return votes
}

// step moves one back end's case on; nil is none.
func (j *OutlierQuorum) step(now time.Duration, backend *schema.Backend, isKeyed bool, ready map[string][]string, needed int, hasRoom bool) *trial {
	id := backend.Instance
	t := j.trials[id]
	if t == nil && backend.Failing {
		t = &trial{stage: stageOut, since: now, until: now + constants.EjectionTime, strikes: 1}
		j.trials[id] = t
	}
	since := time.Duration(0)
	if t != nil {
		since = t.since
	}
	votes := j.recent(now, id, since)
	out := func() {
		if t == nil {
			t = &trial{}
			j.trials[id] = t
		}
		if t.stage == stageClear && now-t.since > constants.OutlierQuorumForgiven {
			t.strikes = 0
		}
		t.stage, t.since, t.goods = stageOut, now, 0
		first := constants.EjectionTime
		if isKeyed {
			first = constants.EjectionTimeOwner
		}
		t.until = now + min(constants.MaxEjectionTime, first<<min(t.strikes, 8))
		t.strikes++
		delete(j.votes, id)
	}
	clear := func() { t.stage, t.since = stageClear, now }
	switch {
	case t == nil || t.stage == stageClear:
		if len(votes) >= needed && hasRoom && isSeenWidely(backend, votes, ready) {
			out()
		}
	case t.stage == stageOut:
		// What fails while it is out was sent before or for want of any other; keys that it held are elsewhere and can't be tried.
		delete(j.votes, id)
		if now >= t.until && isKeyed {
			clear()
		} else if now >= t.until {
			t.stage, t.since, t.goods = stageTrial, now, 0
		}
	case len(votes) > 0:
		out()
	case t.goods >= constants.OutlierQuorumGoods || now-t.since >= constants.EjectionTrial:
		clear()
	}
	return t
}

func count(ready map[string][]string) int {
	sum := 0
	for _, ids := range ready {
		sum += len(ids)
	}
	return sum
}

// isSeenWidely tells that nodes of the back end's own zone see it fail too, or those of several; one that fails the callers of one other zone is avoided by those.
func isSeenWidely(backend *schema.Backend, votes map[string]vote, ready map[string][]string) bool {
	zones := map[string]bool{}
	for _, v := range votes {
		zones[v.zone] = true
	}
	return len(zones) > 1 || zones[backend.Zone] || len(ready[backend.Zone]) == 0
}

// sponsors are the nodes that alone may try a failing back end: few of its zone, others at each trial.
func slowStartSenders(backend *schema.Backend, view *store.View, ready map[string][]string, turn int) []string {
	near := ready[backend.Zone]
	if len(near) == 0 {
		for _, zone := range slices.Sorted(maps.Keys(ready)) {
			if view.Zones[zone].GetRegion() == view.Zones[backend.Zone].GetRegion() {
				near = append(near, ready[zone]...)
			}
		}
	}
	var chosen []string
	for i := range min(len(near), constants.TrialSenders) {
		chosen = append(chosen, near[(turn*constants.TrialSenders+i)%len(near)])
	}
	slices.Sort(chosen)
	return slices.Compact(chosen)
}

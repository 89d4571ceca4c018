package discovery

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// maxDoublings bounds how often the time of an ejection is doubled before it is compared with its greatest value.
const maxDoublings = 8

// ejectionState says whether a back end gets requests.
type ejectionState int

// The states of a back end.
const (
	// healthy back ends get requests from all nodes.
	healthy ejectionState = iota
	// ejected back ends get none.
	ejected
	// onTrial back ends get some from a few nodes, after their time of ejection.
	onTrial
)

// ejection is what is known of a back end that was ejected.
type ejection struct {
	state ejectionState
	// since is when the state began, until when the time of an ejection ends.
	since time.Duration
	until time.Duration
	// count is how often it was ejected without a long healthy time between.
	count int
	// successes counts the reports of nodes that a trial went well.
	successes int
}

// eject begins an ejection; each further one without a long healthy time between takes twice as long, up to a bound.
func (e *ejection) eject(now time.Duration, isKeyed bool) {
	if e.isForgiven(now) {
		e.count = 0
	}
	first := constants.EjectionTime
	if isKeyed {
		first = constants.EjectionTimeOwner
	}
	e.state = ejected
	e.since = now
	e.until = now + min(constants.MaxEjectionTime, first<<min(e.count, maxDoublings))
	e.count++
	e.successes = 0
}

func (e *ejection) startTrial(now time.Duration) {
	e.state = onTrial
	e.since = now
	e.successes = 0
}

func (e *ejection) clear(now time.Duration) {
	e.state = healthy
	e.since = now
}

// isForgiven reports whether the back end has been healthy for so long that its ejections don't count any more.
func (e *ejection) isForgiven(now time.Duration) bool {
	return e.state == healthy && now-e.since > constants.OutlierQuorumForgiven
}

// readyNodes are the ids of the ready nodes, sorted, by zone.
type readyNodes map[string][]string

func readyNodesOf(view *store.View) readyNodes {
	ready := readyNodes{}
	for _, id := range slices.Sorted(maps.Keys(view.Nodes)) {
		if node := view.Nodes[id]; node.State == schema.NodeState_NODE_READY {
			ready[node.Zone] = append(ready[node.Zone], id)
		}
	}
	return ready
}

func (r readyNodes) count() int {
	sum := 0
	for _, ids := range r {
		sum += len(ids)
	}
	return sum
}

// trialSenders returns the nodes that alone may send to a back end on trial: a few of its zone, or else of its region,
// and others at each trial.
func trialSenders(backend *schema.Backend, view *store.View, ready readyNodes, turn int) []string {
	candidates := ready[backend.Zone]
	if len(candidates) == 0 {
		region := view.Zones[backend.Zone].GetRegion()
		for _, zone := range slices.Sorted(maps.Keys(ready)) {
			if view.Zones[zone].GetRegion() == region {
				candidates = append(candidates, ready[zone]...)
			}
		}
	}
	var chosen []string
	for i := range min(len(candidates), constants.TrialSenders) {
		chosen = append(chosen, candidates[(turn*constants.TrialSenders+i)%len(candidates)])
	}
	slices.Sort(chosen)
	return slices.Compact(chosen)
}

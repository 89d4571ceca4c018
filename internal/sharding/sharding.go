// Package sharding leases ranges of a service's keys to its back ends; it is a pure state machine of the leader.
package sharding

import (
	"maps"
	"slices"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Options make a Granter.
type Options struct {
	// Most is the greatest hold that back ends take; 0 is unknown.
	Most time.Duration
}

// Facts are what the leader knows at one instant.
type Facts struct {
	Now   time.Duration
	View  *store.View
	Table *store.Table
	// IsLeading tells that this node leads and has applied all records of the leaders before.
	IsLeading bool
	ElectedAt time.Duration
	// LeaseAt is the latest instant at which a majority certainly still followed this leader.
	LeaseAt time.Duration
	// Heat is how many requests each service's back ends work on at once, by equal buckets of keys.
	Load map[string][]float64
	// Dead tells that an instance's process has surely ended.
	Dead func(instance string) bool
}

// Kind is what a call does.
type Kind int

// The kinds of calls.
const (
	GrantLease Kind = iota + 1
	ReleaseLease
	// Probe only asks whether the back end can be reached; it gives nothing. After a lease without answer it goes before the next one of
	// any of its spans, so that an owner that is out of reach is not given its keys longer and longer.
	Probe
)

// Call is to be sent to a back end; Wait counts from the step that gave it, and a call not yet sent by then must not be sent.
type Call struct {
	ID       uint64
	Kind     Kind
	Service  string
	Instance string
	Address  string
	First    uint32
	Last     uint32
	Fence    uint64
	Hold     time.Duration
	Handover string
	Wait     time.Duration
}

// CallResult is how a call ended.
type CallResult int

// The responses of calls.
const (
	// Done tells that the back end took the call.
	Done CallResult = iota + 1
	// Refused tells that the back end has seen a higher fence.
	Refused
	// Failed tells that the call surely was not taken.
	Failed
	// Unknown tells that there was no answer.
	Unknown
	// Unsent tells that nothing was written, since no connection came up: surely not taken, but whoever is there may go on.
	Unsent
)

// Answer ends a call; each call must get one.
type Answer struct {
	ID       uint64
	Result   CallResult
	Handover string
}

// Effects are records to propose and calls to send.
type Effects struct {
	Records []*schema.Record
	Calls   []Call
}

// identity is a span as it was when a call on it was made.
type identity struct {
	first, last uint32
	instance    string
	fence       uint64
}

// outstanding call is what a back end may hold because of one call.
type outstandingCall struct {
	service, instance, address string

	fence  uint64
	ranges [][2]uint32
	sent   time.Duration
	until  time.Duration
	isOpen bool
}

type pending struct {
	call            Call
	sent            time.Duration
	outstandingCall *outstandingCall
}

type progress struct {
	next      time.Duration
	isWaiting bool
	isDone    bool
	refusals  uint64
	isBarred  bool
	handover  string
	isFreed   bool
}

// silence is a back end that left a lease unanswered: only probes go to it until one comes through.
type unresponsiveOwner struct {
	next      time.Duration
	isWaiting bool
}

type proposal struct {
	index uint64
	at    time.Duration
	width uint32
}

type departure struct {
	at    time.Duration
	width uint32
}

// memory is what the leader remembers of one service, none of which a successor needs.
type memory struct {
	eligibleAt   time.Duration
	hasEligible  bool
	eligible     int
	proposed     map[string]proposal
	leases       map[identity]*progress
	releases     map[identity]*progress
	targets      map[uint32]string
	failedAt     map[string]time.Duration
	downAt       map[string]time.Duration
	unresponsive map[string]*unresponsiveOwner
	excluded     map[string]time.Duration
	leaving      map[string]departure
	unevenAt     time.Duration
	isUneven     bool
}

// LeaseManager decides which back end holds which keys.
type LeaseManager struct {
	hold             time.Duration
	isLeading        bool
	electedAt        time.Duration
	last             uint64
	pending          map[uint64]*pending
	outstandingCalls []*outstandingCall
	services         map[string]*memory
	// withdrawn are the rows, at an index, whose owner may lose them by a record that is still on its way; they get no more leases.
	withdrawn map[string]uint64
	homes     map[string]*homes
	head      *schema.CatalogHead
	// listed are the back ends by address, as listedIn lists them.
	listed   map[string][]string
	listedIn *store.View
}

// New makes a Granter.
func New(options Options) *LeaseManager {
	hold := constants.KeyHoldMost
	if share := options.Most * constants.KeyHoldShare / 100; options.Most > 0 && share < hold {
		hold = share
	}
	g := &LeaseManager{hold: hold, withdrawn: map[string]uint64{}}
	g.forget()
	return g
}

func (g *LeaseManager) forget() {
	g.isLeading = false
	g.homes = nil
	g.pending, g.outstandingCalls, g.services = map[uint64]*pending{}, nil, map[string]*memory{}
}

// lapse is how long after a lease's arrival its owner may hold on.
func lapse(hold time.Duration) time.Duration {
	return hold*100/(100-constants.KeyClockSlow) + constants.KeyHoldMargin
}

// Step gives what is to be done now.
func (g *LeaseManager) Step(f Facts) Effects {
	if f.Dead == nil {
		f.Dead = func(string) bool { return false }
	}
	if !f.IsLeading {
		g.forget()
		return Effects{}
	}
	if !g.isLeading || f.ElectedAt != g.electedAt {
		g.forget()
		g.isLeading, g.electedAt = true, f.ElectedAt
		g.inherit(f)
	}
	for _, id := range slices.Sorted(maps.Keys(g.pending)) {
		if p := g.pending[id]; f.Now >= p.sent+p.call.Wait+constants.KeyAnswerLost {
			g.Answered(f.Now, Answer{ID: id, Result: Unknown})
		}
	}
	g.outstandingCalls = slices.DeleteFunc(g.outstandingCalls, func(e *outstandingCall) bool { return !e.isOpen && e.until <= f.Now || len(e.ranges) == 0 })
	if g.homes == nil || g.head != f.View.Head {
		g.homes, g.head = homesOf(f.View), f.View.Head
	}
	var effects Effects
	for _, name := range slices.Sorted(maps.Keys(f.View.Services)) {
		service := f.View.Services[name]
		if service.Policy == nil || !service.Policy.Keyed {
			continue
		}
		m := g.services[name]
		if m == nil {
			m = &memory{proposed: map[string]proposal{}, leases: map[identity]*progress{}, releases: map[identity]*progress{},
				targets: map[uint32]string{}, failedAt: map[string]time.Duration{}, downAt: map[string]time.Duration{}, unresponsive: map[string]*unresponsiveOwner{}, excluded: map[string]time.Duration{}, leaving: map[string]departure{}}
			g.services[name] = m
		}
		s := &step{g: g, m: m, f: f, service: service, effects: &effects}
		s.run()
	}
	return effects
}

// inherit takes every span as held by its instance for as long as the calls of the leader before may have given it.
func (g *LeaseManager) inherit(f Facts) {
	until := f.Now + constants.KeyPredecessorMargin + lapse(g.hold)
	f.Table.Each("s/", func(row *schema.Row) {
		if !strings.Contains(row.Key, "/span/") {
			return
		}
		if span := store.DecodeRow[schema.ShardRange](row); span != nil {
			fence := span.Fence
			if span.Releasing {
				fence--
			}
			g.outstandingCalls = append(g.outstandingCalls, &outstandingCall{service: span.Service, instance: span.Instance, fence: fence, ranges: [][2]uint32{{span.First, span.Last}}, until: until})
		}
	})
}

// Answered takes the end of a call.
func (g *LeaseManager) Answered(now time.Duration, a Answer) {
	p := g.pending[a.ID]
	if p == nil {
		return
	}
	delete(g.pending, a.ID)
	m := g.services[p.call.Service]
	id := identity{p.call.First, p.call.Last, p.call.Instance, p.call.Fence}
	if p.call.Kind == ReleaseLease {
		progress := m.releases[id]
		progress.isWaiting, progress.next = false, now+constants.KeyRetryPause
		if a.Result == Done {
			progress.isFreed, progress.handover = true, a.Handover
			g.released(p.call)
		}
		return
	}
	if p.call.Kind == Probe {
		switch quiet := m.unresponsive[p.call.Instance]; {
		case a.Result == Done:
			delete(m.unresponsive, p.call.Instance)
		case quiet != nil:
			quiet.isWaiting, quiet.next = false, now+constants.KeyRetryPause
		}
		if a.Result == Failed {
			m.downAt[p.call.Instance] = p.sent
		}
		return
	}
	progress := m.leases[id]
	progress.isWaiting = false
	p.outstandingCall.isOpen = false
	p.outstandingCall.until = now + lapse(p.call.Hold)
	switch a.Result {
	case Done:
		progress.isDone, progress.next = true, p.sent+g.hold/constants.KeyRenewParts
		progress.refusals = 0
		delete(m.failedAt, p.call.Instance)
		delete(m.excluded, p.call.Instance)
		return
	case Refused:
		progress.refusals++
		progress.isBarred = true
	case Failed:
		p.outstandingCall.until = now
		m.downAt[p.call.Instance] = p.sent
	case Unsent:
		p.outstandingCall.until = now
		m.hush(p.call.Instance, now)
	default:
		p.outstandingCall.until += constants.KeyArrivalMargin
		m.hush(p.call.Instance, now)
	}
	progress.next = now + constants.KeyRetryPause
	if _, isKnown := m.failedAt[p.call.Instance]; !isKnown && a.Result != Refused {
		m.failedAt[p.call.Instance] = max(p.sent, now-constants.KeyLeaseWait)
	}
}

func (m *memory) hush(instance string, now time.Duration) {
	if m.unresponsive[instance] == nil {
		m.unresponsive[instance] = &unresponsiveOwner{next: now + constants.KeyRetryPause}
	}
}

// released takes a range off what its owner may hold: it refuses every lower fence from now on.
func (g *LeaseManager) released(call Call) {
	for _, e := range g.outstandingCalls {
		if e.service != call.Service || e.instance != call.Instance || e.fence >= call.Fence {
			continue
		}
		var rest [][2]uint32
		for _, r := range e.ranges {
			if r[1] < call.First || r[0] > call.Last {
				rest = append(rest, r)
				continue
			}
			if r[0] < call.First {
				rest = append(rest, [2]uint32{r[0], call.First - 1})
			}
			if r[1] > call.Last {
				rest = append(rest, [2]uint32{call.Last + 1, r[1]})
			}
		}
		e.ranges = rest
	}
}

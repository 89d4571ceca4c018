package sharding

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const (
	ms      = time.Millisecond
	stride  = 20 * ms
	buckets = 256
)

// owner is a back end of the simulated world.
type owner struct {
	row      *schema.Backend
	isAlive  bool
	isListed bool
	endedAt  time.Duration
	cutUntil time.Duration
	seen     []Fence
	until    []time.Duration
	fence    []Fence
	slowness float64
}

type event struct {
	at  time.Duration
	run func()
}

type commit struct {
	at     time.Duration
	record *schema.Record
}

// formerLeader is a leader that does not know that it was replaced.
type formerLeader struct {
	node      int
	table     *store.Table
	view      *store.View
	electedAt time.Duration
	leaseAt   time.Duration
	from      time.Duration
	until     time.Duration
}

type world struct {
	t                  *testing.T
	random             *rand.Rand
	now                time.Duration
	sampledKeys        []Key
	owners             []*owner
	nodes              []*LeaseManager
	leader             int
	electedAt          time.Duration
	former             *formerLeader
	table              *store.Table
	view               *store.View
	index              raft.Index
	commits            []commit
	events             []event
	keyLoad            []float64
	hasFaults          bool
	forgetsOutstanding bool
	services           []string
	violations         int
	calls              int
	moved              uint32
	coldStarts         int
	serial             int
	workTime           time.Duration
}

func newWorld(t *testing.T, seed int64, count int, services ...string) *world {
	w := &world{t: t, random: rand.New(rand.NewSource(seed)), now: time.Minute, table: store.NewTable(), view: store.NewView(), services: services, leader: 0, electedAt: time.Minute}
	w.sampledKeys = []Key{0, 1, constants.LastKey}
	for range 37 {
		w.sampledKeys = append(w.sampledKeys, Key(w.random.Intn(constants.LastKey+1)))
	}
	slices.Sort(w.sampledKeys)
	for range 3 {
		w.nodes = append(w.nodes, New(Options{MaxLease: 10 * time.Second}))
	}
	for _, service := range services {
		w.apply(&schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{store.EncodeRow(store.PolicyKey(service), &schema.ServicePolicy{Service: service, Keyed: true})}})
		for i := range count {
			w.start(service, fmt.Sprintf("%s-%d:80", service, i), fmt.Sprintf("d%d", i%3))
		}
	}
	for i := range 3 {
		w.empty(fmt.Sprintf("d%d", i), false)
	}
	w.keyLoad = make([]float64, buckets)
	return w
}

func (w *world) apply(record *schema.Record) {
	w.index++
	before := w.shardRanges()
	changed, err := w.table.Apply(w.index, record, nil)
	if err != nil {
		return
	}
	w.view = w.view.With(w.table, changed)
	for name, ranges := range w.shardRanges() {
		if err := checkLayout(w.view.Services[name]); err != nil && (len(before[name]) > 0 || !errors.Is(err, errNotKeyed)) {
			w.t.Fatalf("%v: %v", w.now, err)
		}
		old := &store.Service{Spans: before[name]}
		for _, keys := range ranges {
			if former := old.Span(keys.First); former != nil && former.Instance != keys.Instance {
				w.moved += keys.Last - keys.First + 1
			}
		}
	}
}

func (w *world) shardRanges() map[string][]*schema.ShardRange {
	ranges := map[string][]*schema.ShardRange{}
	for name, service := range w.view.Services {
		ranges[name] = service.Spans
	}
	return ranges
}

func (w *world) put(row *schema.Row) {
	w.apply(&schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{row}})
}

func (w *world) empty(zone string, isEmptied bool) {
	w.put(store.EncodeRow(store.ZoneKey(zone), &schema.Zone{Name: zone, Emptied: isEmptied}))
}

func (w *world) list(backend *owner) {
	backend.isListed = true
	w.put(store.EncodeRow(store.BackendKey(backend.row.Service, backend.row.Instance), backend.row))
}

func (w *world) unlist(backend *owner) {
	backend.isListed = false
	w.put(store.Tombstone(store.BackendKey(backend.row.Service, backend.row.Instance)))
}

func (w *world) start(service, address, zone string) *owner {
	w.serial++
	backend := &owner{row: &schema.Backend{Service: service, Instance: fmt.Sprintf("i%03d", w.serial), Address: address, Zone: zone, State: schema.BackendState_BACKEND_READY},
		isAlive: true, seen: make([]Fence, len(w.sampledKeys)), until: make([]time.Duration, len(w.sampledKeys)), fence: make([]Fence, len(w.sampledKeys)),
		slowness: 1 / (1 - 0.02*w.random.Float64())}
	w.owners = append(w.owners, backend)
	w.list(backend)
	return backend
}

func (w *world) crash(backend *owner) {
	backend.isAlive, backend.endedAt = false, w.now
	clear(backend.until)
}

func (w *world) isDead(instance string) bool {
	for _, backend := range w.owners {
		if backend.row.Instance == instance {
			return !backend.isAlive && w.now-backend.endedAt > 700*ms
		}
	}
	return false
}

func (w *world) at(at time.Duration, run func()) { w.events = append(w.events, event{at, run}) }

func (w *world) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.random.Int63n(int64(d)))
}

// send carries a call to whatever process has its address by then.
func (w *world) send(node int, call Call) {
	w.calls++
	sent, isAnswered, isLost, caller := w.now, false, false, w.nodes[node]
	answer := func(a Answer) {
		if !isAnswered {
			isAnswered = true
			a.ID = call.ID
			caller.Answered(w.now, a)
		}
	}
	way := func() time.Duration {
		if w.hasFaults && w.random.Intn(12) == 0 {
			return w.randomDuration(2500 * ms)
		}
		return 1*ms + w.randomDuration(30*ms)
	}
	w.at(sent+call.Timeout, func() {
		if isLost && call.Kind == GrantLease && call.ID%2 == 0 { // no connection came up
			answer(Answer{Result: Unsent})
		}
		answer(Answer{Result: Unknown})
	})
	arrival := sent + way()
	if arrival > sent+call.Timeout+constants.KeyArrivalMargin-stride || w.hasFaults && w.random.Intn(25) == 0 {
		isLost = true
		return
	}
	w.at(arrival, func() {
		var backend *owner
		for _, other := range w.owners {
			if other.isAlive && other.row.Address == call.Address {
				backend = other
			}
		}
		back := w.now + way()
		reply := func(a Answer) {
			if !w.hasFaults || w.random.Intn(25) > 0 {
				w.at(back, func() { answer(a) })
			}
		}
		switch {
		case backend == nil:
			reply(Answer{Result: Failed})
		case backend.cutUntil > w.now:
			isLost = true
		case call.Kind == Probe:
			reply(Answer{Result: Done})
		case call.Kind == GrantLease:
			reply(w.takeLease(backend, call))
		default:
			w.releaseLease(backend, call, reply, &back, way)
		}
	})
}

func (w *world) takeLease(backend *owner, call Call) Answer {
	for i, key := range w.sampledKeys {
		if key >= call.First && key <= call.Last && backend.seen[i] > call.Fence {
			return Answer{Result: Refused}
		}
	}
	for i, key := range w.sampledKeys {
		if key >= call.First && key <= call.Last {
			backend.seen[i], backend.fence[i] = call.Fence, call.Fence
			if backend.until[i] <= w.now && call.Handover == "" && call.Fence > 1 {
				w.coldStarts++
			}
			backend.until[i] = w.now + time.Duration(float64(call.LeaseDuration)*backend.slowness)
		}
	}
	return Answer{Result: Done}
}

// releaseLease counts keys as owned until the running work on them has ended.
func (w *world) releaseLease(backend *owner, call Call, reply func(Answer), back *time.Duration, way func() time.Duration) {
	end := w.now + w.workTime
	if w.hasFaults {
		end = w.now + w.randomDuration(4*time.Second)
	}
	for i, key := range w.sampledKeys {
		if key >= call.First && key <= call.Last {
			backend.seen[i] = max(backend.seen[i], call.Fence)
		}
	}
	w.at(end, func() {
		if !backend.isAlive {
			return
		}
		for i, key := range w.sampledKeys {
			if key >= call.First && key <= call.Last && backend.fence[i] <= call.Fence {
				backend.until[i] = min(backend.until[i], w.now)
			}
		}
		*back = w.now + way()
		reply(Answer{Result: Done, Handover: fmt.Sprintf("h%d-%d", call.First, call.Fence)})
	})
}

func (w *world) sendCalls(node int, effects Effects) {
	for _, call := range effects.Calls {
		w.send(node, call)
	}
}

// depose lets another node lead; the old leader may go on unknowing for a while.
func (w *world) depose() {
	copied := store.NewTable()
	copied.Restore(w.table.Whole())
	w.settle()
	old := &formerLeader{node: w.leader, table: copied, view: store.Compile(copied), electedAt: w.electedAt, leaseAt: w.now, from: w.now, until: w.now + 3*time.Second}
	wait := 600*ms + w.randomDuration(1500*ms)
	switch w.random.Intn(4) {
	case 0: // crashed
		w.nodes[w.leader], old = New(Options{MaxLease: 10 * time.Second}), nil
	case 1: // frozen
		old.from = w.now + w.randomDuration(3*time.Second)
	case 2: // handed over
		wait = 40 * ms
	}
	w.retire()
	w.former = old
	w.leader = (w.leader + 1 + w.random.Intn(2)) % 3
	if w.former == nil {
		w.nodes[w.leader].Step(Facts{})
	}
	w.electedAt = w.now + wait
}

func (w *world) retire() {
	if w.former != nil {
		w.nodes[w.former.node].Step(Facts{})
		w.former = nil
	}
}

// settle lets a part of the records under way commit and loses the others.
func (w *world) settle() {
	for _, c := range w.commits {
		if w.random.Intn(2) == 0 {
			w.apply(c.record)
		}
	}
	w.commits = nil
}

func (w *world) facts() Facts {
	keyLoad := map[string][]float64{}
	for _, service := range w.services {
		keyLoad[service] = w.keyLoad
	}
	return Facts{Now: w.now, View: w.view, Table: w.table, IsLeading: true, ElectedAt: w.electedAt, LeaseAt: w.now - w.randomDuration(120*ms), Load: keyLoad, Dead: w.isDead}
}

func (w *world) step() {
	w.now += stride
	slices.SortStableFunc(w.events, func(a, b event) int { return int(a.at - b.at) })
	for len(w.events) > 0 && w.events[0].at <= w.now {
		run := w.events[0].run
		w.events = w.events[1:]
		run()
	}
	var later []commit
	due := w.commits
	w.commits = nil
	for _, c := range due {
		if c.at > w.now {
			later = append(later, c)
			continue
		}
		w.apply(c.record)
	}
	w.commits = later
	if w.now%(100*ms) == 0 {
		if w.now >= w.electedAt+100*ms {
			if w.forgetsOutstanding { // fault injection: the leader forgets which leases may still be in use
				w.nodes[w.leader].outstandingCalls = nil
			}
			effects := w.nodes[w.leader].Step(w.facts())
			for _, record := range effects.Records {
				if !w.hasFaults || w.random.Intn(15) > 0 {
					w.commits = append(w.commits, commit{w.now + w.randomDuration(120*ms), record})
				}
			}
			w.sendCalls(w.leader, effects)
		}
		if w.former != nil && w.now >= w.former.from {
			f := w.facts()
			f.Table, f.View, f.ElectedAt, f.LeaseAt = w.former.table, w.former.view, w.former.electedAt, w.former.leaseAt
			w.sendCalls(w.former.node, w.nodes[w.former.node].Step(f))
			if w.now >= w.former.until {
				w.retire()
			}
		}
	}
	w.check()
}

// check counts the keys that two live back ends of a service hold at once.
func (w *world) check() {
	for _, service := range w.services {
		isHeld := make([]bool, len(w.sampledKeys))
		for _, backend := range w.owners {
			if !backend.isAlive || backend.row.Service != service {
				continue
			}
			for i, until := range backend.until {
				if until > w.now && isHeld[i] {
					w.violations++
				}
				isHeld[i] = isHeld[i] || until > w.now
			}
		}
	}
}

// unleased counts the keys whose owner has no lease on them.
func (w *world) unleased() int {
	count := 0
	for _, service := range w.services {
		for i, key := range w.sampledKeys {
			isHeld := false
			if keys := w.view.Services[service].Span(uint32(key)); keys != nil {
				for _, backend := range w.owners {
					isHeld = isHeld || backend.isAlive && backend.row.Instance == keys.Instance && backend.until[i] > w.now && !keys.Releasing
				}
			}
			if !isHeld {
				count++
			}
		}
	}
	return count
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

func (w *world) setLoad(first, count int, rate float64) {
	for i := range w.keyLoad {
		w.keyLoad[i] = 0.5
		if i >= first && i < first+count {
			w.keyLoad[i] = rate
		}
	}
}

// loads are the load of each instance by the shard ranges of the table.
func (w *world) loads(service string) map[string]float64 {
	loads, load := map[string]float64{}, newKeyLoad(w.keyLoad)
	for _, keys := range w.view.Services[service].Spans {
		loads[keys.Instance] += load.sum(keyRange{Key(keys.First), Key(keys.Last)})
	}
	return loads
}

// injectFault lets one random fault or change happen.
func (w *world) injectFault() {
	backend := w.owners[w.random.Intn(len(w.owners))]
	if !backend.isAlive {
		return
	}
	switch w.random.Intn(9) {
	case 0, 1:
		w.crash(backend)
		w.at(w.now+500*ms+w.randomDuration(2*time.Second), func() { w.unlist(backend) })
		w.at(w.now+2*time.Second+w.randomDuration(3*time.Second), func() { w.start(backend.row.Service, backend.row.Address, backend.row.Zone) })
	case 2:
		backend.row = &schema.Backend{Service: backend.row.Service, Instance: backend.row.Instance, Address: backend.row.Address, Zone: backend.row.Zone, State: schema.BackendState_BACKEND_DRAINING}
		w.list(backend)
		w.at(w.now+2500*ms, func() {
			if backend.isAlive {
				w.crash(backend)
				w.unlist(backend)
				w.at(w.now+2*time.Second, func() { w.start(backend.row.Service, backend.row.Address, backend.row.Zone) })
			}
		})
	case 3:
		zone := backend.row.Zone
		w.empty(zone, true)
		w.at(w.now+time.Second+w.randomDuration(6*time.Second), func() { w.empty(zone, false) })
	case 4:
		backend.cutUntil = w.now + w.randomDuration(9*time.Second)
	case 5: // taken off the list although it runs on
		backend.cutUntil = w.now + w.randomDuration(6*time.Second)
		w.unlist(backend)
		w.at(w.now+w.randomDuration(12*time.Second), func() {
			if backend.isAlive {
				w.list(backend)
			}
		})
	case 6:
		w.setLoad(w.random.Intn(buckets), 1+w.random.Intn(20), 30)
	default:
		w.depose()
	}
}

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
	seen     []uint64
	until    []time.Duration
	fence    []uint64
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

// stale is a leader that does not know that it was replaced.
type stale struct {
	node      int
	table     *store.Table
	view      *store.View
	electedAt time.Duration
	leaseAt   time.Duration
	from      time.Duration
	until     time.Duration
}

type world struct {
	t          *testing.T
	random     *rand.Rand
	now        time.Duration
	cells      []uint32
	owners     []*owner
	nodes      []*LeaseManager
	leader     int
	electedAt  time.Duration
	old        *stale
	table      *store.Table
	view       *store.View
	index      raft.Index
	commits    []commit
	events     []event
	keyLoad    []float64
	isRough    bool
	isHasty    bool
	services   []string
	violations int
	calls      int
	moved      uint32
	cold       int
	serial     int
	work       time.Duration
}

func newWorld(t *testing.T, seed int64, count int, services ...string) *world {
	w := &world{t: t, random: rand.New(rand.NewSource(seed)), now: time.Minute, table: store.NewTable(), view: store.NewView(), services: services, leader: 0, electedAt: time.Minute}
	w.cells = []uint32{0, 1, constants.LastKey}
	for range 37 {
		w.cells = append(w.cells, uint32(w.random.Intn(constants.LastKey+1)))
	}
	slices.Sort(w.cells)
	for range 3 {
		w.nodes = append(w.nodes, New(Options{Most: 10 * time.Second}))
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
	before := w.spans()
	changed, err := w.table.Apply(w.index, record, nil)
	if err != nil {
		return
	}
	w.view = w.view.With(w.table, changed)
	for name, spans := range w.spans() {
		if err := checkLayout(w.view.Services[name]); err != nil && (len(before[name]) > 0 || !errors.Is(err, errNotKeyed)) {
			w.t.Fatalf("%v: %v", w.now, err)
		}
		old := &store.Service{Spans: before[name]}
		for _, span := range spans {
			if former := old.Span(span.First); former != nil && former.Instance != span.Instance {
				w.moved += span.Last - span.First + 1
			}
		}
	}
}

func (w *world) spans() map[string][]*schema.ShardRange {
	spans := map[string][]*schema.ShardRange{}
	for name, service := range w.view.Services {
		spans[name] = service.Spans
	}
	return spans
}

func (w *world) put(key string, row *schema.Row) {
	w.apply(&schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{row}})
}

func (w *world) empty(zone string, isEmptied bool) {
	w.put("", store.EncodeRow(store.ZoneKey(zone), &schema.Zone{Name: zone, Emptied: isEmptied}))
}

func (w *world) list(h *owner) {
	h.isListed = true
	w.put("", store.EncodeRow(store.BackendKey(h.row.Service, h.row.Instance), h.row))
}

func (w *world) strike(h *owner) {
	h.isListed = false
	w.put("", store.Tombstone(store.BackendKey(h.row.Service, h.row.Instance)))
}

func (w *world) start(service, address, zone string) *owner {
	w.serial++
	h := &owner{row: &schema.Backend{Service: service, Instance: fmt.Sprintf("i%03d", w.serial), Address: address, Zone: zone, State: schema.BackendState_BACKEND_READY},
		isAlive: true, seen: make([]uint64, len(w.cells)), until: make([]time.Duration, len(w.cells)), fence: make([]uint64, len(w.cells)),
		slowness: 1 / (1 - 0.02*w.random.Float64())}
	w.owners = append(w.owners, h)
	w.list(h)
	return h
}

func (w *world) crash(h *owner) {
	h.isAlive, h.endedAt = false, w.now
	clear(h.until)
}

func (w *world) isDead(instance string) bool {
	for _, h := range w.owners {
		if h.row.Instance == instance {
			return !h.isAlive && w.now-h.endedAt > 700*ms
		}
	}
	return false
}

func (w *world) at(at time.Duration, run func()) { w.events = append(w.events, event{at, run}) }

func (w *world) span(d time.Duration) time.Duration { return time.Duration(w.random.Int63n(int64(d))) }

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
		if w.isRough && w.random.Intn(12) == 0 {
			return w.span(2500 * ms)
		}
		return 1*ms + w.span(30*ms)
	}
	w.at(sent+call.Wait, func() {
		if isLost && call.Kind == GrantLease && call.ID%2 == 0 { // no connection came up
			answer(Answer{Result: Unsent})
		}
		answer(Answer{Result: Unknown})
	})
	arrival := sent + way()
	if arrival > sent+call.Wait+constants.KeyArrivalMargin-stride || w.isRough && w.random.Intn(25) == 0 {
		isLost = true
		return
	}
	w.at(arrival, func() {
		var h *owner
		for _, other := range w.owners {
			if other.isAlive && other.row.Address == call.Address {
				h = other
			}
		}
		back := w.now + way()
		reply := func(a Answer) {
			if !w.isRough || w.random.Intn(25) > 0 {
				w.at(back, func() { answer(a) })
			}
		}
		switch {
		case h == nil:
			reply(Answer{Result: Failed})
		case h.cutUntil > w.now:
			isLost = true
		case call.Kind == Probe:
			reply(Answer{Result: Done})
		case call.Kind == GrantLease:
			reply(w.take(h, call))
		default:
			w.give(h, call, reply, &back, way)
		}
	})
}

func (w *world) take(h *owner, call Call) Answer {
	for i, key := range w.cells {
		if key >= call.First && key <= call.Last && h.seen[i] > call.Fence {
			return Answer{Result: Refused}
		}
	}
	for i, key := range w.cells {
		if key >= call.First && key <= call.Last {
			h.seen[i], h.fence[i] = call.Fence, call.Fence
			if h.until[i] <= w.now && call.Handover == "" && call.Fence > 1 {
				w.cold++
			}
			h.until[i] = w.now + time.Duration(float64(call.Hold)*h.slowness)
		}
	}
	return Answer{Result: Done}
}

// give counts keys as held until the running work on them has ended.
func (w *world) give(h *owner, call Call, reply func(Answer), back *time.Duration, way func() time.Duration) {
	end := w.now + w.work
	if w.isRough {
		end = w.now + w.span(4*time.Second)
	}
	for i, key := range w.cells {
		if key >= call.First && key <= call.Last {
			h.seen[i] = max(h.seen[i], call.Fence)
		}
	}
	w.at(end, func() {
		if !h.isAlive {
			return
		}
		for i, key := range w.cells {
			if key >= call.First && key <= call.Last && h.fence[i] <= call.Fence {
				h.until[i] = min(h.until[i], w.now)
			}
		}
		*back = w.now + way()
		reply(Answer{Result: Done, Handover: fmt.Sprintf("h%d-%d", call.First, call.Fence)})
	})
}

func (w *world) carry(node int, effects Effects) {
	for _, call := range effects.Calls {
		w.send(node, call)
	}
}

// depose lets another node lead; the old leader may go on unknowing for a while.
func (w *world) depose() {
	copied := store.NewTable()
	copied.Restore(w.table.Whole())
	w.settle()
	old := &stale{node: w.leader, table: copied, view: store.Compile(copied), electedAt: w.electedAt, leaseAt: w.now, from: w.now, until: w.now + 3*time.Second}
	wait := 600*ms + w.span(1500*ms)
	switch w.random.Intn(4) {
	case 0: // crashed
		w.nodes[w.leader], old = New(Options{Most: 10 * time.Second}), nil
	case 1: // frozen
		old.from = w.now + w.span(3*time.Second)
	case 2: // handed over
		wait = 40 * ms
	}
	w.retire()
	w.old = old
	w.leader = (w.leader + 1 + w.random.Intn(2)) % 3
	if w.old == nil {
		w.nodes[w.leader].Step(Facts{})
	}
	w.electedAt = w.now + wait
}

func (w *world) retire() {
	if w.old != nil {
		w.nodes[w.old.node].Step(Facts{})
		w.old = nil
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
	return Facts{Now: w.now, View: w.view, Table: w.table, IsLeading: true, ElectedAt: w.electedAt, LeaseAt: w.now - w.span(120*ms), Load: keyLoad, Dead: w.isDead}
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
			if w.isHasty { // the breach: the leader forgets who may still hold what
				w.nodes[w.leader].outstandingCalls = nil
			}
			effects := w.nodes[w.leader].Step(w.facts())
			for _, record := range effects.Records {
				if !w.isRough || w.random.Intn(15) > 0 {
					w.commits = append(w.commits, commit{w.now + w.span(120*ms), record})
				}
			}
			w.carry(w.leader, effects)
		}
		if w.old != nil && w.now >= w.old.from {
			f := w.facts()
			f.Table, f.View, f.ElectedAt, f.LeaseAt = w.old.table, w.old.view, w.old.electedAt, w.old.leaseAt
			w.carry(w.old.node, w.nodes[w.old.node].Step(f))
			if w.now >= w.old.until {
				w.retire()
			}
		}
	}
	w.check()
}

// check counts the keys that two live back ends of a service hold at once.
func (w *world) check() {
	for _, service := range w.services {
		isHeld := make([]bool, len(w.cells))
		for _, h := range w.owners {
			if !h.isAlive || h.row.Service != service {
				continue
			}
			for i, until := range h.until {
				if until > w.now && isHeld[i] {
					w.violations++
				}
				isHeld[i] = isHeld[i] || until > w.now
			}
		}
	}
}

// unheld counts the keys that nobody holds who is written down for them.
func (w *world) unheld() int {
	count := 0
	for _, service := range w.services {
		for i, key := range w.cells {
			isHeld := false
			if span := w.view.Services[service].Span(key); span != nil {
				for _, h := range w.owners {
					isHeld = isHeld || h.isAlive && h.row.Instance == span.Instance && h.until[i] > w.now && !span.Releasing
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

func (w *world) warm(first, count int, rate float64) {
	for i := range w.keyLoad {
		w.keyLoad[i] = 0.5
		if i >= first && i < first+count {
			w.keyLoad[i] = rate
		}
	}
}

// loads are the heat of each instance by the written spans.
func (w *world) loads(service string) map[string]float64 {
	loads, h := map[string]float64{}, newKeyLoad(w.keyLoad)
	for _, span := range w.view.Services[service].Spans {
		loads[span.Instance] += h.sum(span.First, span.Last)
	}
	return loads
}

// trouble lets something happen.
func (w *world) trouble() {
	h := w.owners[w.random.Intn(len(w.owners))]
	if !h.isAlive {
		return
	}
	switch w.random.Intn(9) {
	case 0, 1:
		w.crash(h)
		w.at(w.now+500*ms+w.span(2*time.Second), func() { w.strike(h) })
		w.at(w.now+2*time.Second+w.span(3*time.Second), func() { w.start(h.row.Service, h.row.Address, h.row.Zone) })
	case 2:
		h.row = &schema.Backend{Service: h.row.Service, Instance: h.row.Instance, Address: h.row.Address, Zone: h.row.Zone, State: schema.BackendState_BACKEND_DRAINING}
		w.list(h)
		w.at(w.now+2500*ms, func() {
			if h.isAlive {
				w.crash(h)
				w.strike(h)
				w.at(w.now+2*time.Second, func() { w.start(h.row.Service, h.row.Address, h.row.Zone) })
			}
		})
	case 3:
		zone := h.row.Zone
		w.empty(zone, true)
		w.at(w.now+time.Second+w.span(6*time.Second), func() { w.empty(zone, false) })
	case 4:
		h.cutUntil = w.now + w.span(9*time.Second)
	case 5: // taken off the list although it runs on
		h.cutUntil = w.now + w.span(6*time.Second)
		w.strike(h)
		w.at(w.now+w.span(12*time.Second), func() {
			if h.isAlive {
				w.list(h)
			}
		})
	case 6:
		w.warm(w.random.Intn(buckets), 1+w.random.Intn(20), 30)
	default:
		w.depose()
	}
}

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
	ms = time.Millisecond
	// stride is the step of the simulated time, turnEvery how often leaders have a turn.
	stride    = 20 * ms
	turnEvery = 100 * ms
	// buckets divide the keys in reports of load.
	buckets = 256
)

// event is something that happens at an instant, such as the arrival of a call.
type event struct {
	at  time.Duration
	run func()
}

// commit is a proposed record that commits at an instant.
type commit struct {
	at     time.Duration
	record *schema.Record
}

// world simulates a fleet whose leader leases the keys of services to back ends, over calls that may be late or lost. It looks at a sample of the keys.
type world struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	services  []string
	owners    []*simulatedBackend
	nodes     []*LeaseManager
	leader    int
	electedAt time.Duration
	former    *formerLeader
	table     *store.Table
	view      *store.View
	index     raft.Index
	commits   []commit
	events    []event
	keyLoad   []float64
	// sampledKeys are the keys whose leases are followed.
	sampledKeys []Key
	// serial numbers the instances.
	serial int
	// workTime is how long a back end works on after a release.
	workTime time.Duration
	// hasFaults makes calls late, lost and unanswered.
	hasFaults bool
	// forgetsOutstanding injects a fault into the leader that the check must detect.
	forgetsOutstanding bool
	// violations counts the times at which a key had two lease holders, coldStarts the leases of new owners without a handover.
	violations int
	coldStarts int
	calls      int
	// moved is how many keys got another owner.
	moved uint32
}

func newWorld(t *testing.T, seed int64, count int, services ...string) *world {
	w := &world{
		t:         t,
		random:    rand.New(rand.NewSource(seed)),
		now:       time.Minute,
		table:     store.NewTable(),
		view:      store.NewView(),
		services:  services,
		electedAt: time.Minute,
	}
	w.sampledKeys = []Key{0, 1, constants.LastKey}
	for range 37 {
		w.sampledKeys = append(w.sampledKeys, Key(w.random.Intn(constants.LastKey+1)))
	}
	slices.Sort(w.sampledKeys)
	for range 3 {
		w.nodes = append(w.nodes, New(Options{MaxLease: 10 * time.Second}))
	}
	for _, service := range services {
		w.put(store.EncodeRow(store.ServicePolicyKey(service), &schema.ServicePolicy{Service: service, Keyed: true}))
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
		old := &store.Service{ShardRanges: before[name]}
		for _, keys := range ranges {
			if former := old.ShardRange(keys.First); former != nil && former.Instance != keys.Instance {
				w.moved += keys.Last - keys.First + 1
			}
		}
	}
}

func (w *world) shardRanges() map[string][]*schema.ShardRange {
	ranges := map[string][]*schema.ShardRange{}
	for name, service := range w.view.Services {
		ranges[name] = service.ShardRanges
	}
	return ranges
}

func (w *world) put(row *schema.Row) {
	w.apply(&schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{row}})
}

func (w *world) empty(zone string, isEmptied bool) {
	w.put(store.EncodeRow(store.ZoneKey(zone), &schema.Zone{Name: zone, Emptied: isEmptied}))
}

func (w *world) at(at time.Duration, run func()) { w.events = append(w.events, event{at, run}) }

func (w *world) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.random.Int63n(int64(d)))
}

func (w *world) sendCalls(node int, effects Effects) {
	for _, call := range effects.Calls {
		w.send(node, call)
	}
}

func (w *world) facts() Facts {
	keyLoad := map[string][]float64{}
	for _, service := range w.services {
		keyLoad[service] = w.keyLoad
	}
	return Facts{
		Now:       w.now,
		View:      w.view,
		Table:     w.table,
		IsLeading: true,
		ElectedAt: w.electedAt,
		LeaseAt:   w.now - w.randomDuration(120*ms),
		Load:      keyLoad,
	}
}

// step advances the time by one stride: events that are due, records that commit, and the leaders' turns.
func (w *world) step() {
	w.now += stride
	w.runEvents()
	w.commitRecords()
	if w.now%turnEvery == 0 {
		w.stepLeader()
		w.stepFormerLeader()
	}
	w.check()
}

func (w *world) runEvents() {
	slices.SortStableFunc(w.events, func(a, b event) int { return int(a.at - b.at) })
	for len(w.events) > 0 && w.events[0].at <= w.now {
		run := w.events[0].run
		w.events = w.events[1:]
		run()
	}
}

func (w *world) commitRecords() {
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
}

func (w *world) stepLeader() {
	if w.now < w.electedAt+turnEvery {
		return
	}
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

func (w *world) stepFormerLeader() {
	if w.former == nil || w.now < w.former.from {
		return
	}
	facts := w.facts()
	facts.Table = w.former.table
	facts.View = w.former.view
	facts.ElectedAt = w.former.electedAt
	facts.LeaseAt = w.former.leaseAt
	w.sendCalls(w.former.node, w.nodes[w.former.node].Step(facts))
	if w.now >= w.former.until {
		w.retire()
	}
}

// check counts the keys on which two live back ends of a service have a lease at once.
func (w *world) check() {
	for _, service := range w.services {
		hasLease := make([]bool, len(w.sampledKeys))
		for _, backend := range w.owners {
			if !backend.isAlive || backend.row.Service != service {
				continue
			}
			for i, until := range backend.until {
				if until > w.now && hasLease[i] {
					w.violations++
				}
				hasLease[i] = hasLease[i] || until > w.now
			}
		}
	}
}

// unleased counts the keys whose owner has no lease on them.
func (w *world) unleased() int {
	count := 0
	for _, service := range w.services {
		for i, key := range w.sampledKeys {
			hasLease := false
			if keys := w.view.Services[service].ShardRange(uint32(key)); keys != nil {
				for _, backend := range w.owners {
					hasLease = hasLease || backend.isAlive && backend.row.Instance == keys.Instance && backend.until[i] > w.now && !keys.Releasing
				}
			}
			if !hasLease {
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
	for _, keys := range w.view.Services[service].ShardRanges {
		loads[keys.Instance] += load.sum(keyRange{Key(keys.First), Key(keys.Last)})
	}
	return loads
}

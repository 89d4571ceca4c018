package controlplane_test

import (
	"container/heap"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"slices"
	"sort"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/bootstrap"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/journal"
	"topazshed/internal/leader"
	"topazshed/internal/operations"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/sim"
)

// world runs the production control machines, each with its journal on a simulated disk, on virtual time. Links delay, lose and are cut;
// machines are killed, lose their power or their disks, and stand still. It breaks the test when two machines differ in what they applied, or
// two lead in one term.
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Duration
	machines []*machine
	added    int
	// parts counts the parts of snapshots that were sent.
	parts   int
	events  queue
	serial  int
	cuts    map[[2]string]bool
	arrived map[[2]string]time.Duration
	loss    float64
	// holdsFrames has frames that reach a cut link wait until it is joined, as TCP has them, in place of being lost.
	holdsFrames bool
	sizes       journal.Options
	digests     map[uint64]string
	leaders     map[uint64]string
	log         *slog.Logger
	// tellsFirstStart has machines told whether this is the first start of the whole system, as the users' platform does.
	tellsFirstStart bool
	// acks are the changes that operators were told to be accepted, oldest first.
	acks []acknowledgement
}

// acknowledgement is when a caller learned that the change at an index of the log, or all up to it, had been accepted.
type acknowledgement struct {
	at    time.Duration
	index uint64
}

type machine struct {
	w           *world
	name        string
	zone        string
	region      string
	isDisk      bool
	disk        *sim.Disk
	control     *controlplane.Machine
	driver      *controlplane.Driver
	incarnation int
	startedAt   time.Duration
	isUp        bool
	writing     func() error
	syncTime    time.Duration
	frozenUntil time.Duration
	answers     map[operations.Ticket]func(*schema.OperatorResponse)
	ticket      operations.Ticket
	isFounded   bool
	// initial is the part in the first start that the disk recorded.
	initial *bootstrap.InitialCluster
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	worldTick = constants.RoutedTick
	farWay    = 20 * time.Millisecond
	nearWay   = time.Millisecond
)

var worldSizes = journal.Options{Files: 4, FileBytes: 256 << 10, SnapshotBytes: 1 << 20}

// newWorld founds a fleet of so many voters, spread over three regions of two zones, and some readers.
func newWorld(t *testing.T, seed int64, voters, readers int) *world {
	return newSizedWorld(t, seed, voters, readers, worldSizes)
}

func newSizedWorld(t *testing.T, seed int64, voters, readers int, sizes journal.Options) *world {
	w := newStoppedWorld(t, seed, voters, readers, sizes)
	w.tellsFirstStart = seed%2 == 1
	for _, m := range w.machines {
		w.after(time.Duration(w.random.Intn(300))*time.Millisecond, m.start)
	}
	w.run(10 * time.Second)
	leader := w.leader()
	if leader == nil || len(leader.control.Local().Members.Voters) != voters {
		t.Fatalf("seed %d: no leader of %d voters after the start", seed, voters)
	}
	return w
}

// newStoppedWorld makes the machines and starts none.
func newStoppedWorld(t *testing.T, seed int64, voters, readers int, sizes journal.Options) *world {
	w := &world{t: t, random: rand.New(rand.NewSource(seed)), now: time.Hour, cuts: map[[2]string]bool{}, arrived: map[[2]string]time.Duration{}, digests: map[uint64]string{}, leaders: map[uint64]string{}, sizes: sizes,
		log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	for i := range voters + readers {
		place := i % 6
		m := &machine{w: w, name: fmt.Sprintf("m%02d", i), region: fmt.Sprint("r", place%3), zone: fmt.Sprint("z", place), isDisk: i < voters, disk: sim.NewDisk(), answers: map[operations.Ticket]func(*schema.OperatorResponse){}}
		w.machines = append(w.machines, m)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{w.now + d, w.serial, do})
}

// on does something at a machine unless its process has ended since; while it stands still it waits.
func (w *world) on(m *machine, d time.Duration, do func()) {
	incarnation := m.incarnation
	var attempt func()
	attempt = func() {
		switch {
		case m.incarnation != incarnation || !m.isUp:
		case w.now < m.frozenUntil:
			w.after(m.frozenUntil-w.now, attempt)
		default:
			do()
		}
	}
	w.after(d, attempt)
}

func (w *world) run(span time.Duration) {
	for until := w.now + span; ; {
		if len(w.events) == 0 || w.events[0].at > until {
			w.now = until
			return
		}
		next := heap.Pop(&w.events).(event)
		w.now = max(w.now, next.at)
		next.do()
	}
}

func (w *world) leader() *machine {
	for _, m := range w.machines {
		if m.isUp && m.control.IsLeading() {
			return m
		}
	}
	return nil
}

func (w *world) at(address string) *machine {
	for _, m := range w.machines {
		if m.name == address {
			return m
		}
	}
	return nil
}

func (w *world) seeds() []string {
	return []string{w.machines[0].name, w.machines[1].name, w.machines[2].name}
}

// clockStart is what the clock of a process shows at its start.
const clockStart = time.Hour

// clock is what the machine's own clock shows: each incarnation of its process has another origin.
func (m *machine) clock() time.Duration { return m.w.now - m.startedAt + clockStart }

// worldTime is the world's time of an instant on the machine's clock.
func (m *machine) worldTime(instant time.Duration) time.Duration {
	return m.startedAt + instant - clockStart
}

func (m *machine) start() {
	w := m.w
	m.startedAt = w.now
	self := &schema.Node{Id: fmt.Sprintf("%s-%d", m.name, m.incarnation), Address: m.name, Proxy: m.name, Admin: m.name, Zone: m.zone, Region: m.region, Disk: m.isDisk,
		Incarnation: uint64(w.now.Milliseconds()), State: schema.NodeState_NODE_READY}
	options := controlplane.Options{Self: self, Seeds: w.seeds(), Draw: w.random.Int63n, Log: w.log.With("machine", m.name), Rejoin: m.isFounded,
		Routes: &controlplane.RouteOptions{LongestLease: 10 * time.Second, Zones: w.zones(), RecoveryBound: 4 * time.Second, Fits: w.sizes.Fits, FitsSnapshot: w.sizes.FitsSnapshot, ColdRate: func(*schema.ServicePolicy) int { return 1 }}}
	if m.recordInitialCluster(); m.initial != nil {
		self.Id = bootstrap.InitialMemberID(m.initial.Seeds, m.name)
	}
	options.TellsFirstStart, options.InitialCluster = w.tellsFirstStart, m.initial
	m.isFounded = true
	m.isUp, m.writing, m.frozenUntil = true, nil, 0
	var opened *journal.Journal
	if m.isDisk {
		j, state, err := journal.Open(m.disk, w.sizes)
		var corrupt *journal.CorruptError
		if errors.As(err, &corrupt) {
			w.t.Fatalf("%s: %v, though its disk is sound", m.name, err)
		}
		if err != nil {
			w.t.Fatal(err)
		}
		opened = j
		options.HardState, options.Snapshot, options.Entries = state.HardState, state.Snapshot, state.Entries
		options.System, options.Restart = state.HardState.System, state.HardState.Id != ""
		if options.Restart {
			self.Id = state.HardState.Id
		}
	}
	m.control = controlplane.New(m.clock(), options)
	m.driver = &controlplane.Driver{Machine: m.control, Journal: opened, Now: m.clock, Send: m.send, Publish: func() {}, Synced: func(time.Duration, error) {}, Write: m.write,
		Leased: func(leader.LeaseCall) {}, Answer: func(o controlplane.LocalResponse) {
			if answer := m.answers[o.Ticket]; answer != nil {
				delete(m.answers, o.Ticket)
				answer(o.Response)
			}
		}}
	m.tick()
}

// recordInitialCluster does what a process does before it speaks to anyone.
func (m *machine) recordInitialCluster() {
	switch {
	case m.initial != nil:
		m.initial = &bootstrap.InitialCluster{Seeds: m.initial.Seeds, IsFromEarlierProcess: true}
	case m.w.tellsFirstStart && m.isDisk && !m.isFounded && slices.Contains(m.w.seeds(), m.name):
		m.initial = &bootstrap.InitialCluster{Seeds: m.w.seeds()}
	}
}

func (w *world) zones() map[string]string {
	zones := map[string]string{}
	for _, m := range w.machines {
		zones[m.zone] = m.region
	}
	return zones
}

func (m *machine) tick() {
	m.control.Tick(m.clock())
	m.perform()
	m.w.on(m, worldTick, m.tick)
}

func (m *machine) perform() {
	if err := m.driver.Perform(); err != nil {
		m.w.t.Fatalf("%s: %v", m.name, err)
	}
	m.check()
}

// performSoon performs at once or a little later, after what comes meanwhile: a process takes all commands that wait before it performs.
func (m *machine) performSoon() {
	if m.w.random.Intn(3) > 0 {
		m.perform()
		return
	}
	m.w.on(m, time.Duration(m.w.random.Intn(10000))*time.Microsecond, m.perform)
}

// check holds what must be true of any two machines at any moment.
func (m *machine) check() {
	w := m.w
	local := m.control.Local()
	if m.control.IsLeading() {
		if other := w.leaders[local.Term]; other != "" && other != m.name {
			w.t.Fatalf("%s and another lead in term %d", m.name, local.Term)
		}
		w.leaders[local.Term] = m.name
	}
	m.checkConfirmed(local)
	if !m.control.IsFull() {
		return
	}
	index, digest := m.control.Digest()
	if known := w.digests[index]; known != "" && known != digest {
		w.t.Fatalf("%s differs from another machine in what it applied up to record %d", m.name, index)
	}
	w.digests[index] = digest
}

// checkConfirmed holds that rows which a machine calls confirmed as of an instant hold every change acknowledged before that instant.
func (m *machine) checkConfirmed(local *controlplane.Local) {
	if local.FreshAt == 0 {
		return
	}
	instant := m.worldTime(local.FreshAt)
	if needed := m.w.acknowledgedBefore(instant); local.View.Version < raft.Index(needed) {
		m.w.t.Fatalf("%s, a %s, calls its rows confirmed %v ago; they go up to record %d, and record %d was acknowledged before",
			m.name, local.Role, m.w.now-instant, local.View.Version, needed)
	}
}

// acknowledgedBefore is the highest index of the log that a caller had been told of before an instant.
func (w *world) acknowledgedBefore(instant time.Duration) uint64 {
	count := sort.Search(len(w.acks), func(i int) bool { return w.acks[i].at >= instant })
	if count == 0 {
		return 0
	}
	return w.acks[count-1].index
}

// noteAcknowledged notes that a caller was told that its change was accepted.
func (w *world) noteAcknowledged(request *schema.OperatorRequest, response *schema.OperatorResponse) {
	if request.Kind == schema.OperatorKind_OPERATOR_SHOW || response.Refusal != schema.RefusalKind_REFUSAL_NONE {
		return
	}
	index := max(response.Index, w.acknowledgedBefore(w.now+1))
	w.acks = append(w.acks, acknowledgement{w.now, index})
}

func (m *machine) write(work func() error, done func(error)) {
	m.writing = work
	m.w.on(m, m.syncTime+time.Duration(1+m.w.random.Intn(8))*time.Millisecond, func() {
		m.writing = nil
		done(work())
		m.perform()
	})
}

func (m *machine) send(to string, f *schema.Frame) {
	w := m.w
	link := [2]string{m.name, to}
	other := w.at(to)
	if other == nil || w.cuts[link] || w.loss > 0 && w.random.Float64() < w.loss {
		return
	}
	way := nearWay
	if other.region != m.region {
		way = farWay
	}
	at := max(w.now+way+time.Duration(w.random.Intn(4000))*time.Microsecond, w.arrived[link])
	w.arrived[link] = at
	if part := f.GetRaft().GetPart(); part != nil {
		w.parts++
	}
	frame := proto.Clone(f).(*schema.Frame)
	if other.isUp {
		w.on(other, at-w.now, func() { other.receive(link, frame) })
	}
}

// resendAfter is how long a frame that is held up waits before it is sent again.
const resendAfter = 200 * time.Millisecond

// receive takes a frame from a link, unless that is cut; then the frame is lost or waits.
func (m *machine) receive(link [2]string, frame *schema.Frame) {
	w := m.w
	if w.cuts[link] {
		if w.holdsFrames {
			w.on(m, resendAfter, func() { m.receive(link, frame) })
		}
		return
	}
	m.control.Receive(m.clock(), frame)
	m.performSoon()
}

// kill ends a machine's process; its files stay as they are.
func (m *machine) kill() {
	m.isUp = false
	m.incarnation++
	m.answers = map[operations.Ticket]func(*schema.OperatorResponse){}
	m.disk.Flush()
}

// cutPower ends a machine so that what it has not synced survives only in part.
func (m *machine) cutPower() {
	m.isUp = false
	m.incarnation++
	m.answers = map[operations.Ticket]func(*schema.OperatorResponse){}
	if m.writing != nil {
		m.disk.CutAfter(m.w.random.Intn(6))
		_ = m.writing()
	}
	m.disk.Crash(m.w.random)
	m.disk.Fault = nil
	m.disk.CutAfter(-1)
}

// wipe gives a stopped machine an empty disk.
func (m *machine) wipe() { m.disk, m.initial = sim.NewDisk(), nil }

func (w *world) cut(from, to *machine, isCut bool) {
	w.cuts[[2]string{from.name, to.name}] = isCut
}

// isolate cuts a machine off from all others, or joins it again.
func (w *world) isolate(m *machine, isCut bool) {
	for _, other := range w.machines {
		if other != m {
			w.cut(m, other, isCut)
			w.cut(other, m, isCut)
		}
	}
}

// operate makes a call of an operator at a machine, which may answer later or never; the caller waits for ever.
func (w *world) operate(m *machine, request *schema.OperatorRequest, take func(*schema.OperatorResponse)) {
	w.operateWhile(m, request, func() bool { return true }, take)
}

// callerWhile is a caller that waits as long as a function tells so.
type callerWhile func() bool

func (c callerWhile) IsWaiting() bool { return c() }

// operateWhile does the same for a caller that may give up.
func (w *world) operateWhile(m *machine, request *schema.OperatorRequest, isWaiting func() bool, take func(*schema.OperatorResponse)) {
	if !m.isUp {
		return
	}
	m.ticket++
	ticket := m.ticket
	m.answers[ticket] = func(response *schema.OperatorResponse) {
		w.noteAcknowledged(request, response)
		take(response)
	}
	w.on(m, time.Millisecond, func() {
		m.control.Operate(m.clock(), ticket, proto.Clone(request).(*schema.OperatorRequest), callerWhile(isWaiting))
		m.performSoon()
	})
}

// Package sim runs whole fleets of production state machines on virtual time: one seed gives one history.
package sim

import (
	"container/heap"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/catalog"
	"topazshed/internal/checker"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/discovery"
	"topazshed/internal/failover"
	"topazshed/internal/idempotency"
	"topazshed/internal/journal"
	"topazshed/internal/operations"
	"topazshed/internal/protocolversion"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Options shape a simulated fleet.
type Options struct {
	Seed         int64
	Regions      int
	Zones        int
	PerZone      int
	Services     int
	Backends     int
	LossPercent  int
	JitterMillis int
	ClockError   float64
	Log          io.Writer
	Document     string
	Fault        string
}

// Node is one simulated machine.
type Node struct {
	Name      string
	Zone      string
	Region    string
	HasDisk   bool
	Boot      int
	IsUp      bool
	address   string
	ident     string
	disk      *Disk
	core      *controlplane.Machine
	driver    *controlplane.Driver
	replica   *idempotency.Replica
	loads     *proxy.Loads
	kept      *proxy.Kept
	rate      float64
	offset    time.Duration
	frozen    time.Duration
	fails     map[string]int
	calls     map[uint64]func(*schema.Frame)
	flying    map[uint64]*carried
	isShut    bool
	isSilent  bool
	serial    uint64
	lastSeen  uint64
	lastHead  uint64
	syncPause time.Duration
	random    *rand.Rand
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].order < e[b].order
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Fleet is the simulated system and its checker.
type Fleet struct {
	Options       Options
	Now           time.Duration
	Nodes         []*Node
	Backends      []*Backend
	History       *checker.History
	Verdicts      []*checker.Verdict
	Violations    []string
	Counts        map[string]int
	Lost          map[string]int
	Back          map[string]time.Duration
	hotKey        bool
	lacking       []string
	freezeAttempt time.Duration
	staleFrom     time.Duration
	Effect        []time.Duration
	queue         events
	order         uint64
	random        *rand.Rand
	cuts          map[[2]string]bool
	lastAt        map[[2]string]time.Duration
	leaders       map[uint64]string
	applied       map[uint64][32]byte
	numbers       map[string]uint64
	trails        map[string]failover.Trail
	matches       map[string]*found
	votes         map[string]string
	cutAt         map[string]time.Duration
	accepted      uint64
	accepts       map[uint64]time.Duration
	stale         map[string]*controlplane.Local
	shown         map[string]string
	log           *slog.Logger
	listFault     string
}

// New makes a fleet and starts every machine.
func New(o Options) *Fleet {
	if o.Regions == 0 {
		o.Regions, o.Zones, o.PerZone = 3, 2, 0
	}
	if o.Services == 0 {
		o.Services, o.Backends = 4, 12
	}
	writer := o.Log
	if writer == nil {
		writer = io.Discard
	}
	f := &Fleet{Options: o, random: rand.New(rand.NewSource(o.Seed)), cuts: map[[2]string]bool{}, lastAt: map[[2]string]time.Duration{}, Counts: map[string]int{}, Lost: map[string]int{}, Back: map[string]time.Duration{},
		leaders: map[uint64]string{}, applied: map[uint64][32]byte{}, numbers: map[string]uint64{}, trails: map[string]failover.Trail{}, matches: map[string]*found{}, cutAt: map[string]time.Duration{}, votes: map[string]string{}, stale: map[string]*controlplane.Local{}, shown: map[string]string{}, accepts: map[uint64]time.Duration{}}
	f.History = checker.NewHistory(func() time.Duration { return f.Now }, regionOf)
	f.log = slog.New(slog.NewTextHandler(writer, nil))
	var zones []string
	for r := range o.Regions {
		for d := range o.Zones {
			region, zone := fmt.Sprintf("r%d", r), fmt.Sprintf("r%d-d%d", r, d)
			zones = append(zones, zone)
			count := o.PerZone
			if count == 0 {
				count = 3 - d%2
			}
			for i := range count {
				n := &Node{Name: fmt.Sprintf("%s-n%d", zone, i), Zone: zone, Region: region, HasDisk: i == 0 && r < 3, disk: NewDisk()}
				n.address = n.Name
				n.rate = 1 + o.ClockError*(2*f.random.Float64()-1)
				n.offset = time.Hour + time.Duration(f.random.Intn(1000))*time.Second
				f.Nodes = append(f.Nodes, n)
			}
		}
	}
	for s := range o.Services {
		for b := range o.Backends {
			f.AddBackend(fmt.Sprintf("service%d", s), zones[b%len(zones)])
		}
	}
	for _, n := range f.Nodes {
		f.after(time.Duration(f.random.Intn(200))*time.Millisecond, func() { f.Start(n) })
	}
	f.after(0, f.observe)
	return f
}

func (f *Fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, &event{f.Now + d, f.order, do})
}

// Run works until a virtual time.
func (f *Fleet) Run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(*event)
		f.Now = e.at
		e.do()
	}
	f.Now = until
}

// RunFor works for a span of virtual time.
func (f *Fleet) RunFor(d time.Duration) { f.Run(f.Now + d) }

func (f *Fleet) addViolation(form string, args ...any) {
	if len(f.Violations) < 50 {
		f.Violations = append(f.Violations, fmt.Sprintf("%v: ", f.Now)+fmt.Sprintf(form, args...))
	}
}

// Node finds a machine by name.
func (f *Fleet) Node(name string) *Node {
	for _, n := range f.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

func (f *Fleet) clock(n *Node) time.Duration {
	return n.offset + time.Duration(float64(f.Now)*n.rate)
}

// Start boots a machine from its disk.
func (f *Fleet) Start(n *Node) {
	if n.IsUp {
		return
	}
	n.Boot++
	n.IsUp = true
	n.lastSeen, n.lastHead = 0, 0
	n.isShut, n.flying = false, map[uint64]*carried{}
	n.random = rand.New(rand.NewSource(f.random.Int63()))
	n.ident = fmt.Sprintf("%012x", f.random.Int63()&0xffffffffffff)
	self := &schema.Node{Id: n.ident, Address: n.address, Proxy: n.address + ":p", Admin: n.address + ":d", Zone: n.Zone, Region: n.Region, Disk: n.HasDisk,
		Incarnation: uint64(f.Now.Milliseconds()) + 1, State: schema.NodeState_NODE_READY}
	options := controlplane.Options{Self: self, Seeds: f.seeds(), Draw: n.random.Int63n, Log: f.log.With("node", n.Name)}
	var j *journal.Journal
	if n.HasDisk {
		sizes := journal.Options{Files: 4, FileBytes: 128 << 10, SnapshotBytes: 512 << 10}
		opened, state, err := journal.Open(n.disk, sizes)
		var newer *protocolversion.DiskError
		if errors.As(err, &newer) {
			f.Counts["disk of a newer version"]++
			n.IsUp = false
			return
		}
		if err != nil {
			f.Counts["identity given up"]++
			n.disk = NewDisk()
			if opened, state, err = journal.Open(n.disk, sizes); err != nil {
				f.addViolation("%s can't open an empty disk: %v", n.Name, err)
				return
			}
		}
		j = opened
		options.Hard, options.Snapshot, options.Items = state.Hard, state.Snapshot, state.Items
		options.System, options.Restart = state.Hard.System, state.Hard.Id != ""
		if options.Restart {
			n.ident = state.Hard.Id
			self.Id = n.ident
		}
	}
	n.replica = idempotency.NewReplica(n.ident, options.Restart)
	n.loads = proxy.NewLoads(func() time.Duration { return f.clock(n) })
	n.kept = proxy.NewKept()
	n.fails = map[string]int{}
	n.calls = map[uint64]func(*schema.Frame){}
	n.core = controlplane.New(f.clock(n), options)
	boot := n.Boot
	n.driver = &controlplane.Driver{Core: n.core, Journal: j, Now: func() time.Duration { return f.clock(n) },
		Send:   func(to string, frame *schema.Frame) { f.transmit(n, to, frame) },
		Answer: func(o controlplane.LocalResponse) { f.answer(n, o) },
		Synced: func(took time.Duration, err error) {
			if took > constants.SlowSync {
				n.core.SlowDisk(f.clock(n))
			}
		},
		Write: func(work func() error, done func(error)) { f.write(n, boot, work, done) },
		Publish: func() {
			if set := n.core.Local().View.ReplicaSets[n.Region]; set != nil {
				n.replica.Adopt(f.clock(n), set)
			}
			status := n.replica.Status()
			n.core.SetReservationReplica(status.SetNumber, status.IsMember && status.IsReady)
			if f.Options.Fault != "keys" {
				n.core.SetOldestIndex(n.loads.Floor())
			}
		}}
	f.tick(n, boot)
	f.healthReports(n, boot)
	if n.HasDisk {
		f.list(n, boot)
	}
}

func (f *Fleet) seeds() []string {
	var seeds []string
	for _, n := range f.Nodes {
		if n.HasDisk && len(seeds) < 3 && (len(seeds) == 0 || f.Node(seeds[len(seeds)-1]).Region != n.Region || f.Options.Regions < 3) {
			seeds = append(seeds, n.address)
		}
	}
	return seeds
}

func (f *Fleet) on(n *Node, boot int, do func()) {
	if !n.IsUp || n.Boot != boot {
		return
	}
	if f.Now < n.frozen {
		f.after(n.frozen-f.Now+time.Microsecond, func() { f.on(n, boot, do) })
		return
	}
	do()
	f.check(n)
}

func (f *Fleet) write(n *Node, boot int, work func() error, done func(error)) {
	disk := n.disk
	disk.isHeld = n.syncPause > 0 || f.Options.Fault == "unsynced"
	err := work()
	disk.isHeld = false
	if n.syncPause == 0 {
		done(err)
		return
	}
	f.after(n.syncPause, func() {
		if n.IsUp && n.Boot == boot && err == nil {
			disk.Flush()
		}
		f.on(n, boot, func() {
			done(err)
			f.perform(n)
		})
	})
}

func (f *Fleet) perform(n *Node) {
	if err := n.driver.Perform(); err != nil {
		f.Counts["disk ended a process"]++
		f.Kill(n)
	}
}

func (f *Fleet) tick(n *Node, boot int) {
	f.on(n, boot, func() {
		n.core.Tick(f.clock(n))
		f.perform(n)
		for _, task := range n.replica.DueCopies(f.clock(n)) {
			f.call(n, task.Member.Address, &schema.Frame{Body: &schema.Frame_ReservationCopyRequest{ReservationCopyRequest: task.Request}}, func(o *schema.Frame) {
				if result := o.GetReservationCopyResponse(); result != nil {
					n.replica.TakeCopy(f.clock(n), task.Member.Id, result)
				}
			})
		}
		f.after(constants.Tick, func() { f.tick(n, boot) })
	})
}

func (f *Fleet) healthReports(n *Node, boot int) {
	f.on(n, boot, func() {
		var healthReports []*schema.HealthReport
		view := n.core.Local().View
		for _, b := range f.Backends {
			if b.State == "gone" || regionOf(b.Zone) != n.Region || view.Services[b.Service] == nil {
				continue
			}
			err := f.reach(n, b)
			if err == nil {
				n.fails[b.Instance] = 0
			} else {
				n.fails[b.Instance]++
			}
			n.loads.Report(b.Instance, err)
			healthReports = append(healthReports, &schema.HealthReport{Instance: b.Instance, Failing: n.fails[b.Instance] >= constants.HealthCheckFailures})
		}
		n.core.SetHealthReports(healthReports)
		f.after(constants.HealthCheckEvery, func() { f.healthReports(n, boot) })
	})
}

func regionOf(zone string) string { return zone[:2] }

func (f *Fleet) list(n *Node, boot int) {
	f.on(n, boot, func() {
		if n.core.IsLeading() {
			page := discovery.Page{Pages: 1, Revision: 1}
			for _, b := range f.Backends {
				if b.State != "gone" {
					page.Backends = append(page.Backends, discovery.Item{Service: b.Service, Instance: b.Instance, Address: b.Address, Zone: b.Zone, State: b.State})
				}
			}
			page.Total = len(page.Backends)
			pages := []discovery.Page{page}
			switch f.listFault {
			case "empty":
				pages[0].Backends, pages[0].Total = nil, 0
			case "short":
				pages[0].Backends = page.Backends[:len(page.Backends)/2]
			case "repeated":
				pages = append(pages, page)
			case "missing":
				pages[0].Pages = 2
			case "stale":
				pages[0].Backends = page.Backends[:len(page.Backends)/4]
				pages[0].Total = len(pages[0].Backends)
			}
			if f.listFault == "" {
				f.show(page)
			}
			n.core.SetListRead(f.clock(n), discovery.Join(pages))
		}
		f.after(constants.ListReadEvery, func() { f.list(n, boot) })
	})
}

func between(a, b string) time.Duration {
	return time.Duration(20+7*((int(a[1])+int(b[1]))%3)) * time.Millisecond
}

func (f *Fleet) delay(a, b *Node) time.Duration {
	base := 200 * time.Microsecond
	switch {
	case a.Zone == b.Zone:
	case a.Region == b.Region:
		base = time.Millisecond
	default:
		base = between(a.Region, b.Region)
	}
	if j := f.Options.JitterMillis; j > 0 {
		base += time.Duration(f.random.Intn(j*1000)) * time.Microsecond
	}
	return base
}

func (f *Fleet) transmit(from *Node, to string, frame *schema.Frame) {
	target := f.Node(to)
	if target == nil {
		return
	}
	link := [2]string{from.Name, target.Name}
	if raft := frame.GetRaft(); raft != nil && raft.Kind == schema.RaftKind_RAFT_VOTE_RESPONSE && !raft.Rejected {
		ballot := fmt.Sprintf("%s in term %d", from.ident, raft.Term)
		if other, isGiven := f.votes[ballot]; isGiven && other != raft.To {
			f.addViolation("%s gave its vote twice: to %s and %s", ballot, other, raft.To)
		}
		f.votes[ballot] = raft.To
	}
	if f.cuts[link] || f.random.Intn(100) < f.Options.LossPercent {
		f.Counts["frames lost"]++
		return
	}
	copied := proto.Clone(frame).(*schema.Frame)
	at := max(f.Now+f.delay(from, target), f.lastAt[link])
	f.lastAt[link] = at
	boot := target.Boot
	f.after(at-f.Now, func() {
		if !f.cuts[link] {
			f.on(target, boot, func() { f.receive(target, copied) })
		}
	})
}

func (f *Fleet) receive(n *Node, frame *schema.Frame) {
	if frame.Response {
		if take := n.calls[frame.Call]; take != nil {
			delete(n.calls, frame.Call)
			take(frame)
		}
		return
	}
	reply := func(body *schema.Frame) {
		body.Call, body.Response, body.System, body.From, body.Address = frame.Call, true, n.core.Local().System, n.ident, n.address
		f.transmit(n, frame.Address, body)
	}
	switch body := frame.Body.(type) {
	case *schema.Frame_ReservationRequest:
		reply(&schema.Frame{Body: &schema.Frame_ReservationResponse{ReservationResponse: f.take(n, body.ReservationRequest)}})
	case *schema.Frame_ReservationCopyRequest:
		reply(&schema.Frame{Body: &schema.Frame_ReservationCopyResponse{ReservationCopyResponse: n.replica.AnswerCopy(f.clock(n), body.ReservationCopyRequest)}})
	case *schema.Frame_ReplayRequest:
		reply(&schema.Frame{Body: &schema.Frame_ReplayResponse{ReplayResponse: n.kept.Replay(body.ReplayRequest)}})
	default:
		n.core.Receive(f.clock(n), frame)
		f.perform(n)
	}
}

func (f *Fleet) take(n *Node, c *schema.ReservationRequest) *schema.ReservationResponse {
	if f.Options.Fault == "claims" {
		return &schema.ReservationResponse{State: schema.ReservationState_RESERVATION_TAKEN, Owner: c.Owner, ReplicaSet: c.ReplicaSet}
	}
	now := f.clock(n)
	return n.replica.Reserve(now, c, now < n.core.Local().LeaseUntil || f.Options.Fault == "grants")
}

func (f *Fleet) call(n *Node, to string, frame *schema.Frame, take func(*schema.Frame)) {
	n.serial++
	frame.Call, frame.System, frame.From, frame.Address = n.serial, n.core.Local().System, n.ident, n.address
	if to == n.address {
		if c := frame.GetReservationRequest(); c != nil {
			take(&schema.Frame{Body: &schema.Frame_ReservationResponse{ReservationResponse: f.take(n, c)}})
		}
		return
	}
	n.calls[n.serial] = take
	f.transmit(n, to, frame)
}

// Kill ends a machine at once; its disk keeps what was synced.
func (f *Fleet) Kill(n *Node) {
	n.IsUp = false
	n.isSilent = f.random.Intn(2) == 0
	for _, c := range n.sorted() {
		c.answer(nil, "lost")
	}
	n.disk.Crash(f.random)
}

// Wipe empties a dead machine's disk.
func (f *Fleet) Wipe(n *Node) { n.disk = NewDisk() }

// Mend makes a dead machine's disk work again; it keeps what was synced.
func (f *Fleet) Mend(n *Node) {
	n.disk.Fault, n.disk.Only, n.disk.left = nil, "", 0
	n.syncPause = 0
}

// Freeze stops a machine for a while without its knowing.
func (f *Fleet) Freeze(n *Node, d time.Duration) { n.frozen = f.Now + d }

// SlowDisk makes each sync of a machine take that long.
func (f *Fleet) SlowDisk(n *Node, d time.Duration) { n.syncPause = d }

// Cut cuts or heals one direction of a link.
func (f *Fleet) Cut(from, to *Node, isCut bool) { f.cuts[[2]string{from.Name, to.Name}] = isCut }

// Split cuts or heals every link between two sides.
func (f *Fleet) Split(isInside func(*Node) bool, isCut bool) {
	for _, a := range f.Nodes {
		for _, b := range f.Nodes {
			if isInside(a) != isInside(b) {
				f.Cut(a, b, isCut)
			}
		}
	}
}

// Leader gives the machine that leads and has settled, or nil.
func (f *Fleet) Leader() *Node {
	var leader *Node
	for _, n := range f.Nodes {
		if n.IsUp && n.core != nil && f.Now >= n.frozen && n.core.IsLeading() && (leader == nil || n.core.Local().Term > leader.core.Local().Term) {
			leader = n
		}
	}
	return leader
}

func (f *Fleet) answer(n *Node, o controlplane.LocalResponse) {
	if take := n.calls[uint64(o.Ticket)]; take != nil {
		delete(n.calls, uint64(o.Ticket))
		take(&schema.Frame{Body: &schema.Frame_OperatorResponse{OperatorResponse: o.Response}})
	}
}

// Operate sends an operator's request to a machine and keeps what was told.
func (f *Fleet) Operate(n *Node, request *schema.OperatorRequest, take func(*schema.OperatorResponse)) {
	at := f.Now
	if f.Options.Fault == "race" && request.Kind == schema.OperatorKind_OPERATOR_PUT {
		request = proto.Clone(request).(*schema.OperatorRequest)
		f.after(time.Duration(f.random.Intn(1500))*time.Millisecond, func() { f.operate(n, at, request, take) })
		return
	}
	f.operate(n, at, request, take)
}

func (f *Fleet) operate(n *Node, at time.Duration, request *schema.OperatorRequest, take func(*schema.OperatorResponse)) {
	base := request.Base
	if f.Options.Fault == "race" {
		request.Base = n.core.Local().View.Head.Version
		at = f.Now
	}
	f.on(n, n.Boot, func() {
		n.serial++
		n.calls[n.serial] = func(frame *schema.Frame) {
			o := frame.GetOperatorResponse()
			if f.Options.Fault == "read-back" && o.Version > 1 && request.Kind == schema.OperatorKind_OPERATOR_SHOW {
				o.Version--
			}
			f.notified(n, at, base, request, o)
			take(o)
		}
		n.core.Operate(f.clock(n), operations.Ticket(n.serial), request)
		f.perform(n)
	})
}

func (f *Fleet) notified(n *Node, at time.Duration, base uint64, request *schema.OperatorRequest, o *schema.OperatorResponse) {
	e := checker.OperatorEvent{At: at, End: f.Now, Zone: request.Zone, Version: o.Version, Base: base, Status: 200, Node: n.Name}
	switch request.Kind {
	case schema.OperatorKind_OPERATOR_PUT:
		e.What = "put"
		var document catalog.Document
		if document.UnmarshalJSON(request.Document) != nil || strings.Contains(string(request.Document), "nobody") {
			e.What = "bad-put"
		}
		for _, entry := range document.Entries {
			e.Entries = append(e.Entries, checker.EntrySeen{Service: entry.Service, Path: entry.Path, Methods: entry.Methods, Safe: entry.RepeatSafe, Homes: entry.HomeRegions})
		}
	case schema.OperatorKind_OPERATOR_SHOW:
		e.What = "show"
	case schema.OperatorKind_OPERATOR_EMPTY:
		e.What = "empty"
	case schema.OperatorKind_OPERATOR_RESTORE:
		e.What = "restore"
	default:
		return
	}
	f.lacking = o.Unconfirmed
	if o.Refusal != schema.RefusalKind_REFUSAL_NONE {
		e.Status = 400 + int(o.Refusal)
	} else if e.What == "put" {
		f.accepted = max(f.accepted, o.Version)
		f.accepts[o.Version] = f.Now
	}
	f.History.Operators = append(f.History.Operators, e)
}

// DefaultDocument has a read-only, an unsafe, a keyed and a home-bound entry over the simulated services.
const DefaultDocument = `{"entries":[
{"service":"service0","path":"/read","methods":["GET"],"repeat_safe":["GET"]},
{"service":"service1","path":"/pay","methods":["POST"],"repeat_safe":[]},
{"service":"service3","path":"/book","methods":["POST"],"repeat_safe":[],"keyed":true},
{"service":"service2","path":"/home","methods":["GET"],"repeat_safe":["GET"],"home_regions":["r0","r1"]}]}`

// Put puts a configuration through a machine until it is accepted, refused for good, or a time is over.
func (f *Fleet) Put(n *Node, document string, base uint64) *schema.OperatorResponse {
	var result *schema.OperatorResponse
	f.Operate(n, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT, Document: []byte(document), Base: base}, func(o *schema.OperatorResponse) {
		result = o
	})
	for range 700 {
		if result != nil {
			break
		}
		f.RunFor(10 * time.Millisecond)
	}
	return result
}

// Show reads the configuration back through a machine.
func (f *Fleet) Show(n *Node) *schema.OperatorResponse {
	var result *schema.OperatorResponse
	f.Operate(n, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW}, func(o *schema.OperatorResponse) {
		result = o
	})
	for range 700 {
		if result != nil {
			break
		}
		f.RunFor(10 * time.Millisecond)
	}
	return result
}

// Move empties or restores a zone through any machine, trying until it is accepted.
func (f *Fleet) Move(zone string, isEmpty bool) bool {
	kind := schema.OperatorKind_OPERATOR_RESTORE
	if isEmpty {
		kind = schema.OperatorKind_OPERATOR_EMPTY
	}
	for range 60 {
		n := f.Nodes[f.random.Intn(len(f.Nodes))]
		if !n.IsUp {
			continue
		}
		isDone, isAccepted := false, false
		f.Operate(n, &schema.OperatorRequest{Kind: kind, Zone: zone, Reason: "sim"}, func(o *schema.OperatorResponse) {
			isDone, isAccepted = true, o.Refusal == schema.RefusalKind_REFUSAL_NONE
		})
		for i := 0; i < 100 && !isDone; i++ {
			f.RunFor(10 * time.Millisecond)
		}
		if isAccepted {
			return true
		}
		f.RunFor(200 * time.Millisecond)
	}
	return false
}

// Begin founds the system, waits for its members and puts the document.
func (f *Fleet) Begin() error {
	document := f.Options.Document
	if document == "" {
		document = DefaultDocument
	}
	for f.Now < time.Minute {
		f.RunFor(500 * time.Millisecond)
		if leader := f.Leader(); leader != nil {
			if result := f.Put(leader, document, 0); result.GetVersion() == 1 && result.Refusal == schema.RefusalKind_REFUSAL_NONE {
				return nil
			}
		}
	}
	return fmt.Errorf("no configuration was accepted within a minute of virtual time")
}

func (f *Fleet) check(n *Node) {
	local := n.core.Local()
	if local.Role == "leader" {
		if other, isThere := f.leaders[local.Term]; isThere && other != n.ident {
			f.addViolation("two leaders in term %d: %s and %s", local.Term, other, n.ident)
		}
		f.leaders[local.Term] = n.ident
	}
	if uint64(local.View.Version) < n.lastSeen {
		f.addViolation("%s went back from index %d to %d", n.Name, n.lastSeen, local.View.Version)
	}
	if local.View.Head.Version < n.lastHead {
		f.addViolation("%s went back from configuration %d to %d", n.Name, n.lastHead, local.View.Head.Version)
	}
	if uint64(local.View.Version) == n.lastSeen {
		return
	}
	n.lastSeen, n.lastHead = uint64(local.View.Version), local.View.Head.Version
	if !local.IsFull || !n.HasDisk {
		return
	}
	sum := sha256.New()
	whole := n.core.Whole()
	for _, row := range whole.Rows {
		fmt.Fprintf(sum, "%s\x00%x\x00%d\n", row.Key, row.Value, row.Index)
	}
	var digest [32]byte
	sum.Sum(digest[:0])
	if other, isThere := f.applied[whole.Index]; isThere && other != digest {
		f.addViolation("%s differs from another full copy at index %d", n.Name, whole.Index)
	}
	f.applied[whole.Index] = digest
	for _, service := range local.View.Services {
		for path, rows := range service.Assignments {
			for region, row := range rows {
				f.rises("standing "+service.Name+path+"@"+region, whole.Index, row.Number)
				if residue := row.Number % constants.Increment; residue%2 == 0 {
					for _, d := range local.View.Zones {
						if uint64(d.Residue) == residue && d.Region != region {
							f.addViolation("region %s of %s%s has group %s of another region", region, service.Name, path, d.Name)
						}
					}
				}
			}
		}
		for path, row := range service.Entities {
			f.rises("entity "+service.Name+path, whole.Index, row.Number)
		}
	}
}

func (f *Fleet) rises(name string, index, number uint64) {
	at := f.numbers[name+"#"]
	if index >= at {
		if number < f.numbers[name] {
			f.addViolation("%s fell from %d to %d", name, f.numbers[name], number)
		}
		f.numbers[name], f.numbers[name+"#"] = number, index
	}
}

func (f *Fleet) observe() {
	for _, n := range f.Nodes {
		if !f.isInReach(n) {
			f.cutAt[n.Name] = f.Now
		}
	}
	for version, at := range f.accepts {
		isEverywhere := true
		for _, n := range f.Nodes {
			if n.IsUp && f.isConnected(n) && n.core.Local().View.Head.Version < version && proxy.IsFit(f.clock(n), n.core.Local()) {
				isEverywhere = false
			}
		}
		if isEverywhere {
			f.Effect = append(f.Effect, f.Now-at)
			delete(f.accepts, version)
		} else if f.Now-at > 2500*time.Millisecond {
			f.addViolation("configuration %d is not everywhere %v after its acceptance", version, f.Now-at)
			delete(f.accepts, version)
		}
	}
	f.after(10*time.Millisecond, f.observe)
}

func (f *Fleet) isConnected(n *Node) bool {
	if f.Now < n.frozen+2500*time.Millisecond && n.frozen > 0 {
		return false
	}
	for _, other := range f.Nodes {
		if f.cuts[[2]string{n.Name, other.Name}] || f.cuts[[2]string{other.Name, n.Name}] {
			return false
		}
	}
	return n.core.Local().View.Version > 0
}

func (f *Fleet) isInReach(n *Node) bool {
	disks, reached := 0, 0
	for _, other := range f.Nodes {
		if other.HasDisk {
			disks++
			if other.IsUp && !f.cuts[[2]string{n.Name, other.Name}] && !f.cuts[[2]string{other.Name, n.Name}] {
				reached++
			}
		}
	}
	return reached > disks/2
}

func (f *Fleet) isOutOfReach(n *Node) bool {
	at, wasOut := f.cutAt[n.Name]
	return wasOut && f.Now-at < 2500*time.Millisecond
}

// View gives a machine's compiled snapshot.
func (f *Fleet) View(n *Node) *store.View { return n.core.Local().View }

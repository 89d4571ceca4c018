// Package sim runs whole fleets of production state machines on virtual time: one seed gives one history.
package sim

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/claim"
	"topazshed/internal/constants"
	"topazshed/internal/core"
	"topazshed/internal/directory"
	"topazshed/internal/image"
	"topazshed/internal/journal"
	"topazshed/internal/proxy"
	"topazshed/internal/roster"
	"topazshed/internal/schema"
	"topazshed/internal/standing"
)

// Options shape a simulated fleet.
type Options struct {
	Seed         int64
	Regions      int
	Districts    int
	PerDistrict  int
	Services     int
	Backends     int
	LossPercent  int
	JitterMillis int
	ClockError   float64
	Log          io.Writer
	Document     string
	Breach       string
}

// Node is one simulated machine.
type Node struct {
	Name      string
	District  string
	Region    string
	HasDisk   bool
	Boot      int
	IsUp      bool
	address   string
	ident     string
	disk      *Disk
	core      *core.Core
	driver    *core.Driver
	keeper    *claim.Keeper
	loads     *proxy.Loads
	rate      float64
	offset    time.Duration
	frozen    time.Duration
	fails     map[string]int
	calls     map[uint64]func(*schema.Frame)
	serial    uint64
	lastSeen  uint64
	lastHead  uint64
	syncPause time.Duration
	random    *rand.Rand
}

// Backend is a simulated back end.
type Backend struct {
	Service, Instance, District, Address string
	IsUp                                 bool
	State                                string
}

type serving struct {
	instance string
	until    time.Duration
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

// Run is one leg of an unsafe or safe attempt at a back end.
type Run struct {
	At       time.Duration
	Attempt  string
	Service  string
	Path     string
	Instance string
	District string
	Node     string
	Trail    standing.Trail
	IsUnsafe bool
}

// Fleet is the simulated system and its checker.
type Fleet struct {
	Options   Options
	Now       time.Duration
	Nodes     []*Node
	Backends  []*Backend
	Runs      []Run
	Breaches  []string
	Counts    map[string]int
	Effect    []time.Duration
	Bytes     map[string]int
	Frames    map[string]int
	queue     events
	order     uint64
	random    *rand.Rand
	cuts      map[[2]string]bool
	lastAt    map[[2]string]time.Duration
	leaders   map[uint64]string
	applied   map[uint64][32]byte
	ran       map[string]int
	numbers   map[string]uint64
	trails    map[string]standing.Trail
	twins     map[string]bool
	keys      map[string][]serving
	accepted  uint64
	accepts   map[uint64]time.Duration
	emptied   map[string]time.Duration
	log       *slog.Logger
	sentTo    map[string]int
	listFault string
}

// New makes a fleet and starts every machine.
func New(o Options) *Fleet {
	if o.Regions == 0 {
		o.Regions, o.Districts, o.PerDistrict = 3, 2, 0
	}
	if o.Services == 0 {
		o.Services, o.Backends = 4, 12
	}
	writer := o.Log
	if writer == nil {
		writer = io.Discard
	}
	f := &Fleet{Options: o, random: rand.New(rand.NewSource(o.Seed)), cuts: map[[2]string]bool{}, lastAt: map[[2]string]time.Duration{}, Counts: map[string]int{},
		leaders: map[uint64]string{}, applied: map[uint64][32]byte{}, ran: map[string]int{}, numbers: map[string]uint64{}, trails: map[string]standing.Trail{}, twins: map[string]bool{}, keys: map[string][]serving{}, accepts: map[uint64]time.Duration{},
		emptied: map[string]time.Duration{}, Bytes: map[string]int{}, Frames: map[string]int{}, sentTo: map[string]int{}}
	f.log = slog.New(slog.NewTextHandler(writer, nil))
	var districts []string
	for r := range o.Regions {
		for d := range o.Districts {
			region, district := fmt.Sprintf("r%d", r), fmt.Sprintf("r%d-d%d", r, d)
			districts = append(districts, district)
			count := o.PerDistrict
			if count == 0 {
				count = 3 - d%2
			}
			for i := range count {
				n := &Node{Name: fmt.Sprintf("%s-n%d", district, i), District: district, Region: region, HasDisk: i == 0 && r < 3, disk: NewDisk()}
				n.address = n.Name
				n.rate = 1 + o.ClockError*(2*f.random.Float64()-1)
				n.offset = time.Hour + time.Duration(f.random.Intn(1000))*time.Second
				f.Nodes = append(f.Nodes, n)
			}
		}
	}
	for s := range o.Services {
		for b := range o.Backends {
			f.AddBackend(fmt.Sprintf("service%d", s), districts[b%len(districts)])
		}
	}
	for _, n := range f.Nodes {
		f.after(time.Duration(f.random.Intn(200))*time.Millisecond, func() { f.Start(n) })
	}
	f.after(0, f.observe)
	return f
}

// AddBackend puts a back end into the platform's list.
func (f *Fleet) AddBackend(service, district string) *Backend {
	b := &Backend{Service: service, Instance: fmt.Sprintf("%s-%d", service, len(f.Backends)), District: district, Address: fmt.Sprintf("b%d", len(f.Backends)), IsUp: true, State: "ready"}
	f.Backends = append(f.Backends, b)
	return b
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

func (f *Fleet) breach(form string, args ...any) {
	if len(f.Breaches) < 50 {
		f.Breaches = append(f.Breaches, fmt.Sprintf("%v: ", f.Now)+fmt.Sprintf(form, args...))
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
	n.random = rand.New(rand.NewSource(f.random.Int63()))
	n.ident = fmt.Sprintf("%012x", f.random.Int63()&0xffffffffffff)
	self := &schema.Node{Id: n.ident, Address: n.address, Proxy: n.address + ":p", Door: n.address + ":d", District: n.District, Region: n.Region, Disk: n.HasDisk,
		Incarnation: uint64(f.Now.Milliseconds()) + 1, State: schema.NodeState_NODE_READY}
	options := core.Options{Self: self, Seeds: f.seeds(), Draw: n.random.Int63n, Log: f.log.With("node", n.Name)}
	var j *journal.Journal
	if n.HasDisk {
		sizes := journal.Options{Files: 4, FileBytes: 128 << 10, ImageBytes: 512 << 10}
		opened, state, err := journal.Open(n.disk, sizes)
		if err != nil {
			f.Counts["identity given up"]++
			n.disk = NewDisk()
			if opened, state, err = journal.Open(n.disk, sizes); err != nil {
				f.breach("%s can't open an empty disk: %v", n.Name, err)
				return
			}
		}
		j = opened
		options.Hard, options.Image, options.Items = state.Hard, state.Image, state.Items
		options.System, options.Restart = state.Hard.System, state.Hard.Id != ""
		if options.Restart {
			n.ident = state.Hard.Id
			self.Id = n.ident
		}
	}
	n.keeper = claim.NewKeeper(n.ident, options.Restart)
	n.loads = proxy.NewLoads(func() time.Duration { return f.clock(n) })
	n.fails = map[string]int{}
	n.calls = map[uint64]func(*schema.Frame){}
	n.core = core.New(f.clock(n), options)
	boot := n.Boot
	n.driver = &core.Driver{Core: n.core, Journal: j, Now: func() time.Duration { return f.clock(n) },
		Send:   func(to string, frame *schema.Frame) { f.transmit(n, to, frame) },
		Answer: func(o core.Outcome) { f.answer(n, o) },
		Synced: func(time.Duration, error) {
			if n.syncPause > 0 {
				n.frozen = max(n.frozen, f.Now+n.syncPause)
			}
		},
		Publish: func() {
			if set := n.core.Local().View.Keepers[n.Region]; set != nil {
				n.keeper.Adopt(f.clock(n), set)
			}
			number, isMember, isReady, _ := n.keeper.State()
			n.core.SetKeeper(number, isMember && isReady)
			n.core.SetFloor(n.loads.Floor())
		}}
	f.tick(n, boot)
	f.vitals(n, boot)
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
		if members, query := n.keeper.Ask(f.clock(n)); query != nil {
			for _, m := range members {
				f.call(n, m.Address, &schema.Frame{Body: &schema.Frame_ClaimCopy{ClaimCopy: query}}, func(o *schema.Frame) {
					if outcome := o.GetClaimCopyOutcome(); outcome != nil {
						n.keeper.Copied(f.clock(n), m.Id, outcome)
					}
				})
			}
		}
		f.after(constants.Tick, func() { f.tick(n, boot) })
	})
}

func (f *Fleet) vitals(n *Node, boot int) {
	f.on(n, boot, func() {
		var vitals []*schema.Vital
		view := n.core.Local().View
		for _, b := range f.Backends {
			if regionOf(b.District) != n.Region || view.Services[b.Service] == nil {
				continue
			}
			if b.IsUp {
				n.fails[b.Instance] = 0
			} else {
				n.fails[b.Instance]++
			}
			n.loads.Report(b.Instance, b.IsUp)
			vitals = append(vitals, &schema.Vital{Instance: b.Instance, Failing: n.fails[b.Instance] >= constants.VitalsFails})
		}
		n.core.SetVitals(vitals)
		f.after(constants.VitalsEvery, func() { f.vitals(n, boot) })
	})
}

func regionOf(district string) string { return district[:2] }

func (f *Fleet) list(n *Node, boot int) {
	f.on(n, boot, func() {
		if n.core.IsLeading() {
			page := roster.Page{Pages: 1, Revision: 1}
			for _, b := range f.Backends {
				if b.State != "gone" {
					page.Backends = append(page.Backends, roster.Item{Service: b.Service, Instance: b.Instance, Address: b.Address, District: b.District, State: b.State})
				}
			}
			page.Total = len(page.Backends)
			pages := []roster.Page{page}
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
			n.core.SetSweep(f.clock(n), roster.Join(pages))
		}
		f.after(constants.RosterEvery, func() { f.list(n, boot) })
	})
}

func (f *Fleet) delay(a, b *Node) time.Duration {
	base := 200 * time.Microsecond
	switch {
	case a.District == b.District:
	case a.Region == b.Region:
		base = time.Millisecond
	default:
		base = time.Duration(20+7*((int(a.Region[1])+int(b.Region[1]))%3)) * time.Millisecond
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
	kind := fmt.Sprintf("%T", frame.Body)
	f.Frames[kind]++
	f.Bytes[kind] += proto.Size(frame)
	f.sentTo[target.Name]++
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
	if frame.Outcome {
		if take := n.calls[frame.Call]; take != nil {
			delete(n.calls, frame.Call)
			take(frame)
		}
		return
	}
	reply := func(body *schema.Frame) {
		body.Call, body.Outcome, body.System, body.From, body.Address = frame.Call, true, n.core.Local().System, n.ident, n.address
		f.transmit(n, frame.Address, body)
	}
	switch body := frame.Body.(type) {
	case *schema.Frame_Claim:
		reply(&schema.Frame{Body: &schema.Frame_ClaimOutcome{ClaimOutcome: f.take(n, body.Claim)}})
	case *schema.Frame_ClaimCopy:
		reply(&schema.Frame{Body: &schema.Frame_ClaimCopyOutcome{ClaimCopyOutcome: n.keeper.Copy(f.clock(n), body.ClaimCopy)}})
	default:
		n.core.Receive(f.clock(n), frame)
		f.perform(n)
	}
}

func (f *Fleet) take(n *Node, c *schema.Claim) *schema.ClaimOutcome {
	if f.Options.Breach == "claims" {
		return &schema.ClaimOutcome{State: schema.ClaimState_CLAIM_TAKEN, Holder: c.Holder, Keepers: c.Keepers}
	}
	now := f.clock(n)
	return n.keeper.Take(now, c, now < n.core.Local().GrantUntil || f.Options.Breach == "grants")
}

func (f *Fleet) call(n *Node, to string, frame *schema.Frame, take func(*schema.Frame)) {
	n.serial++
	frame.Call, frame.System, frame.From, frame.Address = n.serial, n.core.Local().System, n.ident, n.address
	if to == n.address {
		if c := frame.GetClaim(); c != nil {
			take(&schema.Frame{Body: &schema.Frame_ClaimOutcome{ClaimOutcome: f.take(n, c)}})
		}
		return
	}
	n.calls[n.serial] = take
	f.transmit(n, to, frame)
}

// Kill ends a machine at once; its disk keeps what was synced.
func (f *Fleet) Kill(n *Node) {
	n.IsUp = false
	n.disk.Crash(f.random)
}

// Wipe empties a dead machine's disk.
func (f *Fleet) Wipe(n *Node) { n.disk = NewDisk() }

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

func (f *Fleet) answer(n *Node, o core.Outcome) {
	if take := n.calls[o.Ticket]; take != nil {
		delete(n.calls, o.Ticket)
		take(&schema.Frame{Body: &schema.Frame_OperatorOutcome{OperatorOutcome: o.Outcome}})
	}
}

// Operate sends an operator's query to a machine.
func (f *Fleet) Operate(n *Node, query *schema.OperatorQuery, take func(*schema.OperatorOutcome)) {
	f.on(n, n.Boot, func() {
		n.serial++
		n.calls[n.serial] = func(frame *schema.Frame) { take(frame.GetOperatorOutcome()) }
		n.core.Operate(f.clock(n), n.serial, query)
		f.perform(n)
	})
}

// DefaultDocument has a read-only, an unsafe, a keyed and a home-bound entry over the simulated services.
const DefaultDocument = `{"entries":[
{"service":"service0","path":"/read","methods":["GET"],"repeat_safe":["GET"]},
{"service":"service1","path":"/pay","methods":["POST"],"repeat_safe":[]},
{"service":"service3","path":"/book","methods":["POST"],"repeat_safe":[],"keyed":true},
{"service":"service2","path":"/home","methods":["GET"],"repeat_safe":["GET"],"home_regions":["r0","r1"]}]}`

// Put puts a configuration through a machine until it is accepted, declined for good, or a time is over.
func (f *Fleet) Put(n *Node, document string, base uint64) *schema.OperatorOutcome {
	var outcome *schema.OperatorOutcome
	f.Operate(n, &schema.OperatorQuery{Kind: schema.OperatorKind_OPERATOR_PUT, Document: []byte(document), Base: base}, func(o *schema.OperatorOutcome) {
		outcome = o
		if o.Decline == schema.DeclineKind_DECLINE_NONE {
			f.accepted = max(f.accepted, o.Version)
			f.accepts[o.Version] = f.Now
		}
	})
	for range 700 {
		if outcome != nil {
			break
		}
		f.RunFor(10 * time.Millisecond)
	}
	return outcome
}

// Show reads the configuration back through a machine.
func (f *Fleet) Show(n *Node) *schema.OperatorOutcome {
	var outcome *schema.OperatorOutcome
	newest := f.accepted
	f.Operate(n, &schema.OperatorQuery{Kind: schema.OperatorKind_OPERATOR_SHOW}, func(o *schema.OperatorOutcome) {
		outcome = o
		if o.Decline == schema.DeclineKind_DECLINE_NONE && o.Version < newest {
			f.breach("read-back gave version %d after %d was accepted", o.Version, newest)
		}
	})
	for range 700 {
		if outcome != nil {
			break
		}
		f.RunFor(10 * time.Millisecond)
	}
	return outcome
}

// Move empties or restores a district through any machine, trying until it is accepted.
func (f *Fleet) Move(district string, isEmpty bool) bool {
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
		if !isEmpty {
			delete(f.emptied, district)
		}
		f.Operate(n, &schema.OperatorQuery{Kind: kind, District: district, Reason: "sim"}, func(o *schema.OperatorOutcome) {
			isDone, isAccepted = true, o.Decline == schema.DeclineKind_DECLINE_NONE
		})
		for i := 0; i < 100 && !isDone; i++ {
			f.RunFor(10 * time.Millisecond)
		}
		if isAccepted {
			if isEmpty {
				f.emptied[district] = f.Now
			}
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
			if outcome := f.Put(leader, document, 0); outcome.GetVersion() == 1 && outcome.Decline == schema.DeclineKind_DECLINE_NONE {
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
			f.breach("two leaders in term %d: %s and %s", local.Term, other, n.ident)
		}
		f.leaders[local.Term] = n.ident
	}
	if local.View.Version < n.lastSeen {
		f.breach("%s went back from index %d to %d", n.Name, n.lastSeen, local.View.Version)
	}
	if local.View.Head.Version < n.lastHead {
		f.breach("%s went back from configuration %d to %d", n.Name, n.lastHead, local.View.Head.Version)
	}
	if local.View.Version == n.lastSeen {
		return
	}
	n.lastSeen, n.lastHead = local.View.Version, local.View.Head.Version
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
		f.breach("%s differs from another full copy at index %d", n.Name, whole.Index)
	}
	f.applied[whole.Index] = digest
	for _, service := range local.View.Services {
		for path, rows := range service.Standings {
			for region, row := range rows {
				f.rises("standing "+service.Name+path+"@"+region, whole.Index, row.Number)
				if residue := row.Number % constants.Increment; residue%2 == 0 {
					for _, d := range local.View.Districts {
						if uint64(d.Residue) == residue && d.Region != region {
							f.breach("region %s of %s%s has group %s of another region", region, service.Name, path, d.Name)
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
			f.breach("%s fell from %d to %d", name, f.numbers[name], number)
		}
		f.numbers[name], f.numbers[name+"#"] = number, index
	}
}

func (f *Fleet) observe() {
	for version, at := range f.accepts {
		isEverywhere := true
		for _, n := range f.Nodes {
			if n.IsUp && f.isConnected(n) && n.core.Local().View.Head.Version < version {
				isEverywhere = false
			}
		}
		if isEverywhere {
			f.Effect = append(f.Effect, f.Now-at)
			delete(f.accepts, version)
		} else if f.Now-at > 2500*time.Millisecond {
			f.breach("configuration %d is not everywhere %v after its acceptance", version, f.Now-at)
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

// Query is one simulated caller's attempt; done is told its outcome.
func (f *Fleet) Query(attempt, method, service, path string, region string, wait time.Duration, done func(outcome string)) {
	var options []*Node
	for _, n := range f.Nodes {
		if n.IsUp && n.core != nil && f.Now >= n.frozen {
			options = append(options, n)
		}
	}
	if len(options) == 0 {
		done("unreached")
		return
	}
	n := options[f.random.Intn(len(options))]
	f.on(n, n.Boot, func() { f.match(n, n.Boot, attempt, method, service, path, region, f.Now+wait, 0, done) })
}

func (f *Fleet) match(n *Node, boot int, attempt, method, service, path, region string, until time.Duration, parked time.Duration, done func(string)) {
	match, fault, wanted := directory.Decide(f.clock(n), n.core.Local(), region, service, path, parked, n.random.Int63n)
	if wanted != "" {
		n.core.Want(f.clock(n), wanted)
		f.perform(n)
	}
	if fault != nil || f.Now >= until {
		done("declined")
		return
	}
	if match == nil {
		f.after(constants.ParkStep, func() {
			if !n.IsUp || n.Boot != boot {
				done("declined")
				return
			}
			f.on(n, boot, func() {
				f.match(n, boot, attempt, method, service, path, region, until, parked+constants.ParkStep, done)
			})
		})
		return
	}
	var target *Node
	for _, other := range f.Nodes {
		if other.address+":p" == match.Proxies[0].Address {
			target = other
		}
	}
	origin, err := standing.ParseOrigin(match.Origin)
	if err != nil {
		f.breach("directory gave origin %q", match.Origin)
		return
	}
	q := &proxy.Query{Service: service, Path: path, Method: method, Attempt: attempt, Wait: until - f.Now, Origin: origin, OriginRaw: match.Origin}
	if service == "service3" {
		q.Key = "key-" + attempt[len(attempt)-1:]
	}
	q.Seal()
	f.after(time.Millisecond, func() { f.serve(target, q, until-constants.AnswerMargin, done) })
}

type task struct {
	node    *Node
	boot    int
	query   *proxy.Query
	until   time.Duration
	parked  time.Duration
	claimed bool
	keepers *schema.Keepers
	round   uint32
	holder  string
	tried   map[string]bool
	legs    int
	done    func(string)
	ended   bool
}

func (f *Fleet) serve(n *Node, q *proxy.Query, until time.Duration, done func(string)) {
	if !n.IsUp || f.Now < n.frozen {
		done("unreached")
		return
	}
	n.serial++
	t := &task{node: n, boot: n.Boot, query: q, until: until, holder: fmt.Sprintf("%s/%d", n.ident, n.serial), tried: map[string]bool{}, done: done}
	f.after(until-f.Now, func() { f.end(t, "late") })
	f.turn(t)
}

func (f *Fleet) end(t *task, outcome string) {
	if !t.ended {
		t.ended = true
		t.done(outcome)
	}
}

func (f *Fleet) turn(t *task) {
	n := t.node
	if t.ended {
		return
	}
	if !n.IsUp || n.Boot != t.boot {
		f.end(t, "broken")
		return
	}
	f.on(n, t.boot, func() {
		local := n.core.Local()
		if f.Options.Breach == "grants" {
			local.GrantUntil = f.clock(n) + time.Hour
		}
		d := proxy.Decide(proxy.Situation{Now: f.clock(n), Local: local, Self: &schema.Node{Id: n.ident, District: n.District, Region: n.Region}, Query: t.query, Load: n.loads,
			Tried: t.tried, IsClaimed: t.claimed, Parked: t.parked, Left: t.until - f.Now, Draw: n.random.Int63n})
		again := func(after time.Duration) {
			f.after(after, func() { f.turn(t) })
		}
		switch d.Turn {
		case proxy.TurnDecline:
			f.Counts["declined "+d.Decline.Kind]++
			f.release(t)
			f.end(t, "declined")
		case proxy.TurnPark:
			if d.Wanted != "" {
				n.core.Want(f.clock(n), d.Wanted)
				f.perform(n)
			}
			t.parked += constants.ParkStep
			again(constants.ParkStep)
		case proxy.TurnForward:
			node := d.Nodes[n.random.Int63n(int64(len(d.Nodes)))]
			forwarded := *t.query
			forwarded.Forwarded = d.Owner.Trail
			for _, other := range f.Nodes {
				if other.address == node.Address {
					f.after(f.delay(n, other), func() { f.serve(other, &forwarded, t.until, func(o string) { f.end(t, o) }) })
					return
				}
			}
			f.end(t, "declined")
		case proxy.TurnClaim:
			f.claim(t, d)
		case proxy.TurnLeg:
			f.leg(t, d, again)
		}
	})
}

func (f *Fleet) claim(t *task, d proxy.Decision) {
	members := claim.Match(d.Keepers, t.query.Attempt)
	begun := f.clock(t.node)
	t.keepers = d.Keepers
	t.round++
	taken, held, answered, isOver := 0, 0, 0, false
	finish := func() {
		if isOver {
			return
		}
		if taken >= claim.Majority(len(members)) && f.clock(t.node)-begun < constants.ClaimWait {
			isOver = true
			t.claimed = true
			f.turn(t)
			return
		}
		if answered == len(members) {
			isOver = true
			f.release(t)
			if held > 0 {
				f.end(t, "doubtful")
				return
			}
			t.parked += 5 * constants.ParkStep
			f.after(5*constants.ParkStep, func() { f.turn(t) })
		}
	}
	boot := t.boot
	f.after(constants.ClaimWait, func() {
		f.on(t.node, boot, func() {
			answered = len(members)
			finish()
		})
	})
	for _, m := range members {
		f.call(t.node, m.Address, &schema.Frame{Body: &schema.Frame_Claim{Claim: &schema.Claim{Attempt: t.query.Attempt, Digest: t.query.Digest, Holder: t.holder, Number: d.Owner.Number,
			Keepers: d.Keepers.Number, Region: d.Keepers.Region, Round: t.round}}}, func(o *schema.Frame) {
			if isOver {
				return
			}
			answered++
			switch o.GetClaimOutcome().GetState() {
			case schema.ClaimState_CLAIM_TAKEN:
				taken++
			case schema.ClaimState_CLAIM_HELD:
				held++
			}
			finish()
		})
	}
}

func (f *Fleet) release(t *task) {
	if t.keepers == nil || t.legs > 0 {
		return
	}
	for _, m := range claim.Match(t.keepers, t.query.Attempt) {
		f.call(t.node, m.Address, &schema.Frame{Body: &schema.Frame_Claim{Claim: &schema.Claim{Attempt: t.query.Attempt, Holder: t.holder, Keepers: t.keepers.Number, Region: t.keepers.Region, Round: t.round, Ended: true}}}, func(*schema.Frame) {})
	}
	t.claimed, t.keepers = false, nil
}

func (f *Fleet) leg(t *task, d proxy.Decision, again func(time.Duration)) {
	n := t.node
	var backend *Backend
	for _, b := range f.Backends {
		if b.Instance == d.Backend.Instance {
			backend = b
		}
	}
	if !backend.IsUp {
		t.tried[backend.Instance] = true
		n.loads.Report(backend.Instance, false)
		again(time.Millisecond)
		return
	}
	if t.legs == 0 {
		n.loads.First(f.clock(n), backend.Service)
	} else if !n.loads.Repeat(f.clock(n), backend.Service, 7) {
		f.end(t, "failed")
		return
	}
	t.legs++
	n.loads.Begin(backend.Instance)
	endKeyed := func(bool) {}
	if d.Entry.Keyed {
		endKeyed = n.loads.BeginKeyed(d.Version)
	}
	span := time.Duration(8+f.random.Intn(15)) * time.Millisecond
	if d.Entry.Keyed && f.random.Intn(30) == 0 {
		span = time.Duration(500+f.random.Intn(5000)) * time.Millisecond
	}
	f.after(500*time.Microsecond, func() {
		if !backend.IsUp {
			n.loads.End(backend.Instance)
			endKeyed(false)
			f.end(t, "doubtful")
			return
		}
		if d.Entry.Keyed {
			f.serveKey(t.query.Key, backend.Instance, span)
			if f.Now+span > t.until {
				f.after(t.until-f.Now, func() { endKeyed(true) })
				endKeyed = func(bool) {}
			}
		}
		f.ranOn(Run{f.Now, t.query.Attempt, d.Entry.Service, d.Entry.Path, backend.Instance, backend.District, n.Name, d.Owner.Trail, !d.IsSafe})
		f.after(span, func() {
			n.loads.End(backend.Instance)
			endKeyed(false)
			switch {
			case !n.IsUp || n.Boot != t.boot:
				f.end(t, "broken")
			case !backend.IsUp:
				f.end(t, "doubtful")
			default:
				f.end(t, "sealed")
			}
		})
	})
}

func (f *Fleet) serveKey(key, instance string, span time.Duration) {
	var live []serving
	for _, s := range f.keys[key] {
		if s.until <= f.Now {
			continue
		}
		live = append(live, s)
		if s.instance != instance && f.backend(s.instance).IsUp {
			f.breach("key %s is served by %s and %s at once", key, s.instance, instance)
		}
	}
	f.keys[key] = append(live, serving{instance, f.Now + span})
}

func (f *Fleet) backend(instance string) *Backend {
	for _, b := range f.Backends {
		if b.Instance == instance {
			return b
		}
	}
	return nil
}

func (f *Fleet) ranOn(r Run) {
	f.Runs = append(f.Runs, r)
	name := r.Service + r.Path
	if r.IsUnsafe {
		f.ran[r.Attempt]++
		if f.ran[r.Attempt] > 1 {
			f.breach("attempt %s ran %d times", r.Attempt, f.ran[r.Attempt])
		}
		if f.trails[name].IsNewer(r.Trail) {
			f.breach("an unsafe leg of %s began under %v after one under %v", name, r.Trail, f.trails[name])
		} else {
			f.trails[name] = r.Trail
		}
	}
	if at, isEmptied := f.emptied[r.District]; isEmptied && f.Now > at+5*time.Second {
		f.breach("emptied %s got a leg %v after acceptance", r.District, f.Now-at)
	}
	if r.Service == "service2" && regionOf(r.District) == "r2" {
		f.breach("home-bound %s ran in %s", r.Attempt, r.District)
	}
}

// Load sends queries at a rate for a while and counts their outcomes; callers repeat with the same attempt id.
func (f *Fleet) Load(name string, perSecond int, span time.Duration) {
	total := int(span.Seconds() * float64(perSecond))
	for i := range total {
		f.after(time.Duration(i)*time.Second/time.Duration(perSecond), func() {
			attempt := fmt.Sprintf("%s-%06d", name, i)
			region := fmt.Sprintf("r%d", f.random.Intn(f.Options.Regions))
			switch f.random.Intn(5) {
			case 4:
				f.attempt(attempt, "POST", "service3", "/book", region, 5*time.Second, true)
			case 0:
				f.attempt(attempt, "POST", "service1", "/pay", region, 5*time.Second, true)
				if i%7 == 0 {
					f.twins[attempt] = true
					f.after(time.Duration(f.random.Intn(400))*time.Millisecond, func() {
						f.Query(attempt, "POST", "service1", "/pay", fmt.Sprintf("r%d", f.random.Intn(f.Options.Regions)), 4*time.Second, func(outcome string) { f.Counts["impatient "+outcome]++ })
					})
				}
			case 1:
				f.attempt(attempt, "GET", "service2", "/home/1", region, 5*time.Second, false)
			default:
				f.attempt(attempt, "GET", "service0", "/read/1", region, 5*time.Second, false)
			}
		})
	}
}

func (f *Fleet) attempt(attempt, method, service, path, region string, left time.Duration, isUnsafe bool) {
	begun := f.Now
	kind := "safe "
	if isUnsafe {
		kind = "unsafe "
	}
	var isDoubtful bool
	var try func()
	try = func() {
		rest := left - (f.Now - begun)
		if rest <= 0 {
			f.Counts[kind+"not served"]++
			return
		}
		isTold := false
		f.Query(attempt, method, service, path, region, rest, func(outcome string) {
			if isTold {
				return
			}
			isTold = true
			if outcome == "sealed" {
				f.Counts[kind+"sealed"]++
				return
			}
			if isUnsafe && outcome == "doubtful" {
				f.Counts[kind+"doubtful"]++
				return
			}
			if isUnsafe && outcome == "declined" && f.ran[attempt] > 0 && !isDoubtful && !f.twins[attempt] {
				f.breach("attempt %s ran but its caller was told declined", attempt)
			}
			isDoubtful = isDoubtful || outcome != "declined" && outcome != "unreached"
			pause := 50 * time.Millisecond
			if outcome == "declined" {
				pause = constants.RetryAfter
			}
			f.after(pause, try)
		})
	}
	try()
}

// Digest sums up the history so that two runs of one seed can be compared.
func (f *Fleet) Digest() string {
	sum := sha256.New()
	for _, r := range f.Runs {
		fmt.Fprintln(sum, r)
	}
	for _, name := range slices.Sorted(maps.Keys(f.Counts)) {
		fmt.Fprintln(sum, name, f.Counts[name])
	}
	fmt.Fprintln(sum, f.order, f.Now)
	return fmt.Sprintf("%x", sum.Sum(nil)[:8])
}

// Holds tells whether every running machine has the rows of a service's entries and of the newest configuration.
func (f *Fleet) Holds(n *Node, service, path string) bool {
	view := n.core.Local().View
	return view.Services[service] != nil && view.Services[service].Entry(path) != nil
}

// View gives a machine's compiled image.
func (f *Fleet) View(n *Node) *image.View { return n.core.Local().View }

// Rows counts the rows that a machine holds.
func (f *Fleet) Rows(n *Node) int { return n.core.Local().Rows }

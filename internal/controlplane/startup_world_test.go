package controlplane_test

import (
	"bytes"
	"container/heap"
	"crypto/sha256"
	"fmt"
	"hash"
	"log/slog"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/discovery"
	"topazshed/internal/frame"
	"topazshed/internal/journal"
	"topazshed/internal/leader"
	"topazshed/internal/operations"
	"topazshed/internal/schema"
	"topazshed/internal/sharding"
	"topazshed/internal/sim"
)

const (
	startupDiskNodes  = 6
	startupRegions    = 3
	startupZones      = 6
	startupBackends   = 24
	startupServices   = 4
	startupRoutes     = 40
	startupSyncTime   = 5 * time.Millisecond
	startupLeaseDelay = 4 * time.Millisecond
	// startupCalm is the time without a new row after which a fleet counts as settled.
	startupCalm = 2 * time.Second
	// startupLimit is the time after which a fleet that has not settled fails the test.
	startupLimit = 90 * time.Second
	// startupRest is the time between settling and the first change.
	startupRest = 5 * time.Second
)

// startupFleet starts empty routed nodes on virtual time: production cores, drivers, journals and wire encoding, with a listing, one keyed
// service with load, and back ends that take every lease. Its run depends on nothing but the seed.
type startupFleet struct {
	t       *testing.T
	now     time.Duration
	events  queue
	serial  int
	random  *rand.Rand
	nodes   []*startupNode
	listing []discovery.Listed
	// putAt is when each version of the configuration was put, and spread how long each node took to have one.
	putAt     map[uint64]time.Duration
	spread    []time.Duration
	lastRowAt time.Duration
	// history sums up each frame that was sent and each lease call.
	history hash.Hash
}

type startupNode struct {
	index         int
	self          *schema.Node
	control       *controlplane.Machine
	driver        *controlplane.Driver
	random        *rand.Rand
	clockOffset   time.Duration
	head, version uint64
	links         map[int]*startupLink
	// bytesIn and bytesOut are what crossed its connections.
	bytesIn, bytesOut int
}

// startupLink is the connection that one node has opened to another.
type startupLink struct {
	sent, arrived bytes.Buffer
	writer        *frame.Writer
	reader        *frame.Reader
	arrivesAt     time.Duration
}

func newStartupLink() *startupLink {
	link := &startupLink{}
	link.writer, link.reader = frame.NewWriter(&link.sent), frame.NewReader(&link.arrived)
	return link
}

// newStartupFleet starts so many empty nodes within a second; the first six have disks. After that second the leader reads the listing.
func newStartupFleet(t *testing.T, seed int64, size int) *startupFleet {
	f := &startupFleet{t: t, random: rand.New(rand.NewSource(seed)), putAt: map[uint64]time.Duration{}, history: sha256.New()}
	for i := range size {
		f.nodes = append(f.nodes, f.newNode(i))
	}
	for b := range startupBackends {
		home := f.nodes[f.random.Intn(len(f.nodes))].self
		f.listing = append(f.listing, discovery.Listed{Service: startupService(b % startupServices), Instance: fmt.Sprintf("backend%06d", b), Address: fmt.Sprintf("10.100.0.%d:8080", b), Zone: home.Zone, Slots: 6})
	}
	for _, n := range f.nodes {
		begins := time.Duration(f.random.Intn(1000)) * time.Millisecond
		n.clockOffset = time.Hour - begins
		f.after(begins, func() { f.start(n) })
	}
	f.run(time.Second)
	f.after(0, f.list)
	return f
}

func (f *startupFleet) newNode(index int) *startupNode {
	zone := index % startupZones
	region := zone % startupRegions
	n := &startupNode{index: index, links: map[int]*startupLink{}, random: rand.New(rand.NewSource(f.random.Int63()))}
	address := func(port int) string { return fmt.Sprintf("10.%d.0.%d:%d", region, index, port) }
	n.self = &schema.Node{Id: fmt.Sprintf("%012x", f.random.Int63()&0xffffffffffff), Address: address(7001), Proxy: address(7002), Admin: address(7003),
		Zone: fmt.Sprintf("region%02d-zone%d", region, zone/startupRegions), Region: fmt.Sprintf("region%02d", region), Incarnation: 1, State: schema.NodeState_NODE_READY}
	n.self.Disk = index < startupDiskNodes
	return n
}

func startupService(s int) string { return fmt.Sprintf("service%04d", s) }

func (f *startupFleet) after(d time.Duration, do func()) {
	f.serial++
	heap.Push(&f.events, event{f.now + d, f.serial, do})
}

func (f *startupFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.do()
	}
	f.now = until
}

func (f *startupFleet) clock(n *startupNode) time.Duration { return n.clockOffset + f.now }

func (f *startupFleet) step(n *startupNode, do func()) {
	do()
	if err := n.driver.Perform(); err != nil {
		f.t.Fatalf("node %d: %v", n.index, err)
	}
}

func (f *startupFleet) start(n *startupNode) {
	options := controlplane.Options{Self: n.self, Seeds: f.seeds(), Draw: n.random.Int63n, Log: slog.New(slog.DiscardHandler),
		Routes: &controlplane.RouteOptions{LongestLease: 10 * time.Second, ColdRate: func(*schema.ServicePolicy) int { return 2 }, Load: n.load}}
	var opened *journal.Journal
	if n.self.Disk {
		ring, state, err := journal.Open(sim.NewDisk(), worldSizes)
		if err != nil {
			f.t.Fatal(err)
		}
		opened = ring
		options.HardState, options.Snapshot, options.Entries = state.HardState, state.Snapshot, state.Entries
	}
	n.control = controlplane.New(f.clock(n), options)
	n.driver = &controlplane.Driver{Machine: n.control, Journal: opened, Now: func() time.Duration { return f.clock(n) },
		Send:   func(to string, sent *schema.Frame) { f.send(n, to, sent) },
		Answer: func(controlplane.LocalResponse) {},
		Synced: func(time.Duration, error) {},
		Leased: func(call leader.LeaseCall) { f.lease(n, call) },
		Write: func(work func() error, done func(error)) {
			err := work()
			f.after(startupSyncTime, func() { f.step(n, func() { done(err) }) })
		},
		Publish: func() { f.publish(n, n.control.Local()) }}
	f.tick(n)
}

func (f *startupFleet) lease(n *startupNode, call leader.LeaseCall) {
	fmt.Fprintln(f.history, "grant", f.now, n.index, call.ID)
	f.after(startupLeaseDelay, func() {
		f.step(n, func() {
			n.control.LeaseAnswered(f.clock(n), call.Incarnation, sharding.Answer{ID: call.ID, Result: sharding.Done})
		})
	})
}

func (f *startupFleet) publish(n *startupNode, local *controlplane.Local) {
	if uint64(local.View.Version) != n.version {
		n.version = uint64(local.View.Version)
		f.lastRowAt = f.now
	}
	head := local.View.Head.GetVersion()
	for n.head < head {
		n.head++
		if at, isCounted := f.putAt[n.head]; isCounted {
			f.spread = append(f.spread, f.now-at)
		}
	}
}

func (f *startupFleet) tick(n *startupNode) {
	f.step(n, func() { n.control.Tick(f.clock(n)) })
	f.after(constants.RoutedTick, func() { f.tick(n) })
}

func (f *startupFleet) list() {
	if n := f.leader(); n != nil {
		f.step(n, func() {
			n.control.SetListing(f.clock(n), discovery.Listing{Items: slices.Clone(f.listing), BegunAt: f.clock(n), IsComplete: true})
		})
	}
	f.after(constants.ListEvery, f.list)
}

// load stands in for the work of the keyed service: a few buckets of it.
func (n *startupNode) load(span time.Duration) []*schema.ShardLoad {
	h := &schema.ShardLoad{Service: startupService(0), SpanMs: uint32(span.Milliseconds())}
	for bucket := n.random.Intn(64); bucket < constants.LoadBuckets; bucket += 64 + n.random.Intn(64) {
		h.Buckets, h.BusyMs = append(h.Buckets, uint32(bucket)), append(h.BusyMs, uint32(1+n.random.Intn(20)))
	}
	return []*schema.ShardLoad{h}
}

func (f *startupFleet) seeds() []string {
	var seeds []string
	for _, n := range f.nodes[:3] {
		seeds = append(seeds, n.self.Address)
	}
	return seeds
}

func (f *startupFleet) leader() *startupNode {
	for _, n := range f.nodes {
		if n.control != nil && n.control.IsLeading() {
			return n
		}
	}
	return nil
}

func (f *startupFleet) delay(a, b *startupNode) time.Duration {
	switch {
	case a.self.Zone == b.self.Zone:
		return 200 * time.Microsecond
	case a.self.Region == b.self.Region:
		return time.Millisecond
	}
	return time.Duration(20+7*((a.index%startupRegions+b.index%startupRegions)%3)) * time.Millisecond
}

// send carries a frame in its wire encoding; a frame above the limit fails the test.
func (f *startupFleet) send(n *startupNode, to string, sent *schema.Frame) {
	at := slices.IndexFunc(f.nodes, func(other *startupNode) bool { return other.self.Address == to })
	if at < 0 {
		return
	}
	target := f.nodes[at]
	link := target.links[n.index]
	if link == nil {
		link = newStartupLink()
		target.links[n.index] = link
	}
	if err := link.writer.Write(sent); err != nil {
		f.t.Fatalf("node %d sent a frame that doesn't go on the wire: %v", n.index, err)
	}
	wire := bytes.Clone(link.sent.Bytes())
	link.sent.Reset()
	n.bytesOut += len(wire)
	fmt.Fprintf(f.history, "%v %d %d %T %d\n", f.now, n.index, at, sent.Body, len(wire))
	link.arrivesAt = max(f.now+f.delay(n, target), link.arrivesAt)
	f.after(link.arrivesAt-f.now, func() { f.receive(target, link, wire) })
}

func (f *startupFleet) receive(n *startupNode, link *startupLink, wire []byte) {
	link.arrived.Write(wire)
	received, err := link.reader.Read()
	link.arrived.Reset()
	if err != nil || n.control == nil {
		return
	}
	n.bytesIn += len(wire)
	f.step(n, func() { n.control.Receive(f.clock(n), received) })
}

// config is the whole configuration of a version, with its text; each version after the first changes one route.
func startupConfig(version uint64) *schema.RouteConfig {
	config := &schema.RouteConfig{Version: version, Base: version - 1, Limits: &schema.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 10000}}
	var text strings.Builder
	for s := range startupServices {
		policy := &schema.ServicePolicy{Service: startupService(s), HealthPath: "/health", MaxConnections: 140, ColdMs: 3000, ColdRate: 6, Keyed: s == 0, WarmUpMs: 5000}
		config.Services = append(config.Services, policy)
		fmt.Fprintf(&text, `{"kind":"service","metadata":{"name":"%s"},"policy":{"health_path":"/health","connections":140,"cold_ms":3000,"cold_rate":6,"keyed":%v,"warm_ms":5000}},`, policy.Service, policy.Keyed)
	}
	for r := range startupRoutes {
		route := &schema.Route{Name: fmt.Sprintf("route%06d", r), Host: fmt.Sprintf("host%05d.example", r/8), Prefix: fmt.Sprintf("/path%d/", r%8), Repeatable: true, TimeoutMs: 2000, TargetMs: 800,
			Priority: 2, MaxAttempts: 2, Targets: []*schema.Target{{Service: startupService(r % startupServices), Weight: 1}}}
		if version > 1 && (version-1)%startupRoutes == uint64(r) {
			route.TimeoutMs += uint32(version)
		}
		config.Routes = append(config.Routes, route)
		fmt.Fprintf(&text, `{"kind":"route","metadata":{"name":"%s"},"route":{"host":"%s","prefix":"%s","repeatable":true,"timeout_ms":%d,"target_ms":800,"priority":2,"max_attempts":2,"service":"%s"}},`, route.Name, route.Host, route.Prefix, route.TimeoutMs, route.Targets[0].Service)
	}
	config.Document = []byte(text.String())
	return config
}

func (f *startupFleet) put(version uint64) {
	leader := f.leader()
	if leader == nil {
		f.t.Fatalf("no leader at %v", f.now)
	}
	f.putAt[version] = f.now
	request := &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT_ROUTES, Routes: startupConfig(version)}
	f.step(leader, func() { leader.control.Operate(f.clock(leader), operations.Ticket(version), request, nil) })
}

// settle puts the first configuration as soon as there is a leader, and gives the time from the start until every node held every row.
func (f *startupFleet) settle() time.Duration {
	for !f.isSettled() {
		f.run(f.now + 250*time.Millisecond)
		if len(f.putAt) == 0 && f.leader() != nil {
			f.put(1)
		}
		if f.now > startupLimit {
			f.t.Fatalf("after %v not every node holds every row", f.now)
		}
	}
	return f.lastRowAt
}

func (f *startupFleet) isSettled() bool {
	leader := f.leader()
	if leader == nil || len(f.putAt) == 0 || f.now-f.lastRowAt < startupCalm {
		return false
	}
	want := leader.control.Local().View
	backends := 0
	for _, service := range want.Services {
		backends += len(service.Backends)
	}
	if backends != startupBackends || len(want.Nodes) != len(f.nodes) || want.Head.GetVersion() == 0 {
		return false
	}
	return !slices.ContainsFunc(f.nodes, func(n *startupNode) bool { return n.control.Local().View.Version != want.Version })
}

// change puts so many further configurations, each after the pause, and gives how long each node took to have each.
func (f *startupFleet) change(count int, pause time.Duration) []time.Duration {
	f.spread = nil
	for range count {
		f.put(uint64(len(f.putAt)) + 1)
		f.run(f.now + pause)
	}
	if f.leader() == nil {
		f.t.Fatalf("no leader at %v", f.now)
	}
	return f.spread
}

// digest sums up the history and the rows of every node.
func (f *startupFleet) digest() string {
	for _, n := range f.nodes {
		index, rows := n.control.Digest()
		fmt.Fprintln(f.history, "rows", n.index, index, rows)
	}
	return fmt.Sprintf("%x", f.history.Sum(nil))
}

// Package sim runs whole fleets of production state machines on virtual time: one seed gives one history.
package sim

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
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

// Fleet is the simulated system and its checker.
type Fleet struct {
	Options          Options
	Now              time.Duration
	Nodes            []*Node
	Backends         []*Backend
	History          *checker.History
	Verdicts         []*checker.Verdict
	Violations       []string
	Counts           map[string]int
	Unserved         map[string]int
	RecoveryTimes    map[string]time.Duration
	hotKey           bool
	unconfirmed      []string
	freezeBeforeSend time.Duration
	staleFrom        time.Duration
	EffectTimes      []time.Duration
	queue            events
	eventCount       uint64
	random           *rand.Rand
	cuts             map[[2]string]bool
	lastAt           map[[2]string]time.Duration
	leaders          map[uint64]string
	applied          map[uint64][32]byte
	highestNumbers   map[string]uint64
	trails           map[string]failover.Trail
	cachedMatches    map[string]*cachedMatch
	votes            map[string]string
	lastCutOff       map[string]time.Duration
	acceptedVersion  uint64
	acceptedAt       map[uint64]time.Duration
	stale            map[string]*controlplane.Local
	listed           map[string]string
	log              *slog.Logger
	listFault        string
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
	f := &Fleet{Options: o, random: rand.New(rand.NewSource(o.Seed)), cuts: map[[2]string]bool{}, lastAt: map[[2]string]time.Duration{}, Counts: map[string]int{}, Unserved: map[string]int{}, RecoveryTimes: map[string]time.Duration{},
		leaders: map[uint64]string{}, applied: map[uint64][32]byte{}, highestNumbers: map[string]uint64{}, trails: map[string]failover.Trail{}, cachedMatches: map[string]*cachedMatch{}, lastCutOff: map[string]time.Duration{}, votes: map[string]string{}, stale: map[string]*controlplane.Local{}, listed: map[string]string{}, acceptedAt: map[uint64]time.Duration{}}
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
				n.clockRate = 1 + o.ClockError*(2*f.random.Float64()-1)
				n.clockOffset = time.Hour + time.Duration(f.random.Intn(1000))*time.Second
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

// Node finds a machine by name.
func (f *Fleet) Node(name string) *Node {
	for _, n := range f.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Leader gives the machine that leads and has settled, or nil.
func (f *Fleet) Leader() *Node {
	var leader *Node
	for _, n := range f.Nodes {
		if n.IsUp && n.machine != nil && f.Now >= n.frozenUntil && n.machine.IsLeading() && (leader == nil || n.machine.Local().Term > leader.machine.Local().Term) {
			leader = n
		}
	}
	return leader
}

// View gives a machine's compiled snapshot.
func (f *Fleet) View(n *Node) *store.View { return n.machine.Local().View }

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

// DefaultDocument has a read-only, an unsafe, a keyed and a home-bound entry over the simulated services.
const DefaultDocument = `{"entries":[
{"service":"service0","path":"/read","methods":["GET"],"repeat_safe":["GET"]},
{"service":"service1","path":"/pay","methods":["POST"],"repeat_safe":[]},
{"service":"service3","path":"/book","methods":["POST"],"repeat_safe":[],"keyed":true},
{"service":"service2","path":"/home","methods":["GET"],"repeat_safe":["GET"],"home_regions":["r0","r1"]}]}`

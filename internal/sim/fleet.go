package sim

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const (
	// startSpread is the span within which the machines of a new fleet start.
	startSpread = 200 * time.Millisecond
	// beginLimit bounds how long a new fleet may take to accept its first configuration.
	beginLimit = time.Minute
	// diskRegions is how many regions have a machine with a disk in each zone.
	diskRegions = 3
	// seedCount is how many seed addresses each machine gets.
	seedCount = 3
)

// Options shape a simulated fleet. Zero values give three regions of two zones with 15 machines, and four services of
// twelve back ends each.
type Options struct {
	// Seed decides every random draw.
	Seed int64
	// Regions and Zones (of each region) shape the fleet; PerZone is the number of machines of each zone.
	Regions, Zones, PerZone int
	// Services and Backends (of each service) shape what it serves.
	Services, Backends int
	// LossPercent of the frames between machines are lost.
	LossPercent int
	// JitterMillis bounds the random delay that is added to each frame.
	JitterMillis int
	// ClockError bounds how far the rate of a machine's clock is from 1.
	ClockError float64
	// Log gets the machines' logs; nil drops them.
	Log io.Writer
	// Document is the first configuration; empty means DefaultDocument.
	Document string
	// Fault is a protection that is switched off, or empty.
	Fault FaultName
}

// Fleet is a simulated system with its back ends, callers and operators. It belongs to one goroutine.
type Fleet struct {
	// Options are those that New was given, with defaults filled in.
	Options Options
	// Now is the virtual time since the fleet was made.
	Now time.Duration
	// Nodes are the machines and Backends the back ends, also those that have ended.
	Nodes    []*Node
	Backends []*Backend

	// History is what was seen from outside; Verdicts are the checker's, after Check.
	History  *checker.History
	Verdicts []*checker.Verdict
	// Violations are broken invariants and rules, at most maxViolations.
	Violations []string
	// Counts are numbers of events by name, Unserved those of calls without a whole answer by reason.
	Counts   map[string]int
	Unserved map[string]int
	// RecoveryTimes tell by service how long the last heavy loss was felt.
	RecoveryTimes map[string]time.Duration
	// EffectTimes tell how long each accepted configuration took to reach every connected machine.
	EffectTimes []time.Duration

	queue      eventQueue
	eventCount uint64
	random     *rand.Rand
	log        *slog.Logger
	links      network
	invariants invariants

	// acceptedVersion is the newest accepted configuration; acceptedAt holds those that aren't everywhere yet.
	acceptedVersion uint64
	acceptedAt      map[uint64]time.Duration
	// unconfirmed are the zones that the last operator's answer named as not having confirmed it.
	unconfirmed []string

	// cachedMatches are the directory answers that callers keep, by region, service and path.
	cachedMatches map[string]*cachedMatch
	// hotKey makes one key draw most of the keyed load.
	hotKey bool
	// freezeBeforeSend freezes the next proxy that writes an unsafe request for that long.
	freezeBeforeSend time.Duration
	// listFault is the present fault of the platform's list.
	listFault listFault
	// staleFrom is when FaultStale begins; staleLocals are the old states that machines decide on under it.
	staleFrom   time.Duration
	staleLocals map[string]*controlplane.Local
}

// New makes a fleet whose machines start within startSpread of virtual time.
func New(options Options) *Fleet {
	if options.Regions == 0 {
		options.Regions, options.Zones, options.PerZone = 3, 2, 0
	}
	if options.Services == 0 {
		options.Services, options.Backends = 4, 12
	}
	logWriter := options.Log
	if logWriter == nil {
		logWriter = io.Discard
	}
	f := &Fleet{
		Options:       options,
		Counts:        map[string]int{},
		Unserved:      map[string]int{},
		RecoveryTimes: map[string]time.Duration{},
		random:        rand.New(rand.NewSource(options.Seed)),
		log:           slog.New(slog.NewTextHandler(logWriter, nil)),
		links:         newNetwork(),
		invariants:    newInvariants(),
		acceptedAt:    map[uint64]time.Duration{},
		cachedMatches: map[string]*cachedMatch{},
		staleLocals:   map[string]*controlplane.Local{},
	}
	f.History = checker.NewHistory(func() time.Duration { return f.Now }, regionOf)
	zones := f.addNodes()
	for service := range options.Services {
		for i := range options.Backends {
			f.AddBackend(fmt.Sprintf("service%d", service), zones[i%len(zones)])
		}
	}
	for _, n := range f.Nodes {
		delay := time.Duration(f.random.Intn(int(startSpread.Milliseconds()))) * time.Millisecond
		f.after(delay, func() { f.Start(n) })
	}
	f.after(0, f.observe)
	return f
}

// addNodes makes the machines and gives the names of the zones.
func (f *Fleet) addNodes() []string {
	var zones []string
	for region := range f.Options.Regions {
		for i := range f.Options.Zones {
			zone := fmt.Sprintf("r%d-d%d", region, i)
			zones = append(zones, zone)
			count := f.Options.PerZone
			if count == 0 {
				count = 3 - i%2
			}
			for number := range count {
				f.addNode(zone, number, number == 0 && region < diskRegions)
			}
		}
	}
	return zones
}

// addNode makes one machine with a clock of its own.
func (f *Fleet) addNode(zone string, number int, hasDisk bool) {
	n := &Node{
		Name:    fmt.Sprintf("%s-n%d", zone, number),
		Zone:    zone,
		Region:  regionOf(zone),
		HasDisk: hasDisk,
		disk:    NewDisk(),
	}
	n.address = n.Name
	n.clockRate = 1 + f.Options.ClockError*(2*f.random.Float64()-1)
	n.clockOffset = time.Hour + time.Duration(f.random.Intn(1000))*time.Second
	f.Nodes = append(f.Nodes, n)
}

// regionOf gives the region of a zone: the part of its name before the dash.
func regionOf(zone string) string { return zone[:2] }

// Node finds a machine by name; nil if there is none.
func (f *Fleet) Node(name string) *Node {
	for _, n := range f.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Leader gives the running machine that leads in the highest term, or nil.
func (f *Fleet) Leader() *Node {
	var leader *Node
	for _, n := range f.Nodes {
		if !n.IsUp || n.machine == nil || f.Now < n.frozenUntil || !n.machine.IsLeading() {
			continue
		}
		if leader == nil || n.machine.Local().Term > leader.machine.Local().Term {
			leader = n
		}
	}
	return leader
}

// View gives a machine's compiled snapshot.
func (f *Fleet) View(n *Node) *store.View { return n.machine.Local().View }

// seeds gives the seed addresses: machines with a disk, of different regions if there are enough.
func (f *Fleet) seeds() []string {
	var seeds []string
	lastRegion := ""
	for _, n := range f.Nodes {
		isNewRegion := n.Region != lastRegion || f.Options.Regions < diskRegions
		if n.HasDisk && len(seeds) < seedCount && isNewRegion {
			seeds = append(seeds, n.address)
			lastRegion = n.Region
		}
	}
	return seeds
}

// Begin founds the system and puts its first configuration; it fails if none is accepted within beginLimit.
func (f *Fleet) Begin() error {
	document := f.Options.Document
	if document == "" {
		document = DefaultDocument
	}
	for f.Now < beginLimit {
		f.RunFor(500 * time.Millisecond)
		leader := f.Leader()
		if leader == nil {
			continue
		}
		result := f.Put(leader, document, 0)
		if result.GetVersion() == 1 && result.Refusal == schema.RefusalKind_REFUSAL_NONE {
			return nil
		}
	}
	return fmt.Errorf("no configuration was accepted within %v of virtual time", beginLimit)
}

// DefaultDocument has a read-only, an unsafe, a keyed and a home-bound entry over the simulated services.
const DefaultDocument = `{"entries":[
{"service":"service0","path":"/read","methods":["GET"],"repeat_safe":["GET"]},
{"service":"service1","path":"/pay","methods":["POST"],"repeat_safe":[]},
{"service":"service3","path":"/book","methods":["POST"],"repeat_safe":[],"keyed":true},
{"service":"service2","path":"/home","methods":["GET"],"repeat_safe":["GET"],"home_regions":["r0","r1"]}]}`

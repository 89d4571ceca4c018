// Package bootstrap lets a node join the system that its seeds belong to, or found one if there is none.
//
// A Machine owns the name of the node's system and what the asked nodes have answered about theirs. It sends and receives nothing itself: the
// goroutine that steps the node's control plane calls it with the present time, sends the envelopes that it returns, and writes the founding
// record to the log.
//
// Invariants:
//   - A node that has a system never changes it.
//   - Where the settings tell of the first start, the seeds with a disk are the initial voters together: each recorded that on its disk before
//     it spoke to anyone, and goes on from there whatever its settings say later. A majority of them elects and commits.
//   - Elsewhere, and where no seed has a disk, at most one node founds: the lowest seed that has a disk or, if no seed has one, the node that the
//     lowest seed names, once and for all. It founds only after every other seed has said for constants.FoundingWait that it has no system
//     either, and never if it was a member of a log before or its operator says that the system exists.
package bootstrap

import (
	"log/slog"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/frame"
	"topazshed/internal/schema"
)

// Peers are the nodes that this node knows by the peer sampler.
type Peers interface {
	// Self is a copy of this node's description.
	Self() *schema.Node
	// Known gives every other known node, in a fixed order.
	Known() []*schema.Node
	// Sample gives this node and some known ones, drawn at random.
	Sample() []*schema.Node
}

// Fleet is the system as this node's rows describe it.
type Fleet interface {
	// ReadyDiskNodes gives the ready nodes of a region that have a disk, in a fixed order.
	ReadyDiskNodes(region string) []*schema.Node
}

// Options make a Machine.
type Options struct {
	// Self describes this node; its id, address, zone and disk never change.
	Self *schema.Node
	// Seeds are the addresses to ask; there must be one at least.
	Seeds []string
	// System is the name that the journal holds, or "".
	System string
	// IsRejoin says that the operator knows the system to exist, so that this node never founds one.
	IsRejoin bool
	// TellsFirstStart says that the settings of every node tell whether this is the first start of the whole system. Otherwise the
	// lowest seed bootstraps the system alone.
	TellsFirstStart bool
	// InitialCluster is this node's recorded part in the first start; nil is none.
	InitialCluster *InitialCluster
	// WasMember says that this node's journal holds its part in a log, so that it never founds another.
	WasMember bool
	// IsRestart says that the journal held the state of an earlier incarnation.
	IsRestart bool
	// MixedSeeds says that seeds may lack a disk, and that nodes without one need to be shown those of their region that have one.
	// Otherwise the lowest seed founds.
	MixedSeeds bool
	// Draw gives a number below its argument from the node's seeded source.
	Draw func(int64) int64
	Log  *slog.Logger
}

// answer is what an asked node said last.
type answer struct {
	at        time.Duration
	hasSystem bool
	hasDisk   bool
}

// Machine finds or founds the system of one node.
type Machine struct {
	options Options
	peers   Peers
	fleet   Fleet
	system  string
	// askedAt is when nodes were last asked, turn which of the seeds is the next to be asked.
	askedAt time.Duration
	turn    int
	answers map[string]answer
	// seedFacts are what the seeds said about themselves, by address.
	seedFacts map[string]seedFact
	// isCountedOn says that another seed may have been told that this node is an initial voter, hasLostDisk that this node bears the
	// identity of an initial voter whose disk is lost.
	isCountedOn bool
	hasLostDisk bool
	// hasFounded says that this node has given the first record of the log.
	hasFounded bool
	// emptySince is since when all other seeds have said that they have no system; 0 is not now.
	emptySince time.Duration
	// founder is the address of the node that the lowest seed named because no seed has a disk; nominatingSince is when this node, being the
	// lowest seed, first knew that it must name one.
	founder         string
	nominatingSince time.Duration
	// startedAt is when this machine first looked for a system, waitLoggedAt when it was last logged that there is none.
	startedAt    time.Duration
	waitLoggedAt time.Duration
}

// New makes a Machine that has the system of its options and has asked nobody yet.
func New(options Options, peers Peers, fleet Fleet) *Machine {
	m := &Machine{options: options, peers: peers, fleet: fleet, system: options.System, answers: map[string]answer{}, seedFacts: map[string]seedFact{}}
	if initial := options.InitialCluster; initial != nil {
		m.isCountedOn = initial.IsFromEarlierProcess
	}
	return m
}

// System is the name of the system that this node belongs to; "" is none yet.
func (m *Machine) System() string { return m.system }

// SetSeeds takes the seeds of changed settings.
func (m *Machine) SetSeeds(seeds []string) { m.options.Seeds = seeds }

// Adopt joins a system that another node belongs to, unless this node has one.
func (m *Machine) Adopt(system string) {
	if system == "" || m.system != "" || !m.mayAdopt(system) {
		return
	}
	m.join(system)
}

func (m *Machine) join(system string) {
	m.system = system
	m.options.Log.Info("system adopted", "system", system)
}

// Ask asks for a system while this node has none, or lacks the first record of its log.
func (m *Machine) Ask(now time.Duration) []frame.Envelope {
	if !m.isSeeking() || !m.isAskingDue(now) {
		return nil
	}
	m.askedAt = now
	m.logWait(now)
	var envelopes []frame.Envelope
	for _, address := range m.nodesToAsk() {
		envelopes = append(envelopes, m.discoverRequest(address))
	}
	return envelopes
}

// SeekMembers asks one seed or known node for members of the log; a node without a log calls it while it has no source of rows.
func (m *Machine) SeekMembers(now time.Duration) []frame.Envelope {
	if !m.options.MixedSeeds || !m.isAskingDue(now) {
		return nil
	}
	m.askedAt = now
	to := m.options.Seeds[m.options.Draw(int64(len(m.options.Seeds)))]
	if known := m.peers.Known(); len(known) > 0 && m.options.Draw(2) == 0 {
		to = known[m.options.Draw(int64(len(known)))].Address
	}
	return []frame.Envelope{m.discoverRequest(to)}
}

// Answer tells a node that asks which system this node belongs to and which nodes it should know.
func (m *Machine) Answer(now time.Duration, request *schema.DiscoverRequest) *schema.DiscoverResponse {
	return &schema.DiscoverResponse{
		System:            m.system,
		Nodes:             m.introductions(request.GetNode().GetRegion()),
		Founding:          m.options.IsRestart,
		Disk:              m.options.Self.Disk,
		Founder:           m.nominate(now),
		InitialMembership: m.initialMembership(),
	}
}

// TakeAnswer notes what an asked node said, and joins its system if this node has none.
func (m *Machine) TakeAnswer(now time.Duration, from string, response *schema.DiscoverResponse) {
	m.answers[from] = answer{at: now, hasSystem: response.System != "", hasDisk: response.Disk}
	m.noteSeed(from, response)
	if m.options.MixedSeeds && response.Founder != "" && from == slices.Min(m.options.Seeds) {
		m.founder = response.Founder
	}
	m.Adopt(response.System)
}

func (m *Machine) isAskingDue(now time.Duration) bool {
	return now-m.askedAt >= constants.DiscoverEvery
}

func (m *Machine) discoverRequest(to string) frame.Envelope {
	request := &schema.DiscoverRequest{Node: m.peers.Self()}
	return frame.Envelope{To: to, Frame: &schema.Frame{Body: &schema.Frame_DiscoverRequest{DiscoverRequest: request}}}
}

// nodesToAsk are the nodes to ask for a system now. Seeds and nodes with a disk must hear all seeds to found one; the others ask one seed after
// another if nothing can have been founded before, and all of them if something was. Each asks one more node that it knows.
func (m *Machine) nodesToAsk() []string {
	seeds := m.options.Seeds
	if m.options.InitialCluster != nil {
		seeds = slices.Compact(slices.Sorted(slices.Values(slices.Concat(seeds, m.options.InitialCluster.Seeds))))
	}
	isSeed := slices.Contains(seeds, m.options.Self.Address)
	if !m.options.Self.Disk && !m.options.IsRejoin && !isSeed {
		m.turn++
		seeds = seeds[m.turn%len(seeds):][:1]
	}
	others := slices.DeleteFunc(m.peers.Known(), func(node *schema.Node) bool {
		return slices.Contains(m.options.Seeds, node.Address)
	})
	if len(others) == 0 {
		return seeds
	}
	other := others[m.options.Draw(int64(len(others)))]
	return append(slices.Clone(seeds), other.Address)
}

// introductions are nodes that a node which asks should know: a sample, and where seeds may lack a disk the nodes of its own region that have one.
func (m *Machine) introductions(region string) []*schema.Node {
	nodes := m.peers.Sample()
	if !m.options.MixedSeeds {
		return nodes
	}
	for _, node := range m.fleet.ReadyDiskNodes(region) {
		isInSample := slices.ContainsFunc(nodes, func(other *schema.Node) bool { return other.Id == node.Id })
		if !isInSample {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

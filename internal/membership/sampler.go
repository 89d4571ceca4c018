package membership

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// peer is a node of the active view.
type peer struct {
	node *schema.Node
	// activeSince is when it joined the view, heardAt when it last gave a sign, probedAt when it was last probed.
	activeSince time.Duration
	heardAt     time.Duration
	probedAt    time.Duration
}

// Sampler is one node's views of the fleet.
type Sampler struct {
	options Options
	self    *schema.Node
	active  map[string]*peer
	passive map[string]*schema.Node
	// suspects is when each active node that stopped answering was taken out.
	suspects    map[string]time.Duration
	shuffleAt   time.Duration
	probeSerial uint64
}

// New makes a Sampler that knows only its seeds.
func New(options Options) *Sampler {
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming()
	}
	return &Sampler{
		options:  options,
		self:     options.Self,
		active:   map[string]*peer{},
		passive:  map[string]*schema.Node{},
		suspects: map[string]time.Duration{},
	}
}

// Self gives a copy of this node's description as it stands now: frames wait to be written while the description changes.
func (s *Sampler) Self() *schema.Node { return proto.Clone(s.self).(*schema.Node) }

// SetSeeds takes other seeds than before.
func (s *Sampler) SetSeeds(seeds []string) { s.options.Seeds = seeds }

// Suspects are the ids of the probed nodes that did not answer, in order.
func (s *Sampler) Suspects() []string { return slices.Sorted(maps.Keys(s.suspects)) }

// Size is the count of nodes of both views.
func (s *Sampler) Size() int { return len(s.active) + len(s.passive) }

// Known gives the nodes of the active view in order of their ids, then those of the passive one.
func (s *Sampler) Known() []*schema.Node {
	var nodes []*schema.Node
	for _, id := range slices.Sorted(maps.Keys(s.active)) {
		nodes = append(nodes, s.active[id].node)
	}
	for _, id := range slices.Sorted(maps.Keys(s.passive)) {
		nodes = append(nodes, s.passive[id])
	}
	return nodes
}

// Sample gives this node and some that it knows, constants.ShuffleSample together at the most.
func (s *Sampler) Sample() []*schema.Node {
	nodes := s.Known()
	for i := len(nodes) - 1; i > 0; i-- {
		j := s.options.Draw(int64(i + 1))
		nodes[i], nodes[j] = nodes[j], nodes[i]
	}
	nodes = append([]*schema.Node{s.Self()}, nodes...)
	return nodes[:min(len(nodes), constants.ShuffleSample)]
}

// Heard notes that a frame of a node came, so that it is alive.
func (s *Sampler) Heard(now time.Duration, id string) {
	if active := s.active[id]; active != nil {
		active.heardAt = now
	}
	delete(s.suspects, id)
}

// Learn takes what others tell of nodes into the views.
func (s *Sampler) Learn(nodes ...*schema.Node) {
	for _, node := range nodes {
		s.learn(node)
	}
	for len(s.passive) > constants.PassiveView {
		delete(s.passive, s.drawID(slices.Sorted(maps.Keys(s.passive))))
	}
}

func (s *Sampler) learn(node *schema.Node) {
	isLost := node.GetState() == schema.NodeState_NODE_LOST
	switch {
	case node.GetId() == s.self.Id:
		s.refute(node)
	case node.GetId() == "" || node.Address == "":
		// It could not be reached.
	case s.active[node.Id] != nil:
		if active := s.active[node.Id]; !isLost && node.Incarnation >= active.node.Incarnation {
			active.node = node
		}
	case isLost:
		if known := s.passive[node.Id]; known != nil && known.Incarnation <= node.Incarnation {
			delete(s.passive, node.Id)
		}
	default:
		if known := s.passive[node.Id]; known == nil || known.Incarnation <= node.Incarnation {
			s.passive[node.Id] = node
		}
	}
}

// refute raises this node's incarnation above one that others take for lost, so that they see it is alive.
func (s *Sampler) refute(rumor *schema.Node) {
	if rumor.GetState() == schema.NodeState_NODE_LOST && rumor.Incarnation >= s.self.Incarnation {
		s.self.Incarnation = rumor.Incarnation + 1
	}
}

func (s *Sampler) drawID(ids []string) string {
	return ids[s.options.Draw(int64(len(ids)))]
}

// Package membership keeps a node's partial views of the fleet and shuffles them with other nodes.
package membership

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// Options make a machine; Draw gives a number below its argument from the seeded source.
type Options struct {
	Self  *schema.Node
	Seeds []string
	Draw  func(int64) int64
	Pace  Pace
}

// Pace is how often peers are probed and shuffled, and whether those of the own region are taken first; the zero value is the pace of the constants.
type Pace struct {
	Probe   time.Duration
	Wait    time.Duration
	Shuffle time.Duration
	IsNear  bool
}

// Send is a message to an address.
type Send struct {
	To    string
	Frame *schema.Frame
}

type peer struct {
	node     *schema.Node
	heard    time.Duration
	probedAt time.Duration
	since    time.Duration
}

// Sampler is one node's machine.
type Sampler struct {
	options   Options
	self      *schema.Node
	active    map[string]*peer
	passive   map[string]*schema.Node
	suspects  map[string]time.Duration
	shuffleAt time.Duration
	serial    uint64
	sends     []Send
}

// New makes a node that knows only its seeds.
func New(options Options) *Sampler {
	if options.Pace == (Pace{}) {
		options.Pace = Pace{Probe: constants.ProbeEvery, Wait: constants.ProbeWait, Shuffle: constants.ShuffleEvery}
	}
	return &Sampler{options: options, self: options.Self, active: map[string]*peer{}, passive: map[string]*schema.Node{}, suspects: map[string]time.Duration{}}
}

// Self gives a copy of this node's description as it stands now: frames wait to be written while the description changes.
func (n *Sampler) Self() *schema.Node { return proto.Clone(n.self).(*schema.Node) }

// SetSeeds takes other seeds than before.
func (n *Sampler) SetSeeds(seeds []string) { n.options.Seeds = seeds }

// Learn puts nodes into the passive view.
func (n *Sampler) Learn(nodes ...*schema.Node) {
	for _, node := range nodes {
		if node.GetId() == "" || node.Id == n.self.Id || node.Address == "" {
			if node.GetId() == n.self.Id && node.State == schema.NodeState_NODE_LOST && node.Incarnation >= n.self.Incarnation {
				n.self.Incarnation = node.Incarnation + 1
			}
			continue
		}
		if p := n.active[node.Id]; p != nil {
			if node.Incarnation >= p.node.Incarnation && node.State != schema.NodeState_NODE_LOST {
				p.node = node
			}
			continue
		}
		if node.State == schema.NodeState_NODE_LOST {
			if old := n.passive[node.Id]; old != nil && old.Incarnation <= node.Incarnation {
				delete(n.passive, node.Id)
			}
			continue
		}
		if old := n.passive[node.Id]; old == nil || old.Incarnation <= node.Incarnation {
			n.passive[node.Id] = node
		}
	}
	for len(n.passive) > constants.PassiveView {
		ids := slices.Sorted(maps.Keys(n.passive))
		delete(n.passive, ids[n.options.Draw(int64(len(ids)))])
	}
}

// Heard tells that a node spoke, so that it is alive.
func (n *Sampler) Heard(now time.Duration, id string) {
	if p := n.active[id]; p != nil {
		p.heard = now
	}
	delete(n.suspects, id)
}

// Suspects are the probed nodes that did not answer.
func (n *Sampler) Suspects() []string { return slices.Sorted(maps.Keys(n.suspects)) }

// Known gives every node of both views, in order of ids.
func (n *Sampler) Known() []*schema.Node {
	var nodes []*schema.Node
	for _, id := range slices.Sorted(maps.Keys(n.active)) {
		nodes = append(nodes, n.active[id].node)
	}
	for _, id := range slices.Sorted(maps.Keys(n.passive)) {
		nodes = append(nodes, n.passive[id])
	}
	return nodes
}

// Size is the count of nodes of both views.
func (n *Sampler) Size() int { return len(n.active) + len(n.passive) }

// Sample is this node and some that it knows.
func (n *Sampler) Sample() []*schema.Node {
	nodes := n.Known()
	for i := len(nodes) - 1; i > 0; i-- {
		j := n.options.Draw(int64(i + 1))
		nodes[i], nodes[j] = nodes[j], nodes[i]
	}
	nodes = append([]*schema.Node{n.Self()}, nodes...)
	return nodes[:min(len(nodes), constants.ShuffleSample)]
}

// Tick probes the active view, refills it and shuffles once in a while.
func (n *Sampler) Tick(now time.Duration) []Send {
	for _, id := range slices.Sorted(maps.Keys(n.active)) {
		p := n.active[id]
		if now-p.heard > n.options.Pace.Wait && now-p.since > n.options.Pace.Wait {
			n.suspects[id] = now
			delete(n.active, id)
			continue
		}
		if now-p.probedAt >= n.options.Pace.Probe {
			p.probedAt = now
			n.serial++
			n.send(p.node.Address, &schema.Frame{Body: &schema.Frame_Probe{Probe: &schema.Probe{Subject: id, Serial: n.serial}}})
		}
	}
	for id, at := range n.suspects {
		if now-at > 4*n.options.Pace.Wait {
			delete(n.suspects, id)
		}
	}
	for len(n.active) < constants.ActiveView && len(n.passive) > 0 {
		ids := n.candidates()
		if len(ids) == 0 {
			break
		}
		id := ids[n.options.Draw(int64(len(ids)))]
		n.active[id] = &peer{node: n.passive[id], heard: now, since: now}
		delete(n.passive, id)
	}
	if now >= n.shuffleAt {
		n.shuffleAt = now + n.options.Pace.Shuffle
		if n.Size() < constants.ShuffleSample {
			n.shuffleAt = now + min(n.options.Pace.Shuffle, constants.ShuffleEvery)
		}
		to := n.options.Seeds[n.options.Draw(int64(len(n.options.Seeds)))]
		if len(n.active) > 0 && n.options.Draw(4) > 0 {
			ids := slices.Sorted(maps.Keys(n.active))
			id := ids[n.options.Draw(int64(len(ids)))]
			to = n.active[id].node.Address
			if len(n.active) == constants.ActiveView && len(n.passive) > 0 {
				n.passive[id] = n.active[id].node
				delete(n.active, id)
			}
		}
		if to != n.self.Address {
			n.send(to, &schema.Frame{Body: &schema.Frame_Shuffle{Shuffle: &schema.Shuffle{Nodes: n.Sample()}}})
		}
	}
	sends := n.sends
	n.sends = nil
	return sends
}

// candidates are those that may join the active view: of the own region while there are any, and then few of the others.
func (n *Sampler) candidates() []string {
	ids := slices.Sorted(maps.Keys(n.passive))
	if !n.options.Pace.IsNear {
		return ids
	}
	near := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return n.passive[id].Region != n.self.Region })
	if len(near) > 0 {
		return near
	}
	far := 0
	for _, p := range n.active {
		if p.node.Region != n.self.Region {
			far++
		}
	}
	if far >= constants.FarPeers {
		return nil
	}
	return ids
}

func (n *Sampler) send(to string, frame *schema.Frame) { n.sends = append(n.sends, Send{to, frame}) }

// Shuffle takes another node's sample and answers with one of its own.
func (n *Sampler) Shuffle(from string, shuffle *schema.Shuffle) []Send {
	sample := n.Sample()
	n.Learn(shuffle.Nodes...)
	if shuffle.Reply {
		return nil
	}
	return []Send{{from, &schema.Frame{Body: &schema.Frame_Shuffle{Shuffle: &schema.Shuffle{Nodes: sample, Reply: true}}}}}
}

package leader

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// NodeRecord is what the leader has heard from one node since it began to lead.
type NodeRecord struct {
	// Node is how the node describes itself.
	Node *schema.Node
	// FirstHeard and LastHeard are the times of the first and of the newest heartbeat.
	FirstHeard, LastHeard time.Duration
	// Version is the index up to which the node has applied the log.
	Version raft.Index
	// OldestIndex is the lowest index that a request in flight at the node still relies on.
	OldestIndex raft.Index
	// Suspects are the nodes that don't answer its probes.
	Suspects []string
	// ReplicaSet is the number of the newest replica set that the node knows, and IsReplicaReady tells whether it
	// serves as a replica of it.
	ReplicaSet     uint64
	IsReplicaReady bool
	// LeaseUntil is when the newest lease given to the node lapses at the latest, by this leader's clock.
	LeaseUntil time.Duration
}

// isRecent tells whether the node was heard of within the span after which it is taken for lost.
func (r *NodeRecord) isRecent(now time.Duration) bool {
	return now-r.LastHeard <= constants.NodeLostAfter
}

// Fleet is the leader's registry of the nodes that report to it, with the leases that it has given them. It is empty at
// a node that doesn't lead. Nothing of it is replicated: a new leader waits until the leases of its predecessor must
// have lapsed.
type Fleet struct {
	nodes map[string]*NodeRecord
	// releasedAt holds when the leases given before an index were first seen to have ended.
	releasedAt map[raft.Index]time.Duration
	electedAt  time.Duration
}

// NewFleet makes an empty registry.
func NewFleet() *Fleet {
	return &Fleet{nodes: map[string]*NodeRecord{}, releasedAt: map[raft.Index]time.Duration{}}
}

// Elected notes when this node began to lead.
func (f *Fleet) Elected(now time.Duration) { f.electedAt = now }

// Reset forgets all nodes and leases; a leader that resigns calls it.
func (f *Fleet) Reset() {
	f.nodes = map[string]*NodeRecord{}
	f.releasedAt = map[raft.Index]time.Duration{}
}

// Node gives what was heard from a node, or nil if nothing was.
func (f *Fleet) Node(id string) *NodeRecord { return f.nodes[id] }

// Describe completes the description in a heartbeat. Most heartbeats name only a node's identity, state and
// incarnation; the rest is known from an earlier one or from the node's row. It gives nil if it is not known.
func (f *Fleet) Describe(node, row *schema.Node) *schema.Node {
	if node.GetAddress() != "" {
		return node
	}
	known := row
	if record := f.nodes[node.GetId()]; record != nil {
		known = record.Node
	}
	if node == nil || known == nil {
		return nil
	}
	complete := cloneNode(known)
	complete.State, complete.Incarnation = node.State, node.Incarnation
	return complete
}

// Heard takes a heartbeat of a node whose description is complete.
func (f *Fleet) Heard(now time.Duration, node *schema.Node, heartbeat *schema.Heartbeat) {
	record := f.nodes[node.Id]
	if record == nil {
		record = &NodeRecord{FirstHeard: now}
		f.nodes[node.Id] = record
	}
	record.Node = node
	record.LastHeard = now
	record.Version = raft.Index(heartbeat.Version)
	record.Suspects = heartbeat.Suspects
	record.ReplicaSet = heartbeat.ReplicaSet
	record.IsReplicaReady = heartbeat.ReplicaReady
	record.OldestIndex = record.Version
	if heartbeat.OldestIndex > 0 {
		record.OldestIndex = min(raft.Index(heartbeat.OldestIndex), record.Version)
	}
}

// GiveLease notes that a node was given a lease of that length.
func (f *Fleet) GiveLease(now time.Duration, id string, length time.Duration) {
	if record := f.nodes[id]; record != nil {
		record.LeaseUntil = now + length + constants.LeaseClockMargin
	}
}

// lapsesAt is when a node's leases have lapsed at the latest, those given by a former leader among them.
func (f *Fleet) lapsesAt(id string) time.Duration {
	at := f.electedAt + constants.LeaseDuration + constants.LeaseClockMargin
	if record := f.nodes[id]; record != nil {
		at = max(at, record.LeaseUntil)
	}
	return at
}

// Released tells whether no node can act any more by a lease on a state older than an index: each has reported the
// index or its lease has lapsed. It also gives since when, in milliseconds.
func (f *Fleet) Released(state State, index raft.Index) (isReleased bool, sinceMillis uint64) {
	for id := range state.View.Nodes {
		record := f.nodes[id]
		hasReached := record != nil && record.Version >= index
		if !hasReached && state.Now < f.lapsesAt(id) {
			return false, 0
		}
	}
	if _, isNoted := f.releasedAt[index]; !isNoted {
		f.releasedAt[index] = state.Now
	}
	return true, uint64((state.Now - f.releasedAt[index]).Milliseconds())
}

// hasDrained tells whether no request in flight at any node was begun on a state older than an index.
func (f *Fleet) hasDrained(state State, index raft.Index) bool {
	for id := range state.View.Nodes {
		record := f.nodes[id]
		hasReached := record != nil && record.OldestIndex >= index
		if !hasReached && state.Now < f.lapsesAt(id)+constants.ReservationWindow {
			return false
		}
	}
	return true
}

// sinceHeard is how long a node has not been heard of; the time before this node led doesn't count.
func (f *Fleet) sinceHeard(now time.Duration, id string) time.Duration {
	heard := f.electedAt
	if record := f.nodes[id]; record != nil {
		heard = max(heard, record.LastHeard)
	}
	return now - heard
}

// suspicions counts, for each node, the other nodes heard of lately that suspect it.
func (f *Fleet) suspicions(now time.Duration) map[string]int {
	counts := map[string]int{}
	for id, record := range f.nodes {
		if now-record.LastHeard >= constants.NodeLostAfter {
			continue
		}
		for _, suspect := range record.Suspects {
			if suspect != id {
				counts[suspect]++
			}
		}
	}
	return counts
}

// newestIncarnations gives the newest incarnation that was heard of at each address.
func (f *Fleet) newestIncarnations() map[string]uint64 {
	newest := make(map[string]uint64, len(f.nodes))
	for _, record := range f.nodes {
		address := record.Node.GetAddress()
		newest[address] = max(newest[address], record.Node.GetIncarnation())
	}
	return newest
}

// Unreached gives the nodes that have not reported an index yet; nodes that are stopping are left out.
func (f *Fleet) Unreached(view *store.View, index raft.Index) []*schema.Node {
	var unreached []*schema.Node
	for id, node := range view.Nodes {
		if node.State == schema.NodeState_NODE_STOPPING {
			continue
		}
		if record := f.nodes[id]; record == nil || record.Version < index {
			unreached = append(unreached, node)
		}
	}
	return unreached
}

package controlplane

import (
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// roleReader is the role of a node that keeps no log.
const roleReader = "reader"

// Local is what requests on this node may rely on; it is never changed once it is given out. Times are instants of the
// node's clock; 0 is never.
type Local struct {
	// View is the newest view of the rows, HeldPrefixes are the prefixes of the rows that a reader holds, and IsFull says
	// that the node keeps the log and so holds all of them.
	View         *store.View
	HeldPrefixes map[string]bool
	IsFull       bool
	// FreshAt is the latest instant for which a majority has confirmed the rows, BehindAt since when the node lacks committed ones.
	FreshAt  time.Duration
	BehindAt time.Duration
	// ConfirmedAt is about when a majority last confirmed the rows. Unlike FreshAt it leaves out how long messages were on their way, so that it
	// is no promise, but in the calm is never old.
	ConfirmedAt time.Duration
	// LeaseUntil is when this node's lease of the leader ends.
	LeaseUntil time.Duration
	// ThawedAt is when this process last went on after it had stood still, TickAt when it last ticked.
	ThawedAt time.Duration
	TickAt   time.Duration
	// Fences and Opened tell by row key when this node saw a failover assignment or entity fenced, and an entity open.
	Fences map[string]time.Duration
	Opened map[string]time.Duration
	// PeersAt is when this node last heard from half of its region's ready nodes; only fleets of entries fill it in.
	PeersAt time.Duration
	// Leader is the leader's address as far as it is known, Source that of the member that a reader takes its rows from, System the
	// system's id, Role this node's part in the log.
	Leader string
	Source string
	System string
	Role   string
	// Term, Commit, Members and First describe the log of a node that keeps it; First is the index of the snapshot below it.
	Term    uint64
	Commit  uint64
	Members *schema.Members
	First   uint64
	// ListAt is when this node last read the platform's list whole, ListFault why it could not read it since.
	ListAt    time.Duration
	ListFault string
	// Suspects are the ids of nodes that don't respond to this one.
	Suspects []string
	// Rows is how many rows the node holds.
	Rows       int
	IsStopping bool
	// StaleResponses counts the responses that belong to nothing that this incarnation of the process waits for.
	StaleResponses uint64
}

// Local gives what requests on this node may rely on now.
func (c *Machine) Local() *Local {
	local := &Local{
		View:           c.state.View(),
		HeldPrefixes:   c.subscription.Held(),
		IsFull:         c.isFull(),
		FreshAt:        c.rowsFreshAt(),
		BehindAt:       c.state.BehindSince(),
		ConfirmedAt:    c.rowsConfirmedAt(),
		LeaseUntil:     c.heartbeats.LeaseUntil(),
		ThawedAt:       c.thawedAt,
		TickAt:         c.tickedAt,
		Fences:         c.state.Fences(),
		Opened:         c.state.Opened(),
		Leader:         c.leader.address,
		Source:         c.subscription.Source(),
		System:         c.bootstrap.System(),
		Role:           roleReader,
		ListAt:         c.listAt,
		ListFault:      c.listFault,
		Suspects:       c.peerSampler.Suspects(),
		Rows:           c.state.Table().Size(),
		IsStopping:     c.self.State == schema.NodeState_NODE_STOPPING,
		StaleResponses: c.countStaleResponses(),
	}
	if c.raft != nil {
		c.describeLog(local)
	}
	local.PeersAt = c.workload.peersHeardAt()
	return local
}

func (c *Machine) countStaleResponses() uint64 {
	parts := c.heartbeats.StaleResponses() + c.subscription.StaleResponses() + c.operations.StaleResponses()
	return c.staleResponses + parts
}

func (c *Machine) describeLog(local *Local) {
	local.Role = c.raft.Role().String()
	local.Term = uint64(c.raft.Term())
	local.Commit = uint64(c.raft.CommitIndex())
	local.Members = c.raft.Members()
	local.First = uint64(c.raft.SnapshotIndex())
}

package controlplane

import (
	"time"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Local is what the hot path of this node may rely on; it is never changed once published.
type Local struct {
	View         *store.View
	HeldPrefixes map[string]bool
	IsFull       bool
	FreshAt      time.Duration
	LeaseUntil   time.Duration
	ThawedAt     time.Duration
	Fences       map[string]time.Duration
	Opened       map[string]time.Duration
	BehindAt     time.Duration
	TickAt       time.Duration
	PeersAt      time.Duration
	Leader       string
	System       string
	Role         string
	Term         uint64
	Commit       uint64
	Members      *schema.Members
	ListAt       time.Duration
	ListFault    string
	Suspects     []string
	Rows         int
	IsStopping   bool
	First        uint64
	// Strays are the answers that belonged to nothing that this life of the process waits for.
	StaleResponses uint64
}

// Local gives what the hot path may rely on now.
func (c *Machine) Local() *Local {
	l := &Local{View: c.view, HeldPrefixes: c.subscription.Held(), IsFull: c.isFull(), FreshAt: c.rowsFreshAt(), LeaseUntil: c.heartbeats.LeaseUntil(), Fences: c.state.Fences(), Opened: c.state.Opened(), BehindAt: c.state.BehindSince(), ThawedAt: c.thawedAt, TickAt: c.tickedAt,
		Leader: c.leader, System: c.bootstrap.System(), ListAt: c.listAt, ListFault: c.listFault, Suspects: c.peerSampler.Suspects(), Rows: c.table.Size(),
		IsStopping: c.self.State == schema.NodeState_NODE_STOPPING, Role: "reader",
		StaleResponses: c.staleResponses + c.heartbeats.StaleResponses() + c.subscription.StaleResponses() + c.operations.StaleResponses()}
	if c.quorum != nil {
		l.Role, l.Term, l.Commit, l.Members, l.First = c.quorum.Role().String(), uint64(c.quorum.Term()), uint64(c.quorum.CommitIndex()), c.quorum.Members(), uint64(c.quorum.SnapshotIndex())
		if c.quorum.Role() == raft.Leader {
			l.FreshAt = c.quorum.LeadershipConfirmedAt()
		}
	}
	l.PeersAt = c.workload.peersHeardAt()
	return l
}

package leader

import (
	"time"

	"topazshed/internal/failover"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// signer notes in records which leader made them, and when by the time of day at this node.
type signer struct {
	node  string
	epoch time.Time
}

func (s signer) sign(now time.Duration, record *schema.Record) {
	record.Leader = s.node
	if !s.epoch.IsZero() {
		record.AtMs = s.epoch.Add(now).UnixMilli()
	}
}

// planEntryAssignments proposes the failover assignments of a fleet of entries. One that follows another is fenced
// until no lease on a state before it is left.
func planEntryAssignments(t *turn, signer signer) {
	released := func(index uint64) (bool, uint64) { return t.fleet.Released(t.State, raft.Index(index)) }
	for _, record := range failover.PlanEntries(t.View, t.Table, released) {
		signer.sign(t.Now, record)
		t.propose(record)
	}
}

// planGroupAssignments proposes the failover assignments of a fleet of routes, each with the evidence that it rests on.
func planGroupAssignments(t *turn, signer signer) {
	for _, record := range failover.PlanRoutes(t.View, t.Table) {
		signer.sign(t.Now, record)
		if t.propose(record) {
			t.logger.Info("failover assignment changes", "change", record.Reason, "evidence", record.Evidence)
		}
	}
}

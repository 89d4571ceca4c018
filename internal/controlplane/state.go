package controlplane

import (
	"time"

	"topazshed/internal/proposals"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/statemachine"
)

// lateCommit is the time from a proposal to its commit from which on it is logged: twice that of far voters with slow disks.
const lateCommit = 300 * time.Millisecond

// Snapshot gives the snapshot at the applied index, for a follower or for the disk.
func (c *Machine) Snapshot() *schema.Snapshot {
	snapshot := c.state.Table().Snapshot()
	c.raft.DescribeSnapshot(snapshot)
	snapshot.Version = c.shownFleet()
	return snapshot
}

// publish takes rows that have changed into the view.
func (c *Machine) publish(changed []*schema.Row) {
	isOperatorChange, err := c.state.Publish(c.now, changed)
	if c.guardState(err) != nil {
		return
	}
	if isOperatorChange {
		c.heartbeats.Hasten()
	}
	c.bootstrap.Adopt(c.state.View().System)
}

// guardState takes an error of the state, which ends this node's part, and gives why this node takes no part; nil if it does.
func (c *Machine) guardState(err error) error {
	if err != nil {
		c.refuse(err)
	}
	return c.refused
}

// apply applies what is committed. A node that doesn't know a record, or the fleet's version, applies nothing any more.
func (c *Machine) apply() {
	entries := c.raft.Committed()
	if c.refused != nil {
		return
	}
	applied, err := c.state.Apply(entries)
	var changed []*schema.Row
	for _, item := range applied {
		c.noteApplied(item)
		changed = append(changed, item.Rows...)
	}
	if err != nil {
		c.refuse(err)
		return
	}
	c.publish(changed)
	c.operations.Resume(c.now)
}

// refresh compares the applied state with what is known to be committed.
func (c *Machine) refresh() {
	c.state.Confirm(c.raft.Confirmed())
	c.state.Refresh(c.now)
}

// noteApplied tells the parts that wait for it that an item of the log is applied.
func (c *Machine) noteApplied(applied statemachine.AppliedItem) {
	item := applied.Item
	if applied.Void != nil {
		c.log.Info("record void", "index", item.Index, "reason", applied.Void.Error())
	}
	if members := item.Record.Members; item.Record.Kind == schema.RecordKind_RECORD_MEMBERS {
		c.log.Info("members", "voters", len(members.Voters), "learners", len(members.Learners), "reason", item.Record.Reason)
	}
	position := proposals.Position{Index: raft.Index(item.Index), Term: raft.Term(item.Term)}
	if took := c.proposals.Took(c.now, position.Index); took >= lateCommit {
		c.log.Warn("a record was committed late", "index", item.Index, "reason", item.Record.Reason, "milliseconds", took.Milliseconds())
	}
	if c.operations.Applied(c.now, position, applied.Void != nil) {
		c.duties.PlanNow()
	}
	c.duties.RowsApplied(applied.Rows)
}

// NeedsSnapshot tells whether a new snapshot should be written.
func (c *Machine) NeedsSnapshot() bool {
	return c.raft != nil && c.state.NeedsSnapshot(c.raft.LogBytes())
}

// SnapshotWritten tells that a snapshot of that index is on disk.
func (c *Machine) SnapshotWritten(index raft.Index) {
	c.state.SnapshotWritten(index)
	c.raft.Compact(index)
}

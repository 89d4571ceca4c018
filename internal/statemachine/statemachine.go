// Package statemachine applies the committed records of the log to the rows of one node, and compiles the rows into the
// view that the node serves by.
//
// A Machine owns the table of rows and what follows from the order in which rows change: the view, the fences, the
// newest changes of failover assignments, and how far the node is behind the log. Nodes that keep the log call Load
// once, then Apply and Restore; readers merge deltas into the table and call Publish. The package does no I/O and reads
// no clock; all calls come from one goroutine, the control plane's. Views and maps that it hands out are never changed
// afterwards and may be read from any goroutine.
package statemachine

import (
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/failover"
	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Machine is one node's replicated state.
type Machine struct {
	speaks    protocolversion.Span
	table     *store.Table
	view      *store.View
	fences    *fenceTracker
	changes   changeHistory
	freshness freshness
	// snapshotIndex is the index of the newest snapshot that is known to be on disk.
	snapshotIndex raft.Index
}

// New gives an empty state for a program that speaks a span of protocol versions.
func New(speaks protocolversion.Span) *Machine {
	return &Machine{speaks: speaks, table: store.NewTable(), view: store.NewView(), fences: newFenceTracker()}
}

// Table is the table of rows; it is the same for the machine's whole life.
func (m *Machine) Table() *store.Table { return m.table }

// View is the newest view of the rows.
func (m *Machine) View() *store.View { return m.view }

// Version is the index of the newest applied record.
func (m *Machine) Version() raft.Index { return m.table.Version() }

// Load takes the snapshot that a starting node has on disk; nil is none. The error says that the program doesn't speak
// the fleet's version.
func (m *Machine) Load(now time.Duration, snapshot *schema.Snapshot) error {
	if snapshot != nil {
		m.table.Restore(snapshot)
	}
	m.view = store.Compile(m.table)
	m.fences.note(now, m.table.Rows(store.AllPrefixes))
	return m.checkFleet()
}

// Restore replaces the state by a snapshot that the leader has sent and that is on disk now. The error is that of Load.
func (m *Machine) Restore(now time.Duration, snapshot *schema.Snapshot) error {
	m.table.Restore(snapshot)
	m.view = store.Compile(m.table)
	m.fences.reset()
	m.fences.note(now, snapshot.Rows)
	m.snapshotIndex = raft.Index(snapshot.Index)
	return m.checkFleet()
}

// AppliedItem is an item of the log and what it changed.
type AppliedItem struct {
	Item *schema.LogItem
	// Rows are those that it changed, with their new index.
	Rows []*schema.Row
	// Void is why the record changed nothing although it is committed; nil if it took effect.
	Void error
}

// Apply applies committed items in their order; Publish then makes what they changed visible. It stops at a record of a
// kind that this program doesn't know, which the error names; what it has applied until then is given all the same.
func (m *Machine) Apply(items []*schema.LogItem) ([]AppliedItem, error) {
	var applied []AppliedItem
	for _, item := range items {
		if err := checkKind(item); err != nil {
			return applied, err
		}
		applied = append(applied, m.applyItem(item))
	}
	return applied, nil
}

func checkKind(item *schema.LogItem) error {
	kind := int32(item.Record.GetKind())
	if _, isKnown := schema.RecordKind_name[kind]; !isKnown {
		return &protocolversion.KindError{Kind: kind, Index: item.Index}
	}
	return nil
}

func (m *Machine) applyItem(item *schema.LogItem) AppliedItem {
	before := assignmentNumbers(m.table, item.Record)
	rows, err := m.table.Apply(raft.Index(item.Index), item.Record, failover.Check)
	m.changes.note(item, before, rows)
	return AppliedItem{Item: item, Rows: rows, Void: err}
}

// Publish compiles a new view after rows have changed. It tells whether an operator's change is among them, so that
// other nodes wait to hear that it is in force here. The error is that of Load; fences are then left as they were.
func (m *Machine) Publish(now time.Duration, changed []*schema.Row) (isOperatorChange bool, err error) {
	if len(changed) == 0 && m.view.Version == m.table.Version() {
		return false, nil
	}
	m.view = m.view.With(m.table, changed)
	if err := m.checkFleet(); err != nil {
		return false, err
	}
	m.fences.note(now, changed)
	return hasOperatorRow(changed), nil
}

// hasOperatorRow tells whether a row is the configuration's head or a zone.
func hasOperatorRow(rows []*schema.Row) bool {
	for _, row := range rows {
		if row.Key == store.CatalogHeadKey || strings.HasPrefix(row.Key, store.ZoneKey("")) {
			return true
		}
	}
	return false
}

func (m *Machine) checkFleet() error {
	return protocolversion.CheckFleet(m.speaks, m.view.FleetVersion)
}

// NeedsSnapshot tells whether enough was applied, or the log in memory has grown to so many bytes, that a new snapshot should be written.
func (m *Machine) NeedsSnapshot(logBytes int) bool {
	version := m.table.Version()
	if version <= m.snapshotIndex {
		return false
	}
	return version >= m.snapshotIndex+constants.RaftSnapshotEvery || logBytes > constants.RaftLogBytes
}

// SnapshotWritten tells that a snapshot at an index is on disk.
func (m *Machine) SnapshotWritten(index raft.Index) { m.snapshotIndex = index }

// Changes are the newest changes of failover assignments, oldest first.
func (m *Machine) Changes() []*schema.FailoverChange { return m.changes.newest }

// Fences are the fenced failover assignments and entities by row key, with the times at which this node saw them fenced.
func (m *Machine) Fences() map[string]time.Duration { return m.fences.fenced }

// Opened are the entities by row key, with the times at which this node saw their newest failover number open.
func (m *Machine) Opened() map[string]time.Duration { return m.fences.opened }

// NewestFence is the index of the newest row that is fenced: a failover assignment, an entity or a replica set. 0 is none.
func (m *Machine) NewestFence() raft.Index {
	newest := uint64(0)
	for key := range m.fences.fenced {
		newest = max(newest, m.table.Get(key).GetIndex())
	}
	for region, set := range m.view.ReplicaSets {
		if set.Fenced {
			newest = max(newest, m.table.Get(store.ReplicaSetKey(region)).GetIndex())
		}
	}
	return raft.Index(newest)
}

package store

import (
	"bytes"
	"strings"

	"github.com/emirpasic/gods/trees/redblacktree"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// RowCheck refuses a row whose contents break a rule, given the table before the record that has it. Every node must
// come to the same decision.
type RowCheck func(table *Table, row *schema.Row) error

// Table is one node's copy of the rows, in the order of their keys. It is not safe for concurrent use.
//
// Invariants: every row has the index of the record that last changed it; version is at least every row's index. Rows are
// never changed once they are in the table, so that callers may keep them.
type Table struct {
	rows    *redblacktree.Tree
	version raft.Index
	changes changeLog
}

// NewTable makes an empty table.
func NewTable() *Table { return &Table{rows: redblacktree.NewWithStringComparator()} }

// Version returns the log index up to which the table has all changes.
func (t *Table) Version() raft.Index { return t.version }

// Size returns the number of rows.
func (t *Table) Size() int { return t.rows.Size() }

// Get returns a row, or nil.
func (t *Table) Get(key string) *schema.Row {
	if row, isPresent := t.rows.Get(key); isPresent {
		return row.(*schema.Row)
	}
	return nil
}

// Each visits the rows below a prefix in the order of their keys. The visit must not change the table.
func (t *Table) Each(prefix string, visit func(*schema.Row)) {
	node, isPresent := t.rows.Ceiling(prefix)
	if !isPresent {
		return
	}
	for iterator := t.rows.IteratorAt(node); ; {
		key := iterator.Key().(string)
		if !strings.HasPrefix(key, prefix) {
			return
		}
		visit(iterator.Value().(*schema.Row))
		if !iterator.Next() {
			return
		}
	}
}

// Rows returns the rows below each of the prefixes.
func (t *Table) Rows(prefixes []string) []*schema.Row {
	var rows []*schema.Row
	for _, prefix := range prefixes {
		t.Each(prefix, func(row *schema.Row) { rows = append(rows, row) })
	}
	return rows
}

// Apply applies the committed record at an index, and returns the changed rows. Records must come in the order of the log;
// one that the table has already changes nothing. A void record changes nothing but the version: the error is a GuardError,
// or that of the check, which may be nil.
func (t *Table) Apply(index raft.Index, record *schema.Record, check RowCheck) ([]*schema.Row, error) {
	if index <= t.version {
		return nil, nil
	}
	t.version = index
	if record.Kind != schema.RecordKind_RECORD_ROWS {
		return nil, nil
	}
	if err := t.checkGuards(record.Guards); err != nil {
		return nil, err
	}
	if err := t.checkRows(record.Rows, check); err != nil {
		return nil, err
	}
	changed := make([]*schema.Row, 0, len(record.Rows))
	for _, row := range record.Rows {
		stored := &schema.Row{Key: row.Key, Value: row.Value, Gone: row.Gone, Index: uint64(index)}
		t.set(stored)
		changed = append(changed, stored)
	}
	t.changes.add(changed)
	return changed, nil
}

// checkGuards fails where a row has changed since the record was planned.
func (t *Table) checkGuards(guards []*schema.Guard) error {
	for _, guard := range guards {
		if actual := t.Get(guard.Key).GetIndex(); actual != guard.Index {
			return &GuardError{Key: guard.Key, Actual: raft.Index(actual), Expected: raft.Index(guard.Index)}
		}
	}
	return nil
}

func (t *Table) checkRows(rows []*schema.Row, check RowCheck) error {
	if check == nil {
		return nil
	}
	for _, row := range rows {
		if row.Gone {
			continue
		}
		if err := check(t, row); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) set(row *schema.Row) {
	if row.Gone {
		t.rows.Remove(row.Key)
		return
	}
	t.rows.Put(row.Key, row)
}

// Merge takes a delta from another node, and returns the changed rows. It refuses a delta that is older than the table, and
// one that begins after it.
func (t *Table) Merge(delta *schema.Delta) (changed []*schema.Row, isTaken bool) {
	isOlder := raft.Index(delta.To) < t.version
	hasGap := !delta.All && raft.Index(delta.From) > t.version
	if isOlder || hasGap {
		return nil, false
	}
	changed = t.deleteMissing(delta)
	for _, row := range delta.Rows {
		if t.isNews(row, delta.Whole) {
			changed = append(changed, row)
			t.set(row)
		}
	}
	t.version = raft.Index(delta.To)
	if len(delta.Whole) > 0 {
		t.changes.reset(t.version)
	} else {
		t.changes.add(changed)
	}
	return changed, true
}

// deleteMissing deletes the rows that a delta, in the ranges that it has whole, doesn't have.
func (t *Table) deleteMissing(delta *schema.Delta) []*schema.Row {
	isKept := map[string]bool{}
	for _, row := range delta.Rows {
		isKept[row.Key] = true
	}
	var deleted []*schema.Row
	for _, row := range t.Rows(delta.Whole) {
		if !isKept[row.Key] {
			tombstone := &schema.Row{Key: row.Key, Gone: true, Index: delta.To}
			deleted = append(deleted, tombstone)
			t.set(tombstone)
		}
	}
	return deleted
}

// isNews tells whether a row of a delta changes the table: a newer one does, and in a range that the delta has whole,
// for the repair of damage, any that differs.
func (t *Table) isNews(row *schema.Row, whole []string) bool {
	own := t.Get(row.Key)
	if own == nil {
		return !row.Gone
	}
	if row.Index > own.Index {
		return true
	}
	return !row.Gone && hasAnyPrefix(row.Key, whole) && !bytes.Equal(own.Value, row.Value)
}

// Forget drops the rows outside the prefixes, as when the node no longer subscribes to them, and returns tombstones
// of them.
func (t *Table) Forget(prefixes []string) []*schema.Row {
	var forgotten []*schema.Row
	for _, row := range t.Rows(AllPrefixes) {
		if !hasAnyPrefix(row.Key, prefixes) {
			tombstone := &schema.Row{Key: row.Key, Gone: true, Index: uint64(t.version)}
			forgotten = append(forgotten, tombstone)
			t.set(tombstone)
		}
	}
	return forgotten
}

// Snapshot returns all rows and the version; the caller fills in the position in the log.
func (t *Table) Snapshot() *schema.Snapshot {
	return &schema.Snapshot{Index: uint64(t.version), Rows: t.Rows(AllPrefixes)}
}

// Restore replaces everything by a snapshot.
func (t *Table) Restore(snapshot *schema.Snapshot) {
	t.rows.Clear()
	for _, row := range snapshot.Rows {
		t.rows.Put(row.Key, row)
	}
	t.version = raft.Index(snapshot.Index)
	t.changes.reset(t.version)
}

func hasAnyPrefix(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

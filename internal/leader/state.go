package leader

import (
	"time"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// State is the replicated state as this node has applied it, and the instant at which the leader looks at it.
type State struct {
	// Now is the time of this node's clock.
	Now time.Duration
	// System is the identity of the system that this node belongs to.
	System string
	// View is the compiled form of Table.
	View *store.View
	// Table holds the rows.
	Table *store.Table
}

// indexOf is where a row was changed last; 0 is a row that isn't there.
func (s State) indexOf(key string) raft.Index { return raft.Index(s.Table.Get(key).GetIndex()) }

// change collects the rows of one record. Each row is guarded by the index at which the leader read it, so that the
// record is void if another one changes the row first.
type change struct {
	table  *store.Table
	record *schema.Record
}

func newChange(table *store.Table, reason string) *change {
	return &change{table: table, record: &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: reason}}
}

func (c *change) put(row *schema.Row) {
	c.record.Guards = append(c.record.Guards, &schema.Guard{Key: row.Key, Index: c.table.Get(row.Key).GetIndex()})
	c.record.Rows = append(c.record.Rows, row)
}

// result gives the record, or nil if nothing changes.
func (c *change) result() *schema.Record {
	if len(c.record.Rows) == 0 {
		return nil
	}
	return c.record
}

package store

import (
	"slices"
	"sort"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// changeLog remembers the latest changed rows, so that readers that are a little behind get only those.
type changeLog struct {
	// rows are in the order of their indexes.
	rows []*schema.Row
	// since is the index after which all changes are remembered.
	since raft.Index
}

// add remembers changes, and now and then drops the oldest beyond constants.DeltaKeep.
func (c *changeLog) add(rows []*schema.Row) {
	c.rows = append(c.rows, rows...)
	if extra := len(c.rows) - constants.DeltaKeep; extra > constants.DeltaKeep/4 {
		c.since = raft.Index(c.rows[extra-1].Index)
		c.rows = slices.Clone(c.rows[extra:])
	}
}

// reset forgets all changes up to an index.
func (c *changeLog) reset(index raft.Index) {
	c.rows, c.since = nil, index
}

// Changes returns the rows below the prefixes that have changed after an index, oldest first. isRemembered is false where
// the table no longer knows all of them.
func (t *Table) Changes(after raft.Index, prefixes []string) (rows []*schema.Row, isRemembered bool) {
	if after < t.changes.since {
		return nil, false
	}
	remembered := t.changes.rows
	first := sort.Search(len(remembered), func(i int) bool { return raft.Index(remembered[i].Index) > after })
	for _, row := range remembered[first:] {
		if hasAnyPrefix(row.Key, prefixes) {
			rows = append(rows, row)
		}
	}
	return rows, true
}

package catalog

import (
	"fmt"
	"strings"

	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// ConflictError says that another configuration was accepted first.
type ConflictError struct{ Newest uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the newest configuration is version %d; read it, merge, and put again with that base", e.Newest)
}

// Plan returns the one record that replaces the whole configuration, guarded against any other put, and the
// configuration's version. Its error is a *ConflictError.
func Plan(table *store.Table, entries []*schema.Entry, document []byte, base uint64, operatorKey string) (*schema.Record, uint64, error) {
	row := table.Get(store.CatalogHeadKey)
	head := store.DecodeRow[schema.CatalogHead](row)
	if base != head.GetVersion() {
		return nil, 0, &ConflictError{head.GetVersion()}
	}
	version := base + 1
	record := &schema.Record{
		Kind:   schema.RecordKind_RECORD_ROWS,
		Reason: fmt.Sprintf("configuration %d", version),
		Guards: []*schema.Guard{{Key: store.CatalogHeadKey, Index: row.GetIndex()}},
	}
	isKept := map[string]bool{}
	for _, entry := range entries {
		entry.Version = version
		key := store.EntryKey(entry.Service, entry.Path)
		isKept[key] = true
		record.Rows = append(record.Rows, store.EncodeRow(key, entry))
	}
	table.Each("s/", func(row *schema.Row) {
		if strings.Contains(row.Key, "/entry/") && !isKept[row.Key] {
			record.Rows = append(record.Rows, store.Tombstone(row.Key))
		}
	})
	record.Rows = append(record.Rows,
		store.EncodeRow(store.CatalogHeadKey, &schema.CatalogHead{Version: version, OperatorKey: operatorKey}),
		store.EncodeRow(store.CatalogDocumentKey, &schema.CatalogDocument{Version: version, Document: document}))
	return record, version, nil
}

// AddAssignments adds the first failover assignments of the new entries to a configuration's record, so that both take
// effect together. A record that does not apply stays as it is.
func AddAssignments(view *store.View, table *store.Table, record *schema.Record) {
	scratch := store.NewTable()
	scratch.Restore(table.Snapshot())
	changed, err := scratch.Apply(table.Version()+1, record, nil)
	if err != nil {
		return
	}
	neverReleased := func(uint64) (bool, uint64) { return false, 0 }
	for _, planned := range failover.PlanEntries(view.With(scratch, changed), scratch, neverReleased) {
		for _, guard := range planned.Guards {
			if guard.Index == 0 && table.Get(guard.Key) == nil {
				addRow(record, planned, guard)
			}
		}
	}
}

// addRow adds a planned row, and its guard, to a record.
func addRow(record, planned *schema.Record, guard *schema.Guard) {
	record.Guards = append(record.Guards, guard)
	for _, row := range planned.Rows {
		if row.Key == guard.Key {
			record.Rows = append(record.Rows, row)
		}
	}
}

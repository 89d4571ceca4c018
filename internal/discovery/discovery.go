// Package discovery keeps the rows of back ends in line with the platform's list, as endpoint discovery (EDS) does elsewhere.
//
// The list comes in pages, lags behind and may lack what runs; so a back end is taken out only after several reads
// without it, and never most of a service's at once. The package owns the form of the list, the pace of the calls to
// it (ListLimiter), the planners that turn reads of it into changes of rows (Endpoints in a fleet of entries, Watch in
// a fleet of routes), and the ejection of back ends that fail the requests of several nodes (OutlierQuorum).
//
// The planners and the quorum are pure state machines of the leader: they make no call, read no clock and start no
// goroutine; the control plane's goroutine calls them, and proposes the records that they return. A ListLimiter
// belongs to the goroutine that reads the list.
package discovery

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// backendID identifies a back end: its service and instance, joined by a slash.
type backendID string

func newBackendID(service, instance string) backendID {
	return backendID(service + "/" + instance)
}

func idOf(backend *schema.Backend) backendID {
	return newBackendID(backend.Service, backend.Instance)
}

// isNamed reports whether a line of the list has what a row needs; a slash in a name would make row keys ambiguous.
func isNamed(service, instance, address string) bool {
	return service != "" && instance != "" && address != "" && !strings.Contains(service+instance, "/")
}

// changes collects changes of rows for one record, each guarded by the index of the present row.
type changes struct {
	table  *store.Table
	record *schema.Record
}

func newChanges(table *store.Table, reason string) *changes {
	return &changes{table, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: reason}}
}

func (c *changes) put(key string, message proto.Message) {
	c.add(store.EncodeRow(key, message))
}

func (c *changes) putBackend(backend *schema.Backend) {
	c.put(store.BackendKey(backend.Service, backend.Instance), backend)
}

func (c *changes) removeBackend(service, instance string) {
	c.add(store.Tombstone(store.BackendKey(service, instance)))
}

func (c *changes) add(row *schema.Row) {
	c.record.Guards = append(c.record.Guards, &schema.Guard{Key: row.Key, Index: c.table.Get(row.Key).GetIndex()})
	c.record.Rows = append(c.record.Rows, row)
}

// recordOrNil returns the record, or nil if nothing changes.
func (c *changes) recordOrNil() *schema.Record {
	if len(c.record.Rows) == 0 {
		return nil
	}
	return c.record
}

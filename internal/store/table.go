// Package store holds the shared state as rows with indexes, its slices, digests and compiled views.
package store

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"sort"
	"strings"

	"github.com/emirpasic/gods/trees/redblacktree"
	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// Common are the prefixes that every node subscribes to.
var Common = []string{"catalog/head", "district/", "keepers/", "node/", "region/", "system"}

// Routed are the prefixes that every node of a routed fleet subscribes to.
var Routed = []string{"catalog/head", "district/", "group/", "limits", "node/", "region/", "route/", "s/", "standing/", "system"}

// All is the prefix of everything.
var All = []string{""}

// ServicePrefix is the slice of one service.
func ServicePrefix(service string) string { return "s/" + service + "/" }

// NodeKey functions name the rows.
func NodeKey(id string) string           { return "node/" + id }
func RegionKey(name string) string       { return "region/" + name }
func ZoneKey(name string) string         { return "district/" + name }
func ReplicaSetKey(region string) string { return "keepers/" + region }
func EntryKey(service, path string) string {
	return ServicePrefix(service) + "entry/" + path
}
func AssignmentKey(service, path, region string) string {
	return ServicePrefix(service) + "standing/" + region + "/" + path
}
func EntityKey(service, path string) string {
	return ServicePrefix(service) + "entity/" + path
}
func BackendKey(service, instance string) string {
	return ServicePrefix(service) + "backend/" + instance
}
func RouteKey(host, prefix string) string { return "route/" + host + prefix }
func GroupKey(name string) string         { return "group/" + name }
func DefaultKey(region string) string     { return "standing/" + region }
func PolicyKey(service string) string     { return ServicePrefix(service) + "policy" }
func ShardRangeKey(service string, first uint32) string {
	return fmt.Sprintf("%sspan/%05d", ServicePrefix(service), first)
}
func ShardSlotKey(service string, slot uint32) string {
	return fmt.Sprintf("%sslot/%03d", ServicePrefix(service), slot)
}

// AcceptedKey is the row of an accepted configuration. It lies in a slice that only machines with a disk hold.
func AcceptedKey(version uint64) string { return fmt.Sprintf("%s%020d", AcceptedPrefix, version) }

// AcceptedPrefix is the slice of the accepted configurations, the oldest first.
const AcceptedPrefix = "accepted/"

// The single rows.
const (
	HeadKey     = "catalog/head"
	DocumentKey = "catalog/document"
	SystemKey   = "system"
	LimitsKey   = "limits"
	// VersionKey is the version that the fleet uses. It lies in a slice that every node holds and in which version 1 passes over it.
	VersionKey = "catalog/head/version"
)

// EncodeRow makes a row of a message.
func EncodeRow(key string, message proto.Message) *schema.Row {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("encode row %s: %v", key, err))
	}
	return &schema.Row{Key: key, Value: value}
}

// Tombstone makes a row that takes another out.
func Tombstone(key string) *schema.Row { return &schema.Row{Key: key, Gone: true} }

// DecodeRow reads a row's message; a missing row gives nil.
func DecodeRow[T any, P interface {
	*T
	proto.Message
}](row *schema.Row) P {
	if row == nil || row.Gone {
		return nil
	}
	message := P(new(T))
	if err := proto.Unmarshal(row.Value, message); err != nil {
		return nil
	}
	return message
}

// Table is the state of one node: all rows or those of its slices.
type Table struct {
	rows    *redblacktree.Tree
	version raft.Index
	changes []*schema.Row
	since   raft.Index
}

// NewTable makes an empty table.
func NewTable() *Table { return &Table{rows: redblacktree.NewWithStringComparator()} }

// Version is the index that the table stands at.
func (t *Table) Version() raft.Index { return t.version }

// Size is the count of rows.
func (t *Table) Size() int { return t.rows.Size() }

// Get gives a row or nil.
func (t *Table) Get(key string) *schema.Row {
	if row, isThere := t.rows.Get(key); isThere {
		return row.(*schema.Row)
	}
	return nil
}

// Each visits the rows below a prefix in order.
func (t *Table) Each(prefix string, visit func(*schema.Row)) {
	node, isThere := t.rows.Ceiling(prefix)
	if !isThere {
		return
	}
	for it := t.rows.IteratorAt(node); ; {
		key := it.Key().(string)
		if !strings.HasPrefix(key, prefix) {
			return
		}
		visit(it.Value().(*schema.Row))
		if !it.Next() {
			return
		}
	}
}

// Apply takes a committed record; a record whose guards fail changes nothing.
func (t *Table) Apply(index raft.Index, record *schema.Record, check func(*Table, *schema.Row) error) ([]*schema.Row, error) {
	if index <= t.version {
		return nil, nil
	}
	t.version = index
	if record.Kind != schema.RecordKind_RECORD_ROWS {
		return nil, nil
	}
	for _, guard := range record.Guards {
		var at uint64
		if row := t.Get(guard.Key); row != nil {
			at = row.Index
		}
		if at != guard.Index {
			return nil, fmt.Errorf("row %s stands at %d, not %d; read it again and repeat", guard.Key, at, guard.Index)
		}
	}
	for _, row := range record.Rows {
		if check != nil && !row.Gone {
			if err := check(t, row); err != nil {
				return nil, err
			}
		}
	}
	changed := make([]*schema.Row, 0, len(record.Rows))
	for _, row := range record.Rows {
		fresh := &schema.Row{Key: row.Key, Value: row.Value, Gone: row.Gone, Index: uint64(index)}
		t.set(fresh)
		changed = append(changed, fresh)
	}
	t.remember(changed)
	return changed, nil
}

func (t *Table) set(row *schema.Row) {
	if row.Gone {
		t.rows.Remove(row.Key)
		return
	}
	t.rows.Put(row.Key, row)
}

func (t *Table) remember(rows []*schema.Row) {
	t.changes = append(t.changes, rows...)
	if extra := len(t.changes) - constants.DeltaKeep; extra > constants.DeltaKeep/4 {
		t.since = raft.Index(t.changes[extra-1].Index)
		t.changes = append([]*schema.Row(nil), t.changes[extra:]...)
	}
}

func within(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// Changes gives the rows of the slices changed after an index, or false if the table no longer remembers.
func (t *Table) Changes(after raft.Index, prefixes []string) ([]*schema.Row, bool) {
	if after < t.since {
		return nil, false
	}
	at := sort.Search(len(t.changes), func(i int) bool { return raft.Index(t.changes[i].Index) > after })
	var rows []*schema.Row
	for _, row := range t.changes[at:] {
		if within(row.Key, prefixes) {
			rows = append(rows, row)
		}
	}
	return rows, true
}

// Rows gives all rows of the slices.
func (t *Table) Rows(prefixes []string) []*schema.Row {
	var rows []*schema.Row
	for _, prefix := range prefixes {
		t.Each(prefix, func(row *schema.Row) { rows = append(rows, row) })
	}
	return rows
}

// Merge takes a delta from another node; an older one or one with a gap is refused.
func (t *Table) Merge(delta *schema.Delta) ([]*schema.Row, bool) {
	if raft.Index(delta.To) < t.version || !delta.All && raft.Index(delta.From) > t.version {
		return nil, false
	}
	var changed []*schema.Row
	kept := map[string]bool{}
	for _, row := range delta.Rows {
		kept[row.Key] = true
	}
	for _, row := range t.Rows(delta.Whole) {
		if !kept[row.Key] {
			gone := &schema.Row{Key: row.Key, Gone: true, Index: delta.To}
			changed = append(changed, gone)
			t.set(gone)
		}
	}
	for _, row := range delta.Rows {
		own := t.Get(row.Key)
		isNewer := own == nil && !row.Gone || own != nil && row.Index > own.Index
		if isNewer || own != nil && !row.Gone && within(row.Key, delta.Whole) && !bytes.Equal(own.Value, row.Value) {
			changed = append(changed, row)
			t.set(row)
		}
	}
	t.version = raft.Index(delta.To)
	if len(delta.Whole) > 0 {
		t.changes, t.since = nil, raft.Index(delta.To)
	} else {
		t.remember(changed)
	}
	return changed, true
}

// Forget drops the rows outside the slices.
func (t *Table) Forget(prefixes []string) []*schema.Row {
	var gone []*schema.Row
	t.Each("", func(row *schema.Row) {
		if !within(row.Key, prefixes) {
			gone = append(gone, &schema.Row{Key: row.Key, Gone: true, Index: uint64(t.version)})
		}
	})
	for _, row := range gone {
		t.rows.Remove(row.Key)
	}
	return gone
}

// Whole gives a snapshot of everything.
func (t *Table) Whole() *schema.Snapshot {
	return &schema.Snapshot{Index: uint64(t.version), Rows: t.Rows(All)}
}

// Restore replaces everything by a snapshot.
func (t *Table) Restore(snapshot *schema.Snapshot) {
	t.rows.Clear()
	for _, row := range snapshot.Rows {
		t.rows.Put(row.Key, row)
	}
	t.version, t.since, t.changes = raft.Index(snapshot.Index), raft.Index(snapshot.Index), nil
}

// Digest is the digest of a range.
func (t *Table) Digest(prefix string) *schema.RangeDigest {
	sum := sha256.New()
	count := uint64(0)
	t.Each(prefix, func(row *schema.Row) {
		var head [16]byte
		binary.BigEndian.PutUint64(head[:], uint64(len(row.Key)))
		binary.BigEndian.PutUint64(head[8:], row.Index)
		sum.Write(head[:])
		sum.Write([]byte(row.Key))
		sum.Write(row.Value)
		count++
	})
	return &schema.RangeDigest{Prefix: prefix, Digest: sum.Sum(nil)[:16], Rows: count}
}

// Differing names the ranges whose digests differ from another node's at the same version.
func (t *Table) Differing(ranges []*schema.RangeDigest) []string {
	var names []string
	for _, other := range ranges {
		if own := t.Digest(other.Prefix); !bytes.Equal(own.Digest, other.Digest) {
			names = append(names, other.Prefix)
		}
	}
	return names
}

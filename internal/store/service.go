package store

import (
	"slices"
	"sort"
	"strings"

	"topazshed/internal/schema"
)

// Service is the compiled form of one service's rows. It is never changed once it is published.
type Service struct {
	Name string
	// Entries are sorted by path, the longest first.
	Entries []*schema.Entry
	// Assignments are the entries' failover assignments, by path and region.
	Assignments map[string]map[string]*schema.FailoverAssignment
	// Entities are by path.
	Entities map[string]*schema.Entity
	Backends []*schema.Backend
	// Slots are by number.
	Slots map[uint32]*schema.ShardSlot
	// Policy is nil where the service has none.
	Policy *schema.ServicePolicy
	// ShardRanges are sorted by their first key and don't overlap.
	ShardRanges []*schema.ShardRange
	// isSorted says that Backends are sorted by instance, as a table gives them.
	isSorted bool
}

// Entry returns the entry with the longest path that a path lies at or below, or nil.
func (s *Service) Entry(path string) *schema.Entry {
	for _, entry := range s.Entries {
		if path == entry.Path || strings.HasPrefix(path, strings.TrimSuffix(entry.Path, "/")+"/") {
			return entry
		}
	}
	return nil
}

// ShardRange returns the range that a key lies in, or nil.
func (s *Service) ShardRange(key uint32) *schema.ShardRange {
	i := sort.Search(len(s.ShardRanges), func(i int) bool { return s.ShardRanges[i].Last >= key })
	if i < len(s.ShardRanges) && s.ShardRanges[i].First <= key {
		return s.ShardRanges[i]
	}
	return nil
}

// Backend returns the back end of an instance, or nil.
func (s *Service) Backend(instance string) *schema.Backend {
	if !s.isSorted {
		return s.searchBackend(instance)
	}
	i, isPresent := slices.BinarySearchFunc(s.Backends, instance, func(backend *schema.Backend, instance string) int {
		return strings.Compare(backend.Instance, instance)
	})
	if !isPresent {
		return nil
	}
	return s.Backends[i]
}

// searchBackend looks at every back end: of a Service that was not compiled, they stand in any order.
func (s *Service) searchBackend(instance string) *schema.Backend {
	for _, backend := range s.Backends {
		if backend.Instance == instance {
			return backend
		}
	}
	return nil
}

// compileService compiles a service's rows; it returns nil where there are none.
func compileService(table *Table, name string) *Service {
	service := &Service{
		Name:        name,
		Assignments: map[string]map[string]*schema.FailoverAssignment{},
		Entities:    map[string]*schema.Entity{},
		Slots:       map[uint32]*schema.ShardSlot{},
	}
	prefix := ServicePrefix(name)
	hasRows := false
	table.Each(prefix, func(row *schema.Row) {
		hasRows = true
		kind, _, _ := strings.Cut(strings.TrimPrefix(row.Key, prefix), "/")
		service.addRow(kind, row)
	})
	if !hasRows {
		return nil
	}
	service.isSorted = slices.IsSortedFunc(service.Backends, func(a, b *schema.Backend) int {
		return strings.Compare(a.Instance, b.Instance)
	})
	sort.SliceStable(service.Entries, func(a, b int) bool {
		return len(service.Entries[a].Path) > len(service.Entries[b].Path)
	})
	return service
}

// addRow adds a row of a kind. Rows of unknown kinds and rows that can't be read are passed over.
func (s *Service) addRow(kind string, row *schema.Row) {
	switch kind {
	case kindEntry:
		if entry := DecodeRow[schema.Entry](row); entry != nil {
			s.Entries = append(s.Entries, entry)
		}
	case kindAssignment:
		if assignment := DecodeRow[schema.FailoverAssignment](row); assignment != nil {
			s.addAssignment(assignment)
		}
	case kindEntity:
		if entity := DecodeRow[schema.Entity](row); entity != nil {
			s.Entities[entity.Path] = entity
		}
	case kindBackend:
		if backend := DecodeRow[schema.Backend](row); backend != nil {
			s.Backends = append(s.Backends, backend)
		}
	case kindServicePolicy:
		s.Policy = DecodeRow[schema.ServicePolicy](row)
	case kindShardRange:
		if shardRange := DecodeRow[schema.ShardRange](row); shardRange != nil {
			s.ShardRanges = append(s.ShardRanges, shardRange)
		}
	case kindShardSlot:
		if slot := DecodeRow[schema.ShardSlot](row); slot != nil {
			s.Slots[slot.Slot] = slot
		}
	}
}

func (s *Service) addAssignment(assignment *schema.FailoverAssignment) {
	if s.Assignments[assignment.Path] == nil {
		s.Assignments[assignment.Path] = map[string]*schema.FailoverAssignment{}
	}
	s.Assignments[assignment.Path][assignment.Region] = assignment
}

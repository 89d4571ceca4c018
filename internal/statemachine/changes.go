package statemachine

import (
	"slices"
	"strings"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// changeHistory holds the newest changes of failover assignments, oldest first, as they were applied from the log.
type changeHistory struct{ newest []*schema.FailoverChange }

// note takes an applied item, the failover numbers before it, and the rows that it changed.
func (h *changeHistory) note(item *schema.LogItem, before map[string]uint64, rows []*schema.Row) {
	if len(before) == 0 {
		return
	}
	for _, row := range rows {
		from, isNoted := before[row.Key]
		assignment := store.DecodeRow[schema.FailoverAssignment](row)
		if !isNoted || assignment == nil || assignment.Number == from {
			continue
		}
		h.newest = append(h.newest, changeOf(item, from, assignment))
	}
	if extra := len(h.newest) - constants.ChangesKept; extra > 0 {
		h.newest = slices.Clone(h.newest[extra:])
	}
}

func changeOf(item *schema.LogItem, from uint64, assignment *schema.FailoverAssignment) *schema.FailoverChange {
	return &schema.FailoverChange{
		Service:  assignment.Service,
		Path:     assignment.Path,
		Region:   assignment.Region,
		From:     from,
		To:       assignment.Number,
		Cause:    assignment.Reason,
		Evidence: item.Record.Evidence,
		Index:    item.Index,
		Term:     item.Term,
		Leader:   item.Record.Leader,
		AtMs:     item.Record.AtMs,
	}
}

// assignmentNumbers are the present failover numbers of the failover assignments that a record would change, by row key;
// nil if it would change none.
func assignmentNumbers(table *store.Table, record *schema.Record) map[string]uint64 {
	var numbers map[string]uint64
	for _, row := range record.GetRows() {
		if !isAssignment(row.Key) {
			continue
		}
		if numbers == nil {
			numbers = map[string]uint64{}
		}
		numbers[row.Key] = store.DecodeRow[schema.FailoverAssignment](table.Get(row.Key)).GetNumber()
	}
	return numbers
}

// isAssignment tells whether a row key is that of a region's default failover assignment, or of an entry's.
func isAssignment(key string) bool {
	if strings.HasPrefix(key, store.DefaultAssignmentKey("")) {
		return true
	}
	parts := strings.SplitN(key, "/", 4)
	return len(parts) == 4 && parts[0] == "s" && parts[2] == "standing"
}

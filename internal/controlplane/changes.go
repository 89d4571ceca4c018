package controlplane

import (
	"slices"
	"strings"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func isAssignment(key string) bool {
	if strings.HasPrefix(key, "standing/") {
		return true
	}
	parts := strings.SplitN(key, "/", 4)
	return len(parts) == 4 && parts[0] == "s" && parts[2] == "standing"
}

// numbersOf are the failover numbers of the failover assignments that a record would change.
func (c *Machine) numbersOf(record *schema.Record) map[string]uint64 {
	var numbers map[string]uint64
	for _, row := range record.GetRows() {
		if isAssignment(row.Key) {
			if numbers == nil {
				numbers = map[string]uint64{}
			}
			numbers[row.Key] = store.DecodeRow[schema.FailoverAssignment](c.table.Get(row.Key)).GetNumber()
		}
	}
	return numbers
}

// noteChanges remembers the newest changes of failover assignment as they are applied from the log.
func (c *Machine) noteChanges(item *schema.LogItem, before map[string]uint64, rows []*schema.Row) {
	if len(before) == 0 {
		return
	}
	for _, row := range rows {
		from, isNoted := before[row.Key]
		fresh := store.DecodeRow[schema.FailoverAssignment](row)
		if !isNoted || fresh == nil || fresh.Number == from {
			continue
		}
		c.changes = append(c.changes, &schema.FailoverChange{Service: fresh.Service, Path: fresh.Path, Region: fresh.Region, From: from, To: fresh.Number, Cause: fresh.Reason,
			Evidence: item.Record.Evidence, Index: item.Index, Term: item.Term, Leader: item.Record.Leader, AtMs: item.Record.AtMs})
	}
	if extra := len(c.changes) - constants.ChangesKept; extra > 0 {
		c.changes = slices.Clone(c.changes[extra:])
	}
}

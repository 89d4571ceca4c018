package statemachine

import (
	"maps"
	"strings"
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Parts of the keys of rows that can be fenced.
const (
	assignmentPart = "/standing/"
	entityPart     = "/entity/"
)

// fenceTracker knows when this node saw rows fenced and opened. Its maps are replaced and never changed once they are handed out.
type fenceTracker struct {
	fenced map[string]time.Duration
	opened map[string]time.Duration
	// openedNumbers are the failover numbers that the entities in opened had.
	openedNumbers map[string]uint64
}

func newFenceTracker() *fenceTracker {
	return &fenceTracker{fenced: map[string]time.Duration{}, opened: map[string]time.Duration{}, openedNumbers: map[string]uint64{}}
}

// reset forgets the fences; which entities were opened stays known.
func (f *fenceTracker) reset() { f.fenced = map[string]time.Duration{} }

// note takes changed rows.
func (f *fenceTracker) note(now time.Duration, rows []*schema.Row) {
	fenced := f.fenced
	isCloned := false
	for _, row := range rows {
		isFenced, isFenceable := f.readFence(now, row)
		_, isNoted := fenced[row.Key]
		if !isFenceable || !isFenced && !isNoted {
			continue
		}
		if !isCloned {
			fenced, isCloned = maps.Clone(fenced), true
		}
		if isFenced {
			fenced[row.Key] = now
		} else {
			delete(fenced, row.Key)
		}
	}
	f.fenced = fenced
}

// readFence tells whether a row is fenced, and whether its kind can be; it notes an entity that is open.
func (f *fenceTracker) readFence(now time.Duration, row *schema.Row) (isFenced, isFenceable bool) {
	switch {
	case strings.Contains(row.Key, assignmentPart):
		return store.DecodeRow[schema.FailoverAssignment](row).GetFenced(), true
	case strings.Contains(row.Key, entityPart):
		entity := store.DecodeRow[schema.Entity](row)
		f.noteOpened(now, row.Key, entity)
		return entity.GetFenced(), true
	}
	return false, false
}

func (f *fenceTracker) noteOpened(now time.Duration, key string, entity *schema.Entity) {
	if entity == nil || entity.Fenced || f.openedNumbers[key] == entity.Number {
		return
	}
	f.openedNumbers[key] = entity.Number
	f.opened = maps.Clone(f.opened)
	f.opened[key] = now
}

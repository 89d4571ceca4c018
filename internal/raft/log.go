package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
)

// raftLog is the part of the replicated log that a member holds in memory: the entries after the compacted ones.
//
// Invariants:
//   - entries[i] has index firstIndex()+i; there are no gaps.
//   - snapshotIndex <= applied <= committed <= lastIndex().
//   - Entries below unsynced are on this member's disk as they stand here.
//   - A committed entry is never replaced.
type raftLog struct {
	// snapshotIndex and snapshotTerm are the position of the newest entry that is no longer in memory.
	snapshotIndex Index
	snapshotTerm  Term
	// snapshotMembers is the membership at snapshotIndex.
	snapshotMembers *schema.Members
	entries         []*schema.LogItem
	// bytes is the encoded size of the entries.
	bytes     int
	unsynced  Index
	committed Index
	applied   Index
}

// newLog restores the log from what a member's disk held.
func newLog(snapshot *schema.Snapshot, entries []*schema.LogItem, hardState *schema.HardState) *raftLog {
	l := &raftLog{snapshotMembers: &schema.Members{}}
	if snapshot != nil {
		l.snapshotIndex, l.snapshotTerm = Index(snapshot.Index), Term(snapshot.Term)
		l.snapshotMembers = snapshot.Members
		l.committed, l.applied = l.snapshotIndex, l.snapshotIndex
	}
	l.entries = entries
	l.bytes = l.bytesAfter(l.snapshotIndex)
	l.unsynced = l.lastIndex() + 1
	l.committed = max(l.committed, min(Index(hardState.GetCommit()), l.lastIndex()))
	return l
}

func (l *raftLog) firstIndex() Index { return l.snapshotIndex + 1 }

func (l *raftLog) lastIndex() Index { return l.snapshotIndex + Index(len(l.entries)) }

func (l *raftLog) lastTerm() Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, or false where the log doesn't hold that index.
func (l *raftLog) term(index Index) (Term, bool) {
	switch {
	case index == l.snapshotIndex:
		return l.snapshotTerm, true
	case index < l.snapshotIndex || index > l.lastIndex():
		return 0, false
	}
	return Term(l.entries[index-l.firstIndex()].Term), true
}

// entriesFrom returns the entries from an index on. The caller must not change them.
func (l *raftLog) entriesFrom(index Index) []*schema.LogItem { return l.entries[index-l.firstIndex():] }

// bytesAfter returns the encoded size of the entries above an index.
func (l *raftLog) bytesAfter(index Index) int {
	bytes := 0
	for _, entry := range l.entries[max(index, l.snapshotIndex)-l.snapshotIndex:] {
		bytes += proto.Size(entry)
	}
	return bytes
}

// propose appends a record of this member, as the leader of a term.
func (l *raftLog) propose(term Term, record *schema.Record) Index {
	index := l.lastIndex() + 1
	l.append(&schema.LogItem{Index: uint64(index), Term: uint64(term), Record: record})
	l.unsynced = min(l.unsynced, index)
	return index
}

func (l *raftLog) append(entry *schema.LogItem) {
	l.entries = append(l.entries, entry)
	l.bytes += proto.Size(entry)
}

// merge adds a leader's entries. Entries that are here already stay; from the first one of another term on, the log
// is replaced.
func (l *raftLog) merge(entries []*schema.LogItem) {
	for _, entry := range entries {
		index := Index(entry.Index)
		term, isPresent := l.term(index)
		if isPresent && term == Term(entry.Term) {
			continue
		}
		if isPresent {
			l.truncate(index)
		}
		l.append(entry)
	}
}

// truncate drops the entries from an index on.
func (l *raftLog) truncate(index Index) {
	if index <= l.committed {
		panic("raft: a committed entry would be replaced")
	}
	l.bytes -= l.bytesAfter(index - 1)
	l.entries = l.entries[:index-l.firstIndex()]
	l.unsynced = min(l.unsynced, index)
}

func (l *raftLog) commitTo(index Index) { l.committed = max(l.committed, index) }

// synced records that the disk holds the log up to an entry, unless that entry was replaced meanwhile.
func (l *raftLog) synced(entry *schema.LogItem) {
	term, isPresent := l.term(Index(entry.Index))
	if isPresent && term == Term(entry.Term) {
		l.unsynced = max(l.unsynced, Index(entry.Index)+1)
	}
}

// unsyncedEntries returns the entries that are still to be written to disk.
func (l *raftLog) unsyncedEntries() []*schema.LogItem {
	if l.unsynced > l.lastIndex() {
		return nil
	}
	return slices.Clone(l.entriesFrom(l.unsynced))
}

// takeCommitted returns the committed entries that were not applied yet, and counts them as applied.
func (l *raftLog) takeCommitted() []*schema.LogItem {
	entries := l.entries[l.applied-l.snapshotIndex : l.committed-l.snapshotIndex]
	l.applied = l.committed
	return entries
}

// members returns the newest membership in the log, committed or not, and the index of its entry; the snapshot's
// where no entry changes it.
func (l *raftLog) members() (*schema.Members, Index) { return l.membersAt(l.lastIndex()) }

// membersAt returns the membership as of an index, and the index of the entry that made it.
func (l *raftLog) membersAt(index Index) (*schema.Members, Index) {
	for i := int(index-l.snapshotIndex) - 1; i >= 0; i-- {
		if entry := l.entries[i]; entry.Record.Kind == schema.RecordKind_RECORD_MEMBERS {
			return entry.Record.Members, Index(entry.Index)
		}
	}
	return l.snapshotMembers, l.snapshotIndex
}

// compact drops the entries up to an index, which must be in the log.
func (l *raftLog) compact(index Index) {
	term, _ := l.term(index)
	members, _ := l.membersAt(index)
	l.entries = slices.Clone(l.entriesFrom(index + 1))
	l.snapshotIndex, l.snapshotTerm, l.snapshotMembers = index, term, members
	l.bytes = l.bytesAfter(index)
}

// restore replaces the whole log by a snapshot of a leader.
func (l *raftLog) restore(snapshot *schema.Snapshot) {
	index := Index(snapshot.Index)
	l.snapshotIndex, l.snapshotTerm, l.snapshotMembers = index, Term(snapshot.Term), snapshot.Members
	l.entries, l.bytes = nil, 0
	l.unsynced = index + 1
	l.committed, l.applied = index, index
}

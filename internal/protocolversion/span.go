// Package protocolversion is the agreement on ways of speaking: what each version changes, who can speak with whom, and when the fleet may rise.
package protocolversion

import (
	"fmt"
	"slices"
)

// Feature is something that a version brought.
type Feature string

// The features that depend on a version.
const (
	// SenderOnce: a frame names its sender only where it differs from what its connection has told.
	SenderOnce Feature = "senders are told once a connection"
	// SpanAnnounced: the first frame of a connection, whole heartbeats and the rows of nodes tell the span of versions that a process speaks.
	SpanAnnounced Feature = "spans are told in first frames and whole beats"
	// FleetRow: the version that the fleet uses is a row; snapshots and hard states carry it.
	FleetRow Feature = "the fleet's version is a row, and stands on disks"
)

// Version is one way of speaking and what it changes against the one before.
type Version struct {
	Number   uint32
	Features []Feature
}

// First is the version of a process that tells none; Newest is the highest that this program speaks.
const (
	First  uint32 = 1
	Newest uint32 = 2
)

// Most is the highest number that a version can have: a span that reaches further is noise, not a process from far in the future.
const Most uint32 = 1<<16 - 1

// List has every version that this program speaks, the oldest first.
var List = []Version{
	{First, nil},
	{2, []Feature{SenderOnce, SpanAnnounced, FleetRow}},
}

// Span is the versions that a process speaks, both ends included; the zero value is this program's own.
type Span struct{ Low, High uint32 }

// Own is what this program speaks.
var Own = Span{First, Newest}

// OrOwn gives the span, or this program's own for the zero value.
func (s Span) OrOwn() Span {
	if s == (Span{}) {
		return Own
	}
	return s
}

func (s Span) String() string { return fmt.Sprintf("%d to %d", s.Low, s.High) }

// Has tells whether the span reaches a version.
func (s Span) Has(version uint32) bool { return s.Low <= version && version <= s.High }

// Wire gives the two fields that tell the span; ends at First are left out.
func (s Span) Wire() (low, high uint32) {
	if s.Low > First {
		low = s.Low
	}
	if s.High > First {
		high = s.High
	}
	return low, high
}

// ImpossibleError says that a peer reservations a span that no process can speak.
type ImpossibleError struct{ Low, High uint32 }

func (e *ImpossibleError) Error() string {
	return fmt.Sprintf("versions %d to %d can't be spoken by any process; check what program speaks at that address", e.Low, e.High)
}

// DisjointError says that two processes have no version in common.
type DisjointError struct{ Own, Peer Span }

func (e *DisjointError) Error() string {
	remedy := "roll the older node on first"
	if e.Own.High < e.Peer.Low {
		remedy = "roll this node on first"
	}
	return fmt.Sprintf("the peer speaks versions %v, this node %v: none in common; %s, one release at a time", e.Peer, e.Own, remedy)
}

// FleetError says that the fleet uses a version that this process does not speak.
type FleetError struct {
	Fleet uint32
	Own   Span
}

func (e *FleetError) Error() string {
	return fmt.Sprintf("the fleet uses version %d, this program speaks %v; it neither joins nor votes: start a program that speaks version %d", e.Fleet, e.Own, e.Fleet)
}

// DiskError says that a disk was written by a version that this process does not read.
type DiskError struct {
	What string
	Disk uint32
	Own  Span
}

func (e *DiskError) Error() string {
	version := "an unknown, newer version"
	if e.Disk > 0 {
		version = fmt.Sprintf("version %d", e.Disk)
	}
	return fmt.Sprintf("%s on this disk is of %s, this program reads %v; nothing was changed: start the newer program again, or give the machine an empty data folder", e.What, version, e.Own)
}

// KindError says that the log holds a record of a kind that this process does not know.
type KindError struct {
	Kind  int32
	Index uint64
}

func (e *KindError) Error() string {
	return fmt.Sprintf("record %d of the log is of the unknown kind %d; this node can't go on without it: start the program that the other voters run", e.Index, e.Kind)
}

// ReadSpan reads the two fields that tell a span.
func ReadSpan(low, high uint32) (Span, error) {
	span := Span{max(low, First), max(high, First)}
	if span.Low > span.High || span.High > Most {
		return Span{}, &ImpossibleError{low, high}
	}
	return span, nil
}

// Agree gives the highest version that both speak.
func Agree(own, peer Span) (uint32, error) {
	highest := min(own.High, peer.High)
	if highest < max(own.Low, peer.Low) {
		return 0, &DisjointError{own, peer}
	}
	return highest, nil
}

// Has tells whether a version has a feature.
func Has(version uint32, feature Feature) bool {
	return slices.ContainsFunc(List, func(v Version) bool { return v.Number <= version && slices.Contains(v.Features, feature) })
}

// InUse reads the fleet's version; an absent one is the first.
func InUse(announced uint32) uint32 { return max(announced, First) }

// CheckFleet refuses a fleet that uses what a process does not speak.
func CheckFleet(own Span, fleet uint32) error {
	if own.Has(InUse(fleet)) {
		return nil
	}
	return &FleetError{InUse(fleet), own}
}

// CheckDisk refuses a disk that a process may not read. An older one is always read: a version that can't be must convert it.
func CheckDisk(own Span, what string, disk uint32) error {
	if InUse(disk) <= own.High {
		return nil
	}
	return &DiskError{what, disk, own}
}

// Reader is a process that must be able to read what the fleet uses.
type Reader struct {
	ID      string
	Span    Span
	IsVoter bool
	// IsHeard tells that it was heard of lately and that its row tells this span.
	IsHeard bool
}

// Hold is why the fleet's version can't rise yet.
type Hold struct {
	ID     string
	Reason string
}

// Rise gives the version that the fleet may rise to, or the one in use and who holds it back. A silent reader holds it: what it runs when it
// comes back is not known. It never falls.
func Rise(inUse uint32, own Span, readers []Reader) (uint32, []Hold) {
	inUse = InUse(inUse)
	next := own.High
	var holds []Hold
	for _, r := range readers {
		next = min(next, r.Span.High)
	}
	for _, r := range readers {
		kind := "node"
		if r.IsVoter {
			kind = "member of the log"
		}
		switch {
		case !r.IsHeard:
			holds = append(holds, Hold{r.ID, kind + " is silent or not in the table yet; bring it back, or wait until it is taken out"})
		case r.Span.Low > next:
			holds = append(holds, Hold{r.ID, fmt.Sprintf("%s speaks versions %v, others none above %d; roll the older nodes on first", kind, r.Span, next)})
		case r.Span.High < own.High:
			holds = append(holds, Hold{r.ID, fmt.Sprintf("%s speaks versions %v; roll it on to version %d", kind, r.Span, own.High)})
		}
	}
	isBarred := slices.ContainsFunc(readers, func(r Reader) bool { return !r.IsHeard || r.Span.Low > next })
	if isBarred || next <= inUse || len(readers) == 0 {
		return inUse, holds
	}
	return next, holds
}

package protocolversion

import (
	"fmt"
)

// InUse reads the fleet's version; an absent one is First.
func InUse(announced uint32) Version { return max(Version(announced), First) }

// CheckFleet refuses a fleet that uses what a process does not speak. Its error is a *FleetError.
func CheckFleet(own Span, fleet Version) error {
	fleet = max(fleet, First)
	if own.Has(fleet) {
		return nil
	}
	return &FleetError{fleet, own}
}

// CheckDisk refuses a disk that a process may not read. An older one is always read: a version that can't be must
// convert it. Its error is a *DiskError.
func CheckDisk(own Span, what string, disk Version) error {
	if max(disk, First) <= own.High {
		return nil
	}
	return &DiskError{what, disk, own}
}

// Reader is a process that must be able to read what the fleet uses.
type Reader struct {
	ID      string
	Span    Span
	IsVoter bool
	// IsHeard is true if the process was heard of lately and its row has this span.
	IsHeard bool
}

// kind names the reader's part in the fleet for messages.
func (r Reader) kind() string {
	if r.IsVoter {
		return "member of the log"
	}
	return "node"
}

// Blocker is a process that keeps the fleet's version from rising further, and why.
type Blocker struct {
	ID     string
	Reason string
}

// Rise returns the version that the fleet may rise to, or the one in use, and who keeps it from rising to this
// program's newest. A reader that was not heard of keeps it, since what that one runs when it comes back is not known.
// The version never falls.
func Rise(inUse Version, own Span, readers []Reader) (Version, []Blocker) {
	inUse = max(inUse, First)
	next := own.High
	for _, reader := range readers {
		next = min(next, reader.Span.High)
	}
	var blockers []Blocker
	mayRise := len(readers) > 0 && next > inUse
	for _, reader := range readers {
		if reason := whyBlocked(reader, own, next); reason != "" {
			blockers = append(blockers, Blocker{reader.ID, reason})
		}
		if !reader.IsHeard || reader.Span.Low > next {
			mayRise = false
		}
	}
	if !mayRise {
		return inUse, blockers
	}
	return next, blockers
}

// whyBlocked says why a reader keeps the fleet from rising to the newest version, or "" if it does not.
func whyBlocked(reader Reader, own Span, next Version) string {
	switch {
	case !reader.IsHeard:
		return reader.kind() + " was not heard of lately or is not in the table yet; bring it back, or wait until it is taken out"
	case reader.Span.Low > next:
		return fmt.Sprintf("%s speaks versions %v, others none above %d; roll the older nodes on first", reader.kind(), reader.Span, next)
	case reader.Span.High < own.High:
		return fmt.Sprintf("%s speaks versions %v; roll it on to version %d", reader.kind(), reader.Span, own.High)
	default:
		return ""
	}
}

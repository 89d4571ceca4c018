package checker

import (
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"
)

// unknownEntry is the kind of a refusal that says that no entry covers the request.
const unknownEntry = "unknown-entry"

// pathCovers tells whether an entry's path covers a request's by whole parts.
func pathCovers(path, entry string) bool {
	return path == entry || strings.HasPrefix(path, strings.TrimSuffix(entry, "/")+"/")
}

// isAccepted tells whether an operator's request of a kind was accepted.
func (o *OperatorEvent) isAccepted(what OperatorAction) bool {
	return o.What == what && o.Status == http.StatusOK
}

// acceptedPuts gives the accepted configurations by version.
func acceptedPuts(h *History) []OperatorEvent {
	var puts []OperatorEvent
	for _, o := range h.Operators {
		if o.isAccepted(OperatorPut) {
			puts = append(puts, o)
		}
	}
	sort.Slice(puts, func(a, b int) bool { return puts[a].Version < puts[b].Version })
	return puts
}

// inForce gives the configurations by which a node may decide at a time.
func inForce(puts []OperatorEvent, at time.Duration) []OperatorEvent {
	var found []OperatorEvent
	for i, put := range puts {
		isReplaced := i+1 < len(puts) && puts[i+1].End+effectBound <= at
		if put.At <= at && !isReplaced {
			found = append(found, put)
		}
	}
	return found
}

// entryOf gives the entry with the longest path that covers a request, or nil.
func entryOf(put OperatorEvent, service, path string) *EntrySeen {
	var best *EntrySeen
	for i := range put.Entries {
		entry := &put.Entries[i]
		if entry.Service != service || !pathCovers(path, entry.Path) {
			continue
		}
		if best == nil || len(entry.Path) > len(best.Path) {
			best = entry
		}
	}
	return best
}

// checkAllowed: a back end gets only requests of its own service that a configuration in force allows.
func checkAllowed(h *History) *Verdict {
	v := &Verdict{Rule: "allowed"}
	puts := acceptedPuts(h)
	for _, a := range h.Arrivals {
		v.Count++
		isOwnService := strings.HasPrefix(a.Instance, a.Service+"-")
		hasEntry := slices.ContainsFunc(inForce(puts, a.At), func(put OperatorEvent) bool {
			entry := entryOf(put, a.Service, a.Path)
			return entry != nil && slices.Contains(entry.Methods, a.Method)
		})
		if !isOwnService || !hasEntry {
			v.addViolation("%s %s%s reached %s at %v without an entry", a.Method, a.Service, a.Path, a.Instance, a.At)
		}
	}
	return v
}

// checkHome: a back end gets only requests of entries that may run in its region.
func checkHome(h *History) *Verdict {
	v := &Verdict{Rule: "home"}
	puts := acceptedPuts(h)
	for _, a := range h.Arrivals {
		v.Count++
		isHome, isKnown := false, false
		region := h.RegionOf(h.Zones[a.Instance])
		for _, put := range inForce(puts, a.At) {
			entry := entryOf(put, a.Service, a.Path)
			if entry == nil {
				continue
			}
			isKnown = true
			isHome = isHome || len(entry.Homes) == 0 || slices.Contains(entry.Homes, region)
		}
		if isKnown && !isHome {
			v.addViolation("%s%s reached %s in %s outside its home regions", a.Service, a.Path, a.Instance, h.Zones[a.Instance])
		}
	}
	return v
}

// checkEffect: an accepted configuration is known everywhere within effectBound, and no node goes back to an older one.
func checkEffect(h *History) *Verdict {
	v := &Verdict{Rule: "effect", Bound: effectBound}
	puts := acceptedPuts(h)
	newest := map[string]uint64{}
	for _, m := range h.Matches {
		if m.Status != http.StatusOK || m.IsCutOff {
			continue
		}
		checkMatchVersion(v, puts, m)
		if m.Version < newest[m.Admin] {
			v.addViolation("%s went back from version %d to %d at %v", m.Admin, newest[m.Admin], m.Version, m.At)
		}
		newest[m.Admin] = max(newest[m.Admin], m.Version)
	}
	for _, put := range puts {
		v.Count++
		checkUnknownEntries(v, h, puts, put)
	}
	return v
}

// checkMatchVersion checks that a directory's answer is by a configuration that was not replaced effectBound ago.
func checkMatchVersion(v *Verdict, puts []OperatorEvent, m MatchSeen) {
	for _, put := range puts {
		if m.At <= put.End || m.Version >= put.Version {
			continue
		}
		v.observe(m.At - put.End)
		if m.At > put.End+effectBound {
			v.addViolation("%s still gave version %d at %v; %d was accepted at %v", m.Admin, m.Version, m.At, put.Version, put.End)
		}
	}
}

// checkUnknownEntries checks that no request is refused as unknown though every configuration in force has its entry.
func checkUnknownEntries(v *Verdict, h *History, puts []OperatorEvent, put OperatorEvent) {
	for _, r := range h.Replies {
		if r.At <= put.End+effectBound || r.Status != http.StatusNotFound || r.Kind != unknownEntry {
			continue
		}
		isMissing := slices.ContainsFunc(inForce(puts, r.At), func(o OperatorEvent) bool {
			return entryOf(o, r.Service, r.Path) == nil
		})
		if !isMissing {
			v.addViolation("send %s was refused as unknown at %v", r.Send, r.At)
		}
	}
}

// checkReadBack: no invalid configuration is accepted, only one on each base, and none older than the newest accepted
// one is read back.
func checkReadBack(h *History) *Verdict {
	v := &Verdict{Rule: "read-back"}
	acceptedAt := map[uint64]string{}
	acceptedOn := map[uint64]uint64{}
	for _, o := range h.Operators {
		switch {
		case o.isAccepted(OperatorPut):
			if other := acceptedOn[o.Base]; o.Base > 0 && other > 0 && other != o.Version {
				v.addViolation("versions %d and %d were both accepted on base %d", other, o.Version, o.Base)
			}
			acceptedOn[o.Base] = o.Version
			if first, isTwice := acceptedAt[o.Version]; isTwice {
				v.addViolation("version %d was accepted twice, at %s and %s", o.Version, first, o.Node)
			}
			acceptedAt[o.Version] = o.Node
		case o.isAccepted(OperatorBadPut):
			v.addViolation("an invalid configuration was accepted as version %d", o.Version)
		case o.isAccepted(OperatorShow):
			v.Count++
			checkShown(v, h, o)
		}
	}
	return v
}

// checkShown checks that a read-back is not older than what was accepted before it began.
func checkShown(v *Verdict, h *History, shown OperatorEvent) {
	for _, put := range h.Operators {
		if put.isAccepted(OperatorPut) && put.End < shown.At && put.Version > shown.Version {
			v.addViolation("read-back at %v gave version %d after %d was accepted", shown.At, shown.Version, put.Version)
		}
	}
}

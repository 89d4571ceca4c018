package checker

import (
	"math"
	"slices"
	"time"
)

// checkGone: a back end gets no request drainBound after the list showed that it drains or is gone.
func checkGone(h *History) *Verdict {
	v := &Verdict{Rule: "gone", Bound: drainBound}
	goneAt := map[string]time.Duration{}
	for _, e := range h.Platform {
		_, isKnown := goneAt[e.Instance]
		if !isKnown && (e.What == BackendDraining || e.What == BackendGone) {
			goneAt[e.Instance] = e.At
		}
	}
	v.Count = len(goneAt)
	for _, a := range h.Arrivals {
		at, isGone := goneAt[a.Instance]
		if !isGone || a.At <= at || a.IsCutOff {
			continue
		}
		v.observe(a.At - at)
		if a.At > at+drainBound {
			v.addViolation("%s got a request %v after it was known to go", a.Instance, a.At-at)
		}
	}
	return v
}

// checkCold: in any coldWindow a cold back end gets at most coldLimit requests.
func checkCold(h *History) *Verdict {
	v := &Verdict{Rule: "cold"}
	recent := map[string][]time.Duration{}
	for _, a := range h.Arrivals {
		isCold := slices.ContainsFunc(h.ColdStarts[a.Instance], func(start time.Duration) bool {
			return a.At >= start && a.At-start <= ColdPeriod
		})
		if !isCold {
			continue
		}
		window := append(recent[a.Instance], a.At)
		for a.At-window[0] > coldWindow {
			window = window[1:]
		}
		recent[a.Instance] = window
		v.Count = max(v.Count, len(window))
		if len(window) > coldLimit {
			v.addViolation("cold %s got %d requests in the %v before %v", a.Instance, len(window), coldWindow, a.At)
		}
	}
	return v
}

// checkEmptied: an emptied zone gets no request emptyBound after its acceptance was acknowledged.
func checkEmptied(h *History) *Verdict {
	v := &Verdict{Rule: "emptied", Bound: emptyBound}
	for i, empty := range h.Operators {
		if !empty.isAccepted(OperatorEmpty) {
			continue
		}
		v.Count++
		restoredAt := firstRestore(h.Operators[i+1:], empty.Zone)
		for _, a := range h.Arrivals {
			isInZone := h.Zones[a.Instance] == empty.Zone
			if !isInZone || a.At <= empty.End || a.At >= restoredAt || a.IsCutOff {
				continue
			}
			v.observe(a.At - empty.End)
			if a.At > empty.End+emptyBound {
				v.addViolation("%s in emptied %s got a request %v after acceptance", a.Instance, empty.Zone, a.At-empty.End)
			}
		}
		for _, r := range h.Replies {
			if r.Zone == empty.Zone && r.At > empty.End+emptyBound && r.At < restoredAt && !r.IsCutOff {
				v.addViolation("a caller was sent to a proxy in emptied %s %v after acceptance", empty.Zone, r.At-empty.End)
			}
		}
	}
	return v
}

// firstRestore tells when an operator first asked to restore a zone, accepted or not.
func firstRestore(later []OperatorEvent, zone string) time.Duration {
	for _, o := range later {
		if o.What == OperatorRestore && o.Zone == zone {
			return o.At
		}
	}
	return math.MaxInt64
}

// checkKeys: no two back ends work on requests for one key at the same time.
func checkKeys(h *History) *Verdict {
	v := &Verdict{Rule: "keys"}
	last := map[string]*Arrival{}
	for _, a := range h.Arrivals {
		if a.Key == "" || !a.IsRun {
			continue
		}
		v.Count++
		before := last[a.Service+a.Key]
		if before != nil && before.Instance != a.Instance && a.At < before.End {
			v.addViolation("key %s was served by %s and %s at once at %v", a.Key, before.Instance, a.Instance, a.At)
		}
		if before == nil || a.End > before.End {
			last[a.Service+a.Key] = a
		}
	}
	return v
}

package checker

import (
	"slices"
	"time"
)

func checkGone(h *History) *Verdict {
	v := &Verdict{Rule: "gone", Bound: drainBound}
	gone := map[string]time.Duration{}
	for _, e := range h.Platform {
		if _, isKnown := gone[e.Instance]; !isKnown && (e.What == "draining" || e.What == "gone") {
			gone[e.Instance] = e.At
		}
	}
	v.Count = len(gone)
	for _, a := range h.Arrivals {
		if at, isGone := gone[a.Instance]; isGone && a.At > at && !a.IsCutOff {
			v.observe(a.At - at)
			if a.At > at+drainBound {
				v.addViolation("%s got a request %v after it was known to go", a.Instance, a.At-at)
			}
		}
	}
	return v
}

func checkCold(h *History) *Verdict {
	v := &Verdict{Rule: "cold"}
	recent := map[string][]time.Duration{}
	for _, a := range h.Arrivals {
		isCold := slices.ContainsFunc(h.ColdStarts[a.Instance], func(born time.Duration) bool { return a.At >= born && a.At-born <= 8*time.Second })
		if !isCold {
			continue
		}
		list := append(recent[a.Instance], a.At)
		for a.At-list[0] > time.Second {
			list = list[1:]
		}
		recent[a.Instance] = list
		v.Count = max(v.Count, len(list))
		if len(list) > coldLimit {
			v.addViolation("cold %s got %d requests in the second before %v", a.Instance, len(list), a.At)
		}
	}
	return v
}

func checkEmptied(h *History) *Verdict {
	v := &Verdict{Rule: "emptied", Bound: emptyBound}
	for i, o := range h.Operators {
		if o.What != "empty" || o.Status != 200 {
			continue
		}
		v.Count++
		until := time.Duration(1<<62 - 1)
		for _, later := range h.Operators[i+1:] {
			if later.What == "restore" && later.Zone == o.Zone {
				until = later.At
				break
			}
		}
		for _, a := range h.Arrivals {
			if h.Zones[a.Instance] == o.Zone && a.At > o.End && a.At < until && !a.IsCutOff {
				v.observe(a.At - o.End)
				if a.At > o.End+emptyBound {
					v.addViolation("%s in emptied %s got a request %v after acceptance", a.Instance, o.Zone, a.At-o.End)
				}
			}
		}
		for _, r := range h.Replies {
			if r.Zone == o.Zone && r.At > o.End+emptyBound && r.At < until && !r.IsCutOff {
				v.addViolation("a caller was sent to a proxy in emptied %s %v after acceptance", o.Zone, r.At-o.End)
			}
		}
	}
	return v
}

func checkKeys(h *History) *Verdict {
	v := &Verdict{Rule: "keys"}
	last := map[string]*Arrival{}
	for _, a := range h.Arrivals {
		if a.Key == "" || !a.IsRun {
			continue
		}
		v.Count++
		if was := last[a.Service+a.Key]; was != nil && was.Instance != a.Instance && a.At < was.End {
			v.addViolation("key %s was served by %s and %s at once at %v", a.Key, was.Instance, a.Instance, a.At)
		}
		if was := last[a.Service+a.Key]; was == nil || a.End > was.End {
			last[a.Service+a.Key] = a
		}
	}
	return v
}

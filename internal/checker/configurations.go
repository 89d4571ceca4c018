package checker

import (
	"slices"
	"sort"
	"strings"
	"time"
)

func pathCovers(path, entry string) bool {
	return path == entry || strings.HasPrefix(path, strings.TrimSuffix(entry, "/")+"/")
}

func acceptedPuts(h *History) []OperatorEvent {
	var puts []OperatorEvent
	for _, o := range h.Operators {
		if o.What == "put" && o.Status == 200 {
			puts = append(puts, o)
		}
	}
	sort.Slice(puts, func(a, b int) bool { return puts[a].Version < puts[b].Version })
	return puts
}

func inForce(puts []OperatorEvent, at time.Duration) []OperatorEvent {
	var found []OperatorEvent
	for i, p := range puts {
		if p.At <= at && (i+1 == len(puts) || puts[i+1].End+effectBound > at) {
			found = append(found, p)
		}
	}
	return found
}

func entryOf(o OperatorEvent, service, path string) *EntrySeen {
	var best *EntrySeen
	for i := range o.Entries {
		if e := &o.Entries[i]; e.Service == service && pathCovers(path, e.Path) && (best == nil || len(e.Path) > len(best.Path)) {
			best = e
		}
	}
	return best
}

func checkAllowed(h *History) *Verdict {
	v := &Verdict{Rule: "allowed"}
	puts := acceptedPuts(h)
	for _, a := range h.Arrivals {
		v.Count++
		isAllowed := strings.HasPrefix(a.Instance, a.Service+"-")
		isEntry := slices.ContainsFunc(inForce(puts, a.At), func(o OperatorEvent) bool {
			e := entryOf(o, a.Service, a.Path)
			return e != nil && slices.Contains(e.Methods, a.Method)
		})
		if !isAllowed || !isEntry {
			v.addViolation("%s %s%s reached %s at %v without an entry", a.Method, a.Service, a.Path, a.Instance, a.At)
		}
	}
	return v
}

func checkEffect(h *History) *Verdict {
	v := &Verdict{Rule: "effect", Bound: effectBound}
	puts := acceptedPuts(h)
	newest := map[string]uint64{}
	sort.Slice(h.Matches, func(a, b int) bool { return h.Matches[a].At < h.Matches[b].At })
	for _, m := range h.Matches {
		if m.Status != 200 || m.IsCutOff {
			continue
		}
		for _, p := range puts {
			if m.At > p.End && m.Version < p.Version {
				v.observe(m.At - p.End)
				if m.At > p.End+effectBound {
					v.addViolation("%s still told version %d at %v; %d was accepted at %v", m.Admin, m.Version, m.At, p.Version, p.End)
				}
			}
		}
		if m.Version < newest[m.Admin] {
			v.addViolation("%s went back from version %d to %d at %v", m.Admin, newest[m.Admin], m.Version, m.At)
		}
		newest[m.Admin] = max(newest[m.Admin], m.Version)
	}
	for _, p := range puts {
		v.Count++
		for _, r := range h.Replies {
			if r.At > p.End+effectBound && r.Status == 404 && r.Kind == "unknown-entry" {
				isAllowed := true
				for _, o := range inForce(puts, r.At) {
					isAllowed = isAllowed && entryOf(o, r.Service, r.Path) != nil
				}
				if isAllowed {
					v.addViolation("send %s was declined as unknown at %v", r.Send, r.At)
				}
			}
		}
	}
	return v
}

func checkReadBack(h *History) *Verdict {
	v := &Verdict{Rule: "read-back"}
	seen := map[uint64]string{}
	bases := map[uint64]uint64{}
	for _, o := range h.Operators {
		if o.What == "put" && o.Status == 200 && o.Base > 0 {
			if other := bases[o.Base]; other > 0 && other != o.Version {
				v.addViolation("versions %d and %d were both accepted on base %d", other, o.Version, o.Base)
			}
			bases[o.Base] = o.Version
		}
		switch {
		case o.What == "put" && o.Status == 200:
			if first, isTwice := seen[o.Version]; isTwice {
				v.addViolation("version %d was accepted twice, at %s and %s", o.Version, first, o.Node)
			}
			seen[o.Version] = o.Node
		case o.What == "bad-put" && o.Status == 200:
			v.addViolation("an invalid configuration was accepted as version %d", o.Version)
		case o.What == "show" && o.Status == 200:
			v.Count++
			for _, p := range h.Operators {
				if p.What == "put" && p.Status == 200 && p.End < o.At && p.Version > o.Version {
					v.addViolation("read-back at %v gave version %d after %d was accepted", o.At, o.Version, p.Version)
				}
			}
		}
	}
	return v
}

func checkHome(h *History) *Verdict {
	v := &Verdict{Rule: "home"}
	puts := acceptedPuts(h)
	for _, a := range h.Arrivals {
		isHome, isKnown := false, false
		for _, o := range inForce(puts, a.At) {
			if e := entryOf(o, a.Service, a.Path); e != nil {
				isKnown = true
				isHome = isHome || len(e.Homes) == 0 || slices.Contains(e.Homes, h.RegionOf(h.Zones[a.Instance]))
			}
		}
		v.Count++
		if isKnown && !isHome {
			v.addViolation("%s%s reached %s in %s outside its home regions", a.Service, a.Path, a.Instance, h.Zones[a.Instance])
		}
	}
	return v
}

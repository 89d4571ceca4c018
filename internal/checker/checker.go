package checker

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Verdict is the checker's word on one rule.
type Verdict struct {
	Rule       string        `json:"rule"`
	Violations []string      `json:"broken,omitempty"`
	Count      int           `json:"count"`
	Worst      time.Duration `json:"worst_ns,omitempty"`
	Bound      time.Duration `json:"bound_ns,omitempty"`
}

const (
	drainBound     = 2500 * time.Millisecond
	effectBound    = 2500 * time.Millisecond
	emptyBound     = 5 * time.Second
	retryShare     = 0.2
	retryAllowance = 10
	coldLimit      = 12
)

func (v *Verdict) addViolation(form string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(form, args...))
}

func (v *Verdict) observe(d time.Duration) { v.Worst = max(v.Worst, d) }

// Check judges a history by what was seen from outside, one verdict a rule.
func Check(h *History) []*Verdict {
	h.Lock()
	defer h.Unlock()
	sort.Slice(h.Arrivals, func(a, b int) bool { return h.Arrivals[a].At < h.Arrivals[b].At })
	return []*Verdict{checkOnce(h), checkSeal(h), checkAllowed(h), checkGone(h), checkEffect(h), checkReadBack(h), checkDropped(h), checkRepeats(h), checkCold(h), checkHome(h), checkEmptied(h), checkKeys(h)}
}

func checkOnce(h *History) *Verdict {
	v := &Verdict{Rule: "once"}
	runs := map[string]int{}
	for _, a := range h.Arrivals {
		if a.IsUnsafe && a.IsRun {
			runs[a.Attempt]++
		}
	}
	for attempt, count := range runs {
		v.Count++
		if count > 1 {
			v.addViolation("attempt %s ran %d times", attempt, count)
		}
	}
	sent := map[string]bool{}
	for _, a := range h.Arrivals {
		sent[a.Send] = sent[a.Send] || a.IsUnsafe && a.IsRun
	}
	for _, r := range h.Replies {
		if r.IsUnsafe && r.Result == "declined" && sent[r.Send] {
			v.addViolation("send %s ran though its caller was told that it had not", r.Send)
		}
	}
	for _, c := range h.Calls {
		if c.IsUnsafe && c.Result == "declined" && runs[c.Attempt] > 0 {
			v.addViolation("attempt %s ran though the caller was told that it had not", c.Attempt)
		}
	}
	return v
}

func checkSeal(h *History) *Verdict {
	v := &Verdict{Rule: "sealed"}
	digests := map[string][]string{}
	for _, a := range h.Arrivals {
		digests[a.Attempt] = append(digests[a.Attempt], a.Digest)
	}
	for _, r := range h.Replies {
		if r.Result == "sealed" {
			v.Count++
			if !slices.Contains(digests[r.Attempt], r.Digest) {
				v.addViolation("send %s got a success that no back end sealed for it", r.Send)
			}
		}
	}
	return v
}

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

func checkDropped(h *History) *Verdict {
	v := &Verdict{Rule: "dropped"}
	for _, e := range h.Fleet {
		if e.What != "stop" {
			continue
		}
		v.Count++
		for _, r := range h.Replies {
			if r.Proxy == e.Proxy && r.At < e.End && r.End > e.At && (r.Broken == "lost" || r.Broken == "cut" || r.Broken == "dial") {
				v.addViolation("send %s broke (%s) at %v in the planned stop of %s at %v", r.Send, r.Broken, r.End, e.Node, e.At)
			}
		}
	}
	return v
}

func checkRepeats(h *History) *Verdict {
	v := &Verdict{Rule: "repeats"}
	type mark struct {
		at      time.Duration
		isFirst bool
	}
	marks := map[string][]mark{}
	seen := map[string]bool{}
	for _, a := range h.Arrivals {
		marks[a.Service] = append(marks[a.Service], mark{a.At, !seen[a.Send]})
		if seen[a.Send] {
			v.Count++
		}
		seen[a.Send] = true
	}
	for service, list := range marks {
		start, firsts, repeats := 0, 0, 0
		for _, m := range list {
			if m.isFirst {
				firsts++
			} else {
				repeats++
			}
			for m.at-list[start].at > 10*time.Second {
				if list[start].isFirst {
					firsts--
				} else {
					repeats--
				}
				start++
			}
			if float64(repeats) > float64(firsts)*retryShare+retryAllowance {
				v.addViolation("service %s had %d repeats beside %d first legs in the 10 s before %v", service, repeats, firsts, m.at)
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

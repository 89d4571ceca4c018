package checker

import (
	"slices"
	"time"
)

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

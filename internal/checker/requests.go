package checker

import (
	"slices"
	"time"
)

// checkOnce: an unsafe attempt runs at most once, and not at all if its caller was refused.
func checkOnce(h *History) *Verdict {
	v := &Verdict{Rule: "once"}
	runs := map[string]int{}
	hasRun := map[string]bool{}
	for _, a := range h.Arrivals {
		if a.IsUnsafe && a.IsRun {
			runs[a.Attempt]++
			hasRun[a.Send] = true
		}
	}
	for attempt, count := range runs {
		v.Count++
		if count > 1 {
			v.addViolation("attempt %s ran %d times", attempt, count)
		}
	}
	for _, r := range h.Replies {
		if r.IsUnsafe && r.Result == ResultDeclined && hasRun[r.Send] {
			v.addViolation("send %s ran though its caller was refused", r.Send)
		}
	}
	for _, c := range h.Calls {
		if c.IsUnsafe && c.Result == ResultDeclined && runs[c.Attempt] > 0 {
			v.addViolation("attempt %s ran though its caller was refused", c.Attempt)
		}
	}
	return v
}

// checkSeal: a success is the whole answer of a back end to that attempt.
func checkSeal(h *History) *Verdict {
	v := &Verdict{Rule: "sealed"}
	digests := map[string][]string{}
	for _, a := range h.Arrivals {
		digests[a.Attempt] = append(digests[a.Attempt], a.Digest)
	}
	for _, r := range h.Replies {
		if r.Result != ResultSealed {
			continue
		}
		v.Count++
		if !slices.Contains(digests[r.Attempt], r.Digest) {
			v.addViolation("send %s got a success that no back end sealed for it", r.Send)
		}
	}
	return v
}

// checkDropped: no request breaks in a planned stop of its proxy.
func checkDropped(h *History) *Verdict {
	v := &Verdict{Rule: "dropped"}
	for _, stop := range h.Fleet {
		if stop.What != FleetStop {
			continue
		}
		v.Count++
		for _, r := range h.Replies {
			isDuringStop := r.At < stop.End && r.End > stop.At
			isDropped := r.Broken == BrokenLost || r.Broken == BrokenCut || r.Broken == BrokenDial
			if r.Proxy == stop.Proxy && isDuringStop && isDropped {
				v.addViolation("send %s broke (%s) at %v in the planned stop of %s at %v", r.Send, r.Broken, r.End, stop.Node, stop.At)
			}
		}
	}
	return v
}

// serviceArrival is an arrival as the retry rule counts it.
type serviceArrival struct {
	at      time.Duration
	isFirst bool
}

// checkRepeats: in any retryWindow the retries of a service stay within a share of its first attempts and an allowance.
func checkRepeats(h *History) *Verdict {
	v := &Verdict{Rule: "repeats"}
	byService := map[string][]serviceArrival{}
	seen := map[string]bool{}
	for _, a := range h.Arrivals {
		byService[a.Service] = append(byService[a.Service], serviceArrival{at: a.At, isFirst: !seen[a.Send]})
		if seen[a.Send] {
			v.Count++
		}
		seen[a.Send] = true
	}
	for service, arrivals := range byService {
		checkRetryWindows(v, service, arrivals)
	}
	return v
}

// checkRetryWindows slides a window over the arrivals of one service.
func checkRetryWindows(v *Verdict, service string, arrivals []serviceArrival) {
	start, firsts, retries := 0, 0, 0
	count := func(a serviceArrival, by int) {
		if a.isFirst {
			firsts += by
		} else {
			retries += by
		}
	}
	for _, a := range arrivals {
		count(a, 1)
		for a.at-arrivals[start].at > retryWindow {
			count(arrivals[start], -1)
			start++
		}
		if float64(retries) > float64(firsts)*retryShare+retryAllowance {
			v.addViolation("service %s had %d retries beside %d first attempts in the %v before %v", service, retries, firsts, retryWindow, a.at)
		}
	}
}

package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"topazshed/internal/checker"
)

const (
	// timelineStep is the span of one line of the timeline.
	timelineStep = 2 * time.Second
	// printedViolations bounds how many violations of one rule are printed.
	printedViolations = 5
)

// Report is what came of a run.
type Report struct {
	Deployment string `json:"deployment"`
	Seed       int64  `json:"seed"`
	// Calls counts the calls, Results those of each result, Reasons those that weren't served by service and reason.
	Calls   int            `json:"calls"`
	Results map[string]int `json:"outcomes"`
	Reasons map[string]int `json:"reasons"`
	// Spans tell when the first and last call of each reason began, in milliseconds from the start of the load.
	Spans map[string][2]int `json:"spans_ms"`
	// Latency has the p50, p90, p99 and maximum of each service's served calls, in milliseconds.
	Latency map[string][]int `json:"latency_ms_p50_p90_p99_max"`
	// LongestGap and LongestUnsafeGap are the longest times without a served safe and unsafe call, in milliseconds.
	LongestGap       int                `json:"longest_gap_ms"`
	LongestUnsafeGap int                `json:"longest_unsafe_gap_ms"`
	Verdicts         []*checker.Verdict `json:"verdicts"`
	// FailedSteps are the scenario's steps that failed.
	FailedSteps []string `json:"faults"`
	// ReadyMs and UnsafeMs tell how long after the start safe and unsafe calls were first served.
	ReadyMs  int64    `json:"ready_ms"`
	Timeline []string `json:"timeline"`
	UnsafeMs int64    `json:"unsafe_ready_ms"`
}

func newReport(deployment string, seed int64) *Report {
	return &Report{
		Deployment: deployment,
		Seed:       seed,
		Results:    map[string]int{},
		Reasons:    map[string]int{},
		Spans:      map[string][2]int{},
		Latency:    map[string][]int{},
	}
}

// hasFailed tells whether a rule was broken or a step failed.
func (r *Report) hasFailed() bool {
	isBroken := slices.ContainsFunc(r.Verdicts, func(v *checker.Verdict) bool { return len(v.Violations) > 0 })
	return isBroken || len(r.FailedSteps) > 0
}

// print writes the report as text.
func (r *Report) print(w io.Writer) {
	fmt.Fprintf(w, "%s seed %d: %d calls, results %v, longest gap %d ms (unsafe %d ms), served after %d ms (unsafe %d ms)\n",
		r.Deployment, r.Seed, r.Calls, r.Results, r.LongestGap, r.LongestUnsafeGap, r.ReadyMs, r.UnsafeMs)
	for _, service := range slices.Sorted(maps.Keys(r.Latency)) {
		fmt.Fprintf(w, "  %-14s p50/p90/p99/max %v ms\n", service, r.Latency[service])
	}
	if len(r.Reasons) > 0 {
		fmt.Fprintln(w, "  sealed+other and mean time, by begin:")
		for _, line := range r.Timeline {
			fmt.Fprintln(w, "   ", line)
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		span := r.Spans[reason]
		fmt.Fprintf(w, "  not sealed: %-30s %d, begun from %d to %d ms\n", reason, r.Reasons[reason], span[0], span[1])
	}
	for _, v := range r.Verdicts {
		printVerdict(w, v)
	}
	for _, step := range r.FailedSteps {
		fmt.Fprintln(w, "step failed:", step)
	}
}

func printVerdict(w io.Writer, v *checker.Verdict) {
	state := "ok"
	if len(v.Violations) > 0 {
		state = fmt.Sprintf("BROKEN %d times", len(v.Violations))
	}
	fmt.Fprintf(w, "rule %-10s %-18s judged %d worst %v bound %v\n", v.Rule, state, v.Count, v.Worst.Round(time.Millisecond), v.Bound)
	for _, text := range v.Violations[:min(printedViolations, len(v.Violations))] {
		fmt.Fprintln(w, "   ", text)
	}
}

// summarise fills in the report from the calls that began with the load or after.
func (r *Report) summarise(h *checker.History, since time.Duration) {
	h.Lock()
	defer h.Unlock()
	var calls []*checker.Call
	var until time.Duration
	for _, call := range h.Calls {
		if call.At >= since {
			calls = append(calls, call)
			until = max(until, call.At)
		}
	}
	r.Calls = len(calls)
	latencies := map[string][]int{}
	var served, servedUnsafe []time.Duration
	for _, call := range calls {
		r.Results[call.Result]++
		switch {
		case call.Result != checker.ResultSealed:
			r.addReason(call, since)
			continue
		case call.IsUnsafe:
			servedUnsafe = append(servedUnsafe, call.End)
		default:
			served = append(served, call.End)
		}
		latencies[call.Service] = append(latencies[call.Service], int((call.End - call.At).Milliseconds()))
	}
	for service, list := range latencies {
		slices.Sort(list)
		r.Latency[service] = []int{quantile(list, 0.5), quantile(list, 0.9), quantile(list, 0.99), list[len(list)-1]}
	}
	r.Timeline = timeline(calls, since, until)
	r.LongestGap = longestGap(served, since, until)
	r.LongestUnsafeGap = longestGap(servedUnsafe, since, until)
}

// addReason counts a call that wasn't served.
func (r *Report) addReason(call *checker.Call, since time.Duration) {
	reason := call.Service + ": " + call.Result + " " + call.LastReason
	at := int((call.At - since).Milliseconds())
	span := r.Spans[reason]
	if r.Reasons[reason] == 0 {
		span = [2]int{at, at}
	}
	r.Reasons[reason]++
	r.Spans[reason] = [2]int{min(span[0], at), max(span[1], at)}
}

// quantile gives the value below which a share of a sorted list lies.
func quantile(sorted []int, share float64) int {
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// timelineCell counts the calls of one service that began within one step.
type timelineCell struct{ sealed, other, milliseconds int }

// timeline gives a line for each step: by service, served and other calls and the mean time of the served ones.
func timeline(calls []*checker.Call, since, until time.Duration) []string {
	steps := make([]map[string]*timelineCell, max(0, int((until-since)/timelineStep)+1))
	for _, call := range calls {
		at := int((call.At - since) / timelineStep)
		if steps[at] == nil {
			steps[at] = map[string]*timelineCell{}
		}
		cell := steps[at][call.Service]
		if cell == nil {
			cell = &timelineCell{}
			steps[at][call.Service] = cell
		}
		if call.Result == checker.ResultSealed {
			cell.sealed++
			cell.milliseconds += int((call.End - call.At).Milliseconds())
		} else {
			cell.other++
		}
	}
	lines := make([]string, 0, len(steps))
	for at, cells := range steps {
		var line strings.Builder
		fmt.Fprintf(&line, "%3ds", at*int(timelineStep.Seconds()))
		for _, service := range slices.Sorted(maps.Keys(cells)) {
			c := cells[service]
			fmt.Fprintf(&line, "  %s %d+%d %d ms", service, c.sealed, c.other, c.milliseconds/max(1, c.sealed))
		}
		lines = append(lines, line.String())
	}
	return lines
}

// longestGap gives the longest time without a served call, in milliseconds.
func longestGap(served []time.Duration, since, until time.Duration) int {
	slices.Sort(served)
	worst, last := time.Duration(0), since
	for _, at := range append(served, until) {
		worst = max(worst, at-last)
		last = at
	}
	return int(worst.Milliseconds())
}

package main

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/checker"
)

// Report is the response of a run.
type Report struct {
	Deployment       string             `json:"deployment"`
	Seed             int64              `json:"seed"`
	Calls            int                `json:"calls"`
	Results          map[string]int     `json:"outcomes"`
	Reasons          map[string]int     `json:"reasons"`
	Spans            map[string][2]int  `json:"spans_ms"`
	Latency          map[string][]int   `json:"latency_ms_p50_p90_p99_max"`
	LongestGap       int                `json:"longest_gap_ms"`
	LongestUnsafeGap int                `json:"longest_unsafe_gap_ms"`
	Verdicts         []*checker.Verdict `json:"verdicts"`
	FailedSteps      []string           `json:"faults"`
	ReadyMs          int64              `json:"ready_ms"`
	Timeline         []string           `json:"timeline"`
	UnsafeMs         int64              `json:"unsafe_ready_ms"`
}

func printReport(r *Report) subcommands.ExitStatus {
	code := subcommands.ExitSuccess
	fmt.Printf("%s seed %d: %d calls, outcomes %v, longest gap %d ms (unsafe %d ms), served after %d ms (unsafe %d ms)\n", r.Deployment, r.Seed, r.Calls, r.Results, r.LongestGap, r.LongestUnsafeGap, r.ReadyMs, r.UnsafeMs)
	names := make([]string, 0, len(r.Latency))
	for name := range r.Latency {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("  %-14s p50/p90/p99/max %v ms\n", name, r.Latency[name])
	}
	if len(r.Reasons) > 0 {
		fmt.Println("  sealed+other and mean time, by begin:")
		for _, line := range r.Timeline {
			fmt.Println("   ", line)
		}
	}
	for reason, count := range r.Reasons {
		fmt.Printf("  not sealed: %-30s %d, begun from %d to %d ms\n", reason, count, r.Spans[reason][0], r.Spans[reason][1])
	}
	for _, v := range r.Verdicts {
		state := "ok"
		if len(v.Violations) > 0 {
			state = fmt.Sprintf("BROKEN %d times", len(v.Violations))
			code = subcommands.ExitFailure
		}
		fmt.Printf("rule %-10s %-18s judged %d worst %v bound %v\n", v.Rule, state, v.Count, v.Worst.Round(time.Millisecond), v.Bound)
		for i, text := range v.Violations {
			if i < 5 {
				fmt.Println("   ", text)
			}
		}
	}
	for _, fault := range r.FailedSteps {
		fmt.Println("step failed:", fault)
		code = subcommands.ExitFailure
	}
	return code
}

func (c *runCommand) summarise(report *Report, h *checker.History, since time.Duration) {
	h.Lock()
	defer h.Unlock()
	latencies := map[string][]int{}
	var good, goodUnsafe []time.Duration
	var until time.Duration
	for _, call := range h.Calls {
		if call.At < since {
			continue
		}
		until = max(until, call.At)
		report.Calls++
		report.Results[call.Result]++
		if call.Result == "sealed" {
			latencies[call.Service] = append(latencies[call.Service], int((call.End - call.At).Milliseconds()))
			if call.IsUnsafe {
				goodUnsafe = append(goodUnsafe, call.End)
			} else {
				good = append(good, call.End)
			}
		} else {
			reason := call.Service + ": " + call.Result + " " + call.LastReason
			report.Reasons[reason]++
			span, at := report.Spans[reason], int((call.At - since).Milliseconds())
			if report.Reasons[reason] == 1 {
				span = [2]int{at, at}
			}
			report.Spans[reason] = [2]int{min(span[0], at), max(span[1], at)}
		}
	}
	for name, list := range latencies {
		sort.Ints(list)
		at := func(share float64) int { return list[min(len(list)-1, int(share*float64(len(list))))] }
		report.Latency[name] = []int{at(0.5), at(0.9), at(0.99), list[len(list)-1]}
	}
	const slice = 2 * time.Second
	type cell struct{ sealed, other, milliseconds int }
	cells := map[int]map[string]*cell{}
	for _, call := range h.Calls {
		if call.At < since {
			continue
		}
		at := int((call.At - since) / slice)
		if cells[at] == nil {
			cells[at] = map[string]*cell{}
		}
		if cells[at][call.Service] == nil {
			cells[at][call.Service] = &cell{}
		}
		if c := cells[at][call.Service]; call.Result == "sealed" {
			c.sealed++
			c.milliseconds += int((call.End - call.At).Milliseconds())
		} else {
			c.other++
		}
	}
	for at := 0; at <= int((until-since)/slice); at++ {
		line := fmt.Sprintf("%3ds", at*int(slice.Seconds()))
		names := make([]string, 0, len(cells[at]))
		for name := range cells[at] {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			c := cells[at][name]
			line += fmt.Sprintf("  %s %d+%d %d ms", name, c.sealed, c.other, c.milliseconds/max(1, c.sealed))
		}
		report.Timeline = append(report.Timeline, line)
	}
	gap := func(list []time.Duration) int {
		slices.Sort(list)
		worst, last := time.Duration(0), since
		for _, at := range append(list, until) {
			worst = max(worst, at-last)
			last = at
		}
		return int(worst.Milliseconds())
	}
	report.LongestGap, report.LongestUnsafeGap = gap(good), gap(goodUnsafe)
}

package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/sim"
)

const (
	// allScenarios and listScenarios are the words for all scenarios and for their list.
	allScenarios  = "all"
	listScenarios = "list"
	// printedSeeds bounds how many failed seeds of a scenario are printed, printedSeedViolations how many violations of each.
	printedSeeds          = 5
	printedSeedViolations = 3
)

// simOptions are the flags of the command sim.
type simOptions struct {
	scenario, seeds, fault string
	isVerbose              bool
}

// simCommand runs simulated scenarios.
type simCommand struct{ options simOptions }

func (*simCommand) Name() string { return "sim" }

func (*simCommand) Synopsis() string { return "run simulated scenarios over many seeds" }

func (*simCommand) Usage() string {
	return "sim [-scenario NAME|all|list] [-seeds FIRST-LAST] [-fault NAME] [-v]\n"
}

func (c *simCommand) SetFlags(flags *flag.FlagSet) {
	o := &c.options
	flags.StringVar(&o.scenario, "scenario", allScenarios, "scenario's name, all, or list")
	flags.StringVar(&o.seeds, "seeds", "1-20", "first and last seed, or one seed")
	flags.StringVar(&o.fault, "fault", "", "inject a fault (switch a protection off), to see a check fail; a wrong name lists them")
	flags.StringVar(&o.fault, "breach", "", "earlier name of -fault; to be dropped with the next version")
	flags.BoolVar(&o.isVerbose, "v", false, "print the counts of each run")
}

// seedRange is a range of seeds, both ends included.
type seedRange struct{ first, last int64 }

// readSeeds reads a range such as 1-20, or one seed.
func readSeeds(text string) (seedRange, error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	a, err := strconv.ParseInt(first, 10, 64)
	if err != nil {
		return seedRange{}, fmt.Errorf("seeds %q are no range; write 1-20 or 7", text)
	}
	b, err := strconv.ParseInt(last, 10, 64)
	if err != nil || b < a {
		return seedRange{}, fmt.Errorf("seeds %q are no range; write 1-20 or 7", text)
	}
	return seedRange{first: a, last: b}, nil
}

func (c *simCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.options.scenario == listScenarios {
		printScenarios(os.Stdout, "")
		return subcommands.ExitSuccess
	}
	seeds, err := readSeeds(c.options.seeds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	fault := sim.FaultName(c.options.fault)
	if !isKnownFault(fault) {
		fmt.Fprintf(os.Stderr, "fault %q is unknown; use one of:\n", fault)
		for _, f := range sim.Faults {
			fmt.Fprintf(os.Stderr, "  %-10s %s; shown by -scenario %s\n", f.Name, f.Description, f.Scenario)
		}
		return subcommands.ExitUsageError
	}
	chosen := chooseScenarios(c.options.scenario)
	if len(chosen) == 0 {
		fmt.Fprintf(os.Stderr, "scenario %q is unknown; use all or one of:\n", c.options.scenario)
		printScenarios(os.Stderr, "  ")
		return subcommands.ExitUsageError
	}
	code := subcommands.ExitSuccess
	for _, scenario := range chosen {
		r := &scenarioRun{scenario: scenario, seeds: seeds, fault: fault, isVerbose: c.options.isVerbose}
		r.play()
		if !r.print(os.Stdout) {
			code = subcommands.ExitFailure
		}
	}
	return code
}

// isKnownFault tells whether a fault can be injected; none can always.
func isKnownFault(name sim.FaultName) bool {
	return name == "" || slices.ContainsFunc(sim.Faults, func(f sim.Fault) bool { return f.Name == name })
}

// chooseScenarios gives the scenario of a name, or all.
func chooseScenarios(name string) []sim.Scenario {
	var chosen []sim.Scenario
	for _, s := range sim.Scenarios {
		if name == allScenarios || name == s.Name {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

func printScenarios(w io.Writer, indent string) {
	for _, s := range sim.Scenarios {
		fmt.Fprintf(w, "%s%-15s %s\n", indent, s.Name, s.Description)
	}
}

// seedResult is what came of one seed.
type seedResult struct {
	seed  int64
	fleet *sim.Fleet
	err   error
}

func (r *seedResult) hasFailed() bool { return r.err != nil || len(r.fleet.Violations) > 0 }

// scenarioRun is one scenario over a range of seeds.
type scenarioRun struct {
	scenario  sim.Scenario
	seeds     seedRange
	fault     sim.FaultName
	isVerbose bool
	results   []seedResult
}

// play plays every seed, as many at once as there are processors, and sorts the results by seed.
func (r *scenarioRun) play() {
	var lock sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for seed := r.seeds.first; seed <= r.seeds.last; seed++ {
		slots <- struct{}{}
		group.Go(func() {
			fleet, err := sim.Play(r.scenario, seed, r.fault)
			lock.Lock()
			r.results = append(r.results, seedResult{seed: seed, fleet: fleet, err: err})
			lock.Unlock()
			<-slots
		})
	}
	group.Wait()
	slices.SortFunc(r.results, func(a, b seedResult) int { return int(a.seed - b.seed) })
}

// print prints the failed seeds and a summary, and tells whether no seed failed.
func (r *scenarioRun) print(w io.Writer) bool {
	failed := 0
	for _, result := range r.results {
		if r.isVerbose {
			fmt.Fprintf(w, "  seed %d: %v\n    not sealed: %v\n", result.seed, result.fleet.Counts, result.fleet.Unserved)
		}
		if !result.hasFailed() {
			continue
		}
		failed++
		if failed <= printedSeeds {
			r.printFailure(w, result)
		}
	}
	r.printSummary(w, failed)
	return failed == 0
}

func (r *scenarioRun) printFailure(w io.Writer, result seedResult) {
	fmt.Fprintf(w, "seed %d failed; repeat with: testfleet sim -scenario %s -seeds %d\n", result.seed, r.scenario.Name, result.seed)
	if result.err != nil {
		fmt.Fprintln(w, "   ", result.err)
	}
	violations := result.fleet.Violations
	for _, violation := range violations[:min(printedSeedViolations, len(violations))] {
		fmt.Fprintln(w, "   ", violation)
	}
}

// printSummary prints the shares that were served, and the worst and median of what was measured.
func (r *scenarioRun) printSummary(w io.Writer, failed int) {
	var effects []time.Duration
	var safe, unsafe []float64
	unserved := map[string]int{}
	recovery := map[string][]time.Duration{}
	worst := map[string]time.Duration{}
	counts := map[string]int{}
	for _, result := range r.results {
		f := result.fleet
		effects = append(effects, f.EffectTimes...)
		safe = append(safe, servedShare(f.Counts, "safe"))
		unsafe = append(unsafe, servedShare(f.Counts, "unsafe"))
		for reason, count := range f.Unserved {
			unserved[reason] += count
		}
		for service, span := range f.RecoveryTimes {
			recovery[service] = append(recovery[service], span)
		}
		for _, v := range f.Verdicts {
			worst[v.Rule] = max(worst[v.Rule], v.Worst)
			counts[v.Rule] = max(counts[v.Rule], v.Count)
		}
	}
	slices.Sort(effects)
	slices.Sort(safe)
	slices.Sort(unsafe)
	fmt.Fprintf(w, "%-15s seeds %d-%d: %d failed; served safe min/median %.3f/%.3f unsafe %.3f/%.3f; spread median/max %v/%v\n",
		r.scenario.Name, r.seeds.first, r.seeds.last, failed,
		safe[0], median(safe), unsafe[0], median(unsafe), median(effects), slices.Max(effects))
	for _, service := range slices.Sorted(maps.Keys(recovery)) {
		spans := recovery[service]
		slices.Sort(spans)
		fmt.Fprintf(w, "    %s back after min/median/max %v/%v/%v\n", service,
			spans[0].Round(time.Millisecond), median(spans).Round(time.Millisecond), slices.Max(spans).Round(time.Millisecond))
	}
	fmt.Fprintf(w, "    worst: gone %v, effect %v, emptied %v, cold %d in a second, repeats %d; not sealed: %v\n",
		worst["gone"], worst["effect"], worst["emptied"], counts["cold"], counts["repeats"], unserved)
}

// servedShare gives the share of the calls of a kind that got a whole answer.
func servedShare(counts map[string]int, kind string) float64 {
	sealed := counts[kind+" sealed"]
	all := sealed + counts[kind+" none"] + counts[kind+" declined"] + counts[kind+" doubtful"]
	return float64(sealed) / max(1, float64(all))
}

// median gives the middle value of a sorted list that isn't empty.
func median[T any](sorted []T) T { return sorted[len(sorted)/2] }

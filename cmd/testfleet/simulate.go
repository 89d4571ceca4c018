package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/sim"
)

type simCommand struct {
	scenario, seeds, injectedFault string
	isVerbose                      bool
}

func (*simCommand) Name() string { return "sim" }

func (*simCommand) Synopsis() string { return "run simulated scenarios over many seeds" }

func (*simCommand) Usage() string {
	return "sim [-scenario NAME|all|list] [-seeds FIRST-LAST] [-breach NAME]\n"
}

func (c *simCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.scenario, "scenario", "all", "scenario's name, all, or list")
	flags.StringVar(&c.seeds, "seeds", "1-20", "first and last seed, or one seed")
	flags.StringVar(&c.injectedFault, "breach", "", "switch a protection off, to see the checks fail")
	flags.BoolVar(&c.isVerbose, "v", false, "print the counts of each run")
}

func readSeeds(text string) (int64, int64, error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	a, err := strconv.ParseInt(first, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("seeds %q are no range; write 1-20 or 7", text)
	}
	b, err := strconv.ParseInt(last, 10, 64)
	if err != nil || b < a {
		return 0, 0, fmt.Errorf("seeds %q are no range; write 1-20 or 7", text)
	}
	return a, b, nil
}

func (c *simCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	first, last, err := readSeeds(c.seeds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if c.injectedFault != "" && !slices.ContainsFunc(sim.Faults, func(b sim.Fault) bool { return b.Name == c.injectedFault }) {
		fmt.Fprintf(os.Stderr, "breach %q is unknown; use one of:\n", c.injectedFault)
		for _, b := range sim.Faults {
			fmt.Fprintf(os.Stderr, "  %-10s %s; shown by -scenario %s\n", b.Name, b.Description, b.Scenario)
		}
		return subcommands.ExitUsageError
	}
	var chosen []sim.Scenario
	for _, s := range sim.Scenarios {
		if c.scenario == "list" {
			fmt.Printf("%-15s %s\n", s.Name, s.Description)
		}
		if c.scenario == "all" || c.scenario == s.Name {
			chosen = append(chosen, s)
		}
	}
	if c.scenario == "list" {
		return subcommands.ExitSuccess
	}
	if len(chosen) == 0 {
		fmt.Fprintf(os.Stderr, "scenario %q is unknown; use all or one of:\n", c.scenario)
		for _, s := range sim.Scenarios {
			fmt.Fprintf(os.Stderr, "  %-15s %s\n", s.Name, s.Description)
		}
		return subcommands.ExitUsageError
	}
	code := subcommands.ExitSuccess
	for _, s := range chosen {
		type result struct {
			seed  int64
			fleet *sim.Fleet
			err   error
		}
		var lock sync.Mutex
		var results []result
		var group sync.WaitGroup
		slots := make(chan bool, runtime.NumCPU())
		for seed := first; seed <= last; seed++ {
			slots <- true
			group.Go(func() {
				fleet, err := sim.Play(s, seed, c.injectedFault)
				lock.Lock()
				results = append(results, result{seed, fleet, err})
				lock.Unlock()
				<-slots
			})
		}
		group.Wait()
		slices.SortFunc(results, func(a, b result) int { return int(a.seed - b.seed) })
		failed := 0
		var effects []time.Duration
		var safe, unsafe []float64
		for _, r := range results {
			effects = append(effects, r.fleet.EffectTimes...)
			n := r.fleet.Counts
			share := func(kind string) float64 {
				return float64(n[kind+" sealed"]) / max(1, float64(n[kind+" sealed"]+n[kind+" none"]+n[kind+" declined"]+n[kind+" doubtful"]))
			}
			safe, unsafe = append(safe, share("safe")), append(unsafe, share("unsafe"))
			if c.isVerbose {
				fmt.Printf("  seed %d: %v\n    not sealed: %v\n", r.seed, n, r.fleet.Unserved)
			}
			if r.err == nil && len(r.fleet.Violations) == 0 {
				continue
			}
			failed++
			code = subcommands.ExitFailure
			if failed <= 5 {
				fmt.Printf("seed %d failed; repeat with: rig sim -scenario %s -seeds %d\n", r.seed, s.Name, r.seed)
				if r.err != nil {
					fmt.Println("   ", r.err)
				}
				for i, injectedFault := range r.fleet.Violations {
					if i < 3 {
						fmt.Println("   ", injectedFault)
					}
				}
			}
		}
		sort.Float64s(safe)
		sort.Float64s(unsafe)
		slices.Sort(effects)
		worst := time.Duration(0)
		lost := map[string]int{}
		rules := map[string]time.Duration{}
		back := map[string][]time.Duration{}
		counts := map[string]int{}
		for _, r := range results {
			for reason, count := range r.fleet.Unserved {
				lost[reason] += count
			}
			for service, span := range r.fleet.RecoveryTimes {
				back[service] = append(back[service], span)
			}
			for _, v := range r.fleet.Verdicts {
				rules[v.Rule] = max(rules[v.Rule], v.Worst)
				counts[v.Rule] = max(counts[v.Rule], v.Count)
			}
		}
		if len(effects) > 0 {
			worst = effects[len(effects)-1]
		}
		fmt.Printf("%-15s seeds %d-%d: %d failed; served safe min/median %.3f/%.3f unsafe %.3f/%.3f; spread median/max %v/%v\n", s.Name, first, last, failed,
			safe[0], safe[len(safe)/2], unsafe[0], unsafe[len(unsafe)/2], effects[len(effects)/2], worst)
		for _, service := range slices.Sorted(maps.Keys(back)) {
			spans := back[service]
			slices.Sort(spans)
			fmt.Printf("    %s back after min/median/max %v/%v/%v\n", service, spans[0].Round(time.Millisecond), spans[len(spans)/2].Round(time.Millisecond), spans[len(spans)-1].Round(time.Millisecond))
		}
		fmt.Printf("    worst: gone %v, effect %v, emptied %v, cold %d in a second, repeats %d; not sealed: %v\n", rules["gone"], rules["effect"], rules["emptied"], counts["cold"], counts["repeats"], lost)
	}
	return code
}

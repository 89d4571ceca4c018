package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/sim"
)

// failoverCommand measures the loss of active groups on simulated fleets.
type failoverCommand struct{ seeds string }

func (*failoverCommand) Name() string { return "failover" }

func (*failoverCommand) Synopsis() string {
	return "measure in the simulator how long the loss of an active group is felt"
}

func (*failoverCommand) Usage() string { return "failover [-seeds FIRST-LAST]\n" }

func (c *failoverCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.seeds, "seeds", "1-20", "first and last seed, or one seed")
}

func (c *failoverCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	seeds, err := readSeeds(c.seeds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	var newNumber, read, unsafe []time.Duration
	for seed := seeds.first; seed <= seeds.last; seed++ {
		times, err := sim.Failover(seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return subcommands.ExitFailure
		}
		newNumber = append(newNumber, times.NewNumber)
		read = append(read, times.Read)
		unsafe = append(unsafe, times.Unsafe)
	}
	printTimes("new number", newNumber)
	printTimes("read served", read)
	printTimes("unsafe served", unsafe)
	return subcommands.ExitSuccess
}

func printTimes(name string, times []time.Duration) {
	slices.Sort(times)
	fmt.Printf("%-14s min %v median %v max %v of %d\n", name, times[0], median(times), slices.Max(times), len(times))
}

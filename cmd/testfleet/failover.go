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
	first, last, err := readSeeds(c.seeds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	var number, read, unsafe []time.Duration
	for seed := first; seed <= last; seed++ {
		f, err := sim.Failover(seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return subcommands.ExitFailure
		}
		number, read, unsafe = append(number, f.NewNumber), append(read, f.Read), append(unsafe, f.Unsafe)
	}
	for _, row := range []struct {
		name  string
		times []time.Duration
	}{{"new number", number}, {"read served", read}, {"unsafe served", unsafe}} {
		slices.Sort(row.times)
		n := len(row.times)
		fmt.Printf("%-14s min %v median %v max %v of %d\n", row.name, row.times[0], row.times[n/2], row.times[n-1], n)
	}
	return subcommands.ExitSuccess
}

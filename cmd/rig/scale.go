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

type scaleCommand struct {
	services int
	seed     int64
	most     int
}

func (*scaleCommand) Name() string     { return "scale" }
func (*scaleCommand) Synopsis() string { return "measure in the simulator how costs grow with nodes" }
func (*scaleCommand) Usage() string    { return "scale [-services N] [-seed N] [-most NODES]\n" }
func (c *scaleCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&c.services, "services", 100, "small services, three back ends each")
	flags.Int64Var(&c.seed, "seed", 1, "seed")
	flags.IntVar(&c.most, "most", 500, "largest fleet")
}

func (c *scaleCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	code := subcommands.ExitSuccess
	fmt.Println("| nodes | services | served after | spread median / max | frames s⁻¹ node⁻¹ | bytes s⁻¹ node⁻¹ | frames s⁻¹ to the leader | rows of a full copy | rows of a reader | widest view |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, nodes := range []int{18, 48, 150, 498} {
		if nodes > c.most {
			break
		}
		g, err := sim.Grow(c.seed, nodes, c.services)
		if err != nil || len(g.Breaches) > 0 {
			fmt.Fprintln(os.Stderr, err, g.Breaches)
			code = subcommands.ExitFailure
		}
		fmt.Printf("| %d | %d | %v | %v / %v | %d | %d | %d | %d | %d | %d |\n", g.Nodes, g.Services, g.Ready, g.SpreadMedian.Round(time.Millisecond), g.SpreadMax.Round(time.Millisecond),
			g.FramesPerNode, g.BytesPerNode, g.LeaderFrames, g.FullRows, g.ReaderRows, g.WidestView)
	}
	return code
}

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
		number, read, unsafe = append(number, f.Number), append(read, f.Read), append(unsafe, f.Unsafe)
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

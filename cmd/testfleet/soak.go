package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"time"

	"github.com/google/subcommands"
)

const (
	// soakRate is the load of a soak, in requests a second.
	soakRate = 150
	// stormTime is how long faults, changes and calls overlap before the fleet is left alone.
	stormTime = 9 * time.Second
	// recoveryTime is how long after the last fault every node must keep every bound again.
	recoveryTime = 3 * time.Second
	// evacuateBound is how soon after its acknowledgement an emptied zone must get no requests, drainBound the same of a back end after the
	// list shows it as draining.
	evacuateBound = 5 * time.Second
	drainBound    = 2500 * time.Millisecond
	// watchTime is how long the fleet is watched once all bounds hold.
	watchTime = 3 * time.Second
)

// soakOptions are the flags of the command soak.
type soakOptions struct {
	routedOptions
	seeds  string
	storms int
}

// soakCommand plays storms of overlapping faults, restarts and changes on fleets of real processes.
type soakCommand struct{ options soakOptions }

func (*soakCommand) Name() string { return "soak" }

func (*soakCommand) Synopsis() string {
	return "change routes and a zone in series amid overlapping faults and restarts, lose disks at the end, and check what machines serve, deny and read back"
}

func (*soakCommand) Usage() string {
	return "soak [-program FILE] [-folder DIR] [-seeds N-M] [-storms N] [-more N]; each seed is a new fleet of real processes\n"
}

func (c *soakCommand) SetFlags(flags *flag.FlagSet) {
	o := &c.options
	flags.StringVar(&o.program, "program", "bin/topazshed", "the program to run")
	flags.StringVar(&o.folder, "folder", "", "folder for data and logs (default: a new temporary one a seed)")
	flags.StringVar(&o.logLevel, "log-level", "info", "log level of the processes")
	flags.StringVar(&o.seeds, "seeds", "1", "seeds of the faults, the load and the stand-ins: 1-50 or 7")
	flags.IntVar(&o.storms, "storms", 2, "storms a seed, from 1 to 100")
	flags.IntVar(&o.more, "more", 0, "machines without a disk in each zone beyond the usual 15 in all, from 0 to 30")
}

// maxStorms bounds a soak of one seed.
const maxStorms = 100

func (c *soakCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	seeds, err := readSeeds(c.options.seeds)
	if err := flagFaults(flags.Args(), err, c.checkStorms(), checkMore(c.options.more)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	return playSeeds(ctx, c.Name(), seeds, c.play)
}

func (c *soakCommand) checkStorms() error {
	if c.options.storms < 1 || c.options.storms > maxStorms {
		return fmt.Errorf("-storms %d is not from 1 to %d; give one that is", c.options.storms, maxStorms)
	}
	return nil
}

// play plays one seed's storms on a new fleet and gives what was broken.
func (c *soakCommand) play(ctx context.Context, seed int64) ([]string, error) {
	options := c.options.routedOptions
	options.seed, options.hasFaultyDisks = seed, true
	r, closeAll, err := openRouted(options)
	if err != nil {
		return nil, err
	}
	defer closeAll()
	random := rand.New(rand.NewSource(seed))
	ctx, cancel := context.WithCancel(ctx)
	loaded := make(chan struct{})
	go func() {
		r.load(ctx, soakRate, rand.New(rand.NewSource(seed)))
		close(loaded)
	}()
	defer func() {
		cancel()
		<-loaded
	}()
	s := newSoak(r, random)
	asked := make(chan struct{})
	askCtx, stopAsking := context.WithCancel(ctx)
	go func() {
		s.askForRoutes(askCtx, rand.New(rand.NewSource(seed+1)))
		close(asked)
	}()
	defer func() {
		stopAsking()
		<-asked
	}()
	for range c.options.storms {
		if err := s.storm(ctx); err != nil {
			return nil, err
		}
	}
	if err := s.loseAll(ctx); err != nil {
		return nil, err
	}
	s.summarise(seed)
	return r.platform.allViolations(), nil
}

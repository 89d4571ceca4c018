package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/subcommands"
)

const (
	// firstStartSpan is the time from the first process on within which a first start is disturbed.
	firstStartSpan = 1500 * time.Millisecond
	// restartSpan is the time within which a running fleet is disturbed.
	restartSpan = 6 * time.Second
	// startRecovery is how soon after the last fault every machine must be ready and a configuration acknowledged.
	startRecovery = 15 * time.Second
	// maxFirstStartFaults bounds the faults of a first start, maxRestartPause the pause between two faults of a running fleet.
	maxFirstStartFaults = 3
	// maxPrintedViolations bounds what is printed of one seed.
	maxPrintedViolations = 10
	// minNet and maxNet bound the second byte of the machines' addresses.
	minNet, maxNet  = 60, 120
	maxRestartPause = 900 * time.Millisecond
)

// startsOptions are the flags of the command starts.
type startsOptions struct {
	program, folder, seeds string
	more, net              int
}

// startsCommand starts, kills and wipes machines at every instant of a first start and of restarts, as a platform's supervisor does.
type startsCommand struct{ options startsOptions }

func (*startsCommand) Name() string { return "starts" }

func (*startsCommand) Synopsis() string {
	return "start, kill, stop and wipe machines during a first start and restarts that overlap, and check that the system starts and no process ends by itself"
}

func (*startsCommand) Usage() string {
	return "starts [-program FILE] [-folder DIR] [-seeds N-M] [-more N] [-net N]; each seed is a new fleet of real processes on the users' platform\n"
}

func (c *startsCommand) SetFlags(flags *flag.FlagSet) {
	c.options.setFlags(flags, 61)
}

// setFlags adds the flags of a fleet on the users' platform; net is the usual second byte of its addresses.
func (o *startsOptions) setFlags(flags *flag.FlagSet, net int) {
	flags.StringVar(&o.program, "program", "bin/topazshed", "the program to run")
	flags.StringVar(&o.folder, "folder", "", "folder for a folder a seed with data and logs, which must not be there yet (default: a temporary one, kept after a failure)")
	flags.StringVar(&o.seeds, "seeds", "1", "seeds of the faults: 1-50 or 7")
	flags.IntVar(&o.more, "more", 0, "machines without a disk in each zone beyond the usual 14 in all, from 0 to 30")
	flags.IntVar(&o.net, "net", net, "second byte of the loopback addresses, from 60 to 120: runs beside each other need one each")
}

func (c *startsCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	seeds, err := readSeeds(c.options.seeds)
	if err := flagFaults(flags.Args(), err, checkMore(c.options.more), c.options.checkNet()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	return playSeeds(ctx, c.Name(), seeds, c.play)
}

func (o *startsOptions) checkNet() error {
	if o.net < minNet || o.net > maxNet {
		return fmt.Errorf("-net %d is not from %d to %d; give one that is", o.net, minNet, maxNet)
	}
	return nil
}

// shortened leaves out what is beyond maxPrintedViolations, and says how much that is: a process that ends by itself again and again.
func shortened(violations []string) []string {
	if len(violations) <= maxPrintedViolations {
		return violations
	}
	left := fmt.Sprintf("%d more", len(violations)-maxPrintedViolations)
	return append(slices.Clone(violations[:maxPrintedViolations]), left)
}

// openFleet makes the machines of one seed, without a process. What it gives ends them, and keeps their logs if isClean is false.
func (o startsOptions) openFleet(seed int64) (f *platformFleet, closeFleet func(isClean bool), err error) {
	if o.program, err = filepath.Abs(o.program); err != nil {
		return nil, nil, err
	}
	if o.folder != "" {
		o.folder = filepath.Join(o.folder, fmt.Sprintf("seed-%d", seed))
	}
	folder, isTemporary, err := makeFolder(o.folder)
	if err != nil {
		return nil, nil, err
	}
	if entries, err := os.ReadDir(folder); err != nil || len(entries) > 0 {
		return nil, nil, fmt.Errorf("folder %s is not empty (%v); a first start needs empty disks", folder, err)
	}
	o.folder = folder
	if f, err = newPlatformFleet(o); err != nil {
		return nil, nil, err
	}
	return f, func(isClean bool) {
		f.close()
		if isTemporary && isClean {
			os.RemoveAll(folder)
			return
		}
		fmt.Println("data and logs are in", folder)
	}, nil
}

// play plays one seed on a new fleet and gives what was broken.
func (c *startsCommand) play(ctx context.Context, seed int64) (violations []string, err error) {
	f, closeFleet, err := c.options.openFleet(seed)
	if err != nil {
		return nil, err
	}
	defer func() { closeFleet(len(violations) == 0 && err == nil) }()
	callers := newStartsCallers(ctx, f)
	defer callers.stop()
	s := &startsPlay{fleet: f, random: rand.New(rand.NewSource(seed))}
	if err := s.firstStart(ctx); err != nil {
		return nil, err
	}
	if err := s.restarts(ctx); err != nil {
		return nil, err
	}
	if err := s.closingFault(ctx); err != nil {
		return nil, err
	}
	s.fleet.checkMemory()
	fmt.Printf("starts seed %d: %d machines, %d processes, %d faults (%s), %d configurations acknowledged, %d callers answered, first one after %v, slowest recovery %v\n", seed,
		len(f.machines), f.processCount(), s.faults, s.kinds(), s.version, callers.stop(), s.firstAcknowledged.Round(time.Millisecond), s.slowestRecovery.Round(time.Millisecond))
	return shortened(f.allViolations()), nil
}

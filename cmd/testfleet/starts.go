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
	o := &c.options
	flags.StringVar(&o.program, "program", "bin/topazshed", "the program to run")
	flags.StringVar(&o.folder, "folder", "", "folder for a folder a seed with data and logs, which must not be there yet (default: a temporary one, kept after a failure)")
	flags.StringVar(&o.seeds, "seeds", "1", "seeds of the faults: 1-50 or 7")
	flags.IntVar(&o.more, "more", 0, "machines without a disk in each zone beyond the usual 14 in all, from 0 to 30")
	flags.IntVar(&o.net, "net", 61, "second byte of the loopback addresses, from 60 to 120: runs beside each other need one each")
}

func (c *startsCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	seeds, err := readSeeds(c.options.seeds)
	if err := flagFaults(flags.Args(), err, checkMore(c.options.more), c.checkNet()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	return playSeeds(ctx, c.Name(), seeds, c.play)
}

func (c *startsCommand) checkNet() error {
	if c.options.net < minNet || c.options.net > maxNet {
		return fmt.Errorf("-net %d is not from %d to %d; give one that is", c.options.net, minNet, maxNet)
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

// play plays one seed on a new fleet and gives what was broken.
func (c *startsCommand) play(ctx context.Context, seed int64) (violations []string, err error) {
	options := c.options
	if options.program, err = filepath.Abs(options.program); err != nil {
		return nil, err
	}
	if options.folder != "" {
		options.folder = filepath.Join(options.folder, fmt.Sprintf("seed-%d", seed))
	}
	folder, isTemporary, err := makeFolder(options.folder)
	if err != nil {
		return nil, err
	}
	if entries, err := os.ReadDir(folder); err != nil || len(entries) > 0 {
		return nil, fmt.Errorf("folder %s is not empty (%v); a first start needs empty disks", folder, err)
	}
	options.folder = folder
	f, err := newPlatformFleet(options)
	if err != nil {
		return nil, err
	}
	defer func() {
		f.close()
		if isTemporary && len(violations) == 0 && err == nil {
			os.RemoveAll(folder)
			return
		}
		fmt.Println("data and logs are in", folder)
	}()
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

package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/google/subcommands"
)

const (
	// routedListAddress is where the list of a fleet of routes listens.
	routedListAddress = "127.60.0.2:9000"
	// settledLimit bounds how long a new fleet may take until every machine is known and every key has an owner.
	settledLimit = 20 * time.Second
	// routedPoll is how often a condition is looked at.
	routedPoll = 100 * time.Millisecond
	// The bounds of the flags.
	minSeconds, maxSeconds = 12, 600
	minRate, maxRate       = 1, 500
	// The load is divided into scheduleParts; each fault waits for stepParts of them.
	scheduleParts = 12
	stepParts     = 2
	// emptiedZone is the zone that is emptied, emptyBound how soon it must get no requests.
	emptiedZone = "north-a"
	emptyBound  = 2500 * time.Millisecond
)

// routedDocument is the configuration of a fleet of routes: a plain, a keyed and a home-bound one.
const routedDocument = `{"routes": [
  {"name": "balances", "host": "ledger.example", "prefix": "/balances/", "repeatable": true, "timeout_ms": 2000, "target_ms": 500, "max_attempts": 3, "targets": [{"service": "ledger", "weight": 1}]},
  {"name": "accounts", "host": "ledger.example", "prefix": "/accounts/", "repeatable": true, "timeout_ms": 2000, "target_ms": 500, "max_attempts": 3, "targets": [{"service": "accounts", "weight": 1}]},
  {"name": "pay", "host": "ledger.example", "prefix": "/pay/", "timeout_ms": 2500, "target_ms": 800, "max_attempts": 2, "home_regions": ["north", "south"], "targets": [{"service": "payments", "weight": 1}]}],
 "services": [{"service": "ledger", "cold_rate": 17}, {"service": "accounts", "cold_rate": 17, "keyed": true}, {"service": "payments", "cold_rate": 17}]}
`

// routedOptions are the flags of the command routed.
type routedOptions struct {
	program, folder, logLevel string
	seconds, rate             int
	seed                      int64
	isDemo                    bool
	// hasFaultyDisks has machines with a disk run by this program, so that their disks can be made slow.
	hasFaultyDisks bool
	// more is how many machines without a disk each zone has beyond the usual ones.
	more int
}

// routedCommand runs a fleet of real processes that carries routes, with a fixed schedule of faults or as a demo.
type routedCommand struct{ options routedOptions }

func (*routedCommand) Name() string { return "routed" }

func (*routedCommand) Synopsis() string {
	return "run a fleet that carries routes over the product's own interface, inject faults, and check it"
}

func (*routedCommand) Usage() string {
	return "routed [-program FILE] [-seconds N] [-rate N] [-seed N] [-demo]; " +
		"a zone is emptied and restored, then the leader is killed and started again\n"
}

func (c *routedCommand) SetFlags(flags *flag.FlagSet) {
	o := &c.options
	flags.StringVar(&o.program, "program", "bin/topazshed", "the program to run")
	flags.StringVar(&o.folder, "folder", "", "folder for data and logs (default: a new temporary one)")
	flags.StringVar(&o.logLevel, "log-level", "info", "log level of the processes")
	flags.IntVar(&o.seconds, "seconds", 24, "seconds of load, from 12 to 600")
	flags.IntVar(&o.rate, "rate", 100, "requests a second, from 1 to 500")
	flags.Int64Var(&o.seed, "seed", 1, "seed of the load and the stand-ins")
	flags.BoolVar(&o.isDemo, "demo", false, "no faults: print the admin addresses and run until interrupted")
}

// check gives every fault of the flags and arguments.
func (o *routedOptions) check(arguments []string) error {
	var errs []error
	if len(arguments) > 0 {
		errs = append(errs, fmt.Errorf("arguments %q are not known; give only flags", arguments))
	}
	if o.seconds < minSeconds || o.seconds > maxSeconds {
		errs = append(errs, fmt.Errorf("-seconds %d is not from %d to %d; give one that is", o.seconds, minSeconds, maxSeconds))
	}
	if o.rate < minRate || o.rate > maxRate {
		errs = append(errs, fmt.Errorf("-rate %d is not from %d to %d; give one that is", o.rate, minRate, maxRate))
	}
	if _, err := os.Stat(o.program); err != nil {
		errs = append(errs, fmt.Errorf("-program can't be found (%w); build it first", err))
	}
	return errors.Join(errs...)
}

func (c *routedCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.options.check(flags.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	violations, err := c.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	for _, text := range violations {
		fmt.Println("BROKEN:", text)
	}
	if len(violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run makes a fleet and everything around it, and ends them all when it returns. It gives what was broken.
func (c *routedCommand) run(ctx context.Context) ([]string, error) {
	r, closeAll, err := openRouted(c.options)
	if err != nil {
		return nil, err
	}
	defer closeAll()
	random := rand.New(rand.NewSource(c.options.seed))
	if c.options.isDemo {
		fmt.Println("the fleet carries routes of ledger.example; admin addresses:")
		r.fleet.printAddresses()
		r.load(ctx, demoRate, random)
		return r.platform.allViolations(), nil
	}
	return c.injectFaults(ctx, r, random)
}

// openRouted starts a fleet of routes with everything around it, and waits until it has settled on its first configuration. The
// function that it gives ends them all.
func openRouted(options routedOptions) (r *routedRun, closeAll func(), err error) {
	program, err := filepath.Abs(options.program)
	if err != nil {
		return nil, nil, err
	}
	folder, isTemporary, err := makeFolder(options.folder)
	if err != nil {
		return nil, nil, err
	}
	var closers []func()
	closeAll = func() {
		for _, closer := range slices.Backward(closers) {
			closer()
		}
	}
	defer func() {
		if err != nil {
			closeAll()
		}
	}()
	if isTemporary {
		closers = append(closers, func() { os.RemoveAll(folder) })
	}
	platform := newRoutedPlatform(options.seed)
	closers = append(closers, func() { platform.close() })
	if err := platform.start(routedListAddress); err != nil {
		return nil, nil, err
	}
	fleet, err := newFleet(fleetOptions{
		program:     program,
		folder:      folder,
		platformURL: "http://" + routedListAddress + "/backends",
		logLevel:    options.logLevel,
		history:     newHistory(),
		routes:      &routeSettings{RetrySlack: 60, ColdMargin: 5, StopGraceMs: 4000},
		more:        options.more,
	})
	if err != nil {
		return nil, nil, err
	}
	closers = append(closers, fleet.close)
	if options.hasFaultyDisks {
		if fleet.faultyDiskProgram, err = os.Executable(); err != nil {
			return nil, nil, err
		}
	}
	if err := fleet.startAll(); err != nil {
		return nil, nil, err
	}
	r = newRoutedRun(fleet, platform)
	if err := r.operate(http.MethodPut, configurationPath, url.Values{"base": {"0"}}, routedDocument); err != nil {
		return nil, nil, err
	}
	return r, closeAll, r.awaitSettled()
}

// injectFaults runs the load with the schedule of faults, then checks the fleet and gives what was broken.
func (c *routedCommand) injectFaults(ctx context.Context, r *routedRun, random *rand.Rand) ([]string, error) {
	span := time.Duration(c.options.seconds) * time.Second
	loadCtx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	loaded := make(chan struct{})
	go func() {
		r.load(loadCtx, c.options.rate, random)
		close(loaded)
	}()
	stepTime := span * stepParts / scheduleParts
	steps := []func() error{
		r.emptyZone,
		func() error { return r.restoreZone(stepTime) },
		r.killLeader,
		r.startEnded,
	}
	for _, step := range steps {
		if sleep(ctx, stepTime) != nil {
			break
		}
		if err := step(); err != nil {
			return nil, err
		}
	}
	<-loaded
	r.checkReadBacks()
	if err := r.summarise(c.options.seed); err != nil {
		return nil, err
	}
	return r.platform.allViolations(), nil
}

package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"topazshed/internal/endless"
)

const (
	// calmTime is how long sound callers are served before the first flood, and again after the last one.
	calmTime = 2 * time.Second
	// minFloodSeconds and maxFloodSeconds bound the flag.
	minFloodSeconds, maxFloodSeconds = 3, 600
	// floodedMachines get callers of the faulty back ends; all machines have callers of the sound ones.
	floodedMachines = 4
	// maxFloodCallers bounds the flag: each caller takes two descriptors of this program, and two of the machine's.
	maxFloodCallers = 1000
	// soundCallers call the sound back ends through one machine at the same time.
	soundCallers = 2
	// minSoundShare is the share of sound requests that must be served: below a quarter a kind of request is starved.
	minSoundShare = 0.25
)

// floodsOptions are the flags of the command floods.
type floodsOptions struct {
	startsOptions
	seconds, callers int
	kind             string
}

// floodsCommand runs back ends that send bytes without end beside sound ones.
type floodsCommand struct{ options floodsOptions }

func (*floodsCommand) Name() string { return "floods" }

func (*floodsCommand) Synopsis() string {
	return "run back ends that send heads, bodies and answers without end beside sound ones, and check each machine's memory and its sound callers' answers"
}

func (*floodsCommand) Usage() string {
	return "floods [-program FILE] [-folder DIR] [-seeds N-M] [-seconds N] [-callers N] [-kind NAME] [-more N] [-net N]; each seed is a new fleet of real processes on the users' platform\n"
}

func (c *floodsCommand) SetFlags(flags *flag.FlagSet) {
	o := &c.options
	o.startsOptions.setFlags(flags, 63)
	flags.IntVar(&o.seconds, "seconds", 8, "seconds of floods, from 3 to 600")
	flags.IntVar(&o.callers, "callers", 6, "callers of the faulty back ends through each of four machines, from 1 to 1000")
	flags.StringVar(&o.kind, "kind", "", "the only way of sending, by its name in internal/endless (default: all, drawn anew for each flood)")
}

func (c *floodsCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	seeds, err := readSeeds(c.options.seeds)
	kinds, kindErr := endless.Named(c.options.kind)
	if err := flagFaults(flags.Args(), err, kindErr, checkMore(c.options.more), c.options.checkNet(), c.checkSizes()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	return playSeeds(ctx, c.Name(), seeds, func(ctx context.Context, seed int64) ([]string, error) { return c.play(ctx, seed, kinds) })
}

func (c *floodsCommand) checkSizes() error {
	if c.options.callers < 1 || c.options.callers > maxFloodCallers {
		return fmt.Errorf("-callers %d is not from 1 to %d; give one that is", c.options.callers, maxFloodCallers)
	}
	if c.options.seconds < minFloodSeconds || c.options.seconds > maxFloodSeconds {
		return fmt.Errorf("-seconds %d is not from %d to %d; give one that is", c.options.seconds, minFloodSeconds, maxFloodSeconds)
	}
	return nil
}

// play plays one seed on a new fleet and gives what was broken.
func (c *floodsCommand) play(ctx context.Context, seed int64, kinds []endless.Kind) (violations []string, err error) {
	f, closeFleet, err := c.options.openFleet(seed)
	if err != nil {
		return nil, err
	}
	defer func() { closeFleet(len(violations) == 0 && err == nil) }()
	backends, err := startFloodBackends(f, seed, kinds)
	if err != nil {
		return nil, err
	}
	defer backends.close()
	for _, m := range f.machines {
		if err := f.start(m, false); err != nil {
			return nil, err
		}
	}
	if err := configureFloods(ctx, f); err != nil {
		return nil, err
	}
	memory := watchMemory(ctx, f)
	callers := newFloodCallers(f, c.options.callers)
	span := time.Duration(c.options.seconds) * time.Second
	callers.play(ctx, rand.New(rand.NewSource(seed)), span)
	peaks := memory.stop()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	callers.check()
	fmt.Printf("floods seed %d: %d machines, %s; floods answered: %s; sound requests in calm %s, amid floods %s, after them %s; peak memory %s\n",
		seed, len(f.machines), backends, &callers.flooded, &callers.calm, &callers.amid, &callers.after, peaks)
	return shortened(f.allViolations()), nil
}

// configureFloods has the fleet take the configuration of the floods, and waits until every machine serves the sound service.
func configureFloods(ctx context.Context, f *platformFleet) error {
	document := fill("floods_configuration.json.tmpl", newFloodConfiguration())
	limit := time.Now().Add(startRecovery)
	for {
		status, text, err := callPlatform(ctx, f.machines[0], http.MethodPut, document)
		if err == nil && status == http.StatusOK {
			break
		}
		if time.Now().After(limit) {
			return fmt.Errorf("the configuration is not acknowledged within %v: %d %s %v", startRecovery, status, text, err)
		}
		if err := sleep(ctx, routedPoll); err != nil {
			return err
		}
	}
	var machines errgroup.Group
	for _, m := range f.machines {
		machines.Go(func() error { return awaitServed(ctx, m, limit) })
	}
	return machines.Wait()
}

// awaitServed waits until a machine serves a sound request.
func awaitServed(ctx context.Context, m *platformMachine, limit time.Time) error {
	client := newFloodClient()
	defer client.CloseIdleConnections()
	for number := 0; ; number++ {
		end := floodRequest(ctx, client, m, soundService, fmt.Sprintf("await-%s-%d", m.name, number))
		if end == http.StatusOK {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%s does not serve a sound request %v after the start, last status %d", m.name, startRecovery, end)
		}
		if err := sleep(ctx, routedPoll); err != nil {
			return err
		}
	}
}

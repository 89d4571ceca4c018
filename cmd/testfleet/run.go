package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/checker"
)

const (
	// platformAddress is where the stand-in for the platform's list listens.
	platformAddress = "127.60.0.1:9000"
	// acceptLimit and servedLimit bound how long a new fleet may take to accept its first configuration and to serve.
	acceptLimit = 30 * time.Second
	servedLimit = 60 * time.Second
	// acceptPause is how long to wait before the first configuration is put again.
	acceptPause = 200 * time.Millisecond
	// warmUpWait is how long the first calls wait.
	warmUpWait = 2 * time.Second
	// demoRate is the load of a demo in calls a second.
	demoRate = 20
	// reportMode and folderMode are the permissions of what a run writes.
	reportMode = 0o600
	folderMode = 0o750
)

// runOptions are the flags of the commands run and demo.
type runOptions struct {
	program, deployment, scenario, folder, logLevel, report string
	seconds, rate                                           int
	seed                                                    int64
}

// runCommand runs a fleet of real processes that serves entries: under a scenario, or as a demo until interrupted.
type runCommand struct {
	options runOptions
	isDemo  bool
}

func (c *runCommand) Name() string {
	if c.isDemo {
		return "demo"
	}
	return "run"
}

func (c *runCommand) Synopsis() string {
	if c.isDemo {
		return "run a fleet with stand-ins for its platform and a light load until interrupted"
	}
	return "run a fleet under load and a scenario, and check it"
}

func (c *runCommand) Usage() string {
	return c.Name() + " [-program FILE] [-deployment office|port] [-seconds N] [-rate N] [-seed N] [-scenario FILE]\n"
}

func (c *runCommand) SetFlags(flags *flag.FlagSet) {
	o := &c.options
	flags.StringVar(&o.program, "program", "bin/topazshed", "the program to run")
	flags.StringVar(&o.deployment, "deployment", "office", "office or port")
	flags.StringVar(&o.scenario, "scenario", "", "scenario file")
	flags.StringVar(&o.folder, "folder", "", "folder for data and logs (default: a new temporary one)")
	flags.StringVar(&o.logLevel, "log-level", "info", "log level of the processes")
	flags.StringVar(&o.report, "report", "", "write the report as JSON to this file")
	flags.IntVar(&o.seconds, "seconds", 20, "seconds of load")
	flags.IntVar(&o.rate, "rate", 0, "calls a second (default: the deployment's)")
	flags.Int64Var(&o.seed, "seed", 1, "seed of the load and the stand-ins")
}

// usageError is an error in the command line or in a file that it names.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	deployment, isKnown := deployments[c.options.deployment]
	if !isKnown {
		fmt.Fprintf(os.Stderr, "deployment %q is unknown; use office or port\n", c.options.deployment)
		return subcommands.ExitUsageError
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	report, err := c.run(ctx, deployment)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var usage usageError
		if errors.As(err, &usage) {
			return subcommands.ExitUsageError
		}
		return subcommands.ExitFailure
	}
	if c.options.report != "" {
		if err := report.write(c.options.report); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	report.print(os.Stdout)
	if report.hasFailed() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run makes a fleet and everything around it, and ends them all when it returns.
func (c *runCommand) run(ctx context.Context, deployment Deployment) (*Report, error) {
	options := &c.options
	program, err := filepath.Abs(options.program)
	if err != nil {
		return nil, err
	}
	folder, isTemporary, err := makeFolder(options.folder)
	if err != nil {
		return nil, err
	}
	if isTemporary {
		defer os.RemoveAll(folder)
	}
	history := newHistory()
	platform, err := newPlatform(history, options.seed, platformAddress)
	if err != nil {
		return nil, err
	}
	defer platform.close()
	if err := platform.addDeployment(deployment); err != nil {
		return nil, err
	}
	fleet, err := newFleet(fleetOptions{
		program:     program,
		folder:      folder,
		platformURL: "http://" + platformAddress + "/backends",
		logLevel:    options.logLevel,
		history:     history,
	})
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	steps, err := c.readSteps(fleet)
	if err != nil {
		return nil, err
	}
	callers := newCallers(history, fleet, deployment, options.seed)
	r := &fleetRun{
		options: options,
		runner:  &Runner{fleet: fleet, platform: platform, callers: callers, history: history, deployment: deployment},
		report:  newReport(deployment.Name, options.seed),
		begun:   history.Now(),
	}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	if c.isDemo {
		r.demo(ctx)
		return r.report, nil
	}
	return r.report, r.play(ctx, steps)
}

// makeFolder makes the folder of a run, a temporary one if none is named.
func makeFolder(folder string) (name string, isTemporary bool, err error) {
	if folder != "" {
		return folder, false, os.MkdirAll(folder, folderMode)
	}
	name, err = os.MkdirTemp("", "topazshed-testfleet-")
	return name, true, err
}

// readSteps reads the scenario's file, if there is one. Steps on disks need machines that run under this program.
func (c *runCommand) readSteps(fleet *Fleet) ([]Step, error) {
	if c.options.scenario == "" {
		return nil, nil
	}
	text, err := os.ReadFile(c.options.scenario)
	if err != nil {
		return nil, usageError{err}
	}
	steps, err := ReadScenario(string(text), fleet)
	if err != nil {
		return nil, usageError{err}
	}
	if slices.ContainsFunc(steps, func(s Step) bool { return s.Verb == verbDisk }) {
		if fleet.faultyDiskProgram, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	return steps, nil
}

// fleetRun is one run of a fleet, from its start to its report.
type fleetRun struct {
	options *runOptions
	runner  *Runner
	report  *Report
	begun   time.Duration
}

// start starts the processes and waits until every kind of call is served.
func (r *fleetRun) start(ctx context.Context) error {
	if err := r.runner.fleet.startAll(); err != nil {
		return err
	}
	if err := r.awaitConfiguration(ctx); err != nil {
		return err
	}
	return r.awaitServed(ctx)
}

func (r *fleetRun) elapsed() time.Duration { return r.runner.history.Now() - r.begun }

// awaitConfiguration puts the deployment's configuration until it is accepted.
func (r *fleetRun) awaitConfiguration(ctx context.Context) error {
	for ctx.Err() == nil && r.elapsed() < acceptLimit {
		if r.runner.put() {
			return nil
		}
		time.Sleep(acceptPause)
	}
	return fmt.Errorf("no configuration was accepted within %v; see the logs in %s", acceptLimit, r.runner.fleet.folder)
}

// awaitServed calls each kind of the deployment until it is served, and notes how long that took.
func (r *fleetRun) awaitServed(ctx context.Context) error {
	for i, kind := range r.runner.deployment.Kinds {
		for n := 0; ctx.Err() == nil; n++ {
			call := r.runner.callers.Do(callRequest{
				kind:    kind,
				path:    kind.Path,
				key:     fmt.Sprintf("warm-%d", n),
				attempt: fmt.Sprintf("warm-up-%d-%d", i, n),
				wait:    warmUpWait,
			})
			if call.Result == checker.ResultSealed {
				break
			}
			if r.elapsed() > servedLimit {
				folder := r.runner.fleet.folder
				return fmt.Errorf("%s was not served within %v (%s); see the logs in %s", kind.Service, servedLimit, call.LastReason, folder)
			}
		}
		if kind.isUnsafe() {
			r.report.UnsafeMs = r.elapsed().Milliseconds()
		} else {
			r.report.ReadyMs = r.elapsed().Milliseconds()
		}
	}
	return nil
}

// demo prints the addresses of the fleet and keeps a light load until interrupted.
func (r *fleetRun) demo(ctx context.Context) {
	fmt.Println("the fleet serves; admin addresses:")
	r.runner.fleet.printAddresses()
	go r.runner.callers.run(ctx, demoRate)
	<-ctx.Done()
}

// play runs the load and the scenario's steps, then checks what was seen.
func (r *fleetRun) play(ctx context.Context, steps []Step) error {
	history := r.runner.history
	rate := r.runner.deployment.Rate
	if r.options.rate > 0 {
		rate = r.options.rate
	}
	loadStart := history.Now()
	loadCtx, cancel := context.WithTimeout(ctx, time.Duration(r.options.seconds)*time.Second)
	defer cancel()
	loaded := make(chan struct{})
	go func() {
		r.runner.callers.run(loadCtx, rate)
		close(loaded)
	}()
	for _, step := range steps {
		if err := sleep(ctx, loadStart+step.At-history.Now()); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%8v %s %v\n", (history.Now() - loadStart).Round(time.Millisecond), step.Verb, step.Args)
		if err := r.runner.Do(step); err != nil {
			r.report.FailedSteps = append(r.report.FailedSteps, fmt.Sprintf("line %d %s %v: %v", step.Line, step.Verb, step.Args, err))
		}
	}
	<-loaded
	r.checkReadBack()
	r.report.summarise(history, loadStart)
	r.report.Verdicts = checker.Check(history)
	return nil
}

// checkReadBack notes a failed step if the newest configuration can't be read back.
func (r *fleetRun) checkReadBack() {
	status, version := r.runner.show()
	if status != 200 || version < r.runner.base {
		text := fmt.Sprintf("read-back at the end gave status %d version %d, not %d", status, version, r.runner.base)
		r.report.FailedSteps = append(r.report.FailedSteps, text)
	}
}

// sleep waits for a span, or until the context ends, which is an error.
func sleep(ctx context.Context, span time.Duration) error {
	if span <= 0 {
		return nil
	}
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// write writes the report as JSON.
func (r *Report) write(file string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, reportMode)
}

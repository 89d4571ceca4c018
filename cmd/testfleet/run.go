package main

import (
	"context"
	"encoding/json"
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

type runCommand struct {
	program, deployment, scenario, folder, level, report string
	seconds, rate                                        int
	seed                                                 int64
	isDemo                                               bool
}

func (c *runCommand) Name() string {
	if c.isDemo {
		return "demo"
	}
	return "run"
}

func (c *runCommand) Synopsis() string {
	if c.isDemo {
		return "run a fleet with its world and a light load until interrupted"
	}
	return "run a fleet under load and a scenario, and judge it"
}

func (c *runCommand) Usage() string {
	return c.Name() + " [-program FILE] [-deployment office|port] [-seconds N] [-rate N] [-seed N] [-scenario FILE]\n"
}

func (c *runCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.program, "program", "bin/topazshed", "the program to run")
	flags.StringVar(&c.deployment, "deployment", "office", "office or port")
	flags.StringVar(&c.scenario, "scenario", "", "scenario file")
	flags.StringVar(&c.folder, "folder", "", "folder for data and logs (default: a new temporary one)")
	flags.StringVar(&c.level, "log-level", "info", "log level of the processes")
	flags.StringVar(&c.report, "report", "", "write the report as JSON to this file")
	flags.IntVar(&c.seconds, "seconds", 20, "seconds of load")
	flags.IntVar(&c.rate, "rate", 0, "calls a second (default: the deployment's)")
	flags.Int64Var(&c.seed, "seed", 1, "seed of the load and the world")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dep, isKnown := deployments[c.deployment]
	if !isKnown {
		fmt.Fprintf(os.Stderr, "deployment %q is unknown; use office or port\n", c.deployment)
		return subcommands.ExitUsageError
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	report, err := c.run(ctx, dep)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if _, isUsage := err.(usageError); isUsage {
			return subcommands.ExitUsageError
		}
		return subcommands.ExitFailure
	}
	text, _ := json.MarshalIndent(report, "", " ")
	if c.report != "" {
		if err := os.WriteFile(c.report, text, 0o600); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	return printReport(report)
}

type usageError struct{ error }

func (c *runCommand) run(ctx context.Context, dep Deployment) (*Report, error) {
	program, err := filepath.Abs(c.program)
	if err != nil {
		return nil, err
	}
	if c.folder == "" {
		if c.folder, err = os.MkdirTemp("", "topazshed-rig-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(c.folder)
	} else if err := os.MkdirAll(c.folder, 0o750); err != nil {
		return nil, err
	}
	history := newHistory()
	world, err := newPlatform(history, c.seed, "127.60.0.1:9000")
	if err != nil {
		return nil, err
	}
	defer world.close()
	names := make([]string, 0, len(dep.Services))
	for name := range dep.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for i := range dep.Services[name] {
			if _, err := world.add(name, zonePlaces[i%len(zonePlaces)].zone, "", dep.Keyed[name], false); err != nil {
				return nil, err
			}
		}
	}
	fleet, err := newFleet(program, c.folder, "http://127.60.0.1:9000/backends", c.level, history)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	var steps []Step
	if c.scenario != "" {
		text, err := os.ReadFile(c.scenario)
		if err != nil {
			return nil, usageError{err}
		}
		if steps, err = ReadScenario(string(text), fleet); err != nil {
			return nil, usageError{err}
		}
	}
	if slices.ContainsFunc(steps, func(s Step) bool { return s.Verb == "disk" }) {
		if fleet.faultyDiskProgram, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	begun := history.Now()
	for _, m := range fleet.machines {
		if err := fleet.start(m); err != nil {
			return nil, err
		}
	}
	callers := newCallers(history, fleet, dep, c.seed)
	runner := &Runner{fleet: fleet, platform: world, callers: callers, history: history, deployment: dep}
	report := &Report{Deployment: dep.Name, Seed: c.seed, Results: map[string]int{}, Reasons: map[string]int{}, Spans: map[string][2]int{}, Latency: map[string][]int{}}
	isPut := false
	for !isPut && ctx.Err() == nil && history.Now()-begun < 30*time.Second {
		isPut = runner.put()
		if !isPut {
			time.Sleep(200 * time.Millisecond)
		}
	}
	if !isPut {
		return nil, fmt.Errorf("no configuration was accepted within 30 s; see the logs in %s", c.folder)
	}
	for i, kind := range dep.Kinds {
		for n := 0; ctx.Err() == nil; n++ {
			call := callers.Do(kind, kind.Path, fmt.Sprintf("warm-%d", n), fmt.Sprintf("warm-up-%d-%d", i, n), 0, 2*time.Second)
			if call.Result == "sealed" {
				break
			}
			if history.Now()-begun > 60*time.Second {
				return nil, fmt.Errorf("%s was not served within 60 s (%s); see the logs in %s", kind.Service, call.LastReason, c.folder)
			}
		}
		took := (history.Now() - begun).Milliseconds()
		if kind.Method == "GET" {
			report.ReadyMs = took
		} else {
			report.UnsafeMs = took
		}
	}
	if c.isDemo {
		fmt.Println("the fleet serves; doors:")
		for _, m := range fleet.machines {
			fmt.Printf("  %s door %s proxy %s\n", m.name, m.publicAddress(7003), m.publicAddress(7002))
		}
		go callers.run(ctx, 20)
		<-ctx.Done()
		return report, nil
	}
	rate := dep.Rate
	if c.rate > 0 {
		rate = c.rate
	}
	loadStart := history.Now()
	loadCtx, cancel := context.WithTimeout(ctx, time.Duration(c.seconds)*time.Second)
	defer cancel()
	loaded := make(chan bool)
	go func() {
		callers.run(loadCtx, rate)
		close(loaded)
	}()
	for _, step := range steps {
		if wait := loadStart + step.At - history.Now(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		fmt.Fprintf(os.Stderr, "%8v %s %v\n", (history.Now() - loadStart).Round(time.Millisecond), step.Verb, step.Args)
		if err := runner.Do(step); err != nil {
			report.FailedSteps = append(report.FailedSteps, fmt.Sprintf("line %d %s %v: %v", step.Line, step.Verb, step.Args, err))
		}
	}
	<-loaded
	if status, version := runner.operator("show", "GET", "/v1/configuration", nil, nil, nil, ""); status != 200 || version < runner.base {
		report.FailedSteps = append(report.FailedSteps, fmt.Sprintf("read-back at the end gave status %d version %d, not %d", status, version, runner.base))
	}
	c.summarise(report, history, loadStart)
	report.Verdicts = checker.Check(history)
	return report, nil
}

package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
)

type routedCommand struct {
	program, folder, level string
	seconds, rate          int
	seed                   int64
	isDemo                 bool
}

func (*routedCommand) Name() string { return "routed" }

func (*routedCommand) Synopsis() string {
	return "run a fleet that carries routes over the product's own interface, with troubles, and judge it"
}

func (*routedCommand) Usage() string {
	return "routed [-program FILE] [-seconds N] [-rate N] [-seed N] [-demo]; a zone is emptied and given back, then the leader is killed and started again\n"
}

func (c *routedCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.program, "program", "bin/topazshed", "the program to run")
	flags.StringVar(&c.folder, "folder", "", "folder for data and logs (default: a new temporary one)")
	flags.StringVar(&c.level, "log-level", "info", "log level of the processes")
	flags.IntVar(&c.seconds, "seconds", 24, "seconds of load, from 12 to 600")
	flags.IntVar(&c.rate, "rate", 100, "requests a second, from 1 to 500")
	flags.Int64Var(&c.seed, "seed", 1, "seed of the load and the world")
	flags.BoolVar(&c.isDemo, "demo", false, "no troubles: print the doors and run until interrupted")
}

func (c *routedCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var faults []string
	if flags.NArg() > 0 {
		faults = append(faults, fmt.Sprintf("arguments %q are not known; give only flags", flags.Args()))
	}
	if c.seconds < 12 || c.seconds > 600 {
		faults = append(faults, fmt.Sprintf("-seconds %d is not from 12 to 600; mend it", c.seconds))
	}
	if c.rate < 1 || c.rate > 500 {
		faults = append(faults, fmt.Sprintf("-rate %d is not from 1 to 500; mend it", c.rate))
	}
	if _, err := os.Stat(c.program); err != nil {
		faults = append(faults, fmt.Sprintf("-program can't be found (%v); build it first", err))
	}
	if len(faults) > 0 {
		fmt.Fprintln(os.Stderr, strings.Join(faults, "\n"))
		return subcommands.ExitUsageError
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	broken, err := c.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	for _, text := range broken {
		fmt.Println("BROKEN:", text)
	}
	if len(broken) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *routedCommand) run(ctx context.Context) ([]string, error) {
	program, err := filepath.Abs(c.program)
	if err != nil {
		return nil, err
	}
	if c.folder == "" {
		if c.folder, err = os.MkdirTemp("", "topazshed-rig-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(c.folder)
	}
	world := newRoutedPlatform(c.seed)
	defer world.close()
	for _, service := range []string{"ledger", "accounts", "payments"} {
		for _, p := range zonePlaces {
			for range 2 {
				if err := world.add(service, p.zone, service == "accounts"); err != nil {
					return nil, err
				}
			}
		}
	}
	if world.server, err = listenAndServe("127.60.0.2:9000", world); err != nil {
		return nil, err
	}
	fleet, err := newFleet(program, c.folder, "http://127.60.0.2:9000/backends", c.level, newHistory())
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	fleet.routes = map[string]any{"list_lag_ms": 0, "retry_slack": 60, "cold_margin": 5, "stop_grace_ms": 4000}
	for _, m := range fleet.machines {
		if err := fleet.start(m); err != nil {
			return nil, err
		}
	}
	r := &routedRun{fleet: fleet, platform: world, ends: map[string]int{}, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
	if err := r.operate(http.MethodPut, "/v1/configuration", url.Values{"base": {"0"}}, routedDocument); err != nil {
		return nil, err
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		s, err := r.status()
		world.lock.Lock()
		held := uint64(0)
		for _, hold := range world.leases {
			held += uint64(hold.last-hold.first) + 1
		}
		world.lock.Unlock()
		nodes, _ := s["nodes"].([]any)
		if err == nil && held == 1<<16 && len(nodes) == len(fleet.machines) {
			break
		}
		if time.Now().After(until) {
			return nil, fmt.Errorf("not settled within 20 s: %d keys held, %d machines known (%v); see the logs in %s", held, len(nodes), err, c.folder)
		}
	}
	random := rand.New(rand.NewSource(c.seed))
	if c.isDemo {
		fmt.Println("the fleet carries routes of ledger.example; doors:")
		for _, m := range fleet.machines {
			fmt.Printf("  %s door %s proxy %s\n", m.name, m.publicAddress(7003), m.publicAddress(7002))
		}
		r.load(ctx, 20, random)
		return world.violations, nil
	}
	return c.injectFaults(ctx, r, random)
}

func (c *routedCommand) injectFaults(ctx context.Context, r *routedRun, random *rand.Rand) ([]string, error) {
	loadCtx, cancel := context.WithTimeout(ctx, time.Duration(c.seconds)*time.Second)
	defer cancel()
	loaded := make(chan bool)
	go func() {
		r.load(loadCtx, c.rate, random)
		close(loaded)
	}()
	pause := func(parts int) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(c.seconds) * time.Second * time.Duration(parts) / 12):
			return true
		}
	}
	injectedFault := func(form string, args ...any) {
		r.platform.lock.Lock()
		defer r.platform.lock.Unlock()
		r.platform.addViolation(form, args...)
	}
	steps := []func() error{
		func() error {
			return r.operate(http.MethodPost, "/v1/districts/north-a/empty", url.Values{"reason": {"new racks"}}, "")
		},
		func() error {
			r.platform.lock.Lock()
			last := time.Since(r.platform.lastRequest["north-a"])
			r.platform.lock.Unlock()
			if most := time.Duration(c.seconds) * time.Second * 2 / 12; last < most-2500*time.Millisecond {
				injectedFault("north-a was emptied %v ago and got a request %v ago", most, last)
			}
			return r.operate(http.MethodPost, "/v1/districts/north-a/restore", nil, "")
		},
		func() error {
			s, err := r.status()
			if err != nil {
				return err
			}
			for _, m := range r.fleet.machines {
				if m.publicAddress(7001) == s["leader"] {
					r.fleet.kill(m)
					fmt.Printf("%s led and was killed\n", m.name)
				}
			}
			return nil
		},
		func() error {
			for _, m := range r.fleet.machines {
				if len(m.exited) > 0 {
					if err := r.fleet.start(m); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
	for _, step := range steps {
		if !pause(2) {
			break
		}
		if err := step(); err != nil {
			return nil, err
		}
	}
	<-loaded
	for _, m := range r.fleet.machines {
		if status, _, text, err := r.fleet.adminCall(m, http.MethodGet, "/v1/configuration", nil, nil); err != nil || status != http.StatusOK || string(text) != routedDocument {
			injectedFault("%s reads back status %d, %d bytes, %v", m.name, status, len(text), err)
		}
	}
	s, err := r.status()
	if err != nil {
		return nil, err
	}
	changes, _ := s["changes"].([]any)
	if len(changes) == 0 {
		injectedFault("status tells no change of standing")
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	total := 0
	for _, count := range r.ends {
		total += count
	}
	fmt.Printf("routed seed %d: %d requests, ends %v, slowest answer %v, %d changes told\n", c.seed, total, r.ends, r.slowest.Round(time.Millisecond), len(changes))
	if 10*r.ends["200"] < 9*total {
		injectedFault("only %d of %d requests were answered", r.ends["200"], total)
	}
	return r.platform.violations, nil
}

const routedDocument = `{"routes": [
  {"name": "balances", "host": "ledger.example", "prefix": "/balances/", "repeatable": true, "timeout_ms": 2000, "target_ms": 500, "max_attempts": 3, "targets": [{"service": "ledger", "weight": 1}]},
  {"name": "accounts", "host": "ledger.example", "prefix": "/accounts/", "repeatable": true, "timeout_ms": 2000, "target_ms": 500, "max_attempts": 3, "targets": [{"service": "accounts", "weight": 1}]},
  {"name": "pay", "host": "ledger.example", "prefix": "/pay/", "timeout_ms": 2500, "target_ms": 800, "max_attempts": 2, "home_regions": ["north", "south"], "targets": [{"service": "payments", "weight": 1}]}],
 "services": [{"service": "ledger", "cold_rate": 17}, {"service": "accounts", "cold_rate": 17, "keyed": true}, {"service": "payments", "cold_rate": 17}]}
`

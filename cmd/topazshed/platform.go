package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/constants"
	"topazshed/internal/node"
	"topazshed/internal/settings"
	"topazshed/platform"
)

type platformCommand struct{ level slog.LevelVar }

func (*platformCommand) Name() string { return "platform" }
func (*platformCommand) Synopsis() string {
	return "run this machine's process as the platform's settings file says"
}
func (*platformCommand) Usage() string {
	return "platform [-log-level LEVEL]\nThe settings file is named by " + platform.Variable + ".\n"
}
func (c *platformCommand) SetFlags(flags *flag.FlagSet) {
	flags.TextVar(&c.level, "log-level", &c.level, "debug, info, warn or error")
}

func (c *platformCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "platform takes no arguments, only flags: %q\n", flags.Args())
		return subcommands.ExitUsageError
	}
	file, own, bounds, err := platform.Read()
	if err != nil {
		var faults *settings.FaultsError
		if errors.As(err, &faults) {
			for _, fault := range faults.Faults {
				fmt.Fprintf(os.Stderr, "setting %s %s\n", fault.Field, fault.Message)
			}
		} else {
			fmt.Fprintln(os.Stderr, err)
		}
		return subcommands.ExitUsageError
	}
	if file.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(file.Limits.MemoryMB * (1 << 20) * constants.MemoryShare))
	}
	debug.SetGCPercent(constants.GarbagePercent)
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: &c.level}))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	n, err := node.Start(node.Options{Settings: own, Log: log, OpenFolder: node.OpenFolder, Platform: platform.NewPlatform(file, bounds)})
	if err != nil {
		log.Error("did not start", "reason", err.Error())
		return subcommands.ExitFailure
	}
	go c.follow(ctx, log, hangups, n)
	if err := n.Wait(ctx); err != nil {
		log.Error("ended with a fault", "reason", err.Error())
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// follow takes the seeds of changed settings, told of by a hangup or found by looking; all else of them is taken at the next start.
func (c *platformCommand) follow(ctx context.Context, log *slog.Logger, hangups <-chan os.Signal, n *node.Node) {
	ticker := time.NewTicker(constants.SettingsEvery)
	defer ticker.Stop()
	stamp := platform.Stamp()
	for {
		isKnown := false
		select {
		case <-hangups:
			isKnown = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		newest := platform.Stamp()
		if newest == stamp && !isKnown {
			continue
		}
		stamp = newest
		_, own, _, err := platform.Read()
		if err != nil {
			log.Error("the changed settings are not taken; mend every fault", "faults", err.Error())
			continue
		}
		log.Info("the changed settings are good; seeds are taken now, all else at the next start")
		n.SetSeeds(own.Seeds)
	}
}

package main

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/constants"
	"topazshed/internal/node"
	"topazshed/internal/settings"
	"topazshed/platform"
)

// platformCommand runs a process as the platform's settings file says.
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

func (c *platformCommand) Execute(ctx context.Context, flags *flag.FlagSet, arguments ...any) subcommands.ExitStatus {
	if err := takesNoArguments(c.Name(), flags); err != nil {
		return exit(err)
	}
	signals := signalsOf(arguments)
	ctx, cancel := signals.context(ctx)
	defer cancel()
	log, flush := newLog(&c.level)
	defer flush()
	var file *platform.File
	var own *settings.Settings
	var bounds node.Bounds
	err := readWhenWhole(ctx, log, func() (err error) {
		file, own, bounds, err = platform.Read()
		return err
	})
	if isStopped(ctx, err) {
		return subcommands.ExitSuccess
	}
	if err != nil {
		return exit(err)
	}
	if file.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(file.Limits.MemoryMB * (1 << 20) * constants.MemoryShare))
	}
	debug.SetGCPercent(constants.GarbagePercent)
	options := node.Options{Settings: own, Log: log, OpenFolder: node.OpenFolder, Platform: platform.NewPlatform(file, bounds)}
	return runNode(ctx, options, func(ctx context.Context, n *node.Node) {
		followSettings(ctx, log, signals.hangups, n)
	})
}

// followSettings takes the seeds of changed settings until ctx ends. A change is announced by a hangup signal or found by
// looking at the file; all else of it is taken at the next start.
func followSettings(ctx context.Context, log *slog.Logger, hangups <-chan os.Signal, n *node.Node) {
	ticker := time.NewTicker(constants.SettingsEvery)
	defer ticker.Stop()
	stamp := platform.Stamp()
	for {
		isAnnounced := false
		select {
		case <-hangups:
			isAnnounced = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		newest := platform.Stamp()
		if newest == stamp && !isAnnounced {
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

package main

import (
	"context"
	"flag"
	"log/slog"
	"reflect"

	"github.com/google/subcommands"

	"topazshed/internal/node"
	"topazshed/internal/settings"
)

// serveCommand runs a process until it is told to stop. A hangup signal has it read its settings again.
type serveCommand struct {
	read func() (*settings.Settings, error)
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run this machine's process" }
func (*serveCommand) Usage() string {
	return "serve -settings FILE | serve -peer IP:PORT -proxy IP:PORT -admin IP:PORT -zone NAME -region NAME " +
		"-seeds A,B,C [-data FOLDER -platform URL]\n"
}
func (c *serveCommand) SetFlags(flags *flag.FlagSet) { c.read = settings.Flags(flags) }

func (c *serveCommand) Execute(ctx context.Context, flags *flag.FlagSet, arguments ...any) subcommands.ExitStatus {
	if err := takesNoArguments(c.Name(), flags); err != nil {
		return exit(err)
	}
	signals := signalsOf(arguments)
	ctx, cancel := signals.context(ctx)
	defer cancel()
	level := &slog.LevelVar{}
	log, flush := newLog(level)
	defer flush()
	var running *settings.Settings
	err := readWhenWhole(ctx, log, func() (err error) {
		running, err = c.read()
		return err
	})
	if isStopped(ctx, err) {
		return subcommands.ExitSuccess
	}
	if err != nil {
		return exit(err)
	}
	if err := level.UnmarshalText([]byte(running.LogLevel)); err != nil {
		return exit(&UsageError{err.Error()})
	}
	options := node.Options{Settings: running, Log: log, OpenFolder: node.OpenFolder}
	return runNode(ctx, options, func(ctx context.Context, _ *node.Node) {
		for {
			select {
			case <-signals.hangups:
				fresh, err := c.read()
				reload(running, fresh, err, level, log)
			case <-ctx.Done():
				return
			}
		}
	})
}

// reload takes the log level of settings that were read again; all else needs a restart.
func reload(running, fresh *settings.Settings, err error, level *slog.LevelVar, log *slog.Logger) {
	if err != nil {
		log.Error("settings were not reloaded; mend every fault and send the signal again", "faults", err.Error())
		return
	}
	unchanged := *fresh
	unchanged.LogLevel = running.LogLevel
	if !reflect.DeepEqual(&unchanged, running) {
		log.Warn("only the log level is taken on reload; stop and start the process for the rest")
	}
	if err := level.UnmarshalText([]byte(fresh.LogLevel)); err != nil {
		log.Error("settings were not reloaded", "faults", err.Error())
		return
	}
	log.Info("settings reloaded", "log_level", fresh.LogLevel)
}

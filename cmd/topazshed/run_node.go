package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/constants"
	"topazshed/internal/node"
	"topazshed/internal/settings"
)

// newLog gives a node's log, and a function that hands on what is left of it at the process's end.
func newLog(level slog.Leveler) (log *slog.Logger, flush func()) {
	writer := newLogWriter(os.Stderr)
	return slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level})), writer.flush
}

// runNode runs a process until it is told to stop by a signal or ctx. Meanwhile follow runs beside it; it gets the hangup
// signals and must return when its context ends.
func runNode(ctx context.Context, cancel context.CancelFunc, options node.Options, follow func(context.Context, *node.Node)) subcommands.ExitStatus {
	n, err := node.Start(ctx, options)
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		options.Log.Info("stopped before it had started")
		return subcommands.ExitSuccess
	}
	if err != nil {
		options.Log.Error("did not start", "reason", err.Error())
		return subcommands.ExitFailure
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { follow(ctx, n) })
	err = n.Wait(ctx)
	cancel()
	tasks.Wait()
	if err != nil {
		options.Log.Error("ended with an error", "reason", err.Error())
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readWhenWhole reads settings, and reads them again for constants.SettingsWait while their file is missing or not whole, since it may
// be being written. It ends early when ctx ends.
func readWhenWhole(ctx context.Context, log *slog.Logger, read func() error) error {
	begun := time.Now()
	err := read()
	if !isFileUnreadable(err) {
		return err
	}
	log.Warn("the start waits for the settings file", "reason", err.Error(), "at_most", constants.SettingsWait.String())
	for isFileUnreadable(err) && time.Since(begun) < constants.SettingsWait {
		select {
		case <-ctx.Done():
			return err
		case <-time.After(constants.StartRetry):
		}
		err = read()
	}
	return err
}

// isFileUnreadable tells whether a settings file is missing or not whole.
func isFileUnreadable(err error) bool {
	var faults *settings.FaultsError
	return errors.As(err, &faults) && slices.ContainsFunc(faults.Faults, func(fault settings.Fault) bool {
		return fault.Kind == settings.Unreadable
	})
}

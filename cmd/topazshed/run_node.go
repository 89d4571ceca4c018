package main

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"os"
	"slices"
	"sync"

	"github.com/google/subcommands"

	"topazshed/internal/constants"
	"topazshed/internal/node"
	"topazshed/internal/settings"
	"topazshed/internal/startup"
)

// newLog gives a node's log, and a function that hands on what is left of it at the process's end.
func newLog(level slog.Leveler) (log *slog.Logger, flush func()) {
	writer := newLogWriter(os.Stderr)
	handler := slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level})
	takeLibraryLog(handler)
	return slog.New(handler), writer.flush
}

// takeLibraryLog hands on at debug level what libraries write to the standard log, past the node's log writer: net/http quotes
// what back ends send unasked on idle connections, kilobytes a line and as often as they like.
func takeLibraryLog(handler slog.Handler) {
	log.SetFlags(0)
	log.SetOutput(slog.NewLogLogger(handler, slog.LevelDebug).Writer())
}

// runNode runs a process until ctx ends. Meanwhile follow runs beside it; it must return when its context ends.
func runNode(ctx context.Context, options node.Options, follow func(context.Context, *node.Node)) subcommands.ExitStatus {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n, err := node.Start(ctx, options)
	if isStopped(ctx, err) {
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

// isStopped tells whether an error is that of a context that has ended: the process was told to stop meanwhile.
func isStopped(ctx context.Context, err error) bool {
	return ctx.Err() != nil && errors.Is(err, ctx.Err())
}

// readWhenWhole reads settings, and reads them again while their file is missing or not whole, since it may be being written.
func readWhenWhole(ctx context.Context, log *slog.Logger, read func() error) error {
	wait := startup.Wait{Part: "settings file", AtMost: constants.SettingsWait, PassesByItself: isFileUnreadable}
	return wait.Retry(ctx, log, read)
}

// isFileUnreadable tells whether a settings file is missing or not whole.
func isFileUnreadable(err error) bool {
	var faults *settings.FaultsError
	return errors.As(err, &faults) && slices.ContainsFunc(faults.Faults, func(fault settings.Fault) bool {
		return fault.Kind == settings.Unreadable
	})
}

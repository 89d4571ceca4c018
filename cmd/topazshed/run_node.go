package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/google/subcommands"

	"topazshed/internal/node"
)

func newLog(level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// runNode runs a process until it is told to stop by a signal or ctx. Meanwhile follow runs beside it; it gets the hangup
// signals and must return when its context ends.
func runNode(ctx context.Context, options node.Options, follow func(context.Context, *node.Node, <-chan os.Signal)) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	n, err := node.Start(ctx, options)
	if err != nil {
		options.Log.Error("did not start", "reason", err.Error())
		return subcommands.ExitFailure
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { follow(ctx, n, hangups) })
	err = n.Wait(ctx)
	cancel()
	tasks.Wait()
	if err != nil {
		options.Log.Error("ended with an error", "reason", err.Error())
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

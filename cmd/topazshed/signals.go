package main

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// nodeCommands are the commands that run a node; all others are an operator's.
var nodeCommands = []string{"serve", "platform"}

// processSignals are the signals that a node's process takes. They are caught from its first instruction on, since a signal that nobody
// takes ends the process.
type processSignals struct {
	stops   chan os.Signal
	hangups chan os.Signal
}

// catchSignals begins to catch the signals of a node's process. The end of its log's reader (SIGPIPE) must not end it either.
func catchSignals() *processSignals {
	s := &processSignals{stops: make(chan os.Signal, 1), hangups: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// runsNode tells whether a command line runs a node.
func runsNode(arguments []string) bool {
	return len(arguments) > 1 && slices.Contains(nodeCommands, arguments[1])
}

// signalsOf gives the signals that main has caught for a command, or catches them now.
func signalsOf(arguments []any) *processSignals {
	for _, argument := range arguments {
		if signals, isGiven := argument.(*processSignals); isGiven && signals != nil {
			return signals
		}
	}
	return catchSignals()
}

// context gives a context that ends when the process is told to stop.
func (s *processSignals) context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-s.stops:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

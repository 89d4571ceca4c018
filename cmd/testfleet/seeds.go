package main

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// maxMore bounds the further machines of each zone.
const maxMore = 30

// checkMore is an error if so many further machines of each zone are not allowed.
func checkMore(more int) error {
	if more < 0 || more > maxMore {
		return fmt.Errorf("-more %d is not from 0 to %d; give one that is", more, maxMore)
	}
	return nil
}

// flagsOnly is an error if there are arguments beside flags.
func flagsOnly(arguments []string) error {
	if len(arguments) == 0 {
		return nil
	}
	return fmt.Errorf("arguments %q are not known; give only flags", arguments)
}

// playSeeds plays one seed after the other until it is told to stop, and prints what each of them broke.
func playSeeds(ctx context.Context, name string, seeds seedRange, play func(context.Context, int64) ([]string, error)) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	status := subcommands.ExitSuccess
	for seed := seeds.first; seed <= seeds.last && ctx.Err() == nil; seed++ {
		violations, err := play(ctx, seed)
		if err != nil {
			violations = append(violations, err.Error())
		}
		for _, text := range violations {
			fmt.Printf("BROKEN: %s seed %d: %s\n", name, seed, text)
			status = subcommands.ExitFailure
		}
	}
	return status
}

// flagFaults is an error of the flags, or of arguments beside them; nil if there is none.
func flagFaults(arguments []string, faults ...error) error {
	return errors.Join(append(faults, flagsOnly(arguments))...)
}

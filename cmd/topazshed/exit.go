package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"topazshed/internal/settings"
)

// UsageError says that a command was called wrongly.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

// takesNoArguments refuses a command line with more than flags.
func takesNoArguments(command string, flags *flag.FlagSet) error {
	if flags.NArg() == 0 {
		return nil
	}
	return &UsageError{fmt.Sprintf("%s takes no arguments, only flags: %q", command, flags.Args())}
}

// exit prints an error and gives the command's exit status: 0 for none, 2 for a wrong call or wrong settings, else 1.
func exit(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	var usage *UsageError
	var faults *settings.FaultsError
	switch {
	case errors.As(err, &faults):
		for _, fault := range faults.Faults {
			fmt.Fprintf(os.Stderr, "setting %s %s\n", fault.Field, fault.Message())
		}
		return subcommands.ExitUsageError
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	default:
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
}

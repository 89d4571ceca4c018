package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// rolloutCommand tells how far an upgrade of the fleet has come. Its exit status says whether the next machine may be
// upgraded.
type rolloutCommand struct {
	adminFlag
	isJSON bool
}

func (*rolloutCommand) Name() string { return "rollout" }
func (*rolloutCommand) Synopsis() string {
	return "tell which version is in use, and whether the next machine may be upgraded"
}
func (*rolloutCommand) Usage() string {
	return "rollout [-admin IP:PORT] [-json] status\nExits with 0 if the next machine may be taken, 1 if not.\n"
}
func (c *rolloutCommand) SetFlags(flags *flag.FlagSet) {
	c.adminFlag.SetFlags(flags)
	flags.BoolVar(&c.isJSON, "json", false, "print it as JSON")
}

func (c *rolloutCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	progress, err := c.assess(flags)
	if err != nil {
		return exit(err)
	}
	if c.isJSON {
		err = json.NewEncoder(os.Stdout).Encode(progress)
	} else {
		progress.print(os.Stdout)
	}
	if err == nil && !progress.IsSafe {
		return subcommands.ExitFailure
	}
	return exit(err)
}

func (c *rolloutCommand) assess(flags *flag.FlagSet) (rollout, error) {
	if flags.NArg() != 1 || flags.Arg(0) != "status" {
		return rollout{}, &UsageError{fmt.Sprintf("rollout takes one word, status; %q was given", flags.Args())}
	}
	status, _, err := c.status()
	if err != nil {
		return rollout{}, err
	}
	return assess(status), nil
}

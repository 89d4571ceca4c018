package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// statusCommand shows what a node knows, as text for people or as JSON.
type statusCommand struct {
	adminFlag
	isJSON bool
}

func (*statusCommand) Name() string { return "status" }
func (*statusCommand) Synopsis() string {
	return "show a node's state and the reason of each failover assignment"
}
func (*statusCommand) Usage() string { return "status [-admin IP:PORT] [-json]\n" }
func (c *statusCommand) SetFlags(flags *flag.FlagSet) {
	c.adminFlag.SetFlags(flags)
	flags.BoolVar(&c.isJSON, "json", false, "print the whole status as JSON")
}

func (c *statusCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return exit(c.show())
}

func (c *statusCommand) show() error {
	status, text, err := c.status()
	if err != nil {
		return err
	}
	if c.isJSON {
		_, err := os.Stdout.Write(text)
		return err
	}
	printStatus(os.Stdout, status)
	return nil
}

package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/google/subcommands"
)

// zoneCommand is empty, which takes all traffic off a zone, or restore, which undoes that.
type zoneCommand struct {
	adminFlag
	isEmpty bool
	reason  string
}

func (c *zoneCommand) Name() string {
	if c.isEmpty {
		return "empty"
	}
	return "restore"
}
func (c *zoneCommand) Synopsis() string {
	if c.isEmpty {
		return "take all traffic off a zone"
	}
	return "give an emptied zone its traffic back"
}
func (c *zoneCommand) Usage() string {
	return c.Name() + " [-admin IP:PORT] [-reason TEXT] ZONE\n"
}
func (c *zoneCommand) SetFlags(flags *flag.FlagSet) {
	c.adminFlag.SetFlags(flags)
	flags.StringVar(&c.reason, "reason", "operator", "why, shown by status")
}

func (c *zoneCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(c.change(flags))
}

func (c *zoneCommand) change(flags *flag.FlagSet) error {
	if flags.NArg() != 1 {
		return &UsageError{"name one zone"}
	}
	response, err := c.call(adminRequest{
		method: http.MethodPost,
		path:   "/v1/districts/" + flags.Arg(0) + "/" + c.Name(),
		query:  url.Values{"reason": {c.reason}},
	})
	if err != nil {
		return err
	}
	reply, err := response.reply()
	if err != nil {
		return err
	}
	fmt.Println("accepted")
	printUnconfirmed(reply.Unconfirmed)
	return nil
}

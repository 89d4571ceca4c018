package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/google/subcommands"
)

// showCommand reads the newest configuration back: the document to standard output, its version to standard error.
type showCommand struct{ adminFlag }

func (*showCommand) Name() string     { return "show" }
func (*showCommand) Synopsis() string { return "read the newest configuration back" }
func (*showCommand) Usage() string    { return "show [-admin IP:PORT]\n" }

func (c *showCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return exit(c.show())
}

func (c *showCommand) show() error {
	response, err := c.call(adminRequest{method: http.MethodGet, path: "/v1/configuration"})
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "version %s\n", response.header.Get(versionHeader))
	_, err = os.Stdout.Write(append(bytes.TrimRight(response.body, "\n"), '\n'))
	return err
}

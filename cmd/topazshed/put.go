package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"
)

// newestBase, as a base version, stands for the newest configuration's.
const newestBase = -1

// putCommand puts a whole configuration.
type putCommand struct {
	adminFlag
	base int64
	key  string
}

func (*putCommand) Name() string     { return "put" }
func (*putCommand) Synopsis() string { return "put a whole configuration" }
func (*putCommand) Usage() string    { return "put [-admin IP:PORT] [-base N] [-key TEXT] FILE\n" }
func (c *putCommand) SetFlags(flags *flag.FlagSet) {
	c.adminFlag.SetFlags(flags)
	flags.Int64Var(&c.base, "base", newestBase, "version the file was based on (default: the newest)")
	flags.StringVar(&c.key, "key", "", "operator key that makes repeated puts one")
}

func (c *putCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(c.put(flags))
}

func (c *putCommand) put(flags *flag.FlagSet) error {
	if flags.NArg() != 1 {
		return &UsageError{"name one file"}
	}
	document, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		return &UsageError{err.Error()}
	}
	base := c.base
	if base < 0 {
		if base, err = c.newestVersion(); err != nil {
			return err
		}
	}
	response, err := c.call(adminRequest{
		method: http.MethodPut,
		path:   "/v1/configuration",
		query:  url.Values{"base": {strconv.FormatInt(base, 10)}},
		header: http.Header{operatorKeyHeader: {c.key}},
		body:   document,
	})
	if err != nil {
		return err
	}
	reply, err := response.reply()
	if err != nil {
		return err
	}
	fmt.Printf("accepted as version %d\n", reply.Version)
	printUnconfirmed(reply.Unconfirmed)
	return nil
}

func (c *putCommand) newestVersion() (int64, error) {
	response, err := c.call(adminRequest{method: http.MethodGet, path: "/v1/configuration"})
	if err != nil {
		return 0, err
	}
	version, err := strconv.ParseInt(response.header.Get(versionHeader), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("the node gave no version of its configuration: %w", err)
	}
	return version, nil
}

// unconfirmedText says which zones have machines that have not confirmed a change; it is empty if there are none.
func unconfirmedText(zones []string) string {
	if len(zones) == 0 {
		return ""
	}
	return fmt.Sprintf("not confirmed yet by every proxy of %s: those that no voter reaches go on as before; see status until they have",
		strings.Join(zones, ", "))
}

func printUnconfirmed(zones []string) {
	if text := unconfirmedText(zones); text != "" {
		fmt.Println(text)
	}
}

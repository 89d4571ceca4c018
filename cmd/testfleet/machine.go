package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"topazshed/internal/journal"
	"topazshed/internal/node"
	"topazshed/internal/settings"
)

// machineCommand runs one node of the product in this program, with a disk that can be made faulty.
type machineCommand struct {
	read   func() (*settings.Settings, error)
	faults string
}

func (*machineCommand) Name() string { return "machine" }

func (*machineCommand) Synopsis() string {
	return "run one node whose disk obeys a file of faults; used by run"
}

func (*machineCommand) Usage() string { return "machine -settings FILE -faults FILE\n" }

func (c *machineCommand) SetFlags(flags *flag.FlagSet) {
	c.read = settings.Flags(flags)
	flags.StringVar(&c.faults, "faults", "", "file with the disk's present fault: good, fail, full or a time such as 800ms")
}

func (c *machineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	nodeSettings, err := c.read()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	openFolder := func(path string) (node.Folder, error) {
		folder, err := journal.OpenFolder(path)
		return &faultyFolder{folder, c.faults}, err
	}
	n, err := node.Start(ctx, node.Options{Settings: nodeSettings, Log: log, OpenFolder: openFolder})
	if err == nil {
		err = n.Wait(ctx)
	}
	if err != nil {
		log.Error("ended with an error", "reason", err.Error())
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

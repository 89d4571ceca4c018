package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/journal"
	"topazshed/internal/node"
	"topazshed/internal/settings"
)

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
	s, err := c.read()
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
	n, err := node.Start(node.Options{Settings: s, Log: log, OpenFolder: openFolder})
	if err == nil {
		err = n.Wait(ctx)
	}
	if err != nil {
		log.Error("ended with a fault", "reason", err.Error())
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

type faultyFolder struct {
	*journal.Folder
	faults string
}

type faultyArea struct {
	journal.Area
	folder *faultyFolder
}

func (f *faultyFolder) fault(isSync bool) error {
	text, err := os.ReadFile(f.faults)
	if err != nil {
		return nil
	}
	switch word := strings.TrimSpace(string(text)); word {
	case "fail":
		return errors.New("input/output error")
	case "full":
		if !isSync {
			return syscall.ENOSPC
		}
	default:
		if pause, err := time.ParseDuration(word); err == nil && isSync {
			time.Sleep(pause)
		}
	}
	return nil
}

func (f *faultyFolder) Area(name string, size int64) (journal.Area, error) {
	if err := f.fault(false); err != nil {
		return nil, err
	}
	area, err := f.Folder.Area(name, size)
	return faultyArea{area, f}, err
}

func (a faultyArea) WriteAt(p []byte, at int64) (int, error) {
	if err := a.folder.fault(false); err != nil {
		return 0, err
	}
	return a.Area.WriteAt(p, at)
}

func (a faultyArea) Sync() error {
	if err := a.folder.fault(true); err != nil {
		return err
	}
	return a.Area.Sync()
}

package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// Version is the program's version.
const Version = "0.1.0"

// versionCommand prints the program's version.
type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version" }
func (*versionCommand) Usage() string          { return "version\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("topazshed", Version)
	return subcommands.ExitSuccess
}

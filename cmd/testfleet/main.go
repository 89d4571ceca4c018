// Command rig runs a whole fleet as real processes on loopback, brings failures about and judges what was seen. For tests only.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&runCommand{isDemo: true}, "")
	subcommands.Register(&machineCommand{}, "")
	subcommands.Register(&routedCommand{}, "")
	subcommands.Register(&simCommand{}, "")
	subcommands.Register(&failoverCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

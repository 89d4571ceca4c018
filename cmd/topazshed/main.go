// Command topazshed is the one program for all machines.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	var signals *processSignals
	if runsNode(os.Args) {
		signals = catchSignals()
	}
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.CommandsCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serveCommand{}, "machines")
	subcommands.Register(&platformCommand{}, "machines")
	subcommands.Register(&putCommand{}, "operators")
	subcommands.Register(&showCommand{}, "operators")
	subcommands.Register(&zoneCommand{isEmpty: true}, "operators")
	subcommands.Register(&zoneCommand{}, "operators")
	subcommands.Register(&statusCommand{}, "operators")
	subcommands.Register(&doctorCommand{}, "operators")
	subcommands.Register(&rolloutCommand{}, "operators")
	subcommands.Register(&versionCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background(), signals)))
}

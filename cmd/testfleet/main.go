// Command testfleet tests the product as a whole: it runs fleets of real processes on loopback addresses under load and
// injected faults, and simulated fleets on virtual time. It is for tests only and is no part of a deployment.
//
// Each command has a file of its own: run.go (run and demo), routed.go, soak.go, starts.go, floods.go, simulate.go (sim), failover.go and machine.go.
// Around the real processes stand the platform's list (platform_list.go, routed_platform.go), its back ends (backend.go,
// routed_backend.go), callers (callers.go, routed_load.go) and relays that delay and cut connections (relay.go). What
// they see goes to a checker.History, which package checker judges.
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
	subcommands.Register(&soakCommand{}, "")
	subcommands.Register(&startsCommand{}, "")
	subcommands.Register(&floodsCommand{}, "")
	subcommands.Register(&simCommand{}, "")
	subcommands.Register(&failoverCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

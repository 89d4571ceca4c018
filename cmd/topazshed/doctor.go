package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"
)

// clockSpanDefault is long enough to see a clock rate that is off by 5 per cent over usual round trips.
const clockSpanDefault = 2 * time.Second

// doctorCommand looks for common faults. It changes nothing.
type doctorCommand struct {
	adminFlag
	file, data string
	clockSpan  time.Duration
}

func (*doctorCommand) Name() string { return "doctor" }
func (*doctorCommand) Synopsis() string {
	return "look for common faults in a live fleet, a settings file or a stopped data folder"
}
func (*doctorCommand) Usage() string {
	return "doctor [-admin IP:PORT] [-settings FILE] [-data FOLDER]; exit code 0 is healthy, 1 has findings, 2 is a wrong call\n"
}
func (c *doctorCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.admin, "admin", "", "IP:port of any node's admin address: look at the live fleet")
	flags.StringVar(&c.door, "door", "", "old spelling of -admin, accepted for one version")
	flags.DurationVar(&c.clockSpan, "clock-span", clockSpanDefault, "how long to compare the machines' clock rates; 0 leaves it out")
	flags.StringVar(&c.file, "settings", "", "settings file to check, with its seeds")
	flags.StringVar(&c.data, "data", "", "data folder of a stopped process")
}

// Finding is one fault with its remedy.
type Finding struct{ Kind, Message, Remedy string }

// findings collects what doctor finds.
type findings []Finding

// add notes a finding; the message is formatted as fmt.Sprintf does.
func (f *findings) add(kind, remedy, message string, args ...any) {
	*f = append(*f, Finding{kind, fmt.Sprintf(message, args...), remedy})
}

func (c *doctorCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	found, err := c.examine()
	if err != nil {
		return exit(err)
	}
	for _, finding := range found {
		fmt.Printf("%s: %s\n  remedy: %s\n", finding.Kind, finding.Message, finding.Remedy)
	}
	if len(found) > 0 {
		return subcommands.ExitFailure
	}
	fmt.Println("no common fault found")
	return subcommands.ExitSuccess
}

func (c *doctorCommand) examine() (findings, error) {
	admin, err := c.given()
	if err != nil {
		return nil, err
	}
	if admin == "" && c.file == "" && c.data == "" {
		return nil, &UsageError{"name what to look at: -admin, -settings or -data"}
	}
	var found findings
	if c.file != "" {
		found = append(found, examineSettings(c.file)...)
	}
	if c.data != "" {
		found = append(found, examineData(c.data)...)
	}
	if admin != "" {
		found = append(found, examineFleet(admin, c.clockSpan)...)
	}
	return found, nil
}

package main

import (
	"context"
	"flag"
	"testing"

	"github.com/google/subcommands"
)

func TestSimRefusesWhatItDoesNotKnow(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
		want subcommands.ExitStatus
	}{
		{"an unknown fault", []string{"-fault", "nothing"}, subcommands.ExitUsageError},
		{"an unknown fault by the flag's earlier name", []string{"-breach", "nothing"}, subcommands.ExitUsageError},
		{"an unknown scenario", []string{"-scenario", "nothing"}, subcommands.ExitUsageError},
		{"seeds that are no range", []string{"-seeds", "5-2"}, subcommands.ExitUsageError},
		{"the list of scenarios", []string{"-scenario", "list"}, subcommands.ExitSuccess},
	} {
		t.Run(c.name, func(t *testing.T) {
			command := &simCommand{}
			flags := flag.NewFlagSet("sim", flag.ContinueOnError)
			command.SetFlags(flags)
			if err := flags.Parse(c.args); err != nil {
				t.Fatal(err)
			}
			if got := command.Execute(context.Background(), flags); got != c.want {
				t.Errorf("exit status %d, want %d", got, c.want)
			}
		})
	}
}

func TestEarlierNameOfTheFaultFlagSetsTheSameOption(t *testing.T) {
	for _, name := range []string{"-fault", "-breach"} {
		command := &simCommand{}
		flags := flag.NewFlagSet("sim", flag.ContinueOnError)
		command.SetFlags(flags)
		if err := flags.Parse([]string{name, "identity"}); err != nil {
			t.Fatal(err)
		}
		if command.options.fault != "identity" {
			t.Errorf("%s sets %q", name, command.options.fault)
		}
	}
}

func TestSeedsThatAreNoRangeAreRefused(t *testing.T) {
	for _, text := range []string{"x", "5-2", "1-", ""} {
		if _, err := readSeeds(text); err == nil {
			t.Errorf("seeds %q were taken", text)
		}
	}
}

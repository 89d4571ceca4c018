package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
)

func TestStartsRefusesFaultyArguments(t *testing.T) {
	for _, args := range [][]string{{"-seeds", "x"}, {"-more", "-1"}, {"-more", "31"}, {"-net", "59"}, {"-net", "121"}, {"more"}} {
		command := &startsCommand{}
		flags := flag.NewFlagSet("starts", flag.ContinueOnError)
		command.SetFlags(flags)
		if err := flags.Parse(args); err != nil {
			t.Fatal(err)
		}
		if got := command.Execute(context.Background(), flags); got != subcommands.ExitUsageError {
			t.Errorf("%v: exit code %d", args, got)
		}
	}
}

// startsFleet is a fleet whose program is a shell script.
func startsFleet(t *testing.T, net int, script string) *platformFleet {
	t.Helper()
	folder := t.TempDir()
	program := filepath.Join(folder, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"+script), 0o700); err != nil {
		t.Fatal(err)
	}
	f, err := newPlatformFleet(startsOptions{program: program, folder: folder, net: net})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	return f
}

// A check that can't fail is none: a process that ends by itself is found and started again, one that is ended is not.
func TestStartsFindsProcessesThatEndByThemselves(t *testing.T) {
	f := startsFleet(t, 118, "echo told why >&2; exit 3")
	if err := f.start(f.machines[0], false); err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(10 * time.Second); f.processCount() < 2 && time.Now().Before(limit); {
		time.Sleep(10 * time.Millisecond)
	}
	if f.processCount() < 2 {
		t.Error("it was not started again")
	}
	if found := strings.Join(f.allViolations(), "\n"); !strings.Contains(found, "ended by itself") || !strings.Contains(found, "exit status 3, told why") {
		t.Errorf("found %q", found)
	}
}

func TestStartsAcceptsProcessesThatItEnds(t *testing.T) {
	f := startsFleet(t, 119, "exec sleep 60")
	for _, m := range f.machines[:3] {
		if err := f.start(m, false); err != nil {
			t.Fatal(err)
		}
	}
	f.kill(f.machines[0])
	f.stop(f.machines[1])
	if err := f.wipe(f.machines[2]); err != nil {
		t.Fatal(err)
	}
	for _, m := range f.machines[:2] {
		<-m.current.ended
	}
	if found := f.allViolations(); len(found) > 0 {
		t.Errorf("found %q", found)
	}
}

// The settings say that it is the first start for a machine's first process only.
func TestStartsTellsOfTheFirstStartOnce(t *testing.T) {
	f := startsFleet(t, 120, "exec sleep 60")
	m := f.machines[0]
	for _, want := range []string{`"first-start": true`, `"first-start": false`} {
		if err := f.start(m, false); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(filepath.Join(f.folder, m.name+".json"))
		if err != nil || !strings.Contains(string(text), want) {
			t.Errorf("settings %s (%v), want %s", text, err, want)
		}
	}
}

// A check that can't fail is none: the memory of a process that runs is known.
func TestStartsKnowsTheMemoryOfAProcess(t *testing.T) {
	if peakMemory(os.Getpid()) == 0 {
		t.Error("the memory of this process is not known")
	}
	if used := peakMemory(-1); used != 0 {
		t.Errorf("no process used %d MB", used)
	}
}

func TestStartsShortensWhatItPrints(t *testing.T) {
	violations := make([]string, maxPrintedViolations+2)
	if got := shortened(violations); len(got) != maxPrintedViolations+1 || got[maxPrintedViolations] != "2 more" {
		t.Errorf("%q", got)
	}
	if got := shortened(violations[:maxPrintedViolations]); len(got) != maxPrintedViolations {
		t.Errorf("%q", got)
	}
}

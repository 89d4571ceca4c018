package main

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"topazshed/internal/sim"
)

func scaleWith(t *testing.T, words ...string) (*scaleCommand, *flag.FlagSet) {
	t.Helper()
	c := &scaleCommand{}
	flags := flag.NewFlagSet("scale", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	c.SetFlags(flags)
	if err := flags.Parse(words); err != nil {
		t.Fatal(err)
	}
	return c, flags
}

func TestScaleNamesEveryFault(t *testing.T) {
	words := []string{"-fleet", "round", "-vary", "moon,nodes", "-sizes", "3,x", "-plots", "/nowhere", "-changes", "0", "-memory", "1", "more"}
	c, flags := scaleWith(t, words...)
	_, _, faults := c.plan(flags.Args())
	text := strings.Join(faults, "\n")
	for _, want := range []string{`fleet "round"`, `words ["more"]`, `size "x"`, "sizes fit one", `folder "/nowhere"`, `"moon" can't be varied`, "nodes 3 are too few", "changes 0", "1 MiB of memory"} {
		if !strings.Contains(text, want) {
			t.Errorf("no fault names %q in:\n%s", want, text)
		}
	}
	c, flags = scaleWith(t, words...)
	if code := c.Execute(context.Background(), flags); code != subcommands.ExitUsageError {
		t.Errorf("exit code %d, not 2", code)
	}
}

func TestScaleKeepsItsFormerFlags(t *testing.T) {
	c, flags := scaleWith(t, "-services", "60", "-seed", "2", "-most", "150")
	plan, order, faults := c.plan(flags.Args())
	if len(faults) > 0 || len(order) != 1 || len(plan["nodes"]) != 2 {
		t.Fatalf("plan %v of %v, faults %q", plan, order, faults)
	}
	if o := plan["nodes"][1]; o.Nodes != 150 || o.Services != 60 || o.Seed != 2 {
		t.Errorf("the largest is %+v", o)
	}
}

func TestScaleStopsAtItsBound(t *testing.T) {
	c, flags := scaleWith(t, "-sizes", "13", "-most", "12")
	if code := c.Execute(context.Background(), flags); code != subcommands.ExitFailure {
		t.Errorf("exit code %d, not 1", code)
	}
}

func TestPlotIsAFile(t *testing.T) {
	for vary, sizes := range map[string][]int{"nodes": {15, 150}, "keyed": {0, 10}} {
		var results []sim.Hollow
		for _, size := range sizes {
			o := scaleBase
			for _, step := range scaleSteps {
				if step.name == vary {
					*step.field(&o) = size
				}
			}
			result := sim.Hollow{Options: o}
			for _, role := range []string{"leader", "voter", "reader"} {
				result.Roles = append(result.Roles, sim.RoleCost{Role: role, Quiet: sim.Traffic{BytesIn: float64(size), BytesOut: 2}})
			}
			results = append(results, result)
		}
		name, err := plotGrowth(t.TempDir(), vary, results)
		if err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(name)
		if err != nil || !strings.Contains(string(text), "<svg") || filepath.Base(name) != "capacity-"+vary+".svg" {
			t.Errorf("%s is no plot: %v", name, err)
		}
	}
}

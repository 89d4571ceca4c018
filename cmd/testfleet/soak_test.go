package main

import (
	"context"
	"flag"
	"math/rand"
	"testing"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/checker"
)

func TestSoakRefusesFaultyArguments(t *testing.T) {
	for _, args := range [][]string{{"-seeds", "x"}, {"-seeds", "5-1"}, {"-storms", "0"}, {"-storms", "101"}, {"more"}} {
		command := &soakCommand{}
		flags := flag.NewFlagSet("soak", flag.ContinueOnError)
		command.SetFlags(flags)
		if err := flags.Parse(args); err != nil {
			t.Fatal(err)
		}
		if got := command.Execute(context.Background(), flags); got != subcommands.ExitUsageError {
			t.Errorf("%v: exit code %d", args, got)
		}
	}
}

// A check that can't fail is none: requests after the bounds must be found.
func TestSoakFindsRequestsThatComeAfterTheBounds(t *testing.T) {
	for _, c := range []struct {
		name string
		// zoneAfter and backendAfter are how long after the bound the last request came.
		zoneAfter, backendAfter time.Duration
		want                    int
	}{
		{"all in time", -time.Second, -time.Second, 0},
		{"one to the emptied zone", time.Second, -time.Second, 1},
		{"one to a draining back end", -time.Second, time.Second, 1},
		{"both", time.Second, time.Second, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newRoutedPlatform(1)
			s := newSoak(&routedRun{fleet: &Fleet{}, platform: p}, rand.New(rand.NewSource(1)))
			calmAt := time.Now().Add(-time.Minute)
			p.lastRequest[s.zone] = calmAt.Add(evacuateBound + c.zoneAfter)
			p.drainingSince["i"] = calmAt
			p.lastRequestTo["i"] = calmAt.Add(recoveryTime + c.backendAfter)
			if state := p.stateOf("i"); state != checker.BackendDraining {
				t.Errorf("the list shows the back end as %s", state)
			}
			if err := s.check(context.Background(), calmAt, calmAt, 1); err != nil {
				t.Fatal(err)
			}
			if got := p.allViolations(); len(got) != c.want {
				t.Errorf("%q, want %d", got, c.want)
			}
		})
	}
}

package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/checker"
)

func TestSoakRefusesFaultyArguments(t *testing.T) {
	for _, args := range [][]string{{"-seeds", "x"}, {"-seeds", "5-1"}, {"-storms", "0"}, {"-storms", "101"}, {"-more", "-1"}, {"-more", "31"}, {"more"}} {
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

// A check that can't fail is none: a 404 is a violation only for a route that every configuration in force must hold.
func TestSoakKnowsWhichRoutesMustBeInForce(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		number int
		sent   int
		// age is how long ago the route's change was acknowledged.
		age  time.Duration
		want bool
	}{
		{"acknowledged long ago", 2, 3, applyBound, true},
		{"acknowledged just now", 2, 3, applyBound - time.Millisecond, false},
		{"not acknowledged", 4, 4, applyBound, false},
		{"before the first", 0, 3, applyBound, false},
		{"dropped by a change that may be in force", 2, 2 + keptRoutes, applyBound, false},
		{"the oldest that is kept", 2, 1 + keptRoutes, applyBound, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			acknowledged := []time.Time{now.Add(-c.age), now.Add(-c.age), now.Add(-c.age)}
			added := addedRoutes{sent: c.sent, acknowledgedAt: acknowledged}
			if got := added.isInForce(c.number, now); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestAddedDocumentKeepsTheNewestRoutes(t *testing.T) {
	if addedDocument(0) != routedDocument {
		t.Error("without an added route it is not the first configuration")
	}
	text := addedDocument(keptRoutes + 2)
	for number, want := range map[int]bool{2: false, 3: true, keptRoutes + 2: true, keptRoutes + 3: false} {
		if got := strings.Contains(text, fmt.Sprintf(`"prefix": "/%d/"`, number)); got != want {
			t.Errorf("route %d: %v, want %v", number, got, want)
		}
	}
}

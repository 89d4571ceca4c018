package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"topazshed/internal/adminapi"
	"topazshed/internal/protocolversion"
)

func TestARolloutsNextStepWaits(t *testing.T) {
	status := func() *adminapi.Status {
		s := &adminapi.Status{Fleet: 1, Newest: 2, Routed: &adminapi.RoutedStatus{}}
		for i := range 6 {
			id := fmt.Sprintf("n%d", i)
			s.Nodes = append(s.Nodes, adminapi.NodeStatus{ID: id, Zone: "mu-a", State: "ready", SpeaksLow: 1, SpeaksHigh: 2, InForce: true, HeardMs: 300})
			if i < 5 {
				s.Voters = append(s.Voters, id)
			}
		}
		return s
	}
	for _, c := range []struct {
		name    string
		change  func(s *adminapi.Status)
		waits   []string
		holds   []string
		mayRise protocolversion.Version
	}{
		{"all is well", func(*adminapi.Status) {}, nil, nil, 2},
		{"risen before", func(s *adminapi.Status) { s.Fleet = 2 }, nil, nil, 2},
		{"half of them are old", func(s *adminapi.Status) { s.Nodes[0].SpeaksHigh, s.Nodes[5].SpeaksHigh = 1, 1 }, nil, []string{"n0", "n5"}, 1},
		{"one is away for its upgrade", func(s *adminapi.Status) { s.Nodes[2].State, s.Nodes[2].HeardMs = "stopping", 9000 }, []string{"machine n2 in mu-a is stopping"}, []string{"n2"}, 1},
		{"two voters are away", func(s *adminapi.Status) {
			s.Nodes[0].State, s.Nodes[0].HeardMs, s.Nodes[1].State, s.Nodes[1].HeardMs = "lost", -1, "lost", -1
		}, []string{"machine n0", "machine n1", "3 of 5 voters are well"}, []string{"n0", "n1"}, 1},
		{"a ready one is silent", func(s *adminapi.Status) { s.Nodes[5].HeardMs = -1 }, []string{"machine n5 in mu-a was not heard"}, []string{"n5"}, 1},
		{"a configuration is on its way", func(s *adminapi.Status) { s.Nodes[5].InForce = false }, []string{"not in force at machine n5"}, nil, 2},
		{"a voter learns", func(s *adminapi.Status) { s.Learners = []string{"n5"} }, []string{"1 machines are learning"}, nil, 2},
		{"a member is nowhere", func(s *adminapi.Status) { s.Voters = append(s.Voters, "gone") }, []string{"member gone of the log"}, []string{"gone"}, 1},
		{"three voters of three", func(s *adminapi.Status) { s.Voters = s.Voters[:3] }, nil, nil, 2},
		{"two voters", func(s *adminapi.Status) { s.Voters = s.Voters[:2] }, []string{"2 of 2 voters are well"}, nil, 2},
		{"no leader", func(s *adminapi.Status) { s.LeaderUnreachable = "no leader is known" }, []string{"no leader answers"}, nil, 2},
		{"a node without the voters", func(s *adminapi.Status) { s.Voters = nil }, []string{"ask the admin address of one with a disk"}, nil, 2},
		{"an emptied zone", func(s *adminapi.Status) { s.Zones = []adminapi.ZoneStatus{{Name: "mu-a", Emptied: true}} }, []string{"zone mu-a is emptied"}, nil, 2},
		{"keys without a holder", func(s *adminapi.Status) {
			s.Routed.Services = []adminapi.ServiceStatus{{Name: "nickel", Unheld: 9}}
			s.Routed.Spans = []adminapi.SpanStatus{{Service: "nickel", Releasing: true}, {Service: "nickel"}}
		}, []string{"9 keys of nickel", "1 ranges of keys are moving"}, nil, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := status()
			c.change(s)
			r := assess(s)
			if r.IsSafe != (len(c.waits) == 0) || len(r.Waits) != len(c.waits) {
				t.Errorf("safe %v, waits %q", r.IsSafe, r.Waits)
			}
			for i, want := range c.waits {
				if i < len(r.Waits) && (!strings.Contains(r.Waits[i], want) || !strings.Contains(r.Waits[i], ";")) {
					t.Errorf("waits %q, want %q with a remedy", r.Waits[i], want)
				}
			}
			var owners []string
			for _, hold := range r.Holds {
				owners = append(owners, hold.ID)
			}
			if !slices.Equal(owners, c.holds) || r.MayRise != c.mayRise {
				t.Errorf("held by %v, may rise to %d; want %v, %d", r.Holds, r.MayRise, c.holds, c.mayRise)
			}
			var text strings.Builder
			r.print(&text)
			if strings.Contains(text.String(), "may be taken") != r.IsSafe || strings.Count(text.String(), "machine  ") != len(s.Nodes) || strings.Count(text.String(), "wait     ") != len(r.Waits) {
				t.Errorf("printed as\n%s", text.String())
			}
		})
	}
}

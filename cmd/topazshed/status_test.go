package main

import (
	"slices"
	"strings"
	"testing"

	"topazshed/internal/adminapi"
	"topazshed/internal/responses"
)

func routedStatus() *adminapi.Status {
	return &adminapi.Status{Node: "a", Role: "leader", Term: 3, Leader: "10.0.0.1:7001", Index: 40, Configuration: 5, Fit: true, ListMs: 120, Voters: []string{"a"}, Disk: &adminapi.Disk{Folder: "/d", LastSyncMs: 2, WorstMs: 9},
		Zones:       []adminapi.ZoneStatus{{Name: "mu-a", Region: "mu", Emptied: true, Reason: "new racks"}},
		Nodes:       []adminapi.NodeStatus{{ID: "a", State: "ready", Zone: "mu-b", Index: 40, InForce: true}, {ID: "b", State: "ready", Zone: "mu-b", Index: 40, HeardMs: 300, InForce: true}},
		Assignments: []adminapi.Assignment{{Kind: "region", Region: "mu", Active: "mu:mu-b", Number: 20002, Reason: "its open districts"}},
		Changes: []adminapi.Change{{Region: "mu", From: 10000, To: 20002, Was: "mu", Is: "mu:mu-b", Cause: "its open districts", Evidence: "mu-a is emptied (new racks)", At: "2026-05-04T12:00:00.123Z", Leader: "a", Index: 38, Term: 3},
			{Service: "nickel", Region: "xi", From: 1, To: 2, Was: "xi", Is: "region mu", Cause: "c", Index: 39, Term: 3}},
		Routed: &adminapi.RoutedStatus{Routes: 2, Services: []adminapi.ServiceStatus{{Name: "copper", Routes: 1, Ready: 2, Cold: 1}, {Name: "nickel", Routes: 1, Ready: 1, Keyed: true}},
			Spans: []adminapi.SpanStatus{{Service: "nickel", Last: 32767, Instance: "n-1", Fence: 7}, {Service: "nickel", First: 32768, Last: 65535, Instance: "n-2", Fence: 8, Releasing: true}}},
		Resting: []string{"c-9"}, Exceeded: []responses.Count{{Party: "c-9", Bound: responses.BoundFields, Count: 3}}}
}

func TestStatusExplainsItself(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *adminapi.Status)
		wants  []string
		lacks  []string
	}{
		{"all is well", nil, []string{
			"node a (leader), term 3, leader 10.0.0.1:7001, index 40, configuration 5, fit true",
			"disk     /d last sync 2 ms, worst 9 ms, fault none", "votes    voters [a], learners []", "list     read whole 120 ms ago, fault none", "emptied true new racks",
			"machine  b ready     zone mu-b       proxy  admin  disk false, configuration in force, heard 300 ms ago",
			"change   2026-05-04T12:00:00.123Z every service in mu: mu (10000) -> mu:mu-b (20002): its open districts; evidence: mu-a is emptied (new racks); by a in term 3, index 38",
			"change   - nickel in xi: xi (1) -> region mu (2): c; evidence: none recorded; by a configuration in term 3, index 39",
			"service  copper               routes 1, back ends ready 2 (cold 1), draining 0\n", "draining 0, keys without an owner 0",
			"keys     nickel                   0 to 32767 held by n-1 under 7", "32768 to 65535 being released by n-2 under 8", "resting  c-9 failed this machine", "over-bound c-9: 3 responses exceeded head_fields"}, []string{"missing", "NOT in force", "not confirmed"}},
		{"one machine is behind, one is silent", func(s *adminapi.Status) {
			s.Nodes[0].InForce, s.Nodes[1].HeardMs, s.Unconfirmed = false, -1, []string{"mu-b"}
		}, []string{"newest configuration NOT in force (index 40)", "not heard by this leader", "not confirmed yet by every proxy of mu-b"}, []string{", configuration in force"}},
		{"two of six voters are silent", func(s *adminapi.Status) { s.ToleratedLosses, s.UnresponsiveVoters = 0, []string{"b", "c"} }, []string{"losses   0 more voters may be lost before no order is taken, silent [b c]"}, nil},
		{"all six are heard", func(s *adminapi.Status) { s.ToleratedLosses = 2 }, []string{"losses   2 more voters may be lost before no order is taken, silent []"}, nil},
		{"no leader answers", func(s *adminapi.Status) { s.LeaderUnreachable, s.Role = "no leader is known; ask again", "follower" }, []string{"the leader's word is missing: no leader is known; ask again"}, []string{"in force", "list ", "losses "}},
		{"a fleet of entries", func(s *adminapi.Status) { s.Routed, s.Changes, s.Resting, s.Disk = nil, nil, nil, nil }, []string{"failover "}, []string{"in force", "routes", "resting", "disk    "}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := routedStatus()
			if c.change != nil {
				c.change(s)
			}
			var text strings.Builder
			printStatus(&text, s)
			for _, want := range c.wants {
				if !strings.Contains(text.String(), want) {
					t.Errorf("%s\nlacks %q", text.String(), want)
				}
			}
			for _, lack := range c.lacks {
				if strings.Contains(text.String(), lack) {
					t.Errorf("%s\nhas %q", text.String(), lack)
				}
			}
		})
	}
}

func TestDoctorOnARoutedFleet(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *adminapi.Status)
		want   string
	}{
		{"healthy", nil, ""},
		{"no leader answers", func(s *adminapi.Status) { s.LeaderUnreachable, s.Nodes[0].InForce = "no leader is known", false }, "no-leader-word"},
		{"a service without back ends", func(s *adminapi.Status) { s.Routed.Services[0].Ready = 0 }, "service-without-back-end"},
		{"a service that no route leads to", func(s *adminapi.Status) { s.Routed.Services[0].Ready, s.Routed.Services[0].Routes = 0, 0 }, ""},
		{"keys that nobody holds", func(s *adminapi.Status) { s.Routed.Services[1].Unheld = 64 }, "keys-without-holder"},
		{"a number that names nobody", func(s *adminapi.Status) { s.Assignments[0].Active = "nobody" }, "standing-without-group"},
		{"a machine that is behind", func(s *adminapi.Status) { s.Nodes[1].InForce = false }, "configuration-not-in-force"},
		{"a lost machine that is behind", func(s *adminapi.Status) { s.Nodes[1].InForce, s.Nodes[1].State = false, "lost" }, ""},
		{"nothing was put yet", func(s *adminapi.Status) { s.Nodes[1].InForce, s.Configuration = false, 0 }, ""},
		{"a back end that fails everywhere", func(s *adminapi.Status) { s.Resting = []string{"c-1", "c-9"} }, "failing-back-end"},
		{"a fleet of entries", func(s *adminapi.Status) { s.Routed, s.Nodes[1].InForce = nil, false }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := routedStatus()
			s.Resting = nil
			if c.change != nil {
				c.change(s)
			}
			all := []*adminapi.Status{s, {Resting: slices.DeleteFunc(slices.Clone(s.Resting), func(id string) bool { return id != "c-1" })}, {Resting: []string{"c-3"}}}
			if got := strings.Join(kinds(examineRoutes(s, all)), " "); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

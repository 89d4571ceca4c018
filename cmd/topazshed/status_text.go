package main

import (
	"cmp"
	"fmt"
	"io"

	"topazshed/internal/adminapi"
)

// printStatus writes a status for people; docs/operators.md tells what each line means.
func printStatus(w io.Writer, s *adminapi.Status) {
	line := func(form string, args ...any) { fmt.Fprintf(w, form+"\n", args...) }
	line("node %s (%s), term %d, leader %s, index %d, configuration %d, fit %v, grant %d ms", s.Node, s.Role, s.Term, s.Leader, s.Index, s.Configuration, s.Fit, s.LeaseMs)
	if s.LeaderUnreachable != "" {
		line("the leader's word is missing: %s", s.LeaderUnreachable)
	}
	if text := unconfirmedText(s.Unconfirmed); text != "" {
		line("%s", text)
	}
	if s.LeaderUnreachable == "" {
		line("losses   %d more voters may be lost before no order is taken, silent %v", s.LossesBorne, s.UnresponsiveVoters)
	}
	if s.Disk != nil {
		line("disk     %s last sync %d ms, worst %d ms, fault %s", s.Disk.Folder, s.Disk.LastSyncMs, s.Disk.WorstMs, cmp.Or(s.Disk.Fault, "none"))
		line("votes    voters %v, learners %v", s.Voters, s.Learners)
	}
	if s.Role == "leader" {
		line("list     read whole %d ms ago, fault %s", s.ListMs, cmp.Or(s.ListFault, "none"))
	}
	for _, d := range s.Zones {
		line("district %-12s region %-10s residue %2d emptied %v %s", d.Name, d.Region, d.Residue, d.Emptied, d.Reason)
	}
	for _, n := range s.Nodes {
		line("machine  %s %-9s district %-10s proxy %s door %s disk %v%s", n.ID, n.State, n.Zone, n.Proxy, n.Admin, n.Disk, wordOf(s, n))
	}
	for _, row := range s.Assignments {
		line("standing %-20s %-6s %-10s -> %-14s number %d fenced %v: %s", row.Service+row.Path, row.Kind, row.Region, row.Active, row.Number, row.Fenced, row.Reason)
	}
	for _, c := range s.Changes {
		line("change   %s %s in %s: %s (%d) -> %s (%d): %s; evidence: %s; by %s in term %d, index %d", cmp.Or(c.At, "-"), cmp.Or(c.Service+c.Path, "every service"), c.Region, c.Was, c.From, c.Is, c.To,
			c.Cause, cmp.Or(c.Evidence, "none told"), cmp.Or(c.Leader, "a configuration"), c.Term, c.Index)
	}
	if s.Routed != nil {
		printRouted(line, s.Routed)
	}
	for _, id := range s.Resting {
		line("resting  %s failed this machine and gets nothing from it for a moment", id)
	}
}

func printRouted(line func(form string, args ...any), r *adminapi.RoutedStatus) {
	line("routes   %d", r.Routes)
	for _, service := range r.Services {
		keys := ""
		if service.Keyed {
			keys = fmt.Sprintf(", keys without a holder %d", service.Unheld)
		}
		line("service  %-20s routes %d, back ends ready %d (cold %d), draining %d%s", service.Name, service.Routes, service.Ready, service.Cold, service.Draining, keys)
	}
	for _, span := range r.Spans {
		state := "held"
		if span.Releasing {
			state = "being released"
		}
		line("keys     %-20s %5d to %5d %s by %s under %d", span.Service, span.First, span.Last, state, cmp.Or(span.Instance, "nobody"), span.Fence)
	}
}

// wordOf is what the leader told of a machine.
func wordOf(s *adminapi.Status, n adminapi.NodeStatus) string {
	switch {
	case s.Routed == nil || s.LeaderUnreachable != "":
		return ""
	case n.HeardMs < 0:
		return ", not heard by this leader"
	case n.InForce:
		return fmt.Sprintf(", configuration in force, heard %d ms ago", n.HeardMs)
	}
	return fmt.Sprintf(", newest configuration NOT in force (index %d), heard %d ms ago", n.Index, n.HeardMs)
}

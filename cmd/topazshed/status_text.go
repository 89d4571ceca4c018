package main

import (
	"cmp"
	"fmt"
	"io"

	"topazshed/internal/adminapi"
)

// statusPrinter writes the lines of a status.
type statusPrinter struct{ out io.Writer }

func (p statusPrinter) line(form string, args ...any) { fmt.Fprintf(p.out, form+"\n", args...) }

// printStatus writes a status for people; docs/operators.md tells what each line means.
func printStatus(out io.Writer, s *adminapi.Status) {
	p := statusPrinter{out}
	p.printNode(s)
	for _, zone := range s.Zones {
		p.line("zone     %-12s region %-10s residue %2d emptied %v %s", zone.Name, zone.Region, zone.Residue, zone.Emptied, zone.Reason)
	}
	for _, node := range s.Nodes {
		p.line("machine  %s %-9s zone %-10s proxy %s admin %s disk %v%s",
			node.ID, node.State, node.Zone, node.Proxy, node.Admin, node.Disk, reportText(s, node))
	}
	for _, row := range s.Assignments {
		p.line("failover %-20s %-6s %-10s -> %-14s number %d fenced %v: %s",
			row.Service+row.Path, row.Kind, row.Region, row.Active, row.Number, row.Fenced, row.Reason)
	}
	for _, change := range s.Changes {
		p.printChange(change)
	}
	if s.Routed != nil {
		p.printRouted(s.Routed)
	}
	for _, id := range s.Resting {
		p.line("resting  %s failed this machine and gets nothing from it for a moment", id)
	}
	for _, exceeded := range s.Exceeded {
		p.line("over-bound %s: %d responses exceeded %s; see what runs at that address", cmp.Or(exceeded.Party, "others"), exceeded.Count, exceeded.Bound)
	}
}

func (p statusPrinter) printNode(s *adminapi.Status) {
	p.line("node %s (%s), term %d, leader %s, index %d, configuration %d, fit %v, lease %d ms",
		s.Node, s.Role, s.Term, s.Leader, s.Index, s.Configuration, s.Fit, s.LeaseMs)
	if s.LeaderUnreachable != "" {
		p.line("the leader's word is missing: %s", s.LeaderUnreachable)
	}
	if text := unconfirmedText(s.Unconfirmed); text != "" {
		p.line("%s", text)
	}
	if s.LeaderUnreachable == "" {
		p.line("losses   %d more voters may be lost before no order is taken, silent %v", s.ToleratedLosses, s.UnresponsiveVoters)
	}
	if s.Disk != nil {
		p.line("disk     %s last sync %d ms, worst %d ms, fault %s",
			s.Disk.Folder, s.Disk.LastSyncMs, s.Disk.WorstMs, cmp.Or(s.Disk.Fault, "none"))
		p.line("votes    voters %v, learners %v", s.Voters, s.Learners)
	}
	if s.Role == roleLeader {
		p.line("list     read whole %d ms ago, fault %s", s.ListMs, cmp.Or(s.ListFault, "none"))
	}
}

func (p statusPrinter) printChange(change adminapi.Change) {
	p.line("change   %s %s in %s: %s (%d) -> %s (%d): %s; evidence: %s; by %s in term %d, index %d",
		cmp.Or(change.At, "-"), cmp.Or(change.Service+change.Path, "every service"), change.Region,
		change.Was, change.From, change.Is, change.To, change.Cause, cmp.Or(change.Evidence, "none recorded"),
		cmp.Or(change.Leader, "a configuration"), change.Term, change.Index)
}

func (p statusPrinter) printRouted(r *adminapi.RoutedStatus) {
	p.line("routes   %d", r.Routes)
	for _, service := range r.Services {
		keys := ""
		if service.Keyed {
			keys = fmt.Sprintf(", keys without an owner %d", service.Unheld)
		}
		p.line("service  %-20s routes %d, back ends ready %d (cold %d), draining %d%s",
			service.Name, service.Routes, service.Ready, service.Cold, service.Draining, keys)
	}
	for _, span := range r.Spans {
		state := "held"
		if span.Releasing {
			state = "being released"
		}
		p.line("keys     %-20s %5d to %5d %s by %s under %d",
			span.Service, span.First, span.Last, state, cmp.Or(span.Instance, "nobody"), span.Fence)
	}
}

// reportText is what the leader knows of a node.
func reportText(s *adminapi.Status, node adminapi.NodeStatus) string {
	switch {
	case s.Routed == nil || s.LeaderUnreachable != "":
		return ""
	case node.HeardMs < 0:
		return ", not heard by this leader"
	case node.InForce:
		return fmt.Sprintf(", configuration in force, heard %d ms ago", node.HeardMs)
	}
	return fmt.Sprintf(", newest configuration NOT in force (index %d), heard %d ms ago", node.Index, node.HeardMs)
}

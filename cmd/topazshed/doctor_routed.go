package main

import (
	"fmt"
	"maps"
	"slices"

	"topazshed/internal/adminapi"
)

// judgeRouted finds the faults of a fleet that carries routes, by the statuses of the machines that answered; first is the leader's if one leads.
func judgeRouted(first *adminapi.Status, all []*adminapi.Status) []Finding {
	if first.Routed == nil {
		return nil
	}
	var findings []Finding
	add := func(kind, remedy, form string, args ...any) {
		findings = append(findings, Finding{kind, fmt.Sprintf(form, args...), remedy})
	}
	if first.LeaderUnreachable != "" {
		add("no-leader-word", "bring back disk machines until more than half of the voters run, then look again", "%s", first.LeaderUnreachable)
	}
	for _, service := range first.Routed.Services {
		switch {
		case service.Routes > 0 && service.Ready == 0:
			add("service-without-back-end", "start back ends of it, or lead its routes elsewhere", "%s has %d routes and no ready back end", service.Name, service.Routes)
		case service.Routes > 0 && service.Unheld > 0:
			add("keys-without-holder", "look again in 10 s; if it lasts, look for back ends that don't answer their key calls", "%d keys of %s are held by no back end", service.Unheld, service.Name)
		}
	}
	for _, row := range first.Assignments {
		if row.Active == "nobody" {
			add("standing-without-group", "report it: a number must name a group or a region", "%s in %s has number %d, which names nobody", row.Service, row.Region, row.Number)
		}
	}
	for _, node := range first.Nodes {
		if first.LeaderUnreachable == "" && first.Configuration > 0 && node.State == "ready" && !node.InForce {
			add("configuration-not-in-force", "wait 2.5 s and look again; then check its links to the disk machines", "%s in %s has index %d, the newest configuration is later", node.ID, node.Zone, node.Index)
		}
	}
	resting := map[string]int{}
	for _, s := range all {
		for _, id := range s.Resting {
			resting[id]++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(resting)) {
		if 2*resting[id] > len(all) {
			add("failing-back-end", "look at that back end; it stays out until it answers, or until the list drops it", "%s fails at %d of %d machines", id, resting[id], len(all))
		}
	}
	return findings
}

package main

import (
	"maps"
	"slices"

	"topazshed/internal/adminapi"
)

// groupNobody is the group of a failover number that names none.
const groupNobody = "nobody"

// examineRoutes finds the faults of a fleet that carries routes, by the statuses of the machines that answered; best is the
// leader's if one leads.
func examineRoutes(best *adminapi.Status, all []*adminapi.Status) findings {
	if best.Routed == nil {
		return nil
	}
	var found findings
	if best.LeaderUnreachable != "" {
		found.add("no-leader-word", "bring back disk machines until more than half of the voters run, then look again",
			"%s", best.LeaderUnreachable)
	}
	examineServices(&found, best.Routed.Services)
	for _, row := range best.Assignments {
		if row.Active == groupNobody {
			found.add("standing-without-group", "report it: a number must name a group or a region",
				"%s in %s has number %d, which names nobody", row.Service, row.Region, row.Number)
		}
	}
	for _, node := range best.Nodes {
		isBehind := best.LeaderUnreachable == "" && best.Configuration > 0 && !node.InForce
		if isBehind && node.State == stateReady {
			found.add("configuration-not-in-force", "wait 2.5 s and look again; then check its links to the disk machines",
				"%s in %s has index %d, the newest configuration is later", node.ID, node.Zone, node.Index)
		}
	}
	examineFailing(&found, all)
	return found
}

func examineServices(found *findings, services []adminapi.ServiceStatus) {
	for _, service := range services {
		switch {
		case service.Routes == 0:
		case service.Ready == 0:
			found.add("service-without-back-end", "start back ends of it, or lead its routes elsewhere",
				"%s has %d routes and no ready back end", service.Name, service.Routes)
		case service.Unheld > 0:
			found.add("keys-without-holder", "look again in 10 s; if it lasts, look for back ends that don't answer their key calls",
				"%d keys of %s are owned by no back end", service.Unheld, service.Name)
		}
	}
}

// examineFailing finds the back ends that more than half of the machines send nothing to, since they failed.
func examineFailing(found *findings, all []*adminapi.Status) {
	failing := map[string]int{}
	for _, s := range all {
		for _, id := range s.Resting {
			failing[id]++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(failing)) {
		if 2*failing[id] > len(all) {
			found.add("failing-back-end", "look at that back end; it stays out until it answers, or until the list drops it",
				"%s fails at %d of %d machines", id, failing[id], len(all))
		}
	}
}

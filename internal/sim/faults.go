package sim

import (
	"time"

	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Fault is a protection that can be switched off, the scenario that then shows it, and the rule or invariant whose check must fail.
type Fault struct{ Name, Description, Scenario, Violation string }

// Faults are the deliberate ones, at least one for each rule.
var Faults = []Fault{
	{"claims", "keepers take every claim", "calm", "rule once"},
	{"grants", "proxies act as if they always held a grant", "region-cut", "began under"},
	{"grants", "proxies act as if they always held a grant", "region-cut", "rule once"},
	{"touched", "a proxy forgets that a leg was written", "bad-outcomes", "rule once"},
	{"seal", "seals are made to fit whatever came", "bad-outcomes", "rule sealed"},
	{"identity", "connections are used without proof", "reuse", "rule allowed"},
	{"stale", "nodes decide on an image that is 12 s old", "release", "rule gone"},
	{"stale", "nodes decide on an image that is 12 s old", "puts", "rule effect"},
	{"stale", "nodes decide on an image that is 12 s old", "emptied", "rule emptied"},
	{"read-back", "the door tells an older version", "puts", "rule read-back"},
	{"race", "a put's base is forged", "puts", "rule read-back"},
	{"unsynced", "disks tell of syncs that were none", "all-killed", "two leaders in term"},
	{"stop", "a planned stop does not wait", "rolling", "rule dropped"},
	{"budget", "the repeat budget counts first legs twenty times", "bad-outcomes", "rule repeats"},
	{"cold", "proxies see neither the cold mark nor that a back end refused them", "all-cold", "rule cold"},
	{"home", "proxies take every back end as near", "calm", "rule home"},
	{"keys", "nodes do not tell of their running keyed legs", "release", "rule keys"},
}

func (f *Fleet) faultyLocal(n *Node) *controlplane.Local {
	local := n.machine.Local()
	switch f.Options.Fault {
	case "grants":
		local.LeaseUntil = f.clock(n) + time.Hour
	case "stale":
		old := f.stale[n.Name]
		if old == nil || f.staleFrom == 0 || f.clock(n)-old.TickAt > 12*time.Second || old.View.Head.Version == 0 {
			copied := *local
			f.stale[n.Name], old = &copied, &copied
		}
		local.View = old.View
	case "cold", "home":
		view := *local.View
		view.Services = map[string]*store.Service{}
		for name, service := range local.View.Services {
			copied := *service
			copied.Backends = nil
			for _, b := range service.Backends {
				row := &schema.Backend{Service: b.Service, Instance: b.Instance, Address: b.Address, Zone: b.Zone, State: b.State, Failing: b.Failing, Cold: b.Cold && f.Options.Fault != "cold"}
				if f.Options.Fault == "home" {
					row.Zone = n.Zone
				}
				copied.Backends = append(copied.Backends, row)
			}
			view.Services[name] = &copied
		}
		local.View = &view
	}
	return local
}

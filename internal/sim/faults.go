package sim

import (
	"time"

	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// FaultName names a protection that can be switched off; empty means that all are on. The names are those of the
// command line (testfleet sim -fault NAME).
type FaultName string

// The faults that can be injected.
const (
	FaultReservations FaultName = "claims"
	FaultLeases       FaultName = "grants"
	FaultTouched      FaultName = "touched"
	FaultSeal         FaultName = "seal"
	FaultIdentity     FaultName = "identity"
	FaultStale        FaultName = "stale"
	FaultReadBack     FaultName = "read-back"
	FaultRace         FaultName = "race"
	FaultUnsynced     FaultName = "unsynced"
	FaultStop         FaultName = "stop"
	FaultBudget       FaultName = "budget"
	FaultCold         FaultName = "cold"
	FaultHome         FaultName = "home"
	FaultKeys         FaultName = "keys"
)

// staleAge is how old the state is that machines decide on under FaultStale.
const staleAge = 12 * time.Second

// Fault is an injected fault, a scenario that shows it, and part of the violation that must then be found.
type Fault struct {
	Name        FaultName
	Description string
	Scenario    string
	Violation   string
}

// Faults are the injected faults, at least one for each rule of the checker.
var Faults = []Fault{
	{FaultReservations, "replicas accept every reservation", "calm", "rule once"},
	{FaultLeases, "proxies act as if they always held a lease", "region-cut", "began under"},
	{FaultLeases, "proxies act as if they always held a lease", "region-cut", "rule once"},
	{FaultTouched, "a proxy forgets that an attempt was written", "bad-outcomes", "rule once"},
	{FaultSeal, "digests are made to fit whatever came", "bad-outcomes", "rule sealed"},
	{FaultIdentity, "connections are used without proof of identity", "reuse", "rule allowed"},
	{FaultStale, "nodes decide on a snapshot that is 12 s old", "release", "rule gone"},
	{FaultStale, "nodes decide on a snapshot that is 12 s old", "puts", "rule effect"},
	{FaultStale, "nodes decide on a snapshot that is 12 s old", "emptied", "rule emptied"},
	{FaultReadBack, "the admin API gives an older version", "puts", "rule read-back"},
	{FaultRace, "a put's base is forged", "puts", "rule read-back"},
	{FaultUnsynced, "disks report syncs that didn't happen", "all-killed", "two leaders in term"},
	{FaultStop, "a planned stop does not wait", "rolling", "rule dropped"},
	{FaultBudget, "the retry budget counts first attempts twenty times", "bad-outcomes", "rule repeats"},
	{FaultCold, "proxies see neither the cold mark nor that a back end refused them", "all-cold", "rule cold"},
	{FaultHome, "proxies take every back end as near", "calm", "rule home"},
	{FaultKeys, "nodes do not report their running keyed attempts", "release", "rule keys"},
}

// faultyLocal gives the state on which a machine's proxy and directory decide, with the fault that is injected into it.
func (f *Fleet) faultyLocal(n *Node) *controlplane.Local {
	local := n.machine.Local()
	switch f.Options.Fault {
	case FaultLeases:
		local.LeaseUntil = f.clock(n) + time.Hour
	case FaultStale:
		local.View = f.staleView(n, local)
	case FaultCold, FaultHome:
		local.View = misreadBackends(local.View, n.Zone, f.Options.Fault)
	}
	return local
}

// staleView gives a view that is up to staleAge old, once the load has begun.
func (f *Fleet) staleView(n *Node, local *controlplane.Local) *store.View {
	old := f.staleLocals[n.Name]
	if old == nil || f.staleFrom == 0 || f.clock(n)-old.TickAt > staleAge || old.View.Head.Version == 0 {
		copied := *local
		old = &copied
		f.staleLocals[n.Name] = old
	}
	return old.View
}

// misreadBackends gives a view whose back ends are never cold (FaultCold) or all in one zone (FaultHome).
func misreadBackends(view *store.View, zone string, fault FaultName) *store.View {
	misread := *view
	misread.Services = map[string]*store.Service{}
	for name, service := range view.Services {
		copied := *service
		copied.Backends = nil
		for _, b := range service.Backends {
			row := &schema.Backend{
				Service:  b.Service,
				Instance: b.Instance,
				Address:  b.Address,
				Zone:     b.Zone,
				State:    b.State,
				Failing:  b.Failing,
				Cold:     b.Cold && fault != FaultCold,
			}
			if fault == FaultHome {
				row.Zone = zone
			}
			copied.Backends = append(copied.Backends, row)
		}
		misread.Services[name] = &copied
	}
	return &misread
}

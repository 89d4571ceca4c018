package operations

import (
	"topazshed/internal/catalog"
	"topazshed/internal/schema"
)

// entriesDecider decides a configuration of entries.
type entriesDecider struct {
	state    State
	proposer Proposer
}

func (d *entriesDecider) decide(request *schema.OperatorRequest) decision {
	view, table := d.state.View(), d.state.Table()
	if len(view.Regions) == 0 || len(view.Services) == 0 {
		return refuseAtOnce{noLeader("no back end is known from the platform's list yet", "ask again shortly")}
	}
	head := newestHead(d.state)
	if d.proposer.IsInFlight(headKey) {
		return refuseOnState(conflict(head.GetVersion()+1, "another configuration is being accepted", "read it, merge, and put again"))
	}
	if request.Key != "" && head.GetOperatorKey() == request.Key {
		return answer{&schema.OperatorResponse{Version: head.Version, Index: table.Get(headKey).Index}}
	}
	entries, faults := catalog.Read(request.Document, view)
	if len(faults) > 0 {
		return refuseOnState(invalid(0, faults))
	}
	record, version, err := catalog.Plan(table, entries, request.Document, request.Base, request.Key)
	if err != nil {
		return refuseOnState(conflict(head.GetVersion(), "", "").causedBy(err))
	}
	catalog.AddAssignments(view, table, record)
	return propose{record, version}
}

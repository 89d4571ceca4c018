package leader

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// entries performs the duties of a fleet that carries entries.
type entries struct {
	endpoints *entryEndpoints
	signer    signer
}

func newEntries(signer signer) *entries {
	return &entries{endpoints: newEntryEndpoints(), signer: signer}
}

func (e *entries) admissionRules() AdmissionRules { return AdmissionRules{HasZoneResidues: true} }

func (e *entries) report(_ time.Duration, node *schema.Node, heartbeat *schema.Heartbeat) {
	e.endpoints.list.Report(node.Id, heartbeat.Health)
}

func (e *entries) forget(node string) { e.endpoints.list.Drop(node) }

func (e *entries) take(_ time.Duration, input Input) bool {
	read, isRead := input.(ListRead)
	if isRead {
		e.endpoints.read = &read.ListRead
	}
	return isRead
}

func (e *entries) isUrgent([]*schema.Row) bool { return false }

func (e *entries) elected() { e.endpoints.read = nil }

func (e *entries) resigned() {}

// plan performs the duties in the order in which one rests on the other: back ends, replicas of reservations, slots,
// failover assignments. A new leader of a fleet that has services waits until it has heard of all nodes.
func (e *entries) plan(t *turn) []LeaseCall {
	if t.sinceElected() < constants.FailoverSettle && len(t.View.Services) > 0 {
		return nil
	}
	e.endpoints.plan(t)
	for _, record := range t.fleet.PlanReplicaSets(t.State) {
		t.propose(record)
	}
	for _, record := range t.fleet.PlanShardSlots(t.State) {
		t.propose(record)
	}
	planEntryAssignments(t, e.signer)
	return nil
}

package operations

import (
	"math"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// A change of a zone names, as its base, the index of the zone's row at the node that took it, so that it can't undo a change that was made
// after its caller gave it up: a caller that isn't answered makes the same call, and then others, at another node.
const (
	// noZoneBase is the base in requests of programs that name none; they are not checked.
	noZoneBase = 0
	// unknownZoneBase is the base at a node without the zone's row; the leader names the right one.
	unknownZoneBase = math.MaxUint64
)

// zoneDecider decides whether a zone is emptied or restored.
type zoneDecider struct {
	state    State
	proposer Proposer
	fleet    Fleet
	// settles marks a restored zone as settling, as fleets of routes do.
	settles bool
}

func (d *zoneDecider) decide(request *schema.OperatorRequest) decision {
	isEmptied := request.Kind == schema.OperatorKind_OPERATOR_EMPTY
	key := store.ZoneKey(request.Zone)
	row := d.state.Table().Get(key)
	zone := store.DecodeRow[schema.Zone](row)
	if zone == nil {
		return refuseOnState(unknown(0, "zone "+request.Zone+" is not known", "see status for the names"))
	}
	// The back ends of a zone that is restored may have turned cold, also where the request to empty it has not come through.
	isSettled := isEmptied || !d.settles || zone.Settling
	if zone.Emptied == isEmptied && isSettled && !d.proposer.IsInFlight(key) {
		return answer{&schema.OperatorResponse{Index: row.Index, Unconfirmed: d.fleet.Unconfirmed(raft.Index(row.Index))}}
	}
	if request.Base != noZoneBase && request.Base != row.Index {
		return answer{staleZone(request.Zone, row.Index)}
	}
	fresh := proto.Clone(zone).(*schema.Zone)
	fresh.Emptied = isEmptied
	fresh.Reason = request.Reason
	fresh.Settling = d.settles && !isEmptied
	record := &schema.Record{
		Kind:   schema.RecordKind_RECORD_ROWS,
		Reason: "zone " + zone.Name,
		Rows:   []*schema.Row{store.EncodeRow(key, fresh)},
	}
	if request.Base != noZoneBase {
		record.Guards = []*schema.Guard{{Key: key, Index: request.Base}}
	}
	return propose{record: record}
}

// noteZoneBase notes the index of the zone's row that a request was made on; whether its caller still waits must be asked after that.
func (m *Manager) noteZoneBase(p *pendingRequest) {
	if !isZoneChange(p.request.Kind) {
		return
	}
	base := uint64(unknownZoneBase)
	if row := m.state.Table().Get(store.ZoneKey(p.request.Zone)); row != nil {
		base = row.Index
	}
	p.setBase(base)
}

// decideZoneAnew decides a change of a zone that was made on an older row once more on the newest one while its caller still waits, so that it has
// made no newer request, and there is time; otherwise it refuses the change.
func (m *Manager) decideZoneAnew(p *pendingRequest, newest uint64) {
	p.setBase(newest)
	if m.now >= forwardingEnds(p) || p.origin.isGone() {
		m.refuse(p, noLeader("the zone was changed meanwhile", "ask again"))
		return
	}
	p.isLeaderConfirmed = false
	m.handle(p)
}

func isZoneChange(kind schema.OperatorKind) bool {
	return kind == schema.OperatorKind_OPERATOR_EMPTY || kind == schema.OperatorKind_OPERATOR_RESTORE
}

// staleZone refuses a change of a zone that was made on an older row, and names the index of the newest.
func staleZone(zone string, newest uint64) *schema.OperatorResponse {
	response := conflict(0, "zone "+zone+" was changed meanwhile", "ask again").response()
	response.Index = newest
	return response
}

func isStaleZone(request *schema.OperatorRequest, response *schema.OperatorResponse) bool {
	return isZoneChange(request.Kind) && response.Refusal == schema.RefusalKind_REFUSAL_CONFLICT && response.Index > 0
}

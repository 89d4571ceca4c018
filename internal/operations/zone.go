package operations

import (
	"google.golang.org/protobuf/proto"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
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
	if zone.Emptied == isEmptied && !d.proposer.IsInFlight(key) {
		return answer{&schema.OperatorResponse{Index: row.Index, Unconfirmed: d.fleet.Unconfirmed(raft.Index(row.Index))}}
	}
	fresh := proto.Clone(zone).(*schema.Zone)
	fresh.Emptied = isEmptied
	fresh.Reason = request.Reason
	fresh.Settling = d.settles && !isEmptied
	return propose{record: &schema.Record{
		Kind:   schema.RecordKind_RECORD_ROWS,
		Reason: "zone " + zone.Name,
		Rows:   []*schema.Row{store.EncodeRow(key, fresh)},
	}}
}

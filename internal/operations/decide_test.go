package operations

import (
	"testing"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// kindOf names what a decision wants: an answer's refusal, or what becomes of the request otherwise.
func kindOf(t *testing.T, wanted decision) string {
	t.Helper()
	switch wanted := wanted.(type) {
	case propose:
		return "propose"
	case deferRequest:
		return "defer"
	case answer:
		return "answer " + wanted.response.Refusal.String()
	case refuseAtOnce:
		return "refuse " + wanted.refusal.Kind.String()
	}
	t.Fatalf("%T is no decision", wanted)
	return ""
}

func TestDecisionsForRoutes(t *testing.T) {
	for _, c := range []struct {
		name    string
		options RouteOptions
		request *schema.OperatorRequest
		head    uint64
		isOther bool
		want    string
	}{
		{name: "the first", request: putRoutes(1, 0, "{}"), want: "propose"},
		{name: "while another is in flight", request: putRoutes(1, 0, "{}"), isOther: true, want: "defer"},
		{name: "on another base", request: putRoutes(3, 2, "{}"), head: 1, want: "answer REFUSAL_CONFLICT"},
		{name: "a version that doesn't rise", request: putRoutes(5, 5, "{}"), head: 5, want: "answer REFUSAL_INVALID"},
		{name: "a record that doesn't fit", request: putRoutes(1, 0, "{}"),
			options: RouteOptions{Fits: func(*schema.Record) bool { return false }}, want: "answer REFUSAL_OVERSIZE"},
		{name: "a state that doesn't fit", request: putRoutes(1, 0, "{}"),
			options: RouteOptions{FitsSnapshot: func(*schema.Snapshot) bool { return false }}, want: "answer REFUSAL_OVERSIZE"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t, &c.options)
			if c.head > 0 {
				h.put(store.EncodeRow(store.CatalogHeadKey, &schema.CatalogHead{Version: c.head}))
			}
			if c.isOther {
				h.inFlight[store.CatalogHeadKey] = 9
			}
			decider := &routesDecider{state: h, proposer: h, options: c.options}
			if got := kindOf(t, decider.decide(c.request)); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

func TestDecisionsForEntries(t *testing.T) {
	put := func(base uint64, key, document string) *schema.OperatorRequest {
		return &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT, Base: base, Key: key, Document: []byte(document)}
	}
	const valid = `{"entries":[{"service":"copper","path":"/x","methods":["GET"],"repeat_safe":["GET"]}]}`
	for _, c := range []struct {
		name    string
		request *schema.OperatorRequest
		isEmpty bool
		isOther bool
		want    string
	}{
		{name: "no back end is known", request: put(4, "", valid), isEmpty: true, want: "refuse REFUSAL_NO_LEADER"},
		{name: "while another is in flight", request: put(4, "", valid), isOther: true, want: "answer REFUSAL_CONFLICT"},
		{name: "the same again", request: put(3, "k", valid), want: "answer REFUSAL_NONE"},
		{name: "with faults", request: put(4, "", "no document"), want: "answer REFUSAL_INVALID"},
		{name: "on another base", request: put(2, "", valid), want: "answer REFUSAL_CONFLICT"},
		{name: "on the newest", request: put(4, "", valid), want: "propose"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t, nil)
			if !c.isEmpty {
				h.put(store.EncodeRow(store.RegionKey("r"), &schema.Region{Name: "r"}),
					store.EncodeRow(store.BackendKey("copper", "c-1"), &schema.Backend{Service: "copper", Instance: "c-1"}),
					store.EncodeRow(store.CatalogHeadKey, &schema.CatalogHead{Version: 4, OperatorKey: "k"}))
			}
			if c.isOther {
				h.inFlight[store.CatalogHeadKey] = 9
			}
			decider := &entriesDecider{state: h, proposer: h}
			if got := kindOf(t, decider.decide(c.request)); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

func TestAFleetOfEntriesTakesNoRoutes(t *testing.T) {
	h := newHost(t, nil)
	h.manager.Operate(h.now, ticket, putRoutes(1, 0, "{}"), nil)
	h.check(ticket, isUnknown)
}

func TestDecisionsForZones(t *testing.T) {
	restoreZone := &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_RESTORE, Zone: "z"}
	for _, c := range []struct {
		name    string
		request *schema.OperatorRequest
		isOther bool
		want    string
	}{
		{name: "emptied", request: emptyZone("z"), want: "propose"},
		{name: "restored, never emptied", request: restoreZone, want: "answer REFUSAL_NONE"},
		{name: "restored, while its emptying is in flight", request: restoreZone, isOther: true, want: "propose"},
		{name: "not there", request: emptyZone("y"), want: "answer REFUSAL_UNKNOWN"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t, nil)
			h.put(zoneRow("z"))
			if c.isOther {
				h.inFlight[store.ZoneKey("z")] = 9
			}
			decider := &zoneDecider{state: h, proposer: h, fleet: h}
			if got := kindOf(t, decider.decide(c.request)); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// Guards against taking cold back ends for warm (FAILBACK): the request to empty their zone had not come through when its operator restored it.
func TestARestoredZoneSettlesAlsoIfItWasNeverEmptied(t *testing.T) {
	for _, c := range []struct {
		name    string
		settles bool
		zone    *schema.Zone
		kind    schema.OperatorKind
		want    string
	}{
		{"never emptied", true, &schema.Zone{Name: "z"}, schema.OperatorKind_OPERATOR_RESTORE, "propose"},
		{"restored and settling: the same request again", true, &schema.Zone{Name: "z", Settling: true}, schema.OperatorKind_OPERATOR_RESTORE, "answer REFUSAL_NONE"},
		{"emptied: the same request again", true, &schema.Zone{Name: "z", Emptied: true}, schema.OperatorKind_OPERATOR_EMPTY, "answer REFUSAL_NONE"},
		{"a fleet of entries", false, &schema.Zone{Name: "z"}, schema.OperatorKind_OPERATOR_RESTORE, "answer REFUSAL_NONE"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t, nil)
			h.put(store.EncodeRow(store.ZoneKey("z"), c.zone))
			decider := &zoneDecider{state: h, proposer: h, fleet: h, settles: c.settles}
			decided := decider.decide(&schema.OperatorRequest{Kind: c.kind, Zone: "z"})
			if got := kindOf(t, decided); got != c.want {
				t.Fatalf("%s, want %s", got, c.want)
			}
			if wanted, isProposal := decided.(propose); isProposal {
				if zone := store.DecodeRow[schema.Zone](wanted.record.Rows[0]); !zone.Settling || zone.Emptied {
					t.Errorf("%v", zone)
				}
			}
		})
	}
}

func TestOnlyFleetsOfRoutesSettleARestoredZone(t *testing.T) {
	for _, settles := range []bool{false, true} {
		h := newHost(t, nil)
		h.put(store.EncodeRow(store.ZoneKey("z"), &schema.Zone{Name: "z", Emptied: true}))
		decider := &zoneDecider{state: h, proposer: h, fleet: h, settles: settles}
		wanted := decider.decide(&schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_RESTORE, Zone: "z"}).(propose)
		zone := store.DecodeRow[schema.Zone](wanted.record.Rows[0])
		if zone.Settling != settles || zone.Emptied {
			t.Errorf("settles %v: %v", settles, zone)
		}
	}
}

package operations

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/proposals"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const (
	accepted      = schema.RefusalKind_REFUSAL_NONE
	isInvalid     = schema.RefusalKind_REFUSAL_INVALID
	isConflict    = schema.RefusalKind_REFUSAL_CONFLICT
	isUnknown     = schema.RefusalKind_REFUSAL_UNKNOWN
	isNoLeader    = schema.RefusalKind_REFUSAL_NO_LEADER
	isAmbiguous   = schema.RefusalKind_REFUSAL_AMBIGUOUS
	isOversize    = schema.RefusalKind_REFUSAL_OVERSIZE
	ticket        = Ticket(5)
	remoteAddress = "remote"
	remoteCall    = uint64(77)
)

var errNotLeading = errors.New("this node does not lead")

// host stands for all that a manager needs: a log whose records are applied by hand, a state, a leader and a fleet.
type host struct {
	t           *testing.T
	manager     *Manager
	now         time.Duration
	table       *store.Table
	view        *store.View
	isLeading   bool
	isLogFailed bool
	term        raft.Term
	last        raft.Index
	records     map[raft.Index]*schema.Record
	inFlight    map[string]raft.Index
	asked       []uint64
	leader      string
	zonesBehind []string
	sends       map[string][]*schema.Frame
	responses   map[Ticket]*schema.OperatorResponse
}

func newHost(t *testing.T, routes *RouteOptions) *host {
	t.Helper()
	h := &host{
		t:         t,
		now:       time.Hour,
		table:     store.NewTable(),
		view:      store.NewView(),
		isLeading: true,
		term:      3,
		records:   map[raft.Index]*schema.Record{},
		inFlight:  map[string]raft.Index{},
		sends:     map[string][]*schema.Frame{},
		responses: map[Ticket]*schema.OperatorResponse{},
	}
	h.manager = New(Options{Log: h, Proposer: h, State: h, Fleet: h, Sender: h, Routes: routes, Logger: slog.New(slog.DiscardHandler)})
	return h
}

func (h *host) IsLeading() bool { return h.isLeading }

func (h *host) ConfirmLeadership(_ time.Duration, number uint64) error {
	if h.isLogFailed {
		return errNotLeading
	}
	h.asked = append(h.asked, number)
	return nil
}

func (h *host) IsInFlight(key string) bool { return h.inFlight[key] > h.table.Version() }

func (h *host) Submit(_ time.Duration, record *schema.Record) (proposals.Position, error) {
	if h.isLogFailed {
		return proposals.Position{}, errNotLeading
	}
	h.last++
	h.records[h.last] = record
	for _, row := range record.Rows {
		h.inFlight[row.Key] = h.last
	}
	return proposals.Position{Index: h.last, Term: h.term}, nil
}

func (h *host) Table() *store.Table { return h.table }

func (h *host) View() *store.View { return h.view }

func (h *host) Changes() []*schema.FailoverChange { return nil }

func (h *host) Leader() (string, bool) { return h.leader, h.leader != "" }

func (h *host) Unconfirmed(raft.Index) []string { return h.zonesBehind }

func (h *host) Reports() []*schema.NodeReport { return nil }

func (h *host) ToleratedLosses() (uint32, []string) { return 1, nil }

func (h *host) Send(to string, frame *schema.Frame) { h.sends[to] = append(h.sends[to], frame) }

func (h *host) Respond(ticket Ticket, response *schema.OperatorResponse) {
	h.t.Helper()
	if h.responses[ticket] != nil {
		h.t.Errorf("request %d is answered twice", ticket)
	}
	h.responses[ticket] = response
}

// put applies rows that nobody here proposed.
func (h *host) put(rows ...*schema.Row) {
	h.t.Helper()
	h.last++
	h.apply(h.last, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: rows})
}

func (h *host) apply(index raft.Index, record *schema.Record) (isVoid bool) {
	changed, err := h.table.Apply(index, record, nil)
	h.view = h.view.With(h.table, changed)
	return err != nil
}

// commit applies all that was proposed, as records of a term.
func (h *host) commit(term raft.Term) {
	for index := h.table.Version() + 1; index <= h.last; index++ {
		isVoid := h.apply(index, h.records[index])
		h.manager.Applied(h.now, proposals.Position{Index: index, Term: term}, isVoid)
	}
	h.manager.Resume(h.now)
}

// confirm gives a majority's word for all that was asked.
func (h *host) confirm() {
	asked := h.asked
	h.asked = nil
	for _, number := range asked {
		h.manager.ReadConfirmed(h.now, number)
	}
}

func (h *host) lose() {
	asked := h.asked
	h.asked = nil
	h.isLeading = false
	for _, number := range asked {
		h.manager.ReadLost(h.now, number)
	}
}

func (h *host) pass(span time.Duration) {
	h.now += span
	h.manager.Tick(h.now)
}

// check wants one response of a kind to a request.
func (h *host) check(ticket Ticket, want schema.RefusalKind) {
	h.t.Helper()
	response := h.responses[ticket]
	if response == nil {
		h.t.Fatalf("request %d has no response, want %v", ticket, want)
	}
	if response.Refusal != want {
		h.t.Errorf("request %d: %v (%s), want %v", ticket, response.Refusal, response.Message, want)
	}
}

func (h *host) checkPending(ticket Ticket) {
	h.t.Helper()
	if response := h.responses[ticket]; response != nil {
		h.t.Fatalf("request %d is answered: %v", ticket, response)
	}
}

func putRoutes(version, base uint64, text string) *schema.OperatorRequest {
	return &schema.OperatorRequest{
		Kind:   schema.OperatorKind_OPERATOR_PUT_ROUTES,
		Routes: &schema.RouteConfig{Version: version, Base: base, Document: []byte(text)},
	}
}

func emptyZone(name string) *schema.OperatorRequest {
	return &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_EMPTY, Zone: name, Reason: "new racks"}
}

func zoneRow(name string) *schema.Row {
	return store.EncodeRow(store.ZoneKey(name), &schema.Zone{Name: name, Region: "r"})
}

func show() *schema.OperatorRequest {
	return &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW}
}

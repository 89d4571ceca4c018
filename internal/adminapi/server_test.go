package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/idempotency"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func server(response *schema.OperatorResponse, fault error, seen *schema.OperatorRequest) http.Handler {
	table := store.NewTable()
	table.Apply(9, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{
		store.EncodeRow(store.RegionKey("north"), &schema.Region{Name: "north", Residue: 1}),
		store.EncodeRow(store.ZoneKey("north-b"), &schema.Zone{Name: "north-b", Region: "north", Residue: 2}),
		store.EncodeRow(store.EntryKey("ledger", "/b"), &schema.Entry{Service: "ledger", Path: "/b", Methods: []string{"GET"}, SafeMethods: []string{"GET"}}),
		store.EncodeRow(store.AssignmentKey("ledger", "/b", "north"), &schema.FailoverAssignment{Service: "ledger", Path: "/b", Region: "north", Number: 202, Reason: "all proxies of district north-a are lost or stopping"}),
	}}, nil)
	view := store.Compile(table)
	return New(Options{Self: &schema.Node{Id: "n1"}, Now: func() time.Duration { return time.Hour }, Local: func() *controlplane.Local {
		return &controlplane.Local{View: view, FreshAt: time.Hour, TickAt: time.Hour}
	},
		Operate: func(_ context.Context, q *schema.OperatorRequest) (*schema.OperatorResponse, error) {
			if seen != nil {
				*seen = schema.OperatorRequest{Kind: q.Kind, Base: q.Base, Key: q.Key, Zone: q.Zone, Reason: q.Reason}
			}
			return response, fault
		},
		Stats: func() map[string]uint64 { return nil }, Replica: func() idempotency.Status { return idempotency.Status{SetNumber: 1, IsMember: true, IsReady: true} }, Disk: func() Disk { return Disk{} }, Match: http.NotFoundHandler()})
}

func TestServer(t *testing.T) {
	for _, c := range []struct {
		name, method, path, body string
		response                 *schema.OperatorResponse
		fault                    error
		status                   int
		want                     string
	}{
		{"a put is accepted", "PUT", "/v1/configuration?base=4", "{}", &schema.OperatorResponse{Version: 5}, nil, 200, `"version":5`},
		{"it tells who has not confirmed it", "PUT", "/v1/configuration?base=4", "{}", &schema.OperatorResponse{Version: 5, Unconfirmed: []string{"north-b"}}, nil, 200, `"unconfirmed":["north-b"]`},
		{"so does an emptying", "POST", "/v1/districts/north-b/empty", "", &schema.OperatorResponse{Index: 5, Unconfirmed: []string{"north-a", "north-b"}}, nil, 200, `"unconfirmed":["north-a","north-b"]`},
		{"and status, by the leader's word", "GET", "/v1/status", "", &schema.OperatorResponse{Unconfirmed: []string{"north-b"}}, nil, 200, `"unconfirmed":["north-b"]`},
		{"without a base", "PUT", "/v1/configuration", "{}", nil, nil, 400, "?base=N"},
		{"oversize", "PUT", "/v1/configuration?base=0", strings.Repeat(" ", constants.DocumentLimit+1), nil, nil, 413, "oversize"},
		{"a lost race names the newest version", "PUT", "/v1/configuration?base=4", "{}", &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_CONFLICT, Version: 7, Message: "m"}, nil, 409, `"version":7`},
		{"every fault has its path", "PUT", "/v1/configuration?base=4", "{}", &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_INVALID, Faults: []*schema.Fault{{Path: "entries[0].path", Message: "p"}, {Path: "entries[1].service", Message: "s"}}}, nil, 422, "entries[1].service"},
		{"no leader", "GET", "/v1/configuration", "", &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER}, nil, 503, "no_leader"},
		{"a lost answer is doubtful", "PUT", "/v1/configuration?base=4", "{}", nil, errors.New("timed out"), 504, "doubtful"},
		{"an unknown zone", "POST", "/v1/districts/moon/empty", "", &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_UNKNOWN}, nil, 404, "unknown"},
		{"the empty configuration", "GET", "/v1/configuration", "", &schema.OperatorResponse{}, nil, 200, `{"entries":[]}`},
		{"the document as it was put", "GET", "/v1/configuration", "", &schema.OperatorResponse{Version: 3, Document: []byte(`{"entries": [ ]}`)}, nil, 200, `{"entries": [ ]}`},
		{"an unknown call", "GET", "/v2/everything", "", nil, nil, 404, "docs/operators.md"},
		{"status tells why an assignment is what it is", "GET", "/v1/status", "", nil, nil, 200, `"active":"north-b","number":202,"fenced":false,"reason":"all proxies of district north-a are lost or stopping"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			server(c.response, c.fault, nil).ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			if w.Code != c.status || !strings.Contains(w.Body.String(), c.want) {
				t.Fatalf("status %d, body %s", w.Code, w.Body)
			}
			if w.Code == 503 && w.Header().Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
			if !json.Valid(w.Body.Bytes()) {
				t.Errorf("no JSON: %s", w.Body)
			}
		})
	}
}

func TestServerForwardsWhatWasAsked(t *testing.T) {
	var seen schema.OperatorRequest
	handler := server(&schema.OperatorResponse{}, nil, &seen)
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/v1/districts/north-b/restore?reason=mended", nil))
	if seen.Kind != schema.OperatorKind_OPERATOR_RESTORE || seen.Zone != "north-b" || seen.Reason != "mended" {
		t.Errorf("restore became %v", &seen)
	}
	r := httptest.NewRequest("PUT", "/v1/configuration?base=6", strings.NewReader("{}"))
	r.Header.Set("Topazshed-Operator-Key", "k7")
	handler.ServeHTTP(httptest.NewRecorder(), r)
	if seen.Kind != schema.OperatorKind_OPERATOR_PUT || seen.Base != 6 || seen.Key != "k7" {
		t.Errorf("put became %v", &seen)
	}
}

func TestKindsOfRefusalsKeepTheirSpelling(t *testing.T) {
	for refusal, want := range map[schema.RefusalKind]struct {
		status int
		kind   string
	}{
		schema.RefusalKind_REFUSAL_INVALID:   {http.StatusUnprocessableEntity, "invalid"},
		schema.RefusalKind_REFUSAL_CONFLICT:  {http.StatusConflict, "conflict"},
		schema.RefusalKind_REFUSAL_UNKNOWN:   {http.StatusNotFound, "unknown"},
		schema.RefusalKind_REFUSAL_NO_LEADER: {http.StatusServiceUnavailable, "no_leader"},
		schema.RefusalKind_REFUSAL_AMBIGUOUS: {http.StatusGatewayTimeout, "doubtful"},
		schema.RefusalKind_REFUSAL_OVERSIZE:  {http.StatusRequestEntityTooLarge, "oversize"},
	} {
		t.Run(want.kind, func(t *testing.T) {
			w := httptest.NewRecorder()
			handler := server(&schema.OperatorResponse{Refusal: refusal, Message: "m"}, nil, nil)
			handler.ServeHTTP(w, httptest.NewRequest("GET", "/v1/configuration", nil))
			var reply Reply
			if err := json.Unmarshal(w.Body.Bytes(), &reply); err != nil {
				t.Fatal(err)
			}
			if w.Code != want.status || reply.Kind != want.kind {
				t.Errorf("status %d, kind %q", w.Code, reply.Kind)
			}
		})
	}
	if len(kinds) != len(schema.RefusalKind_name)-1 {
		t.Errorf("%d kinds for %d refusals", len(kinds), len(schema.RefusalKind_name)-1)
	}
}

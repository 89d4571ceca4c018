package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/responses"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

type ground struct {
	response *schema.OperatorResponse
	fault    error
	isReady  bool
	proxies  []string
}

func (g ground) options(seen **schema.OperatorRequest) Options {
	table := store.NewTable()
	table.Apply(9, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{
		store.EncodeRow(store.CatalogHeadKey, &schema.CatalogHead{Version: 4}),
		store.EncodeRow(store.NodeKey("n1"), &schema.Node{Id: "n1", Zone: "mu-b", Region: "mu", Disk: true, State: schema.NodeState_NODE_READY}),
		store.EncodeRow(store.NodeKey("n2"), &schema.Node{Id: "n2", Zone: "mu-a", Region: "mu", State: schema.NodeState_NODE_READY}),
		store.EncodeRow(store.RegionKey("mu"), &schema.Region{Name: "mu", Residue: 1}), store.EncodeRow(store.RegionKey("xi"), &schema.Region{Name: "xi", Residue: 3}),
		store.EncodeRow(store.ZoneKey("mu-a"), &schema.Zone{Name: "mu-a", Region: "mu", Emptied: true, Reason: "new racks"}),
		store.EncodeRow(store.ZoneKey("mu-b"), &schema.Zone{Name: "mu-b", Region: "mu", Residue: 2}),
		store.EncodeRow(store.GroupKey("mu"), &schema.Group{Name: "mu", Region: "mu", Zones: []string{"mu-a", "mu-b"}, Residue: 0}),
		store.EncodeRow(store.GroupKey("mu:mu-b"), &schema.Group{Name: "mu:mu-b", Region: "mu", Zones: []string{"mu-b"}, Residue: 2}),
		store.EncodeRow(store.DefaultAssignmentKey("mu"), &schema.FailoverAssignment{Region: "mu", Number: 20002, Reason: "its open districts"}),
		store.EncodeRow(store.AssignmentKey("nickel", "", "mu"), &schema.FailoverAssignment{Service: "nickel", Region: "mu", Number: 20003, Reason: "no open district with back ends; work goes to xi"}),
		store.EncodeRow(store.ServicePolicyKey("nickel"), &schema.ServicePolicy{Service: "nickel", Keyed: true}),
		store.EncodeRow(store.ShardRangeKey("nickel", 0), &schema.ShardRange{Service: "nickel", First: 0, Last: 32767, Instance: "i-1", Fence: 7}),
		store.EncodeRow(store.BackendKey("copper", "c-1"), &schema.Backend{Service: "copper", Instance: "c-1", Zone: "mu-b", State: schema.BackendState_BACKEND_READY, Cold: true}),
		store.EncodeRow(store.BackendKey("copper", "c-2"), &schema.Backend{Service: "copper", Instance: "c-2", Zone: "mu-b", State: schema.BackendState_BACKEND_DRAINING}),
		store.EncodeRow(store.RouteKey("one.example", "/c/"), &schema.Route{Host: "one.example", Prefix: "/c/", Targets: []*schema.Target{{Service: "copper", Weight: 1}}}),
	}}, nil)
	view := store.Compile(table)
	return Options{Self: &schema.Node{Id: "n1", Region: "mu", Disk: true}, Now: func() time.Duration { return time.Hour }, Local: func() *controlplane.Local {
		return &controlplane.Local{View: view, Role: "leader", Rows: 15, FreshAt: time.Hour}
	},
		Operate: func(_ context.Context, q *schema.OperatorRequest) (*schema.OperatorResponse, error) {
			if seen != nil {
				*seen = q
			}
			return g.response, g.fault
		},
		Stats: func() map[string]uint64 { return map[string]uint64{"sealed": 12, "declined": 3} }, Disk: func() Disk { return Disk{LastSyncMs: 5, WorstMs: 80} },
		Resting: func() []string { return []string{"c-9", "c-1"} },
		Exceeded: func() []responses.Count {
			return []responses.Count{{Party: "c-9", Bound: responses.BoundBytes, Count: 3}}
		},
		Routed: &Routed{Resolve: func(string, string) ([]string, time.Duration) { return g.proxies, 2 * time.Second }, IsReady: func() bool { return g.isReady }}}
}

func TestRoutedServer(t *testing.T) {
	notified := &schema.OperatorResponse{Unconfirmed: []string{"mu-a"}, Reports: []*schema.NodeReport{{Id: "n1", Index: 9, InForce: true}, {Id: "n2", NeverHeard: true}},
		Changes: []*schema.FailoverChange{{Region: "mu", From: 10000, To: 20002, Cause: "its open districts", Evidence: "mu-a is emptied (new racks)", Leader: "n1", Index: 8, Term: 3, AtMs: 1777896000123},
			{Service: "nickel", Region: "mu", From: 20002, To: 20003, Cause: "work goes to xi", Index: 9, Term: 3}}}
	for _, c := range []struct {
		name, method, path, body string
		ground                   ground
		status                   int
		wants                    []string
	}{
		{"a put is accepted", "PUT", "/v1/configuration?base=4", `{"routes":[]}`, ground{response: &schema.OperatorResponse{Version: 5}}, 200, []string{`"version":5`}},
		{"a put of a wrong shape is not asked about", "PUT", "/v1/configuration?base=4", `{"entries":[],"routes":{}}`, ground{fault: errors.New("not to be asked")}, 422, []string{`"path":"entries"`, `"path":"routes"`, "refused as a whole"}},
		{"above the limit", "PUT", "/v1/configuration?base=4", strings.Repeat(" ", constants.RoutesDocumentLimit+1), ground{}, 413, []string{"send less"}},
		{"a lost race", "PUT", "/v1/configuration?base=4", `{"routes":[]}`, ground{response: &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_CONFLICT, Version: 7, Message: "m"}}, 409, []string{`"version":7`}},
		{"nothing was put yet", "GET", "/v1/configuration", "", ground{response: &schema.OperatorResponse{}}, 200, []string{`{"routes":[]}`}},
		{"not ready", "GET", "/v1/ready", "", ground{}, 503, []string{"ask another node"}},
		{"ready", "GET", "/v1/ready", "", ground{isReady: true}, 200, nil},
		{"nobody to be named", "GET", "/v1/match?region=mu", "", ground{}, 503, []string{"ask another node"}},
		{"a match", "GET", "/v1/match", "", ground{proxies: []string{"10.0.0.1:1"}}, 200, []string{`{"proxies":["10.0.0.1:1"],"live_ms":2000}`}},
		{"all failover assignments", "GET", "/v1/standings", "", ground{}, 200, []string{`"kind":"region","region":"mu","active":"mu:mu-b","number":20002`, `"kind":"service","region":"mu","active":"region xi","number":20003`}},
		{"one assignment with its changes only", "GET", "/v1/standings/mu?service=copper", "", ground{response: notified}, 200, []string{`"group":"mu:mu-b"`, `"trail":"20002"`, `"changes":[{"region":"mu","from":10000,"to":20002,"was":"mu","is":"mu:mu-b"`, `"leader":"n1","index":8,"term":3}]`}},
		{"one assignment while no leader answers", "GET", "/v1/standings/mu", "", ground{fault: errors.New("timed out")}, 200, []string{`"changes":[]`, `"leader_silent":"the leader did not answer in time (timed out); run doctor`}},
		{"an assignment that leads to nobody", "GET", "/v1/standings/mu?service=nickel", "", ground{}, 503, []string{"no-standing"}},
		{"status", "GET", "/v1/status", "", ground{response: notified}, 200, []string{`"unconfirmed":["mu-a"]`, `"index":9,"in_force":true`, `"heard_ms":-1`, `"at":"2026-05-04T12:00:00.123Z"`, `"evidence":"mu-a is emptied (new racks)"`,
			`"resting":["c-1","c-9"]`, `"routes":1`, `{"name":"copper","routes":1,"ready":1,"draining":1,"cold":1}`, `"name":"nickel","keyed":true,"routes":0,"ready":0,"draining":0,"cold":0,"unheld":32768`,
			`"spans":[{"service":"nickel","first":0,"last":32767,"instance":"i-1","fence":7}]`, `"state":"ready, cold"`}},
		{"status while no leader answers", "GET", "/v1/status", "", ground{response: &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER, Message: "no leader is known; ask again"}}, 200, []string{`"leader_silent":"no leader is known; ask again"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			New(c.ground.options(nil)).ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			if w.Code != c.status || !json.Valid(w.Body.Bytes()) || w.Code == 503 && w.Header().Get("Retry-After") == "" {
				t.Fatalf("status %d, header %v, body %s", w.Code, w.Header(), w.Body)
			}
			for _, want := range c.wants {
				if !strings.Contains(w.Body.String(), want) {
					t.Errorf("%s lacks %s", w.Body, want)
				}
			}
		})
	}
}

func TestARoutedPutCarriesItsRoutes(t *testing.T) {
	var seen *schema.OperatorRequest
	text := `{"routes":[{"host":"one.example","prefix":"/c/","timeout_ms":5,"targets":[{"service":"copper","weight":2}]}]}`
	New(ground{response: &schema.OperatorResponse{}}.options(&seen)).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("PUT", "/v1/configuration?base=6", strings.NewReader(text)))
	if seen.GetKind() != schema.OperatorKind_OPERATOR_PUT_ROUTES || seen.Routes.Version != 7 || seen.Routes.Base != 6 || string(seen.Routes.Document) != text || seen.Routes.Routes[0].Targets[0].Weight != 2 {
		t.Errorf("%v", seen)
	}
}

func TestInsightOnlyReads(t *testing.T) {
	var seen *schema.OperatorRequest
	handler := NewInsight(ground{response: &schema.OperatorResponse{}}.options(&seen))
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/v1/status", 200}, {"GET", "/v1/standings", 200}, {"GET", "/v1/standings/mu", 200},
		{"PUT", "/v1/configuration?base=0", 404}, {"GET", "/v1/configuration", 404}, {"POST", "/v1/districts/mu-a/empty", 404}, {"POST", "/v1/status", 405},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(`{"routes":[]}`)))
		if w.Code != c.status {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, w.Code, c.status)
		}
		if seen != nil && seen.Kind != schema.OperatorKind_OPERATOR_STATUS {
			t.Errorf("%s %s asked %v", c.method, c.path, seen.Kind)
		}
	}
}

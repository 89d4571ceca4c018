package adminapi

import (
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"topazshed/internal/schema"
)

var metricForm = regexp.MustCompile(`^[a-z_]+(\{[A-Za-z]+="[^"]*"(, ?[A-Za-z]+="[^"]*")*\})? [0-9.]+(e[+-][0-9]+)?$`)

func TestMetrics(t *testing.T) {
	var seen *schema.OperatorRequest
	routed := NewInsight(ground{response: &schema.OperatorResponse{}}.options(&seen))
	for _, c := range []struct {
		name   string
		server func() *httptest.ResponseRecorder
		want   []string
	}{
		{"a fleet that carries routes", func() *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			routed.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
			return w
		}, []string{`topazshed_requests_total{outcome="sealed"} 12`, `topazshed_requests_total{outcome="declined"} 3`, `topazshed_configuration_version 4`, `topazshed_leads 1`, `topazshed_routes 1`,
			`topazshed_machines{state="ready"} 2`, `topazshed_district_emptied{district="mu-a"} 1`, `topazshed_district_emptied{district="mu-b"} 0`, `topazshed_standing_number{region="mu",kind="region",active="mu:mu-b"} 20002`,
			`topazshed_standing_number{region="mu",service="nickel",kind="service",active="region xi"} 20003`, `topazshed_back_ends{service="copper",state="draining"} 1`, `topazshed_back_ends_cold{service="copper"} 1`,
			`topazshed_keys_unheld{service="nickel"} 32768`, `topazshed_resting_back_ends 2`, `topazshed_responses_over_bound_total{party="c-9",bound="head_bytes"} 3`, `topazshed_disk_worst_sync_milliseconds 80`, `topazshed_disk_fault 0`}},
		{"a fleet that carries entries", func() *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			server(nil, nil, nil).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
			return w
		}, []string{`topazshed_standing_number{region="north",service="ledger",path="/b",kind="region",active="north-b"} 202`, `topazshed_leads 0`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := c.server()
			if w.Code != 200 || !strings.HasPrefix(w.Header().Get("Content-Type"), "text/plain; version=0.0.4") {
				t.Fatalf("%d %v", w.Code, w.Header())
			}
			lines := strings.Split(strings.TrimSuffix(w.Body.String(), "\n"), "\n")
			notified := map[string]bool{}
			for _, line := range lines {
				if !metricForm.MatchString(line) {
					t.Errorf("%q is no line of the text form", line)
				}
				name, _, _ := strings.Cut(line, " ")
				if notified[name] {
					t.Errorf("%s is there twice", name)
				}
				notified[name] = true
			}
			for _, want := range c.want {
				if !strings.Contains(w.Body.String(), want+"\n") {
					t.Errorf("%s lacks %s", w.Body, want)
				}
			}
		})
	}
	if seen != nil {
		t.Errorf("metrics asked the leader %v", seen.Kind)
	}
}

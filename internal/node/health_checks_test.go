package node

import (
	"errors"
	"testing"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func TestHealthReports(t *testing.T) {
	failure := errors.New("no answer")
	listed := []*schema.Backend{{Instance: "b"}, {Instance: "a"}}
	checks := &healthChecks{failures: map[string]int{}}
	expect := func(what string, backends []*schema.Backend, want map[string]bool) {
		t.Helper()
		reports := checks.reports(backends)
		if len(reports) != len(want) {
			t.Fatalf("%s: %v", what, reports)
		}
		for i, report := range reports {
			if isFailing, isWanted := want[report.Instance]; !isWanted || isFailing != report.Failing {
				t.Errorf("%s: %v", what, report)
			}
			if i > 0 && reports[i-1].Instance > report.Instance {
				t.Errorf("%s: not sorted: %v", what, reports)
			}
		}
	}
	expect("before any check", listed, nil)
	checks.note("a", nil)
	checks.note("b", failure)
	expect("one failure is not enough", listed, map[string]bool{"a": false, "b": false})
	for range constants.HealthCheckFailures - 1 {
		checks.note("b", failure)
	}
	expect("enough failures in a row", listed, map[string]bool{"a": false, "b": true})
	checks.note("b", nil)
	expect("a success ends the row", listed, map[string]bool{"a": false, "b": false})
	checks.note("a", failure)
	expect("a back end that left the list", listed[:1], map[string]bool{"b": false})
	checks.note("a", failure)
	expect("and came back begins anew", listed, map[string]bool{"a": false, "b": false})
}

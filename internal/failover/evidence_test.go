package failover

import (
	"strings"
	"testing"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestEachChangeHasItsEvidence(t *testing.T) {
	for _, c := range []struct {
		name   string
		happen func(a *routeFleet)
		want   map[string]string
	}{
		{"a zone is emptied", func(a *routeFleet) { a.empty("kol-a", true) }, map[string]string{" in kol": "kol-a is emptied ("}},
		{"a zone's nodes are lost", func(a *routeFleet) { a.node("tor-b", schema.NodeState_NODE_LOST) },
			map[string]string{" in tor": "tor-b is unreachable: its nodes, 1, are lost"}},
		{"a region is lost whole", func(a *routeFleet) { a.node("hal-a", schema.NodeState_NODE_LOST) },
			map[string]string{" in hal": "hal-a is unreachable"}},
		{"a service's back ends drain", func(a *routeFleet) { a.backend("copper", "hal-a", schema.BackendState_BACKEND_DRAINING) },
			map[string]string{"copper in hal": "no zone of hal is emptied or unreachable; copper has 0 ready back ends in the others"}},
		{"nothing happens", func(*routeFleet) {}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newRouteFleet(t)
			c.happen(a)
			met := map[string]bool{}
			for range 20 {
				records := PlanRoutes(a.view(), a.table)
				if len(records) == 0 {
					break
				}
				for _, record := range records {
					if strings.HasPrefix(record.Reason, "failover assignment of ") {
						isExpected := false
						for of, want := range c.want {
							if strings.Contains(record.Reason, of) {
								isExpected, met[of] = true, true
								if !strings.Contains(record.Evidence, want) {
									t.Errorf("%s: %q, want %q", record.Reason, record.Evidence, want)
								}
							}
						}
						if !isExpected {
							t.Errorf("%s: %q was not expected", record.Reason, record.Evidence)
						}
					}
					if _, err := a.table.Apply(a.table.Version()+1, record, Check); err != nil {
						t.Fatal(err)
					}
				}
			}
			if len(met) != len(c.want) {
				t.Errorf("met %v, want %v", met, c.want)
			}
		})
	}
}

func TestEvidenceIsBounded(t *testing.T) {
	view := store.NewView()
	var all []string
	for _, letter := range strings.Split("abcdefghijkl", "") {
		name := "zone-" + letter
		view.Zones[name] = &schema.Zone{Name: name, Region: "zone", Emptied: true, Reason: "operator"}
		all = append(all, name)
	}
	got := evidence(view, nil, "zone", all, nil)
	isCut := strings.Contains(got, "zone-d is emptied") && !strings.Contains(got, "zone-e")
	if !isCut || !strings.HasSuffix(got, "8 more zones are emptied or unreachable") {
		t.Error(got)
	}
}

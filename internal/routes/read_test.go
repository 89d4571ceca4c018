package routes

import (
	"strings"
	"testing"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestReadNamesEveryFault(t *testing.T) {
	good := `{"host":"one.example","prefix":"/a/","timeout_ms":2000,"target_ms":300,"targets":[{"service":"copper","weight":1}]}`
	services := `"services":[{"service":"copper"}]`
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"good", `{"routes":[` + good + `],` + services + `}`, nil},
		{"no routes at all", `{"routes":[]}`, nil},
		{"cut short", `{"routes":[` + good, []string{": the document is no JSON"}},
		{"no object", `[]`, []string{": is not an object; write"}},
		{"more behind the document", `{"routes":[]} {}`, []string{": the document is no JSON"}},
		{"routes missing", `{` + services + `}`, []string{"routes: are missing; give a list"}},
		{"a list that is none", `{"routes":{}}`, []string{"routes: is not a list; write"}},
		{"unknown fields at each level", `{"routes":[{"hots":"a","targets":[{"svc":"x"}]}],"more":1}`,
			[]string{"more: is unknown; use limits, routes, services", "routes[0].hots: is unknown; use ",
				"routes[0].targets[0].svc: is unknown; use service, weight"}},
		{"wrong kinds of values",
			`{"routes":[{"host":1,"repeatable":"yes","timeout_ms":-1,"target_ms":1.5,"priority":5000000000,"home_regions":"mu","targets":[{"service":"copper","weight":"1"}]}],"services":[{"service":"copper","cold_rate":-1,"keyed":0}],"limits":{"body_bytes":-1}}`,
			[]string{"limits.body_bytes: is not a whole number", "routes[0].home_regions: is not a list",
				"routes[0].host: is not a text", "routes[0].priority: is not a whole number",
				"routes[0].repeatable: is not true or false",
				"routes[0].target_ms: is not a whole number", "routes[0].targets[0].weight: is not a whole number", "routes[0].timeout_ms: is not a whole number", "services[0].cold_rate: is not a number", "services[0].keyed: is not true or false"}},
		{"a route without anything", `{"routes":[{}]}`,
			[]string{"routes[0].host: ", "routes[0].prefix: ", "routes[0].timeout_ms: ",
				"routes[0].targets: have no weight; give"}},
		{"an unknown service", `{"routes":[` + good + `]}`, []string{"routes[0].targets[0].service: service \"copper\" is not known; list it"}},
		{"the same place twice, in other letters",
			`{"routes":[` + good + `,` + strings.Replace(good, "one", "ONE", 1) + `],` + services + `}`,
			[]string{"routes[1].prefix: repeats the host and prefix of routes[0]; keep one"}},
		{"a long time-out", `{"routes":[` + strings.Replace(good, "2000", "600001", 1) + `],` + services + `}`,
			[]string{"routes[0].timeout_ms: "}},
		{"a target far over the time-out", `{"routes":[` + strings.Replace(good, "300", "62000", 1) + `],` + services + `}`,
			[]string{"routes[0].target_ms: "}},
		{"weights of 0", `{"routes":[` + strings.Replace(good, `"weight":1`, `"weight":0`, 1) + `],` + services + `}`,
			[]string{"routes[0].targets: have no weight; give"}},
		{"a service listed twice", `{"routes":[],"services":[{"service":"a"},{"service":"a"}]}`,
			[]string{"services[1]: service \"a\" is listed twice; keep one"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			config, faults := Read([]byte(c.text), 4)
			if config != nil {
				if config.Version != 5 || config.Base != 4 || string(config.Document) != c.text {
					t.Errorf("version %d on %d, document %s", config.Version, config.Base, config.Document)
				}
				faults = Check(config, 4, store.NewView())
			}
			var got []string
			for _, fault := range faults {
				got = append(got, fault.Path+": "+fault.Message)
				if !strings.Contains(fault.Message, ";") {
					t.Errorf("%s: %s: no remedy", fault.Path, fault.Message)
				}
			}
			if len(got) != len(c.want) {
				t.Fatalf("got %q, want %q", got, c.want)
			}
			for i, want := range c.want {
				if !strings.HasPrefix(got[i], want) {
					t.Errorf("got %q, want %q", got[i], want)
				}
			}
		})
	}
}

func TestReadKeepsEveryField(t *testing.T) {
	config, faults := Read([]byte(`{"routes":[{"name":"r","host":"One.example","prefix":"/a/","repeatable":true,"timeout_ms":1,"target_ms":2,"priority":3,"max_attempts":4,"home_regions":["mu"],"targets":[{"service":"s","weight":5}]}],
		"services":[{"service":"s","health_path":"/h","max_connections":6,"cold_ms":7,"cold_rate":8.5,"keyed":true,"warm_up_ms":9}],"limits":{"header_bytes":10,"body_bytes":11,"header_timeout_ms":12,"idle_timeout_ms":13}}`), 0)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	want := &schema.RouteConfig{Version: 1, Document: config.Document,
		Routes: []*schema.Route{{Name: "r", Host: "one.example", Prefix: "/a/", Repeatable: true, TimeoutMs: 1, TargetMs: 2,
			Priority: 3, MaxAttempts: 4, HomeRegions: []string{"mu"}, Targets: []*schema.Target{{Service: "s", Weight: 5}}}},
		Services: []*schema.ServicePolicy{{Service: "s", HealthPath: "/h", MaxConnections: 6, ColdMs: 7, ColdRate: 8.5, Keyed: true,
			WarmUpMs: 9}},
		Limits: &schema.Limits{HeaderBytes: 10, BodyBytes: 11, HeaderTimeoutMs: 12, IdleTimeoutMs: 13}}
	if config.String() != want.String() {
		t.Fatalf("got %v, want %v", config, want)
	}
}

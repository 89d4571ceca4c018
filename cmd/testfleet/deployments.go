package main

// Kind is one kind of call of a deployment.
type CallKind struct {
	Service string
	Path    string
	Method  string
	Share   int
	Keys    int
	Tail    bool
}

// Deployment is one of the two users' mixes and rates.
type Deployment struct {
	Name     string
	Rate     int
	Kinds    []CallKind
	Services map[string]int
	Keyed    map[string]bool
	Document string
	Home     map[string][]string
}

var deployments = map[string]Deployment{
	"office": {Name: "office", Rate: 300,
		Kinds:    []CallKind{{"ledger", "/balances", "GET", 45, 0, true}, {"declarations", "/filed", "GET", 35, 0, true}, {"payments", "/advance", "POST", 20, 0, false}},
		Services: map[string]int{"ledger": 14, "declarations": 12, "payments": 16},
		Home:     map[string][]string{"payments": {"north", "south"}, "ledger": nil, "declarations": {"north", "east"}},
		Document: `{"entries":[
 {"service":"ledger","path":"/balances","methods":["GET"],"repeat_safe":["GET"]},
 {"service":"declarations","path":"/filed","methods":["GET"],"repeat_safe":["GET"],"home_regions":["north","east"]},
 {"service":"payments","path":"/advance","methods":["POST"],"repeat_safe":[],"home_regions":["north","south"]}]}`},
	"port": {Name: "port", Rate: 900,
		Kinds:    []CallKind{{"gates", "/windows", "GET", 40, 0, true}, {"berths", "/schedules", "GET", 38, 0, true}, {"slots", "/bookings", "POST", 22, 400, false}},
		Services: map[string]int{"gates": 14, "berths": 12, "slots": 16}, Keyed: map[string]bool{"slots": true},
		Home: map[string][]string{"slots": {"south", "east"}},
		Document: `{"entries":[
 {"service":"gates","path":"/windows","methods":["GET"],"repeat_safe":["GET"]},
 {"service":"berths","path":"/schedules","methods":["GET"],"repeat_safe":["GET"]},
 {"service":"slots","path":"/bookings","methods":["POST"],"repeat_safe":[],"keyed":true,"home_regions":["south","east"]}]}`},
}

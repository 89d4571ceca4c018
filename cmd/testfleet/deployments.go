package main

import "net/http"

// CallKind is one kind of call of a deployment.
type CallKind struct {
	Service string
	Path    string
	Method  string
	// Share is how many of a hundred calls are of this kind.
	Share int
	// Keys is the number of keys that calls name, 0 for a service without keys.
	Keys int
	// HasTail tells that paths go on behind Path.
	HasTail bool
}

func (k *CallKind) isUnsafe() bool { return k.Method != http.MethodGet }

// Deployment is one of the two mixes of calls, with its services and configuration.
type Deployment struct {
	Name string
	// Rate is the load in calls a second.
	Rate  int
	Kinds []CallKind
	// Services tell how many back ends each service has, Keyed which of them serve ranges of keys.
	Services map[string]int
	Keyed    map[string]bool
	// Document is the configuration.
	Document string
}

// deployments are all of them by name.
var deployments = map[string]Deployment{
	"office": {
		Name: "office",
		Rate: 300,
		Kinds: []CallKind{
			{Service: "ledger", Path: "/balances", Method: http.MethodGet, Share: 45, HasTail: true},
			{Service: "declarations", Path: "/filed", Method: http.MethodGet, Share: 35, HasTail: true},
			{Service: "payments", Path: "/advance", Method: http.MethodPost, Share: 20},
		},
		Services: map[string]int{"ledger": 14, "declarations": 12, "payments": 16},
		Document: `{"entries":[
 {"service":"ledger","path":"/balances","methods":["GET"],"repeat_safe":["GET"]},
 {"service":"declarations","path":"/filed","methods":["GET"],"repeat_safe":["GET"],"home_regions":["north","east"]},
 {"service":"payments","path":"/advance","methods":["POST"],"repeat_safe":[],"home_regions":["north","south"]}]}`,
	},
	"port": {
		Name: "port",
		Rate: 900,
		Kinds: []CallKind{
			{Service: "gates", Path: "/windows", Method: http.MethodGet, Share: 40, HasTail: true},
			{Service: "berths", Path: "/schedules", Method: http.MethodGet, Share: 38, HasTail: true},
			{Service: "slots", Path: "/bookings", Method: http.MethodPost, Share: 22, Keys: 400},
		},
		Services: map[string]int{"gates": 14, "berths": 12, "slots": 16},
		Keyed:    map[string]bool{"slots": true},
		Document: `{"entries":[
 {"service":"gates","path":"/windows","methods":["GET"],"repeat_safe":["GET"]},
 {"service":"berths","path":"/schedules","methods":["GET"],"repeat_safe":["GET"]},
 {"service":"slots","path":"/bookings","methods":["POST"],"repeat_safe":[],"keyed":true,"home_regions":["south","east"]}]}`,
	},
}

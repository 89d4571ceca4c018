package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"topazshed/internal/checker"
)

const (
	// configurationPath is where the configuration is put and read back.
	configurationPath = "/v1/configuration"
	// operatorTries and operatorPause bound how often an operator asks another machine.
	operatorTries = 40
	operatorPause = 250 * time.Millisecond
	// busySpan is the time over which a back end's requests are counted.
	busySpan = 3 * time.Second
)

// Runner carries out the steps of a scenario, as an operator and as whoever brings failures about.
type Runner struct {
	fleet      *Fleet
	platform   *Platform
	callers    *Callers
	history    *checker.History
	deployment Deployment
	// base is the newest accepted configuration; extraEntries numbers the entry that makes the next one new.
	base         uint64
	extraEntries int
	// leader is the machine that was last found to lead; verb is that of the present step.
	leader *Machine
	verb   string
}

// operatorCall is an operator's call to the admin API, as the history notes it.
type operatorCall struct {
	action  checker.OperatorAction
	method  string
	path    string
	query   url.Values
	body    []byte
	entries []checker.EntrySeen
	zone    string
}

// operate calls machines at random until one gives a clear answer, and gives its status and the configuration's version;
// zeros if none does. A put whose answer is unclear (504) isn't sent again.
func (r *Runner) operate(call operatorCall) (status int, version uint64) {
	for range operatorTries {
		m := r.fleet.machines[r.callers.draw(len(r.fleet.machines))]
		at := r.history.Now()
		answer, err := r.fleet.adminCall(m, call.method, call.path, call.query, call.body)
		isUnclear := answer.status == http.StatusGatewayTimeout && call.action != checker.OperatorPut
		if err != nil || answer.status == http.StatusServiceUnavailable || isUnclear {
			time.Sleep(operatorPause)
			continue
		}
		seen := checker.OperatorEvent{
			At:      at,
			End:     r.history.Now(),
			What:    call.action,
			Zone:    call.zone,
			Version: answer.version(),
			Status:  answer.status,
			Entries: call.entries,
			Node:    m.name,
		}
		checker.Record(r.history, &r.history.Operators, seen)
		return seen.Status, seen.Version
	}
	return 0, 0
}

// version gives the configuration's version that an answer names, in its header or else in its body.
func (a *adminAnswer) version() uint64 {
	if version, err := strconv.ParseUint(a.header.Get(headerVersion), 10, 64); err == nil {
		return version
	}
	var body struct{ Version uint64 }
	json.Unmarshal(a.body, &body)
	return body.Version
}

func (r *Runner) baseQuery() url.Values {
	return url.Values{"base": {strconv.FormatUint(r.base, 10)}}
}

// show reads the configuration back.
func (r *Runner) show() (status int, version uint64) {
	return r.operate(operatorCall{action: checker.OperatorShow, method: http.MethodGet, path: configurationPath})
}

// put puts a configuration that differs from those before, and tells whether it was accepted. After a conflict the base
// is the newest one.
func (r *Runner) put() bool {
	text, entries := r.document()
	status, version := r.operate(operatorCall{
		action:  checker.OperatorPut,
		method:  http.MethodPut,
		path:    configurationPath,
		query:   r.baseQuery(),
		body:    text,
		entries: entries,
	})
	switch status {
	case http.StatusOK:
		r.base = version
		r.extraEntries++
		return true
	case http.StatusConflict:
		r.base = version
	}
	return false
}

// document makes the next configuration and its entries.
func (r *Runner) document() ([]byte, []checker.EntrySeen) {
	var document struct {
		Entries []map[string]any `json:"entries"`
	}
	json.Unmarshal([]byte(r.deployment.Document), &document)
	if r.extraEntries > 0 {
		document.Entries = append(document.Entries, map[string]any{
			"service":     r.deployment.Kinds[0].Service,
			"path":        fmt.Sprintf("/extra-%d", r.extraEntries),
			"methods":     []string{http.MethodGet},
			"repeat_safe": []string{http.MethodGet},
		})
	}
	text, _ := json.MarshalIndent(document, "", " ")
	return text, entriesOf(text)
}

// entriesOf gives the entries of a configuration as the checker reads them.
func entriesOf(document []byte) []checker.EntrySeen {
	var seen struct {
		Entries []struct {
			Service, Path string
			Methods       []string
			Homes         []string `json:"home_regions"`
			Safe          []string `json:"repeat_safe"`
		} `json:"entries"`
	}
	json.Unmarshal(document, &seen)
	var entries []checker.EntrySeen
	for _, e := range seen.Entries {
		entries = append(entries, checker.EntrySeen{Service: e.Service, Path: e.Path, Methods: e.Methods, Safe: e.Safe, Homes: e.Homes})
	}
	return entries
}

// busiest gives the ready back ends of a service, those with the most requests lately first.
func (r *Runner) busiest(service string) []*Backend {
	ready := r.platform.readyBackends(service)
	counts := map[string]int{}
	since := r.history.Now() - busySpan
	r.history.Lock()
	for _, a := range r.history.Arrivals {
		if a.Service == service && a.At > since {
			counts[a.Instance]++
		}
	}
	r.history.Unlock()
	slices.SortStableFunc(ready, func(a, b *Backend) int { return counts[b.instance] - counts[a.instance] })
	return ready
}

// machine gives the machine of a name, or the leader. To be thawed or started, that is the one that led before.
func (r *Runner) machine(name string) *Machine {
	if name != leaderName {
		return r.fleet.find(name)
	}
	if r.verb == verbThaw || r.verb == verbStart {
		return r.leader
	}
	for _, m := range r.fleet.machines {
		answer, err := r.fleet.adminCall(m, http.MethodGet, "/v1/status", nil, nil)
		var status struct{ Role string }
		if err == nil && json.Unmarshal(answer.body, &status) == nil && status.Role == "leader" {
			r.leader = m
		}
	}
	return r.leader
}

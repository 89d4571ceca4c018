package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"syscall"
	"time"

	"topazshed/internal/checker"
)

// Runner carries out steps against the fleet and the world.
type Runner struct {
	fleet        *Fleet
	platform     *Platform
	callers      *Callers
	history      *checker.History
	deployment   Deployment
	base         uint64
	extraEntries int
	leader       *Machine
}

func (r *Runner) operator(what, method, path string, query url.Values, body []byte, entries []checker.EntrySeen, zone string) (int, uint64) {
	for range 40 {
		m := r.fleet.machines[r.callers.draw(len(r.fleet.machines))]
		at := r.history.Now()
		status, header, text, err := r.fleet.adminCall(m, method, path, query, body)
		if err != nil || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout && what != "put" {
			time.Sleep(250 * time.Millisecond)
			continue
		}
		var reply struct{ Version uint64 }
		json.Unmarshal(text, &reply)
		if version, err := strconv.ParseUint(header.Get("Topazshed-Version"), 10, 64); err == nil {
			reply.Version = version
		}
		checker.Record(r.history, &r.history.Operators, checker.OperatorEvent{At: at, End: r.history.Now(), What: what, Zone: zone, Version: reply.Version, Status: status, Entries: entries, Node: m.name})
		return status, reply.Version
	}
	return 0, 0
}

func (r *Runner) document() ([]byte, []checker.EntrySeen) {
	var document struct {
		Entries []map[string]any `json:"entries"`
	}
	json.Unmarshal([]byte(r.deployment.Document), &document)
	if r.extraEntries > 0 {
		kind := r.deployment.Kinds[0]
		document.Entries = append(document.Entries, map[string]any{"service": kind.Service, "path": fmt.Sprintf("/extra-%d", r.extraEntries), "methods": []string{"GET"}, "repeat_safe": []string{"GET"}})
	}
	text, _ := json.MarshalIndent(document, "", " ")
	var seen struct {
		Entries []struct {
			Service, Path string
			Methods       []string
			Homes         []string `json:"home_regions"`
			Safe          []string `json:"repeat_safe"`
		} `json:"entries"`
	}
	json.Unmarshal(text, &seen)
	var entries []checker.EntrySeen
	for _, e := range seen.Entries {
		entries = append(entries, checker.EntrySeen{Service: e.Service, Path: e.Path, Methods: e.Methods, Safe: e.Safe, Homes: e.Homes})
	}
	return text, entries
}

func (r *Runner) put() bool {
	text, entries := r.document()
	status, version := r.operator("put", http.MethodPut, "/v1/configuration", url.Values{"base": {strconv.FormatUint(r.base, 10)}}, text, entries, "")
	if status == http.StatusOK {
		r.base = version
		r.extraEntries++
		return true
	}
	if status == http.StatusConflict {
		r.base = version
	}
	return false
}

func (r *Runner) eachMachine(zone string, do func(*Machine)) {
	for _, m := range r.fleet.machines {
		if zone == "" || m.place.zone == zone {
			do(m)
		}
	}
}

func (r *Runner) cutRegion(region string, isCut bool) {
	for _, a := range r.fleet.machines {
		for _, b := range r.fleet.machines {
			if (a.place.region == region) != (b.place.region == region) {
				r.fleet.links.cut(a.name, b.name, isCut)
			}
		}
	}
}

func (r *Runner) isolate(name string, isCut bool) {
	for _, m := range r.fleet.machines {
		if m.name != name {
			r.fleet.links.cut(m.name, name, isCut)
			r.fleet.links.cut(name, m.name, isCut)
		}
	}
}

func (r *Runner) busiest(service string) []*Backend {
	list := r.platform.readyBackends(service)
	counts := map[string]int{}
	since := r.history.Now() - 3*time.Second
	r.history.Lock()
	for _, a := range r.history.Arrivals {
		if a.Service == service && a.At > since {
			counts[a.Instance]++
		}
	}
	r.history.Unlock()
	slices.SortStableFunc(list, func(a, b *Backend) int { return counts[b.instance] - counts[a.instance] })
	return list
}

func (r *Runner) machine(verb, name string) *Machine {
	if name != "leader" {
		return r.fleet.find(name)
	}
	if verb == "thaw" || verb == "start" {
		return r.leader
	}
	for _, m := range r.fleet.machines {
		var told struct{ Role string }
		if _, _, text, err := r.fleet.adminCall(m, http.MethodGet, "/v1/status", nil, nil); err == nil && json.Unmarshal(text, &told) == nil && told.Role == "leader" {
			r.leader = m
		}
	}
	return r.leader
}

func (r *Runner) replace(b *Backend) error {
	if _, err := r.platform.add(b.service, b.zone, "", b.keyed, true); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	r.platform.drain(b)
	time.Sleep(4 * time.Second)
	b.crash()
	r.platform.remove(b)
	return nil
}

// Do carries out one step.
func (r *Runner) Do(s Step) error {
	arg := func(i int) string { return s.Args[i] }
	switch s.Verb {
	case "kill":
		r.fleet.kill(r.machine(s.Verb, arg(0)))
	case "reload":
		return r.fleet.signal(r.machine(s.Verb, arg(0)), syscall.SIGHUP)
	case "start":
		return r.fleet.start(r.machine(s.Verb, arg(0)))
	case "stop":
		return r.fleet.stop(r.machine(s.Verb, arg(0)))
	case "restart":
		m := r.machine(s.Verb, arg(0))
		return errors.Join(r.fleet.stop(m), r.fleet.start(m))
	case "freeze":
		return r.fleet.signal(r.machine(s.Verb, arg(0)), syscall.SIGSTOP)
	case "thaw":
		return r.fleet.signal(r.machine(s.Verb, arg(0)), syscall.SIGCONT)
	case "wipe":
		m := r.machine(s.Verb, arg(0))
		r.fleet.kill(m)
		return os.RemoveAll(m.data)
	case "move":
		m := r.machine(s.Verb, arg(0))
		r.fleet.kill(m)
		if err := os.RemoveAll(m.data); err != nil {
			return err
		}
		m.moves++
		return errors.Join(r.fleet.relay(m), r.fleet.start(m))
	case "killzone":
		r.eachMachine(arg(0), r.fleet.kill)
	case "startzone":
		var faults []error
		r.eachMachine(arg(0), func(m *Machine) { faults = append(faults, r.fleet.start(m)) })
		return errors.Join(faults...)
	case "killall":
		r.eachMachine("", r.fleet.kill)
	case "startall":
		var faults []error
		r.eachMachine("", func(m *Machine) { faults = append(faults, r.fleet.start(m)) })
		return errors.Join(faults...)
	case "startdead":
		dead := 0
		for _, m := range r.fleet.machines {
			if r.fleet.await(m, time.Millisecond) != nil && m.command.ProcessState != nil {
				dead++
				if err := r.fleet.start(m); err != nil {
					return err
				}
			}
		}
		if dead == 0 {
			return fmt.Errorf("no process had ended")
		}
	case "rolling":
		for _, m := range r.fleet.machines {
			if err := errors.Join(r.fleet.stop(m), r.fleet.start(m)); err != nil {
				return err
			}
			time.Sleep(1500 * time.Millisecond)
		}
	case "cut":
		r.fleet.links.cut(arg(0), arg(1), true)
	case "heal":
		r.fleet.links.cut(arg(0), arg(1), false)
	case "isolate", "rejoin":
		r.isolate(arg(0), s.Verb == "isolate")
	case "cutregion", "healregion":
		r.cutRegion(arg(0), s.Verb == "cutregion")
	case "empty", "restore":
		if status, _ := r.operator(s.Verb, http.MethodPost, "/v1/districts/"+arg(0)+"/"+s.Verb, url.Values{"reason": {"scenario"}}, nil, nil, arg(0)); status != http.StatusOK {
			return fmt.Errorf("%s %s got status %d", s.Verb, arg(0), status)
		}
	case "put":
		for range 2 {
			if r.put() {
				return nil
			}
		}
		return fmt.Errorf("put was not accepted")
	case "race":
		done := make(chan bool)
		base := r.base
		for i := range 2 {
			other := &Runner{fleet: r.fleet, platform: r.platform, callers: r.callers, history: r.history, deployment: r.deployment, base: base, extraEntries: r.extraEntries + 100*(i+1)}
			go func() { done <- other.put() }()
		}
		wins := 0
		for range 2 {
			if <-done {
				wins++
			}
		}
		r.base = base + 1
		if wins != 1 {
			return fmt.Errorf("%d of two racing puts were accepted", wins)
		}
	case "bad":
		r.operator("bad-put", http.MethodPut, "/v1/configuration", url.Values{"base": {strconv.FormatUint(r.base, 10)}}, []byte(`{"entries":[{"service":"nobody","path":"x","methods":[],"repeat_safe":["PUT"],"home_regions":["moon"],"colour":1}]}`), nil, "")
	case "show":
		if status, version := r.operator("show", http.MethodGet, "/v1/configuration", nil, nil, nil, ""); status != http.StatusOK {
			return fmt.Errorf("show got status %d", status)
		} else if version < r.base {
			return fmt.Errorf("show gave version %d after %d", version, r.base)
		}
	case "release":
		for _, b := range r.platform.readyBackends(arg(0)) {
			if err := r.replace(b); err != nil {
				return err
			}
		}
	case "replace":
		if list := r.busiest(arg(0)); len(list) > 0 {
			return r.replace(list[0])
		}
	case "crash":
		if list := r.busiest(arg(0)); len(list) > 0 {
			list[0].crash()
			r.platform.remove(list[0])
		}
	case "reuse":
		if list := r.busiest(arg(0)); len(list) > 0 {
			b := list[0]
			b.crash()
			r.platform.remove(b)
			for name := range r.deployment.Services {
				if name != b.service {
					_, err := r.platform.add(name, b.zone, b.address, r.deployment.Keyed[name], false)
					return err
				}
			}
		}
	case "disk":
		if arg(0) == "leader" && arg(1) == "good" {
			return os.WriteFile(r.fleet.diskFaultFile(r.leader), []byte(arg(1)), 0o600)
		}
		return os.WriteFile(r.fleet.diskFaultFile(r.machine(s.Verb, arg(0))), []byte(arg(1)), 0o600)
	case "mode":
		mode := modes[arg(1)]
		for i, b := range r.busiest(arg(0)) {
			if mode == modeGood || i < 2 {
				b.setMode(mode)
			}
		}
	case "list":
		r.platform.lock.Lock()
		r.platform.fault = arg(0)
		if arg(0) == "good" {
			r.platform.fault = ""
		}
		r.platform.lock.Unlock()
	case "doctor":
		command := exec.Command(r.fleet.program, "doctor", "-clock-span", "0", "-door", r.fleet.machines[0].publicAddress(7003))
		text, err := command.CombinedOutput()
		if code := command.ProcessState.ExitCode(); strconv.Itoa(code) != arg(0) {
			return fmt.Errorf("doctor ended with %d (%v): %s", code, err, text)
		}
	case "hot":
		r.callers.hotKey = arg(0) == "on"
	}
	return nil
}

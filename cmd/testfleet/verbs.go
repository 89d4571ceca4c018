package main

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"syscall"
	"time"

	"topazshed/internal/checker"
)

// The verbs that other code asks for.
const (
	verbDisk  = "disk"
	verbThaw  = "thaw"
	verbStart = "start"
)

const (
	// restartPause is how long a rolling restart waits between machines.
	restartPause = 1500 * time.Millisecond
	// replacePause and replaceDrain are how long a back end that is replaced serves beside the new one, then drains.
	replacePause = 1500 * time.Millisecond
	replaceDrain = 4 * time.Second
	// spoiltBackends is how many back ends of a service get a bad mode.
	spoiltBackends = 2
)

// badDocument is a configuration that must be refused.
const badDocument = `{"entries":[{"service":"nobody","path":"x","methods":[],"repeat_safe":["PUT"],"home_regions":["moon"],"colour":1}]}`

// verb is what a step can do: the words behind it, and how it is carried out. docs/faults.md lists them.
type verb struct {
	arguments []argument
	run       func(r *Runner, args []string) error
}

var verbs = map[string]verb{
	"kill":       onMachine((*Runner).kill),
	"reload":     onMachine((*Runner).reload),
	verbStart:    onMachine((*Runner).start),
	"stop":       onMachine((*Runner).stop),
	"restart":    onMachine((*Runner).restart),
	"freeze":     onMachine((*Runner).freeze),
	verbThaw:     onMachine((*Runner).thaw),
	"wipe":       onMachine((*Runner).wipe),
	"move":       onMachine((*Runner).move),
	"killzone":   {[]argument{zoneName}, func(r *Runner, args []string) error { return r.eachMachine(args[0], r.kill) }},
	"startzone":  {[]argument{zoneName}, func(r *Runner, args []string) error { return r.eachMachine(args[0], r.start) }},
	"killall":    {nil, func(r *Runner, _ []string) error { return r.eachMachine("", r.kill) }},
	"startall":   {nil, func(r *Runner, _ []string) error { return r.eachMachine("", r.start) }},
	"startdead":  {nil, func(r *Runner, _ []string) error { return r.startDead() }},
	"rolling":    {nil, func(r *Runner, _ []string) error { return r.rolling() }},
	"cut":        {[]argument{machineName, machineName}, func(r *Runner, args []string) error { return r.cut(args, true) }},
	"heal":       {[]argument{machineName, machineName}, func(r *Runner, args []string) error { return r.cut(args, false) }},
	"isolate":    {[]argument{machineName}, func(r *Runner, args []string) error { return r.isolate(args[0], true) }},
	"rejoin":     {[]argument{machineName}, func(r *Runner, args []string) error { return r.isolate(args[0], false) }},
	"cutregion":  {[]argument{anyWord}, func(r *Runner, args []string) error { return r.cutRegion(args[0], true) }},
	"healregion": {[]argument{anyWord}, func(r *Runner, args []string) error { return r.cutRegion(args[0], false) }},
	"empty":      {[]argument{zoneName}, func(r *Runner, args []string) error { return r.changeZone(checker.OperatorEmpty, args[0]) }},
	"restore":    {[]argument{zoneName}, func(r *Runner, args []string) error { return r.changeZone(checker.OperatorRestore, args[0]) }},
	"put":        {nil, func(r *Runner, _ []string) error { return r.putTwice() }},
	"race":       {nil, func(r *Runner, _ []string) error { return r.race() }},
	"bad":        {nil, func(r *Runner, _ []string) error { return r.putBad() }},
	"show":       {nil, func(r *Runner, _ []string) error { return r.checkShown() }},
	"release":    {[]argument{anyWord}, func(r *Runner, args []string) error { return r.release(args[0]) }},
	"replace":    {[]argument{anyWord}, func(r *Runner, args []string) error { return r.onBusiest(args[0], r.replace) }},
	"crash":      {[]argument{anyWord}, func(r *Runner, args []string) error { return r.onBusiest(args[0], r.crash) }},
	"reuse":      {[]argument{anyWord}, func(r *Runner, args []string) error { return r.onBusiest(args[0], r.reuse) }},
	verbDisk:     {[]argument{diskMachineName, diskFaultName}, func(r *Runner, args []string) error { return r.disk(args[0], args[1]) }},
	"mode":       {[]argument{anyWord, modeName}, func(r *Runner, args []string) error { return r.mode(args[0], modes[args[1]]) }},
	"list":       {[]argument{listFaultName}, func(r *Runner, args []string) error { return r.list(args[0]) }},
	"hot":        {[]argument{anyWord}, func(r *Runner, args []string) error { return r.hot(args[0]) }},
	"doctor":     {[]argument{anyWord}, func(r *Runner, args []string) error { return r.doctor(args[0]) }},
}

// onMachine makes a verb of what is done to one machine; the runner has found it by then.
func onMachine(run func(*Runner, *Machine) error) verb {
	return verb{[]argument{machineName}, func(r *Runner, args []string) error { return run(r, r.machine(args[0])) }}
}

// Do carries out one step.
func (r *Runner) Do(step Step) error {
	r.verb = step.Verb
	return verbs[step.Verb].run(r, step.Args)
}

func (r *Runner) kill(m *Machine) error {
	r.fleet.kill(m)
	return nil
}

func (r *Runner) reload(m *Machine) error { return r.fleet.signal(m, syscall.SIGHUP) }

func (r *Runner) start(m *Machine) error { return r.fleet.start(m) }

func (r *Runner) stop(m *Machine) error { return r.fleet.stop(m) }

func (r *Runner) restart(m *Machine) error { return errors.Join(r.fleet.stop(m), r.fleet.start(m)) }

func (r *Runner) freeze(m *Machine) error { return r.fleet.signal(m, syscall.SIGSTOP) }

func (r *Runner) thaw(m *Machine) error { return r.fleet.signal(m, syscall.SIGCONT) }

// wipe kills a machine and empties its disk.
func (r *Runner) wipe(m *Machine) error {
	r.fleet.kill(m)
	return os.RemoveAll(m.data)
}

// move wipes a machine and starts it at new addresses.
func (r *Runner) move(m *Machine) error {
	if err := r.wipe(m); err != nil {
		return err
	}
	m.moves++
	return errors.Join(r.fleet.addRelays(m), r.fleet.start(m))
}

// eachMachine does the same to every machine of a zone, or to all if no zone is named.
func (r *Runner) eachMachine(zone string, do func(*Machine) error) error {
	var errs []error
	for _, m := range r.fleet.machines {
		if zone == "" || m.place.zone == zone {
			errs = append(errs, do(m))
		}
	}
	return errors.Join(errs...)
}

// startDead starts the processes that have ended by themselves; there must be one.
func (r *Runner) startDead() error {
	count := 0
	for _, m := range r.fleet.machines {
		if r.fleet.await(m, time.Millisecond) == nil || m.command.ProcessState == nil {
			continue
		}
		count++
		if err := r.fleet.start(m); err != nil {
			return err
		}
	}
	if count == 0 {
		return errors.New("no process had ended")
	}
	return nil
}

// rolling restarts every machine, one after another.
func (r *Runner) rolling() error {
	for _, m := range r.fleet.machines {
		if err := r.restart(m); err != nil {
			return err
		}
		time.Sleep(restartPause)
	}
	return nil
}

func (r *Runner) cut(names []string, isCut bool) error {
	r.fleet.links.cut(names[0], names[1], isCut)
	return nil
}

// isolate cuts or heals all links between one machine and the others.
func (r *Runner) isolate(name string, isCut bool) error {
	for _, m := range r.fleet.machines {
		if m.name != name {
			r.fleet.links.cut(m.name, name, isCut)
			r.fleet.links.cut(name, m.name, isCut)
		}
	}
	return nil
}

// cutRegion cuts or heals all links between a region's machines and the others.
func (r *Runner) cutRegion(region string, isCut bool) error {
	for _, a := range r.fleet.machines {
		for _, b := range r.fleet.machines {
			if (a.place.region == region) != (b.place.region == region) {
				r.fleet.links.cut(a.name, b.name, isCut)
			}
		}
	}
	return nil
}

// changeZone empties or restores a zone.
func (r *Runner) changeZone(action checker.OperatorAction, zone string) error {
	status, _ := r.operate(operatorCall{
		action: action,
		method: http.MethodPost,
		path:   "/v1/districts/" + zone + "/" + string(action),
		query:  map[string][]string{"reason": {"scenario"}},
		zone:   zone,
	})
	if status != http.StatusOK {
		return fmt.Errorf("%s %s got status %d", action, zone, status)
	}
	return nil
}

// putTwice puts a new configuration, once more if its base was old.
func (r *Runner) putTwice() error {
	const tries = 2
	for range tries {
		if r.put() {
			return nil
		}
	}
	return errors.New("put was not accepted")
}

// race puts two configurations on one base; one must win.
func (r *Runner) race() error {
	accepted := make(chan bool)
	base := r.base
	for i := range 2 {
		other := *r
		other.extraEntries += 100 * (i + 1)
		go func() { accepted <- other.put() }()
	}
	wins := 0
	for range 2 {
		if <-accepted {
			wins++
		}
	}
	r.base = base + 1
	if wins != 1 {
		return fmt.Errorf("%d of two racing puts were accepted", wins)
	}
	return nil
}

// putBad puts a configuration that must be refused; the checker sees to it.
func (r *Runner) putBad() error {
	r.operate(operatorCall{
		action: checker.OperatorBadPut,
		method: http.MethodPut,
		path:   configurationPath,
		query:  r.baseQuery(),
		body:   []byte(badDocument),
	})
	return nil
}

// checkShown reads the configuration back.
func (r *Runner) checkShown() error {
	status, version := r.show()
	if status != http.StatusOK {
		return fmt.Errorf("show got status %d", status)
	}
	if version < r.base {
		return fmt.Errorf("show gave version %d after %d", version, r.base)
	}
	return nil
}

// release replaces every back end of a service, one after another.
func (r *Runner) release(service string) error {
	for _, b := range r.platform.readyBackends(service) {
		if err := r.replace(b); err != nil {
			return err
		}
	}
	return nil
}

// onBusiest does something to the back end of a service that got the most requests lately.
func (r *Runner) onBusiest(service string, do func(*Backend) error) error {
	if busiest := r.busiest(service); len(busiest) > 0 {
		return do(busiest[0])
	}
	return nil
}

// replace starts a cold back end beside an old one, then drains and ends the old one.
func (r *Runner) replace(b *Backend) error {
	if _, err := r.platform.add(backendOptions{service: b.service, zone: b.zone, isKeyed: b.isKeyed, isCold: true}); err != nil {
		return err
	}
	time.Sleep(replacePause)
	r.platform.drain(b)
	time.Sleep(replaceDrain)
	return r.crash(b)
}

func (r *Runner) crash(b *Backend) error {
	b.crash()
	r.platform.remove(b)
	return nil
}

// reuse ends a back end and gives its address to one of another service.
func (r *Runner) reuse(b *Backend) error {
	r.crash(b)
	for _, service := range slices.Sorted(maps.Keys(r.deployment.Services)) {
		if service == b.service {
			continue
		}
		options := backendOptions{service: service, zone: b.zone, address: b.address, isKeyed: r.deployment.Keyed[service]}
		_, err := r.platform.add(options)
		return err
	}
	return nil
}

// disk makes a machine's disk faulty, or good again. The leader's is good again on the machine that led when it was named.
func (r *Runner) disk(name, fault string) error {
	m := r.leader
	if name != leaderName || fault != goodState {
		m = r.machine(name)
	}
	return os.WriteFile(r.fleet.diskFaultFile(m), []byte(fault), reportMode)
}

// mode gives a mode to the busiest back ends of a service, or the good one to all.
func (r *Runner) mode(service string, mode Mode) error {
	for i, b := range r.busiest(service) {
		if mode == modeGood || i < spoiltBackends {
			b.setMode(mode)
		}
	}
	return nil
}

func (r *Runner) list(fault string) error {
	if fault == goodState {
		fault = string(listGood)
	}
	r.platform.setFault(listFault(fault))
	return nil
}

func (r *Runner) hot(onOrOff string) error {
	r.callers.setKeyHot(onOrOff == "on")
	return nil
}

// doctor runs the operators' doctor command, which must end with that exit code.
func (r *Runner) doctor(exitCode string) error {
	command := exec.Command(r.fleet.program, "doctor", "-clock-span", "0", "-admin", r.fleet.machines[0].publicAddress(adminPort))
	text, err := command.CombinedOutput()
	if code := command.ProcessState.ExitCode(); strconv.Itoa(code) != exitCode {
		return fmt.Errorf("doctor ended with %d (%v): %s", code, err, text)
	}
	return nil
}

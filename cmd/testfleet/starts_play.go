package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// firstIdleTimeout (milliseconds) is that of the first configuration; each further one has a millisecond more.
const firstIdleTimeout = 10000

// startsPlay disturbs one fleet. The goroutine that plays draws from random.
type startsPlay struct {
	fleet  *platformFleet
	random *rand.Rand
	// ends counts the machines that are to be started again.
	ends   sync.WaitGroup
	faults int
	names  []string
	// isDiskLost says that the one disk that may be lost at a time is lost.
	isDiskLost bool
	// version is the newest configuration that was acknowledged.
	version           uint32
	firstAcknowledged time.Duration
	slowestRecovery   time.Duration
}

// startFault is one thing that happens to the fleet; it plans what follows from it.
type startFault struct {
	name string
	odds int
	do   func(s *startsPlay)
}

var startFaults = []startFault{
	{"kill", 4, func(s *startsPlay) {
		m := s.someMachine()
		s.fleet.kill(m)
		s.startLater(m, 2000)
	}},
	{"kill and start at once", 3, func(s *startsPlay) {
		m := s.someMachine()
		s.fleet.kill(m)
		s.startLater(m, 0)
	}},
	{"stop and start at once", 3, func(s *startsPlay) {
		m := s.someMachine()
		s.fleet.stop(m)
		s.startLater(m, 0)
	}},
	{"start beside itself", 2, (*startsPlay).startBeside},
	{"wipe", 2, (*startsPlay).wipeOne},
	{"kill all", 1, func(s *startsPlay) {
		for _, m := range s.fleet.machines {
			s.fleet.kill(m)
			s.startLater(m, 1000)
		}
	}},
	{"hang up", 2, func(s *startsPlay) { s.fleet.hangUp(s.someMachine()) }},
	{"busy port", 1, (*startsPlay).keepPortBusy},
}

// someMachine draws a machine: one with a disk in two of three draws.
func (s *startsPlay) someMachine() *platformMachine {
	for {
		m := s.fleet.machines[s.random.Intn(len(s.fleet.machines))]
		if m.hasDisk || s.random.Intn(3) == 0 {
			return m
		}
	}
}

// startLater starts a machine's next process after up to so many milliseconds; at times its settings file is half written then.
func (s *startsPlay) startLater(m *platformMachine, milliseconds int) {
	pause := time.Duration(s.random.Intn(milliseconds+1)) * time.Millisecond
	isSlow := s.random.Intn(4) == 0
	s.ends.Go(func() {
		time.Sleep(pause)
		if err := s.fleet.start(m, isSlow); err != nil {
			s.fleet.reportViolation("%s can't be started: %v", m.name, err)
		}
	})
}

// startBeside starts a machine's next process while the former one still runs and is told to stop only later.
func (s *startsPlay) startBeside() {
	m := s.someMachine()
	former := m.newest()
	s.startLater(m, 0)
	if former == nil {
		return
	}
	pause := time.Duration(s.random.Intn(500)) * time.Millisecond
	s.ends.Go(func() {
		time.Sleep(pause)
		s.fleet.stopProcess(m, former)
	})
}

// wipeOne loses a disk, where none is lost yet.
func (s *startsPlay) wipeOne() {
	m := s.someMachine()
	if s.isDiskLost || !m.hasDisk {
		return
	}
	s.isDiskLost = true
	if err := s.fleet.wipe(m); err != nil {
		s.fleet.reportViolation("%s can't be wiped: %v", m.name, err)
	}
	s.startLater(m, 2000)
}

// keepPortBusy kills a machine and has something else listen on its first inner port for a while after its next start.
func (s *startsPlay) keepPortBusy() {
	m := s.someMachine()
	s.fleet.killAndWait(m)
	if listener, err := net.Listen("tcp", m.at(platformInnerFirst)); err == nil {
		time.AfterFunc(time.Duration(100+s.random.Intn(400))*time.Millisecond, func() { listener.Close() })
	}
	s.startLater(m, 0)
}

// disturb lets one fault happen.
func (s *startsPlay) disturb() {
	total := 0
	for _, fault := range startFaults {
		total += fault.odds
	}
	draw := s.random.Intn(total)
	for _, fault := range startFaults {
		if draw -= fault.odds; draw < 0 {
			s.faults++
			s.names = append(s.names, fault.name)
			fault.do(s)
			return
		}
	}
}

// kinds tells how often each fault happened.
func (s *startsPlay) kinds() string {
	counts := map[string]int{}
	for _, name := range s.names {
		counts[name]++
	}
	var texts []string
	for _, fault := range startFaults {
		if count := counts[fault.name]; count > 0 {
			texts = append(texts, fmt.Sprintf("%d x %s", count, fault.name))
		}
	}
	return strings.Join(texts, ", ")
}

// firstStart starts all machines in any order, disturbs that, and checks that there is a system.
func (s *startsPlay) firstStart(ctx context.Context) error {
	begun := time.Now()
	for _, i := range s.random.Perm(len(s.fleet.machines)) {
		s.startLater(s.fleet.machines[i], 300)
	}
	instants := make([]time.Duration, 1+s.random.Intn(maxFirstStartFaults))
	for i := range instants {
		instants[i] = time.Duration(s.random.Int63n(int64(firstStartSpan)))
	}
	slices.Sort(instants)
	for _, instant := range instants {
		if err := sleep(ctx, instant-time.Since(begun)); err != nil {
			return err
		}
		s.disturb()
	}
	s.ends.Wait()
	calmAt := time.Now()
	s.put(ctx, calmAt)
	s.firstAcknowledged = time.Since(begun)
	s.checkReady(ctx, calmAt)
	s.isDiskLost = false
	return ctx.Err()
}

// restarts disturbs the running fleet while configurations change, and checks that it recovers.
func (s *startsPlay) restarts(ctx context.Context) error {
	if s.version == 0 {
		return nil
	}
	until := time.Now().Add(restartSpan)
	var changes errgroup.Group
	changes.Go(func() error {
		for time.Now().Before(until) && ctx.Err() == nil {
			s.put(ctx, until)
		}
		return nil
	})
	for time.Now().Before(until) {
		s.disturb()
		if err := sleep(ctx, time.Duration(s.random.Int63n(int64(maxRestartPause)))); err != nil {
			break
		}
	}
	s.ends.Wait()
	changes.Wait()
	s.checkReady(ctx, time.Now())
	s.checkReadBack(ctx)
	s.isDiskLost = false
	return ctx.Err()
}

// closingFault kills all processes right after an acknowledgement, one of them with its disk, and checks that it is kept.
func (s *startsPlay) closingFault(ctx context.Context) error {
	if s.version == 0 {
		return nil
	}
	s.put(ctx, time.Now())
	lost := s.fleet.machines[s.random.Intn(len(s.fleet.machines))]
	for _, m := range s.fleet.machines {
		s.fleet.kill(m)
	}
	if lost.hasDisk {
		if err := s.fleet.wipe(lost); err != nil {
			return err
		}
	}
	for _, m := range s.fleet.machines {
		s.startLater(m, 1000)
	}
	s.ends.Wait()
	s.checkReady(ctx, time.Now())
	s.checkReadBack(ctx)
	return ctx.Err()
}

// startsDocument is the configuration of a version.
func startsDocument(version uint32) []byte {
	return fill("configuration.json.tmpl", configurationText{Version: version, Base: version - 1, IdleTimeout: firstIdleTimeout + version})
}

// callPlatform makes one call to a machine's control address.
func callPlatform(ctx context.Context, m *platformMachine, method string, body []byte) (status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.at(platformControlPort)+"/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err = io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

// put sends the next configuration to one machine after the other until it is acknowledged, for startRecovery after an instant at most.
func (s *startsPlay) put(ctx context.Context, calmAt time.Time) {
	document := startsDocument(s.version + 1)
	limit := calmAt.Add(startRecovery)
	var last string
	for turn := 0; time.Now().Before(limit) && ctx.Err() == nil; turn++ {
		m := s.fleet.machines[(int(s.version)+turn)%len(s.fleet.machines)]
		status, text, err := callPlatform(ctx, m, http.MethodPut, document)
		if err == nil && status == http.StatusOK {
			s.version++
			return
		}
		last = fmt.Sprintf("%s: %d %s %v", m.name, status, text, err)
		sleep(ctx, 50*time.Millisecond)
	}
	s.fleet.reportViolation("configuration %d is not acknowledged within %v of the last fault; last answer %s", s.version+1, startRecovery, last)
}

// checkReady holds that every machine is ready within startRecovery of an instant.
func (s *startsPlay) checkReady(ctx context.Context, calmAt time.Time) {
	limit := calmAt.Add(startRecovery)
	client := http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range s.fleet.machines {
		for ctx.Err() == nil {
			response, err := client.Get("http://" + m.at(platformReadyPort) + "/readiness")
			if err == nil {
				response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(limit) {
				s.fleet.reportViolation("%s is not ready %v after the last fault", m.name, startRecovery)
				break
			}
			sleep(ctx, 20*time.Millisecond)
		}
	}
	s.slowestRecovery = max(s.slowestRecovery, time.Since(calmAt))
}

// checkReadBack holds that every machine gives the newest acknowledged configuration.
func (s *startsPlay) checkReadBack(ctx context.Context) {
	want := startsDocument(s.version)
	for _, m := range s.fleet.machines {
		var status int
		var text []byte
		var err error
		for limit := time.Now().Add(startRecovery); time.Now().Before(limit) && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
			if status, text, err = callPlatform(ctx, m, http.MethodGet, nil); err == nil && status == http.StatusOK {
				break
			}
		}
		if !bytes.Equal(text, want) {
			s.fleet.reportViolation("%s gives %d %.80s (%v) in place of configuration %d", m.name, status, text, err, s.version)
		}
	}
}

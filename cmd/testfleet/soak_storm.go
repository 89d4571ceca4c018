package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/url"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// callerTimeout is how long an operator waits for an answer before it makes the call at another machine.
	callerTimeout = time.Second
	// maxFaultyDisks is how many machines with a disk are disturbed at once: a majority goes on.
	maxFaultyDisks = 2
	// checkedMachines is how many machines are asked for the zone's state after each call.
	checkedMachines = 4
	// zoneDisturbedOdds and changeDisturbedOdds are one in how many calls for the zone, and changes of the configuration, go to a machine that is
	// disturbed.
	zoneDisturbedOdds   = 2
	changeDisturbedOdds = 6
	// maxSyncPause is how much longer a sync of a slow disk takes at most.
	maxSyncPause = 400 * time.Millisecond
	// maxDraining is how many back ends drain for good.
	maxDraining = 6
)

// soak plays storms on one fleet. The goroutine of storm draws from random; what its goroutines share is guarded by lock.
type soak struct {
	run    *routedRun
	random *rand.Rand
	// zone is the one that is emptied and restored.
	zone   string
	routes addedRoutes
	calls  int
	faults int

	// lock guards what follows; asked counts the answers to requests for added routes by status.
	lock      sync.Mutex
	disturbed map[*Machine]bool
	asked     map[int]int
}

func newSoak(r *routedRun, random *rand.Rand) *soak {
	place := zonePlaces[random.Intn(len(zonePlaces))]
	return &soak{run: r, random: random, zone: place.zone, disturbed: map[*Machine]bool{}, asked: map[int]int{}}
}

// storm lets faults, changes and the operator's calls overlap, then leaves the fleet alone with the zone emptied and checks it.
func (s *soak) storm(ctx context.Context) error {
	var ends sync.WaitGroup
	stormCtx, cancel := context.WithTimeout(ctx, stormTime)
	defer cancel()
	var operators errgroup.Group
	for _, operate := range []func(context.Context, *rand.Rand) error{s.operateInSeries, s.changeInSeries} {
		random := rand.New(rand.NewSource(s.random.Int63()))
		operators.Go(func() error { return operate(stormCtx, random) })
	}
	for stormCtx.Err() == nil {
		s.disturb(&ends)
		sleep(stormCtx, time.Duration(200+s.random.Intn(700))*time.Millisecond)
	}
	if err := operators.Wait(); err != nil {
		return err
	}
	// Faults that still last may hold up older calls, which must not undo this one.
	index, err := s.call("empty")
	if err != nil {
		return err
	}
	emptiedAt := time.Now()
	ends.Wait()
	return s.check(ctx, time.Now(), emptiedAt, index)
}

// operateInSeries empties and restores the zone, again and again, until the context ends.
func (s *soak) operateInSeries(ctx context.Context, random *rand.Rand) error {
	for turn := 0; ctx.Err() == nil; turn++ {
		action := "empty"
		if turn%2 == 1 {
			action = "restore"
		}
		index, err := s.call(action)
		if err != nil {
			return err
		}
		sleep(ctx, time.Duration(random.Intn(2000))*time.Millisecond)
		for range checkedMachines {
			if m := s.run.fleet.machines[random.Intn(len(s.run.fleet.machines))]; !s.isDisturbed(m) {
				s.checkZone(m, action == "empty", index)
			}
		}
	}
	return nil
}

func (s *soak) isDisturbed(m *Machine) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.disturbed[m]
}

// call makes a call for the zone, at one machine after the other, until it is acknowledged; it gives the log index at which the zone is so.
func (s *soak) call(action string) (index uint64, err error) {
	s.calls++
	body, err := s.operate(soakCall{method: http.MethodPost, path: "/v1/districts/" + s.zone + "/" + action, disturbedOdds: zoneDisturbedOdds})
	if err != nil {
		return 0, err
	}
	var reply struct {
		Index uint64 `json:"index"`
	}
	return reply.Index, json.Unmarshal(body, &reply)
}

// soakCall is a call of an operator in a soak.
type soakCall struct {
	method, path string
	query        url.Values
	body         string
	// disturbedOdds is one in how many tries go to a machine that is disturbed, where they may be held up.
	disturbedOdds int
}

// operate makes a call as the users' operators do: at another machine after callerTimeout, and never longer than operateLimit. It gives the
// body of the answer.
func (s *soak) operate(call soakCall) ([]byte, error) {
	client := http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for deadline := time.Now().Add(operateLimit); time.Now().Before(deadline); {
		m := s.pickForCall(call.disturbedOdds)
		address := url.URL{Scheme: "http", Host: m.publicAddress(adminPort), Path: call.path, RawQuery: call.query.Encode()}
		request, err := http.NewRequest(call.method, address.String(), bytes.NewReader([]byte(call.body)))
		if err != nil {
			return nil, err
		}
		answer, err := s.send(&client, request)
		if err == nil {
			return answer, nil
		}
		last = err.Error()
		time.Sleep(routedPoll)
	}
	return nil, fmt.Errorf("%s %s was not taken within %v: %s", call.method, call.path, operateLimit, last)
}

// send gives the body of a successful answer.
func (s *soak) send(client *http.Client, request *http.Request) ([]byte, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	return io.ReadAll(response.Body)
}

// pickForCall picks the machine that an operator turns to: one time in so many one that is disturbed.
func (s *soak) pickForCall(disturbedOdds int) *Machine {
	s.lock.Lock()
	defer s.lock.Unlock()
	if rand.Intn(disturbedOdds) == 0 {
		for m := range s.disturbed {
			return m
		}
	}
	return s.run.fleet.machines[rand.Intn(len(s.run.fleet.machines))]
}

// disturb begins one fault; it ends by itself.
func (s *soak) disturb(ends *sync.WaitGroup) {
	s.faults++
	if s.random.Intn(6) == 0 {
		s.drainOne()
		return
	}
	m := s.reserve()
	if m == nil {
		return
	}
	fleet, span, kind := s.run.fleet, time.Duration(300+s.random.Intn(3500))*time.Millisecond, s.random.Intn(5)
	pause := time.Duration(s.random.Int63n(int64(maxSyncPause)))
	ends.Go(func() {
		defer s.release(m)
		switch kind {
		case 0, 1:
			fleet.signal(m, syscall.SIGSTOP)
			time.Sleep(span)
			fleet.signal(m, syscall.SIGCONT)
		case 2:
			fleet.kill(m)
			time.Sleep(span / 3)
			s.restart(m)
		case 3:
			if err := fleet.stop(m); err != nil {
				s.run.platform.reportViolation("%s ended with %v after SIGTERM", m.name, err)
			}
			s.restart(m)
		case 4:
			if !m.hasDisk {
				fleet.signal(m, syscall.SIGHUP)
				return
			}
			s.slowDisk(m, pause, span)
		}
	})
}

// slowDisk has each sync of a machine's disk take so much longer for a while; its process is restarted in the middle of that.
func (s *soak) slowDisk(m *Machine, pause, span time.Duration) {
	fleet := s.run.fleet
	file := fleet.diskFaultFile(m)
	if err := os.WriteFile(file, []byte(pause.String()), reportMode); err != nil {
		s.run.platform.reportViolation("no slow disk for %s: %v", m.name, err)
		return
	}
	defer os.Remove(file)
	time.Sleep(span / 3)
	fleet.kill(m)
	s.restart(m)
	time.Sleep(2 * span / 3)
}

func (s *soak) restart(m *Machine) {
	if err := s.run.fleet.start(m); err != nil {
		s.run.platform.reportViolation("%s does not start: %v", m.name, err)
	}
}

// reserve picks a machine that is not disturbed, or gives nil.
func (s *soak) reserve() *Machine {
	s.lock.Lock()
	defer s.lock.Unlock()
	m := s.run.fleet.machines[s.random.Intn(len(s.run.fleet.machines))]
	disks := 0
	for other := range s.disturbed {
		if other.hasDisk {
			disks++
		}
	}
	if s.disturbed[m] || m.hasDisk && disks >= maxFaultyDisks {
		return nil
	}
	s.disturbed[m] = true
	return m
}

func (s *soak) release(m *Machine) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.disturbed, m)
}

// drainOne has the list show a back end as draining.
func (s *soak) drainOne() {
	p := s.run.platform
	p.lock.Lock()
	defer p.lock.Unlock()
	b := p.backends[s.random.Intn(len(p.backends))]
	if len(p.drainingSince) < maxDraining && p.drainingSince[b.instance].IsZero() {
		p.drainingSince[b.instance] = time.Now()
	}
}

// check watches a fleet that was left alone at calmAt, and whose zone's emptying was acknowledged at emptiedAt, under a log index.
func (s *soak) check(ctx context.Context, calmAt, emptiedAt time.Time, index uint64) error {
	from := latest(calmAt.Add(recoveryTime), emptiedAt.Add(evacuateBound))
	if err := sleep(ctx, time.Until(from.Add(watchTime))); err != nil {
		return err
	}
	p := s.run.platform
	p.lock.Lock()
	if last := p.lastRequest[s.zone]; last.After(from) {
		p.addViolation("%s was emptied and got a request %v after that was acknowledged", s.zone, last.Sub(emptiedAt))
	}
	for instance, since := range p.drainingSince {
		if last := p.lastRequestTo[instance]; last.After(latest(calmAt.Add(recoveryTime), since.Add(drainBound))) {
			p.addViolation("%s was shown as draining and got a request %v later", instance, last.Sub(since))
		}
	}
	p.lock.Unlock()
	for _, m := range s.run.fleet.machines {
		if err := s.checkZone(m, true, index); err != nil {
			p.reportViolation("%s has not told that %s is emptied %v after the last fault: %v", m.name, s.zone, time.Since(calmAt), err)
		}
	}
	return nil
}

// checkZone checks that a machine which has the log up to an index, at which a call for the zone was acknowledged, holds the zone so. The
// error says why it is not known to have the log so far.
func (s *soak) checkZone(m *Machine, isEmptied bool, index uint64) error {
	client := http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodGet, "http://"+m.publicAddress(adminPort)+"/v1/status", nil)
	if err != nil {
		return err
	}
	body, err := s.send(&client, request)
	if err != nil {
		return err
	}
	var status struct {
		Index uint64 `json:"index"`
		Zones []struct {
			Name    string `json:"name"`
			Emptied bool   `json:"emptied"`
		} `json:"districts"`
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return err
	}
	if status.Index < index {
		return fmt.Errorf("its state is that of index %d, the call was acknowledged at %d", status.Index, index)
	}
	for _, zone := range status.Zones {
		if zone.Name == s.zone && zone.Emptied != isEmptied {
			s.run.platform.reportViolation("call %d: %s holds %s as emptied %v at index %d, the last call was acknowledged at index %d",
				s.calls, m.name, s.zone, zone.Emptied, status.Index, index)
		}
	}
	return nil
}

func (s *soak) summarise(seed int64) {
	s.run.lock.Lock()
	defer s.run.lock.Unlock()
	s.lock.Lock()
	defer s.lock.Unlock()
	changes, _ := s.routes.newest()
	fmt.Printf("soak seed %d: zone %s, %d calls for it, %d changes, %d faults, requests %v, for added routes %v\n", seed, s.zone, s.calls, changes,
		s.faults, s.run.ends, s.asked)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

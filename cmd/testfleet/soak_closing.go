package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// closingRecovery is how soon after a loss of everything the configuration must be read back, and added routes be served.
	closingRecovery = 15 * time.Second
	// maxDownTime is how long all machines stay down.
	maxDownTime = 3 * time.Second
	// maxKillDelay is how long after a change was sent all processes are killed.
	maxKillDelay = 400 * time.Millisecond
)

// loseAll kills every process while a change is on its way, empties as many disks as may be lost, starts all machines again, and checks that what was
// acknowledged is read back and in force at every machine.
func (s *soak) loseAll(ctx context.Context) error {
	changed := make(chan error, 1)
	go func() { changed <- s.addRoute() }()
	time.Sleep(time.Duration(s.random.Int63n(int64(maxKillDelay))))
	s.killAll()
	if err := s.wipeSome(); err != nil {
		return err
	}
	time.Sleep(time.Duration(s.random.Int63n(int64(maxDownTime))))
	if err := s.run.fleet.startAll(); err != nil {
		return err
	}
	startedAt := time.Now()
	for _, m := range s.run.fleet.machines {
		s.awaitReadBack(ctx, m, startedAt)
	}
	if err := <-changed; err != nil {
		return err
	}
	return ctx.Err()
}

// killAll kills every process at the same moment, and waits for their ends.
func (s *soak) killAll() {
	var ends sync.WaitGroup
	for _, m := range s.run.fleet.machines {
		ends.Go(func() { s.run.fleet.kill(m) })
	}
	ends.Wait()
}

// wipeSome empties the disks of up to maxFaultyDisks machines.
func (s *soak) wipeSome() error {
	disks := slices.DeleteFunc(slices.Clone(s.run.fleet.machines), func(m *Machine) bool { return !m.hasDisk })
	s.random.Shuffle(len(disks), func(a, b int) { disks[a], disks[b] = disks[b], disks[a] })
	for _, m := range disks[:1+s.random.Intn(maxFaultyDisks)] {
		if err := os.RemoveAll(m.data); err != nil {
			return err
		}
	}
	return nil
}

// awaitReadBack waits until a machine reads back what was acknowledged and serves its newest route.
func (s *soak) awaitReadBack(ctx context.Context, m *Machine, startedAt time.Time) {
	problem := s.readBack(m)
	for problem != "" && ctx.Err() == nil && time.Since(startedAt) < closingRecovery {
		time.Sleep(routedPoll)
		problem = s.readBack(m)
	}
	if problem != "" {
		s.run.platform.reportViolation("%s, %v after all were started again: %s", m.name, time.Since(startedAt).Round(time.Millisecond), problem)
	}
}

// readBack says what is wrong with a machine's configuration, or nothing: it must be the newest acknowledged one, or one that was put after it.
func (s *soak) readBack(m *Machine) string {
	acknowledged, _ := s.routes.newest()
	answer, err := s.run.fleet.adminCall(m, http.MethodGet, configurationPath, nil, nil)
	if err != nil {
		return "no configuration is read back: " + err.Error()
	}
	if answer.status != http.StatusOK {
		return fmt.Sprintf("no configuration is read back: status %d, %s", answer.status, answer.body)
	}
	_, sent := s.routes.newest()
	read := acknowledged
	for read < sent && string(answer.body) != addedDocument(read) {
		read++
	}
	if string(answer.body) != addedDocument(read) {
		return fmt.Sprintf("another configuration is read back than those of routes %d to %d", acknowledged, sent)
	}
	status, err := s.requestRoute(m, acknowledged)
	if err != nil || status != http.StatusOK {
		return fmt.Sprintf("route %d is not served: status %d, %v", acknowledged, status, err)
	}
	return ""
}

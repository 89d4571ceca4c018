package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// endTimedOut counts requests without an answer within the caller's patience, endBrokenOff those whose connection ended before.
	endTimedOut  = 0
	endBrokenOff = -1
	// floodPatience is how long a caller waits before it closes its connection.
	floodPatience = floodWait + time.Second
)

// callerEnds counts how requests ended, by status. It is safe for concurrent use; its zero value is ready.
type callerEnds struct {
	lock   sync.Mutex
	counts map[int]int
}

func (e *callerEnds) add(end int) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.counts == nil {
		e.counts = map[int]int{}
	}
	e.counts[end]++
}

// share is the part of the requests that were served, 0 if there was none.
func (e *callerEnds) share() float64 {
	e.lock.Lock()
	defer e.lock.Unlock()
	total := 0
	for _, count := range e.counts {
		total += count
	}
	if total == 0 {
		return 0
	}
	return float64(e.counts[http.StatusOK]) / float64(total)
}

func (e *callerEnds) count(end int) int {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.counts[end]
}

func (e *callerEnds) String() string {
	e.lock.Lock()
	defer e.lock.Unlock()
	var texts []string
	for _, end := range slices.Sorted(maps.Keys(e.counts)) {
		name := fmt.Sprint(end)
		switch end {
		case endTimedOut:
			name = "no answer"
		case endBrokenOff:
			name = "broken off"
		}
		texts = append(texts, fmt.Sprintf("%s: %d", name, e.counts[end]))
	}
	return "{" + strings.Join(texts, ", ") + "}"
}

// floodCallers call the sound and the faulty back ends.
type floodCallers struct {
	fleet *platformFleet
	// perMachine call the faulty back ends through one machine at the same time.
	perMachine int
	// calm, amid and after count the requests of sound callers before, during and after the floods; flooded those to faulty back ends.
	calm, amid, after, flooded callerEnds
	// byMachine counts the sound requests amid the floods, by machine.
	byMachine map[*platformMachine]*callerEnds
}

func newFloodCallers(f *platformFleet, perMachine int) *floodCallers {
	r := &floodCallers{fleet: f, perMachine: perMachine, byMachine: map[*platformMachine]*callerEnds{}}
	for _, m := range f.machines {
		r.byMachine[m] = &callerEnds{}
	}
	return r
}

// newFloodClient is a caller with one connection.
func newFloodClient() *http.Client {
	return &http.Client{Timeout: floodPatience, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
}

// play has sound callers before, during and after the floods.
func (r *floodCallers) play(ctx context.Context, random *rand.Rand, span time.Duration) {
	r.callSound(ctx, calmTime, func(_ *platformMachine, end int) { r.calm.add(end) })
	var floods sync.WaitGroup
	floodCtx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	for _, i := range random.Perm(len(r.fleet.machines))[:floodedMachines] {
		for number := range r.perMachine {
			caller := rand.New(rand.NewSource(random.Int63()))
			floods.Go(func() { r.callFaulty(floodCtx, r.fleet.machines[i], number, caller) })
		}
	}
	r.callSound(ctx, span, func(m *platformMachine, end int) {
		r.amid.add(end)
		r.byMachine[m].add(end)
	})
	floods.Wait()
	r.callSound(ctx, calmTime, func(_ *platformMachine, end int) { r.after.add(end) })
}

// callSound calls the sound service through every machine for a while.
func (r *floodCallers) callSound(ctx context.Context, span time.Duration, note func(*platformMachine, int)) {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	var callers sync.WaitGroup
	for _, m := range r.fleet.machines {
		for number := range soundCallers {
			callers.Go(func() {
				client := newFloodClient()
				defer client.CloseIdleConnections()
				for serial := 0; sleep(ctx, callerPause) == nil; serial++ {
					// A request that was begun is waited for beyond the end of the span.
					id := fmt.Sprintf("sound-%s-%d-%d-%d", m.name, number, serial, time.Now().UnixNano())
					note(m, floodRequest(context.WithoutCancel(ctx), client, m, soundService, id))
				}
			})
		}
	}
	callers.Wait()
}

// callFaulty calls services with faulty back ends through one machine.
func (r *floodCallers) callFaulty(ctx context.Context, m *platformMachine, number int, random *rand.Rand) {
	client := newFloodClient()
	defer client.CloseIdleConnections()
	for serial := 0; sleep(ctx, callerPause) == nil; serial++ {
		service := floodService
		if random.Intn(3) == 0 {
			service = mixedService
		}
		r.flooded.add(floodRequest(ctx, client, m, service, fmt.Sprintf("flood-%s-%d-%d", m.name, number, serial)))
	}
}

// floodRequest makes one request to a service and reads its answer to the end. It gives the status, or how it ended without a whole one.
func floodRequest(ctx context.Context, client *http.Client, m *platformMachine, service, id string) (end int) {
	target := "http://" + m.at(platformFrontPort) + floodPrefix(service, repeatableRoute)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return endBrokenOff
	}
	request.Host = floodHost
	request.Header = platformHeaders(id, floodWait)
	response, err := client.Do(request)
	if err != nil {
		return endWithoutAnswer(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return endWithoutAnswer(err)
	}
	return response.StatusCode
}

// endWithoutAnswer tells a caller's own time-out from a connection that ended.
func endWithoutAnswer(err error) int {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.Canceled) {
		return endTimedOut
	}
	return endBrokenOff
}

// check holds that no sound caller's connection ended without an answer, that every machine went on to serve its sound callers amid the
// floods, and that all are served after them.
func (r *floodCallers) check() {
	for _, m := range r.fleet.machines {
		ends := r.byMachine[m]
		if count := ends.count(endBrokenOff); count > 0 {
			r.fleet.reportViolation("%s broke off %d sound requests amid the floods", m.name, count)
		}
		if share := ends.share(); share < minSoundShare {
			r.fleet.reportViolation("%s served %.2f of the sound requests amid the floods, %v", m.name, share, ends)
		}
	}
	if count := r.after.count(endBrokenOff); count > 0 || r.after.share() < minSoundShare {
		r.fleet.reportViolation("after the floods sound requests ended with %v", &r.after)
	}
}

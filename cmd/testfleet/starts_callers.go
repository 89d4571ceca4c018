package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// callerPause is the time between two requests of one caller.
	callerPause = 20 * time.Millisecond
	// startsWait is how long a caller says that it waits.
	startsWait = time.Second
	// platformFrontPort is where a machine takes callers' requests.
	platformFrontPort = 8548
)

// startsCallers use connections to every machine for as long as these are open: the process that holds them may drain meanwhile.
type startsCallers struct {
	fleet  *platformFleet
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// lock guards answers, the count of answers by status.
	lock    sync.Mutex
	answers map[int]int
}

// newStartsCallers begins to call every machine.
func newStartsCallers(ctx context.Context, fleet *platformFleet) *startsCallers {
	c := &startsCallers{fleet: fleet, answers: map[int]int{}}
	ctx, c.cancel = context.WithCancel(ctx)
	for _, m := range fleet.machines {
		c.tasks.Go(func() { c.call(ctx, m) })
	}
	return c
}

// call makes requests on one connection, and opens another one only when that has ended.
func (c *startsCallers) call(ctx context.Context, m *platformMachine) {
	client := http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for number := 0; sleep(ctx, callerPause) == nil; number++ {
		request, err := http.NewRequest(http.MethodGet, "http://"+m.at(platformFrontPort)+"/", nil)
		if err != nil {
			c.fleet.reportViolation("no request for %s: %v", m.name, err)
			return
		}
		request.Header = platformHeaders(fmt.Sprintf("%s-%d", m.name, number), startsWait)
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		c.note(m, response.StatusCode)
	}
}

// note counts an answer. No configuration has a route for it: 404 is right where the configuration is known, else 503.
func (c *startsCallers) note(m *platformMachine, status int) {
	c.lock.Lock()
	c.answers[status]++
	c.lock.Unlock()
	if status != http.StatusNotFound && status != http.StatusServiceUnavailable {
		c.fleet.reportViolation("%s answered a caller with %d", m.name, status)
	}
}

// stop ends the calls and gives how many were answered.
func (c *startsCallers) stop() int {
	c.cancel()
	c.tasks.Wait()
	c.lock.Lock()
	defer c.lock.Unlock()
	total := 0
	for _, count := range c.answers {
		total += count
	}
	return total
}

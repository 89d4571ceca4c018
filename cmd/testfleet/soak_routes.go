package main

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	// applyBound is how soon after its acknowledgement a change must be in force at every machine.
	applyBound = 2500 * time.Millisecond
	// keptRoutes is how many added routes a configuration holds; the oldest one goes with each further one.
	keptRoutes = 60
	// changePause is the longest pause between two changes, askPause that between two requests for added routes.
	changePause = 300 * time.Millisecond
	askPause    = 20 * time.Millisecond
	// addedHost is the host of the added routes.
	addedHost = "extra.example"
)

// addedRoutes are the routes that were added to the first configuration, numbered from 1, one with each change. It is safe for concurrent use.
type addedRoutes struct {
	lock sync.Mutex
	// sent is the newest that was put, acknowledgedAt when each change was acknowledged; the change of a number is on top of the one before.
	sent           int
	acknowledgedAt []time.Time
}

// next gives the number of the next route to put.
func (a *addedRoutes) next() int {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.sent++
	return a.sent
}

// acknowledge notes that the newest change was acknowledged.
func (a *addedRoutes) acknowledge() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.acknowledgedAt = append(a.acknowledgedAt, time.Now())
}

// newest gives the numbers of the newest acknowledged route and of the newest one that was put.
func (a *addedRoutes) newest() (acknowledged, sent int) {
	a.lock.Lock()
	defer a.lock.Unlock()
	return len(a.acknowledgedAt), a.sent
}

// isInForce tells whether every configuration that may be in force at an instant, the bound after its acknowledgement, has a route.
func (a *addedRoutes) isInForce(number int, at time.Time) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if number < 1 || number > len(a.acknowledgedAt) || number <= a.sent-keptRoutes {
		return false
	}
	return at.Sub(a.acknowledgedAt[number-1]) >= applyBound
}

// addedDocument is the configuration with the routes up to a number.
func addedDocument(newest int) string {
	var added strings.Builder
	for number := max(1, newest-keptRoutes+1); number <= newest; number++ {
		fmt.Fprintf(&added, "\n  {\"name\": \"extra-%d\", \"host\": %q, \"prefix\": \"/%d/\", \"repeatable\": true, \"timeout_ms\": 2000, \"targets\": [{\"service\": \"ledger\", \"weight\": 1}]},",
			number, addedHost, number)
	}
	return strings.Replace(routedDocument, `{"routes": [`, `{"routes": [`+added.String(), 1)
}

// changeInSeries adds routes, again and again, until the context ends.
func (s *soak) changeInSeries(ctx context.Context, random *rand.Rand) error {
	for ctx.Err() == nil {
		if err := s.addRoute(); err != nil {
			return err
		}
		sleep(ctx, time.Duration(random.Int63n(int64(changePause))))
	}
	return nil
}

// addRoute puts the configuration with one more route until it is acknowledged.
func (s *soak) addRoute() error {
	number := s.routes.next()
	call := soakCall{
		method:        http.MethodPut,
		path:          configurationPath,
		query:         url.Values{"base": {fmt.Sprint(number)}},
		body:          addedDocument(number),
		disturbedOdds: changeDisturbedOdds,
	}
	if _, err := s.operate(call); err != nil {
		return err
	}
	s.routes.acknowledge()
	return nil
}

// askForRoutes asks all machines in random order for added routes until the context ends, and waits for the last answers.
func (s *soak) askForRoutes(ctx context.Context, random *rand.Rand) {
	var asked sync.WaitGroup
	defer asked.Wait()
	for ctx.Err() == nil {
		newest, _ := s.routes.newest()
		number := newest - random.Intn(keptRoutes/2)
		m := s.run.fleet.machines[random.Intn(len(s.run.fleet.machines))]
		if s.routes.isInForce(number, time.Now()) {
			asked.Go(func() { s.askForRoute(m, number) })
		}
		sleep(ctx, askPause)
	}
}

// askForRoute asks a machine for an added route that must be in force. A machine may refuse or break off, but it may not deny the route.
func (s *soak) askForRoute(m *Machine, number int) {
	begun := time.Now()
	status, err := s.requestRoute(m, number)
	if err != nil {
		return
	}
	s.noteAsked(status)
	if status == http.StatusNotFound && s.routes.isInForce(number, begun) {
		s.run.platform.reportViolation("%s answers 404 for route %d, %v after the answer was due", m.name, number, begun.Sub(s.routes.dueAt(number)))
	}
}

// requestRoute sends a request for an added route to a machine and gives the answer's status.
func (s *soak) requestRoute(m *Machine, number int) (status int, err error) {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/%d/", m.publicAddress(proxyPort), number), nil)
	if err != nil {
		return 0, err
	}
	request.Host = addedHost
	request.Header.Set(headerAttempt, s.run.nextAttempt())
	request.Header.Set(headerWait, routedWait)
	response, err := s.run.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// dueAt is when an acknowledged route must be in force.
func (a *addedRoutes) dueAt(number int) time.Time {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.acknowledgedAt[number-1].Add(applyBound)
}

// noteAsked counts the answers to requests for added routes.
func (s *soak) noteAsked(status int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.asked[status]++
}

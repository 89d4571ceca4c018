package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazshed/internal/checker"
)

const (
	// routedHost is the host of the routes.
	routedHost = "ledger.example"
	// routedWait is how long a caller says that it waits, routedTimeout how long it does.
	routedWait    = "2000"
	routedTimeout = 4 * time.Second
	// operateLimit bounds how long an operator tries to have a call taken.
	operateLimit = 20 * time.Second
	// keySpace is the number of keys.
	keySpace = 1 << 16
	// unreached is the end of a request without an answer.
	unreached = "unreached"
)

// routedKind is a kind of request of the load.
type routedKind int

// The kinds of requests: plain, keyed, and one that must not be repeated.
const (
	routedBalance routedKind = iota
	routedAccount
	routedPayment
	routedKinds
)

// routedRun is the load on a fleet of routes, with its operator.
type routedRun struct {
	fleet    *Fleet
	platform *routedPlatform
	client   *http.Client

	// lock guards what follows: ends counts the requests by status, slowest is the longest that was served.
	lock    sync.Mutex
	serial  int
	ends    map[string]int
	slowest time.Duration
}

func newRoutedRun(fleet *Fleet, platform *routedPlatform) *routedRun {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}
	return &routedRun{
		fleet:    fleet,
		platform: platform,
		client:   &http.Client{Timeout: routedTimeout, Transport: transport},
		ends:     map[string]int{},
	}
}

// routedStatus is what is read of a machine's status.
type routedStatus struct {
	Leader  string            `json:"leader"`
	Nodes   []json.RawMessage `json:"nodes"`
	Changes []json.RawMessage `json:"changes"`
}

// status gives the status of the first machine that answers.
func (r *routedRun) status() (routedStatus, error) {
	for _, m := range r.fleet.machines {
		answer, err := r.fleet.adminCall(m, http.MethodGet, "/v1/status", nil, nil)
		if err == nil && answer.status == http.StatusOK {
			var status routedStatus
			return status, json.Unmarshal(answer.body, &status)
		}
	}
	return routedStatus{}, errors.New("no admin address answers a status request")
}

// operate puts an operator's call to the machines in turn until one takes it.
func (r *routedRun) operate(method, path string, query url.Values, body string) error {
	last := ""
	for deadline := time.Now().Add(operateLimit); time.Now().Before(deadline); time.Sleep(routedPoll) {
		for _, m := range r.fleet.machines {
			answer, err := r.fleet.adminCall(m, method, path, query, []byte(body))
			if err == nil && answer.status == http.StatusOK {
				return nil
			}
			last = fmt.Sprintf("status %d, %s, %v", answer.status, answer.body, err)
			if answer.status == http.StatusUnprocessableEntity {
				return errors.New(last)
			}
		}
	}
	return fmt.Errorf("%s %s was not taken within %v: %s", method, path, operateLimit, last)
}

// awaitSettled waits until every machine is known and every key has an owner.
func (r *routedRun) awaitSettled() error {
	for deadline := time.Now().Add(settledLimit); ; time.Sleep(routedPoll) {
		status, err := r.status()
		leased := r.platform.countLeased()
		if err == nil && leased == keySpace && len(status.Nodes) == len(r.fleet.machines) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not settled within %v: %d keys have an owner, %d machines are known (%w); see the logs in %s",
				settledLimit, leased, len(status.Nodes), err, r.fleet.folder)
		}
	}
}

// load sends requests at a rate to random machines until the context ends, and waits for the last ones.
func (r *routedRun) load(ctx context.Context, rate int, random *rand.Rand) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m := r.fleet.machines[random.Intn(len(r.fleet.machines))]
			kind, key := routedKind(random.Intn(int(routedKinds))), random.Intn(keySpace)
			group.Go(func() { r.request(kind, m.publicAddress(proxyPort), key) })
		}
	}
}

func (r *routedRun) nextAttempt() string {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.serial++
	return fmt.Sprintf("routed-%08d", r.serial)
}

// request sends one request to a proxy and checks its answer.
func (r *routedRun) request(kind routedKind, proxyAddress string, key int) {
	attempt := r.nextAttempt()
	method, path := http.MethodGet, "/balances/7"
	switch kind {
	case routedAccount:
		path = "/accounts/7"
	case routedPayment:
		method, path = http.MethodPost, "/pay/7"
		r.platform.forbidRepeats(attempt)
	}
	request, err := http.NewRequest(method, "http://"+proxyAddress+path, nil)
	if err != nil {
		return
	}
	request.Host = routedHost
	request.Header.Set(headerAttempt, attempt)
	request.Header.Set(headerWait, routedWait)
	request.Header.Set(headerKey, strconv.Itoa(key))
	begun := time.Now()
	end := unreached
	if response, err := r.client.Do(request); err == nil {
		end = strconv.Itoa(response.StatusCode)
		r.checkAnswer(response, path, attempt)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ends[end]++
	if end == strconv.Itoa(http.StatusOK) {
		r.slowest = max(r.slowest, time.Since(begun))
	}
}

// checkAnswer checks that a success is whole and belongs to its request, and that a refusal says when to come back.
func (r *routedRun) checkAnswer(response *http.Response, path, attempt string) {
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	isOwn := strings.HasSuffix(string(text), " "+path+" "+attempt)
	isComplete := err == nil && response.Header.Get(headerDigest) == checker.Digest(text)
	switch response.StatusCode {
	case http.StatusOK:
		if !isOwn || !isComplete {
			r.platform.reportViolation("%s got an answer that is not its own or not whole: %q, %v", attempt, text, err)
		}
	case http.StatusServiceUnavailable:
		if response.Header.Get("Retry-After") == "" {
			r.platform.reportViolation("%s was refused without Retry-After", attempt)
		}
	}
}

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
)

type routedRun struct {
	fleet    *Fleet
	platform *routedPlatform
	client   *http.Client
	lock     sync.Mutex
	serial   int
	ends     map[string]int
	slowest  time.Duration
}

func (r *routedRun) status() (map[string]any, error) {
	for _, m := range r.fleet.machines {
		status, _, text, err := r.fleet.adminCall(m, http.MethodGet, "/v1/status", nil, nil)
		if err == nil && status == http.StatusOK {
			var s map[string]any
			return s, json.Unmarshal(text, &s)
		}
	}
	return nil, errors.New("no door answers a status query")
}

func (r *routedRun) request(kind int, proxy string, key int) {
	r.lock.Lock()
	r.serial++
	id := fmt.Sprintf("routed-%08d", r.serial)
	r.lock.Unlock()
	method, path := http.MethodGet, "/balances/7"
	switch kind {
	case 1:
		path = "/accounts/7"
	case 2:
		method, path = http.MethodPost, "/pay/7"
		r.platform.lock.Lock()
		r.platform.notRepeatable[id] = true
		r.platform.lock.Unlock()
	}
	request, err := http.NewRequest(method, "http://"+proxy+path, nil)
	if err != nil {
		return
	}
	request.Host = "ledger.example"
	request.Header.Set("Topazshed-Attempt", id)
	request.Header.Set("Topazshed-Wait", "2000")
	request.Header.Set("Topazshed-Key", strconv.Itoa(key))
	begun := time.Now()
	end := "unreached"
	response, err := r.client.Do(request)
	if err == nil {
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		end = strconv.Itoa(response.StatusCode)
		isWhole := err == nil && strings.HasSuffix(string(text), " "+path+" "+id) && response.Header.Get("Content-Digest") == seal(text)
		if response.StatusCode == http.StatusOK && !isWhole {
			r.platform.lock.Lock()
			r.platform.addViolation("%s got an answer that is not its own or not whole: %q, %v", id, text, err)
			r.platform.lock.Unlock()
		}
		if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
			r.platform.lock.Lock()
			r.platform.addViolation("%s was refused without Retry-After", id)
			r.platform.lock.Unlock()
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ends[end]++
	if end == "200" {
		r.slowest = max(r.slowest, time.Since(begun))
	}
}

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
			kind, key := random.Intn(3), random.Intn(1<<16)
			group.Go(func() { r.request(kind, m.publicAddress(7002), key) })
		}
	}
}

// order puts an operator's call to the doors in turn until one takes it.
func (r *routedRun) operate(method, path string, query url.Values, body string) error {
	last := ""
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, m := range r.fleet.machines {
			status, _, text, err := r.fleet.adminCall(m, method, path, query, []byte(body))
			if err == nil && status == http.StatusOK {
				return nil
			}
			if last = fmt.Sprintf("status %d, %s, %v", status, text, err); status == http.StatusUnprocessableEntity {
				return errors.New(last)
			}
		}
	}
	return fmt.Errorf("%s %s was not taken within 20 s: %s", method, path, last)
}

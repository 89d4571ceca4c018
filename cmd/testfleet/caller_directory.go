package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"topazshed/internal/checker"
)

// match is a directory's answer.
type match struct {
	Proxies []struct {
		Address string
		Zone    string `json:"district"`
		Region  string
	} `json:"proxies"`
	Origin  string `json:"origin"`
	Version uint64 `json:"version"`
	LiveMs  int64  `json:"live_ms"`
	at      time.Time
}

// isLive tells whether the answer may still be used.
func (m *match) isLive() bool {
	return time.Since(m.at) < time.Duration(m.LiveMs)*time.Millisecond
}

// forget drops the directory's answer, so that the next sending asks again.
func (c *Callers) forget(request callRequest) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.matches, request.matchKey())
}

// known gives a live directory answer that the caller has, or nil.
func (c *Callers) known(request callRequest) *match {
	c.lock.Lock()
	defer c.lock.Unlock()
	if m := c.matches[request.matchKey()]; m != nil && m.isLive() {
		return m
	}
	return nil
}

// match gives a directory's answer, or nil and how long to wait before asking again.
func (c *Callers) match(request callRequest, left time.Duration) (*match, time.Duration) {
	if known := c.known(request); known != nil {
		return known, 0
	}
	for range matchTries {
		found, header, err := c.askDirectory(request, min(left, matchTimeout))
		if err != nil {
			continue
		}
		if found != nil {
			c.lock.Lock()
			c.matches[request.matchKey()] = found
			c.lock.Unlock()
			return found, 0
		}
		if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
			return nil, time.Duration(seconds) * time.Second
		}
	}
	return nil, unmatchedPause
}

// pickDirectory draws a machine of the caller's region, or at times of any.
func (c *Callers) pickDirectory(zone int) *Machine {
	var near []*Machine
	for _, m := range c.fleet.machines {
		if m.place.region == zonePlaces[zone].region {
			near = append(near, m)
		}
	}
	machine := near[c.draw(len(near))]
	if c.draw(farShare) == 0 {
		machine = c.fleet.machines[c.draw(len(c.fleet.machines))]
	}
	return machine
}

// askDirectory asks one directory and notes its answer; the match is nil if it named no proxy.
func (c *Callers) askDirectory(request callRequest, timeout time.Duration) (*match, http.Header, error) {
	at := c.history.Now()
	machine := c.pickDirectory(request.zone)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	query := url.Values{
		"service": {request.kind.Service},
		"path":    {request.kind.Path},
		"region":  {zonePlaces[request.zone].region},
	}
	address := "http://" + machine.publicAddress(adminPort) + "/v1/match?" + query.Encode()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, nil, err
	}
	response, err := c.clients[request.zone].Do(httpRequest)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, err
	}
	seen := checker.MatchSeen{
		At:      at,
		Admin:   machine.name,
		Service: request.kind.Service,
		Path:    request.kind.Path,
		Status:  response.StatusCode,
		Boot:    machine.bootCount(),
	}
	found := &match{at: time.Now()}
	if response.StatusCode != http.StatusOK || json.Unmarshal(text, found) != nil || len(found.Proxies) == 0 {
		found = nil
	} else {
		seen.Version, seen.Zone = found.Version, found.Proxies[0].Zone
	}
	checker.Record(c.history, &c.history.Matches, seen)
	return found, response.Header, nil
}

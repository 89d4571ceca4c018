package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazshed/internal/checker"
)

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

// Callers make the load.
type Callers struct {
	history    *checker.History
	fleet      *Fleet
	deployment Deployment
	clients    []*http.Client
	lock       sync.Mutex
	matches    map[string]*match
	random     *rand.Rand
	serial     int
	hotKey     bool
	group      sync.WaitGroup
}

func newCallers(h *checker.History, f *Fleet, d Deployment, seed int64) *Callers {
	c := &Callers{history: h, fleet: f, deployment: d, matches: map[string]*match{}, random: rand.New(rand.NewSource(seed))}
	for zone := range zonePlaces {
		dialer := &net.Dialer{Timeout: 700 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("127.30.%d.1", zone))}}
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 3 * time.Second}})
	}
	return c
}

func (c *Callers) draw(n int) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.random.Intn(n)
}

func (c *Callers) run(ctx context.Context, rate int) {
	pause := time.Second / time.Duration(rate)
	next := time.Now()
	for ctx.Err() == nil {
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		next = next.Add(pause)
		c.group.Go(c.call)
	}
	c.group.Wait()
}

func (c *Callers) call() {
	pick := c.draw(100)
	var kind CallKind
	for _, kind = range c.deployment.Kinds {
		if pick -= kind.Share; pick < 0 {
			break
		}
	}
	c.lock.Lock()
	c.serial++
	attempt := fmt.Sprintf("caller-%08d", c.serial)
	c.lock.Unlock()
	path := kind.Path
	if kind.Tail {
		path += fmt.Sprintf("/%d", c.draw(5000))
	}
	key := ""
	if kind.Keys > 0 {
		key = fmt.Sprintf("terminal-%d", c.draw(kind.Keys))
		if c.hotKey && c.draw(10) < 6 {
			key = "terminal-hot"
		}
	}
	c.Do(kind, path, key, attempt, c.draw(len(c.clients)), 5*time.Second)
}

// Do carries one attempt to its end as an honest caller would.
func (c *Callers) Do(kind CallKind, path, key, attempt string, zone int, wait time.Duration) *checker.Call {
	h := c.history
	call := &checker.Call{At: h.Now(), Service: kind.Service, Path: path, Attempt: attempt, IsUnsafe: kind.Method != "GET"}
	until := time.Now().Add(wait)
	isDoubtful := false
	var origin string
	for call.Sends < 40 {
		left := time.Until(until)
		if left <= 0 {
			break
		}
		m, later := c.match(kind, zone, left)
		if m == nil {
			if time.Until(until) < later {
				break
			}
			time.Sleep(later)
			continue
		}
		_ = origin
		origin = m.Origin
		call.Sends++
		age := time.Duration(0)
		if isDoubtful && call.IsUnsafe {
			age = h.Now() - call.At
		}
		reply := c.send(kind, path, key, attempt, zone, m, left, age, call.Sends)
		checker.Record(h, &h.Replies, reply)
		call.LastReason = reply.Kind + " " + reply.Broken
		switch {
		case reply.Result == "sealed":
			call.Result = "sealed"
		case reply.Result == "declined":
			if reply.Status < 500 && reply.Status != 409 {
				call.Result = "declined"
				break
			}
			c.forget(kind, zone)
			if time.Until(until) > reply.RetryAfter+50*time.Millisecond {
				time.Sleep(reply.RetryAfter + time.Duration(c.draw(200))*time.Millisecond)
				continue
			}
			call.Result = "declined"
		default:
			c.forget(kind, zone)
			isDoubtful = true
			if call.IsUnsafe && reply.Result == "doubtful" {
				call.Result = "doubtful"
				break
			}
			time.Sleep(time.Duration(100+c.draw(100)*min(call.Sends, 6)) * time.Millisecond)
			continue
		}
		break
	}
	if call.Result == "" {
		call.Result = "none"
	}
	if isDoubtful && call.Result == "declined" {
		call.Result = "doubtful"
	}
	call.End = h.Now()
	checker.Record(h, &h.Calls, call)
	return call
}

func (c *Callers) forget(kind CallKind, zone int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.matches, fmt.Sprintf("%d/%s%s", zone, kind.Service, kind.Path))
}

func (c *Callers) match(kind CallKind, zone int, left time.Duration) (*match, time.Duration) {
	name := fmt.Sprintf("%d/%s%s", zone, kind.Service, kind.Path)
	c.lock.Lock()
	if m := c.matches[name]; m != nil && time.Since(m.at) < time.Duration(m.LiveMs)*time.Millisecond {
		c.lock.Unlock()
		return m, 0
	}
	c.lock.Unlock()
	for range 4 {
		at := c.history.Now()
		var options []*Machine
		for _, m := range c.fleet.machines {
			if m.place.region == zonePlaces[zone].region {
				options = append(options, m)
			}
		}
		machine := options[c.draw(len(options))]
		if c.draw(4) == 0 {
			machine = c.fleet.machines[c.draw(len(c.fleet.machines))]
		}
		ctx, cancel := context.WithTimeout(context.Background(), min(left, time.Second))
		address := "http://" + machine.publicAddress(7003) + "/v1/match?" + url.Values{"service": {kind.Service}, "path": {kind.Path}, "region": {zonePlaces[zone].region}}.Encode()
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
		response, err := c.clients[zone].Do(request)
		if err != nil {
			cancel()
			continue
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		cancel()
		if err != nil {
			continue
		}
		m := &match{at: time.Now()}
		seen := checker.MatchSeen{At: at, Admin: machine.name, Service: kind.Service, Path: kind.Path, Status: response.StatusCode, Boot: machine.boot}
		if response.StatusCode == http.StatusOK && json.Unmarshal(text, m) == nil && len(m.Proxies) > 0 {
			seen.Version, seen.Zone = m.Version, m.Proxies[0].Zone
			checker.Record(c.history, &c.history.Matches, seen)
			c.lock.Lock()
			c.matches[name] = m
			c.lock.Unlock()
			return m, 0
		}
		checker.Record(c.history, &c.history.Matches, seen)
		if later, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
			return nil, time.Duration(later) * time.Second
		}
	}
	return nil, 300 * time.Millisecond
}

func (c *Callers) send(kind CallKind, path, key, attempt string, zone int, m *match, left, age time.Duration, serial int) *checker.Reply {
	proxy := m.Proxies[c.draw(len(m.Proxies))]
	r := &checker.Reply{At: c.history.Now(), Service: kind.Service, Path: path, Method: kind.Method, Attempt: attempt, Send: fmt.Sprintf("%s/%d", attempt, serial), Zone: proxy.Zone, Proxy: proxy.Address, IsUnsafe: kind.Method != "GET", IsProper: true}
	limit := left
	if !r.IsUnsafe {
		limit = min(left, 2*time.Second)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var body io.Reader
	if kind.Method == "POST" {
		body = strings.NewReader(fmt.Sprintf(`{"attempt":%q,"amount":%d}`, attempt, len(attempt)))
	}
	request, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+proxy.Address+"/"+kind.Service+path, body)
	if err != nil {
		r.Broken = err.Error()
		return r
	}
	request.Header.Set("Topazshed-Attempt", attempt)
	request.Header.Set("Topazshed-Wait", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	request.Header.Set("Topazshed-Origin", m.Origin)
	request.Header.Set("X-Send", r.Send)
	if age > 0 {
		request.Header.Set("Topazshed-Age", strconv.FormatInt(age.Milliseconds()+1, 10))
	}
	if key != "" {
		request.Header.Set("Topazshed-Key", key)
	}
	response, err := c.clients[zone].Do(request)
	if err != nil {
		var op *net.OpError
		r.Broken = "lost"
		if errors.As(err, &op) && op.Op == "dial" {
			r.Broken = "dial"
		}
		if ctx.Err() != nil {
			r.Broken = "late"
		}
		r.End = c.history.Now()
		return r
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	r.End = c.history.Now()
	if err != nil {
		r.Broken = "cut"
		return r
	}
	r.Status = response.StatusCode
	r.Result = response.Header.Get("Topazshed-Outcome")
	if r.Result == "sealed" {
		r.Digest = seal(text)
		var told struct{ Attempt string }
		if response.Header.Get("Topazshed-Attempt") != attempt || response.StatusCode == 200 && (json.Unmarshal(text, &told) != nil || told.Attempt != attempt) {
			r.Digest = "not for this attempt"
		}
	} else {
		var told struct{ Kind string }
		json.Unmarshal(text, &told)
		r.Kind = told.Kind
	}
	if later, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(later) * time.Second
	}
	return r
}

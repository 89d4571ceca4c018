package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// class is one kind of request.
type class struct {
	name, host, prefix, method string
	deadline                   time.Duration
	perSecond                  float64
	sharded                    bool
	body                       string
}

// caller sends the requests of one zone's clients. It asks the directory where to go, near nodes first (PROTOCOL.md, "How clients
// arrive"), and comes back once after a 429 or 503.
type caller struct {
	fleet  *fleet
	zone   string
	client *http.Client
	lock   sync.Mutex
	known  []string
}

func newCaller(f *fleet, zone string) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{fleet: f, zone: zone, client: &http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// resolve keeps the addresses new until ctx ends.
func (c *caller) resolve(ctx context.Context, host string) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for _, m := range c.near() {
			response, err := client.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", m.at(directoryPort), host, regionOf(c.zone), c.zone))
			if err != nil {
				continue
			}
			var found struct {
				Addresses []string `json:"addresses"`
			}
			err = json.NewDecoder(response.Body).Decode(&found)
			response.Body.Close()
			if err == nil && len(found.Addresses) > 0 {
				c.lock.Lock()
				c.known = found.Addresses
				c.lock.Unlock()
				break
			}
		}
		time.Sleep(2 * time.Second)
	}
}

// near are up to three machines, those of the caller's zone first.
func (c *caller) near() []*machine {
	var near, far []*machine
	for _, m := range c.fleet.machines {
		if m.zone == c.zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)[:3]
}

// load sends requests of a class until ctx ends.
func (c *caller) load(ctx context.Context, k class, key func() int) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / k.perSecond * float64(time.Second)))
		go c.request(k, key)
	}
}

func (c *caller) request(k class, key func() int) {
	until := time.Now().Add(k.deadline)
	header := http.Header{}
	if k.sharded {
		header.Set("Shard-Key", strconv.Itoa(key()))
	}
	for try := range 2 {
		retryAfter := c.try(k, header.Clone(), until)
		if retryAfter == 0 || try == 1 || retryAfter > time.Until(until)/3 {
			return
		}
		time.Sleep(retryAfter)
	}
}

// try sends a request once; after a refusal it tells when to come back.
func (c *caller) try(k class, header http.Header, until time.Time) (retryAfter time.Duration) {
	c.lock.Lock()
	known := c.known
	c.lock.Unlock()
	if len(known) == 0 {
		return 0
	}
	id := fmt.Sprintf("%016x", c.fleet.random())
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	var body io.Reader
	if k.body != "" {
		body = strings.NewReader(k.body)
	}
	request, err := http.NewRequestWithContext(ctx, k.method, "http://"+known[rand.IntN(len(known))]+k.prefix+"2f", body)
	if err != nil {
		return 0
	}
	request.Host = k.host
	request.Header = header
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Remaining", strconv.Itoa(int(time.Until(until).Milliseconds())))
	c.fleet.lock.Lock()
	c.fleet.sentAt[id] = time.Now()
	c.fleet.lock.Unlock()
	c.fleet.note("sent %s %s to %s", id, k.name, request.URL.Host)
	response, err := c.client.Do(request)
	what := "no answer"
	if err == nil {
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		what = strconv.Itoa(response.StatusCode)
		if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
			seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	c.fleet.note("answered %s %s", id, what)
	c.fleet.lock.Lock()
	c.fleet.answers[k.name+" "+what]++
	c.fleet.lock.Unlock()
	return retryAfter
}

package main

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"topazshed/internal/checker"
)

// Headers of the product's wire.
const (
	headerAttempt  = "Topazshed-Attempt"
	headerWait     = "Topazshed-Wait"
	headerOrigin   = "Topazshed-Origin"
	headerAge      = "Topazshed-Age"
	headerKey      = "Topazshed-Key"
	headerService  = "Topazshed-Service"
	headerInstance = "Topazshed-Instance"
	headerSlot     = "Topazshed-Slot"
	headerVersion  = "Topazshed-Version"
	headerNotRun   = "Topazshed-Not-Run"
	headerHandover = "Topazshed-Handover"
	headerDigest   = "Content-Digest"
	// headerSend names one sending, so that the checker can tell copies of it; the product passes it on.
	headerSend = "X-Send"
)

const (
	// callWait is how long a caller waits in all.
	callWait = 5 * time.Second
	// matchTries is how many directories a caller asks at once in turn, matchTimeout how long it waits for each, and
	// unmatchedPause how long it waits when none answered.
	matchTries     = 4
	matchTimeout   = time.Second
	unmatchedPause = 300 * time.Millisecond
	// pathTails is the number of different paths of a kind with tails.
	pathTails = 5000
	// hotShare of ten keyed calls are for hotKey while a key is hot.
	hotShare = 6
	hotKey   = "terminal-hot"
	// farShare is how seldom a caller asks a directory of any region instead of its own: one time in farShare.
	farShare = 4
)

// callRequest is what a caller wants. The zone, by index, is where the caller is.
type callRequest struct {
	kind    CallKind
	path    string
	key     string
	attempt string
	zone    int
	wait    time.Duration
}

// matchKey names the directory answers that the request can use.
func (r *callRequest) matchKey() string {
	return fmt.Sprintf("%d/%s%s", r.zone, r.kind.Service, r.kind.Path)
}

// Callers make the load. They are safe for concurrent use.
type Callers struct {
	history    *checker.History
	fleet      *Fleet
	deployment Deployment
	// clients are one HTTP client for each zone.
	clients []*http.Client
	group   sync.WaitGroup

	// lock guards what follows.
	lock     sync.Mutex
	matches  map[string]*match
	random   *rand.Rand
	serial   int
	isKeyHot bool
}

func newCallers(h *checker.History, f *Fleet, d Deployment, seed int64) *Callers {
	c := &Callers{
		history:    h,
		fleet:      f,
		deployment: d,
		matches:    map[string]*match{},
		random:     rand.New(rand.NewSource(seed)),
	}
	for zone := range zonePlaces {
		c.clients = append(c.clients, newCallerClient(zone))
	}
	return c
}

// newCallerClient makes the HTTP client of a zone's callers, whose address tells relays where they are.
func newCallerClient(zone int) *http.Client {
	local := net.ParseIP(fmt.Sprintf("127.%d.%d.1", callerNet, zone))
	dialer := &net.Dialer{Timeout: 700 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: local}}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     3 * time.Second,
	}}
}

// draw draws a number below n.
func (c *Callers) draw(n int) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.random.Intn(n)
}

// setKeyHot makes one key draw most of the keyed calls, or ends that.
func (c *Callers) setKeyHot(isHot bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.isKeyHot = isHot
}

// run makes calls at a rate, in calls a second, until the context ends, and waits for the last ones.
func (c *Callers) run(ctx context.Context, rate int) {
	pause := time.Second / time.Duration(rate)
	next := time.Now()
	for ctx.Err() == nil {
		time.Sleep(time.Until(next))
		next = next.Add(pause)
		c.group.Go(func() { c.Do(c.drawCall()) })
	}
	c.group.Wait()
}

// drawCall draws one call of the deployment's mix.
func (c *Callers) drawCall() callRequest {
	share := c.draw(100)
	var kind CallKind
	for _, kind = range c.deployment.Kinds {
		if share -= kind.Share; share < 0 {
			break
		}
	}
	request := callRequest{kind: kind, path: kind.Path, attempt: c.nextAttempt(), wait: callWait}
	if kind.HasTail {
		request.path += fmt.Sprintf("/%d", c.draw(pathTails))
	}
	if kind.Keys > 0 {
		request.key = c.drawKey(kind.Keys)
	}
	request.zone = c.draw(len(c.clients))
	return request
}

func (c *Callers) nextAttempt() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.serial++
	return fmt.Sprintf("caller-%08d", c.serial)
}

func (c *Callers) drawKey(keys int) string {
	c.lock.Lock()
	defer c.lock.Unlock()
	key := fmt.Sprintf("terminal-%d", c.random.Intn(keys))
	if c.isKeyHot && c.random.Intn(10) < hotShare {
		key = hotKey
	}
	return key
}

// Do carries one attempt id to its end as an honest caller would, and notes the call in the history.
func (c *Callers) Do(request callRequest) *checker.Call {
	call := &checker.Call{
		At:       c.history.Now(),
		Service:  request.kind.Service,
		Path:     request.path,
		Attempt:  request.attempt,
		IsUnsafe: request.kind.isUnsafe(),
	}
	call.Result = c.sendUntilFinal(request, call)
	call.End = c.history.Now()
	checker.Record(c.history, &c.history.Calls, call)
	return call
}

// sendUntilFinal sends a request until a result is final or the caller's time is over. A refusal says nothing about an
// earlier sending that may have run.
func (c *Callers) sendUntilFinal(request callRequest, call *checker.Call) string {
	deadline := time.Now().Add(request.wait)
	isAmbiguous := false
	for call.Sends < checker.MaxSends {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		found, retryAfter := c.match(request, left)
		if found == nil {
			if time.Until(deadline) < retryAfter {
				break
			}
			time.Sleep(retryAfter)
			continue
		}
		call.Sends++
		s := sending{request: request, match: found, left: left, serial: call.Sends}
		if isAmbiguous && call.IsUnsafe {
			s.age = c.history.Now() - call.At
		}
		reply := c.send(s)
		checker.Record(c.history, &c.history.Replies, reply)
		call.LastReason = reply.Kind + " " + reply.Broken
		if reply.Result != checker.ResultSealed {
			c.forget(request)
		}
		switch checker.NextStep(reply, time.Until(deadline)) {
		case checker.StepEnd:
			if reply.Result == checker.ResultDeclined && isAmbiguous {
				return checker.ResultDoubtful
			}
			return reply.Result
		case checker.StepWait:
			time.Sleep(checker.RetryPause(reply, c.draw))
		case checker.StepBackOff:
			isAmbiguous = true
			time.Sleep(checker.Backoff(call.Sends, c.draw))
		}
	}
	return checker.ResultNone
}

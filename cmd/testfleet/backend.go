package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazshed/internal/checker"
)

// Mode is a stand-in back end's present fault.
type Mode int

// The modes of a stand-in back end; all but the first run the request and then answer it badly, late or not at all.
const (
	modeGood Mode = iota
	modeLose
	modeGarbage
	modeWrongSeal
	modeTruncate
	modeSlow
	modeOversize
)

const (
	// backendWorkers is how many requests a back end works on at once; others wait.
	backendWorkers = 6
	// coldSlowdown is how many times as long a back end works while it warms up.
	coldSlowdown = 6
	// slowSlowdown is how many times as long a back end works in modeSlow.
	slowSlowdown = 20
	// A request takes minWork to minWork+workSpread milliseconds.
	minWork, workSpread = 8, 15
	// maxPadding bounds the padding of an answer, oversizeBytes is the size of one that is too large.
	maxPadding    = 400
	oversizeBytes = 5 << 20
	// listenTries and listenPause bound how often a back end tries to listen at an address that was in use.
	listenTries = 50
	listenPause = 20 * time.Millisecond
)

// Backend is a stand-in for a plain web service.
type Backend struct {
	platform *Platform
	service  string
	instance string
	zone     string
	address  string
	isKeyed  bool
	// isCold tells that the back end came while the fleet ran, so that it warms up.
	isCold bool
	// state is what the list shows; the platform's lock guards it.
	state string

	lock     sync.Mutex
	mode     Mode
	started  time.Time
	server   *http.Server
	listener net.Listener
	workers  chan struct{}
}

// start listens at the back end's address.
func (b *Backend) start() error {
	listener, err := listenSoon(b.address)
	if err != nil {
		return err
	}
	b.listener = listener
	b.started = time.Now()
	b.workers = make(chan struct{}, backendWorkers)
	b.server = &http.Server{Handler: b}
	go b.server.Serve(listener)
	return nil
}

// listenSoon listens at an address that may be in use for a moment.
func listenSoon(address string) (net.Listener, error) {
	var listener net.Listener
	var err error
	for range listenTries {
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(listenPause)
	}
	return nil, err
}

func (b *Backend) setMode(mode Mode) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.mode = mode
}

func (b *Backend) presentMode() Mode {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.mode
}

// crash ends the back end in mid-work.
func (b *Backend) crash() {
	b.listener.Close()
	b.server.Close()
}

// ServeHTTP answers an identity check, or notes a request in the history, works on it and answers it.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/identity" {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]string{"service": b.service, "instance": b.instance})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	mode := b.presentMode()
	arrival := b.recordArrival(r)
	if r.Header.Get(headerService) != b.service || r.Header.Get(headerInstance) != b.instance {
		http.Error(w, "not me", http.StatusMisdirectedRequest)
		return
	}
	if b.isKeyed && !b.holdsSlot(r.Header.Get(headerSlot)) {
		b.answer(w, arrival, http.StatusConflict, []byte(`{"error":"key is not held here"}`), modeGood)
		return
	}
	deadline := time.Now().Add(callerWait(r))
	b.workers <- struct{}{}
	if b.isKeyed && time.Now().After(deadline) {
		<-b.workers
		b.answer(w, arrival, http.StatusConflict, []byte(`{"error":"key is held no longer"}`), modeGood)
		return
	}
	span := b.drawSpan(mode)
	if b.isKeyed {
		span = min(span, time.Until(deadline))
	}
	time.Sleep(span)
	<-b.workers
	b.recordRun(arrival)
	b.answer(w, arrival, http.StatusOK, b.text(r, arrival, len(body)), mode)
}

// recordArrival notes a request in the history.
func (b *Backend) recordArrival(r *http.Request) *checker.Arrival {
	h := b.platform.history
	arrival := &checker.Arrival{
		At:       h.Now(),
		Service:  b.service,
		Instance: b.instance,
		Path:     r.URL.Path,
		Method:   r.Method,
		Attempt:  r.Header.Get(headerAttempt),
		Send:     r.Header.Get(headerSend),
		Key:      r.Header.Get(headerKey),
		IsUnsafe: r.Method != http.MethodGet && r.Method != http.MethodHead,
	}
	checker.Record(h, &h.Arrivals, arrival)
	return arrival
}

// recordRun notes that a request ran.
func (b *Backend) recordRun(arrival *checker.Arrival) {
	h := b.platform.history
	h.Lock()
	defer h.Unlock()
	arrival.IsRun, arrival.End = true, h.Now()
}

// holdsSlot tells whether this back end may serve a slot, given as NUMBER;FENCE.
func (b *Backend) holdsSlot(text string) bool {
	slot, fenceText, _ := strings.Cut(text, ";")
	fence, err := strconv.ParseUint(fenceText, 10, 64)
	return err == nil && b.platform.admitSlot(b.service, slot, fence, b.instance)
}

// callerWait gives how long a request's caller still waits.
func callerWait(r *http.Request) time.Duration {
	left, err := strconv.Atoi(r.Header.Get(headerWait))
	if err != nil {
		return 0
	}
	return time.Duration(left) * time.Millisecond
}

// drawSpan draws how long the back end works on a request.
func (b *Backend) drawSpan(mode Mode) time.Duration {
	span := time.Duration(minWork+b.platform.draw(workSpread)) * time.Millisecond
	if b.isCold && time.Since(b.started) < checker.ColdPeriod {
		span *= coldSlowdown
	}
	if mode == modeSlow {
		span *= slowSlowdown
	}
	return span
}

// text makes the body of a good answer.
func (b *Backend) text(r *http.Request, arrival *checker.Arrival, bytes int) []byte {
	padding := strings.Repeat("x", b.platform.draw(maxPadding))
	return fmt.Appendf(nil, `{"service":%q,"path":%q,"attempt":%q,"query":%q,"bytes":%d,"pad":%q}`,
		b.service, r.URL.Path, arrival.Attempt, r.URL.RawQuery, bytes, padding)
}

// answer writes an answer, spoilt as the mode says, and notes the digest of the good one in the history.
func (b *Backend) answer(w http.ResponseWriter, arrival *checker.Arrival, status int, text []byte, mode Mode) {
	digest := checker.Digest(text)
	h := b.platform.history
	h.Lock()
	arrival.Digest = digest
	h.Unlock()
	w.Header().Set(headerAttempt, arrival.Attempt)
	w.Header().Set(headerService, b.service)
	w.Header().Set(headerInstance, b.instance)
	w.Header().Set(headerDigest, digest)
	w.Header().Set("Content-Type", "application/json")
	switch mode {
	case modeLose:
		panic(http.ErrAbortHandler)
	case modeGarbage:
		text = []byte(strings.Repeat("?#", 60))
	case modeWrongSeal:
		w.Header().Set(headerAttempt, "someone-elses-attempt")
	case modeTruncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case modeOversize:
		text = make([]byte, oversizeBytes)
		w.Header().Set(headerDigest, checker.Digest(text))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	w.Write(text)
}

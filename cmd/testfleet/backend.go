package main

import (
	"crypto/sha256"
	"encoding/base64"
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

const (
	modeGood Mode = iota
	modeLose
	modeGarbage
	modeWrongSeal
	modeTruncate
	modeSlow
	modeOversize
)

// Backend is a stand-in for a plain web service.
type Backend struct {
	platform *Platform
	service  string
	instance string
	zone     string
	address  string
	state    string
	keyed    bool
	lock     sync.Mutex
	mode     Mode
	born     time.Time
	isCold   bool
	server   *http.Server
	listener net.Listener
	work     chan bool
	slots    map[string]uint64
}

func (b *Backend) start() error {
	var listener net.Listener
	var err error
	for range 50 {
		listener, err = net.Listen("tcp", b.address)
		if err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	b.listener = listener
	b.born = time.Now()
	b.work = make(chan bool, 6)
	b.server = &http.Server{Handler: b}
	go b.server.Serve(listener)
	return nil
}

func (b *Backend) setMode(mode Mode) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.mode = mode
}

func seal(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

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
	b.lock.Lock()
	mode := b.mode
	b.lock.Unlock()
	h := b.platform.history
	a := &checker.Arrival{At: h.Now(), Service: b.service, Instance: b.instance, Path: r.URL.Path, Method: r.Method, Attempt: r.Header.Get("Topazshed-Attempt"),
		Send: r.Header.Get("X-Send"), Key: r.Header.Get("Topazshed-Key"), IsUnsafe: r.Method != http.MethodGet && r.Method != http.MethodHead}
	checker.Record(h, &h.Arrivals, a)
	if want := r.Header.Get("Topazshed-Service"); want != b.service || r.Header.Get("Topazshed-Instance") != b.instance {
		http.Error(w, "not me", http.StatusMisdirectedRequest)
		return
	}
	if b.keyed {
		slot, text, _ := strings.Cut(r.Header.Get("Topazshed-Slot"), ";")
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil || !b.platform.admitSlot(b.service, slot, number, b.instance) {
			b.answer(w, a, http.StatusConflict, []byte(`{"error":"key is not held here"}`), modeGood)
			return
		}
	}
	holds := time.Now().Add(callerWait(r))
	b.work <- true
	if b.keyed && time.Now().After(holds) {
		<-b.work
		b.answer(w, a, http.StatusConflict, []byte(`{"error":"key is held no longer"}`), modeGood)
		return
	}
	pause := time.Duration(8+b.platform.draw(15)) * time.Millisecond
	if b.isCold && time.Since(b.born) < 8*time.Second {
		pause *= 6
	}
	if mode == modeSlow {
		pause *= 20
	}
	if b.keyed {
		pause = min(pause, time.Until(holds))
	}
	time.Sleep(pause)
	<-b.work
	h.Lock()
	a.IsRun, a.End = true, h.Now()
	h.Unlock()
	text := []byte(fmt.Sprintf(`{"service":%q,"path":%q,"attempt":%q,"query":%q,"bytes":%d,"pad":%q}`, b.service, r.URL.Path, a.Attempt, r.URL.RawQuery, len(body), strings.Repeat("x", b.platform.draw(400))))
	b.answer(w, a, http.StatusOK, text, mode)
}

func callerWait(r *http.Request) time.Duration {
	left, err := strconv.Atoi(r.Header.Get("Topazshed-Wait"))
	if err != nil {
		return 0
	}
	return time.Duration(left) * time.Millisecond
}

func (b *Backend) answer(w http.ResponseWriter, a *checker.Arrival, status int, text []byte, mode Mode) {
	h := b.platform.history
	digest := seal(text)
	h.Lock()
	a.Digest = digest
	h.Unlock()
	w.Header().Set("Topazshed-Attempt", a.Attempt)
	w.Header().Set("Topazshed-Service", b.service)
	w.Header().Set("Topazshed-Instance", b.instance)
	w.Header().Set("Content-Digest", digest)
	w.Header().Set("Content-Type", "application/json")
	switch mode {
	case modeLose:
		panic(http.ErrAbortHandler)
	case modeGarbage:
		text = []byte(strings.Repeat("?#", 60))
	case modeWrongSeal:
		w.Header().Set("Topazshed-Attempt", "someone-elses-attempt")
	case modeTruncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case modeOversize:
		text = make([]byte, 5<<20)
		w.Header().Set("Content-Digest", seal(text))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	w.Write(text)
}

func (b *Backend) crash() {
	b.listener.Close()
	b.server.Close()
}

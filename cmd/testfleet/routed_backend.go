package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// routedBackend is a stand-in back end of a fleet that carries routes, speaking the product's own interface.
type routedBackend struct {
	platform *routedPlatform
	service  string
	instance string
	zone     string
	address  string
	isKeyed  bool
	work     chan bool
	server   *http.Server
}

type leaseCall struct {
	Service     string
	First, Last uint32
	Number      uint64
	HoldMS      int64 `json:"hold_ms"`
	Handover    string
}

func (b *routedBackend) serveLease(rw http.ResponseWriter, r *http.Request) {
	var call leaseCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || call.First > call.Last {
		http.Error(rw, "span", http.StatusBadRequest)
		return
	}
	w, now := b.platform, time.Now()
	w.lock.Lock()
	defer w.lock.Unlock()
	kept := w.leases[:0]
	for _, hold := range w.leases {
		isOverlap := hold.first <= call.Last && call.First <= hold.last
		switch {
		case hold.until.Before(now):
		case !isOverlap || hold.instance != b.instance:
			if isOverlap && r.URL.Path == "/keys/grant" {
				w.addViolation("keys %d to %d of %s were granted to %s while %s held %d to %d", call.First, call.Last, call.Service, b.instance, hold.instance, hold.first, hold.last)
			}
			kept = append(kept, hold)
		case hold.fence > call.Number && r.URL.Path == "/keys/grant":
			http.Error(rw, "a higher number was seen", http.StatusConflict)
			return
		default:
			if hold.first < call.First {
				kept = append(kept, keyLease{hold.instance, hold.first, call.First - 1, hold.fence, hold.until})
			}
			if hold.last > call.Last {
				kept = append(kept, keyLease{hold.instance, call.Last + 1, hold.last, hold.fence, hold.until})
			}
		}
	}
	w.leases = kept
	if r.URL.Path == "/keys/grant" {
		w.leases = append(w.leases, keyLease{b.instance, call.First, call.Last, call.Number, now.Add(time.Duration(call.HoldMS) * time.Millisecond)})
		return
	}
	w.handover++
	rw.Header().Set("Topazshed-Handover", fmt.Sprintf("handover-%d", w.handover))
}

func (b *routedBackend) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Topazshed-Instance") != b.instance {
		rw.Header().Set("Topazshed-Not-Run", "1")
		http.Error(rw, "not me", http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/keys/") {
		b.serveLease(rw, r)
		return
	}
	id := r.Header.Get("Topazshed-Attempt")
	rw.Header().Set("Topazshed-Attempt", id)
	refusal := func(status int) {
		rw.Header().Set("Topazshed-Not-Run", "1")
		rw.WriteHeader(status)
	}
	key, err := strconv.ParseUint(r.Header.Get("Topazshed-Key"), 10, 16)
	w := b.platform
	w.lock.Lock()
	isMine := !b.isKeyed || err == nil && w.isLeased(b.instance, uint32(key))
	pause := time.Duration(5+w.random.Intn(20)) * time.Millisecond
	if isMine {
		w.lastRequest[b.zone] = time.Now()
	}
	w.lock.Unlock()
	if !isMine {
		refusal(http.StatusMisdirectedRequest)
		return
	}
	select {
	case b.work <- true:
		defer func() { <-b.work }()
	default:
		refusal(http.StatusServiceUnavailable)
		return
	}
	w.lock.Lock()
	w.runs[id]++
	if w.notRepeatable[id] && w.runs[id] > 1 {
		w.addViolation("%s, which must not be repeated, ran %d times", id, w.runs[id])
	}
	w.lock.Unlock()
	time.Sleep(pause)
	text := []byte(b.instance + " " + r.URL.Path + " " + id)
	rw.Header().Set("Content-Digest", seal(text))
	rw.Write(text)
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"topazshed/internal/checker"
)

// The calls with which the fleet grants and releases leases of keys.
const (
	leasePathPrefix = "/keys/"
	grantPath       = "/keys/grant"
)

// A routed request takes minRoutedWork to minRoutedWork+routedWorkSpread milliseconds.
const minRoutedWork, routedWorkSpread = 5, 20

// routedBackend is a stand-in back end of a fleet that carries routes, speaking the product's own interface.
type routedBackend struct {
	platform *routedPlatform
	service  string
	instance string
	zone     string
	address  string
	isKeyed  bool
	workers  chan struct{}
	server   *http.Server
}

// leaseCall is the body of a call that grants or releases a lease.
type leaseCall struct {
	Service     string
	First, Last uint32
	Number      uint64
	HoldMS      int64 `json:"hold_ms"`
	Handover    string
}

// ServeHTTP takes calls on leases, and runs requests that are this back end's own.
func (b *routedBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerInstance) != b.instance {
		w.Header().Set(headerNotRun, "1")
		http.Error(w, "not me", http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, leasePathPrefix) {
		b.serveLease(w, r)
		return
	}
	attempt := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, attempt)
	isMine, span := b.admit(r.Header.Get(headerKey))
	if !isMine {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case b.workers <- struct{}{}:
		defer func() { <-b.workers }()
	default:
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	b.platform.recordRun(attempt)
	time.Sleep(span)
	text := []byte(b.instance + " " + r.URL.Path + " " + attempt)
	w.Header().Set(headerDigest, checker.Digest(text))
	w.Write(text)
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

// admit tells whether this back end may run a request for a key, and draws how long it works on it.
func (b *routedBackend) admit(keyText string) (isMine bool, span time.Duration) {
	key, err := strconv.ParseUint(keyText, 10, 16)
	p := b.platform
	p.lock.Lock()
	defer p.lock.Unlock()
	isMine = !b.isKeyed || err == nil && p.isLeased(b.instance, uint32(key))
	if isMine {
		p.lastRequest[b.zone] = time.Now()
		p.lastRequestTo[b.instance] = time.Now()
	}
	return isMine, time.Duration(minRoutedWork+p.random.Intn(routedWorkSpread)) * time.Millisecond
}

// recordRun notes that an attempt runs, which must not be its second time if it must not be repeated.
func (p *routedPlatform) recordRun(attempt string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.runs[attempt]++
	if p.notRepeatable[attempt] && p.runs[attempt] > 1 {
		p.addViolation("%s, which must not be repeated, ran %d times", attempt, p.runs[attempt])
	}
}

// serveLease grants a lease to this back end, or releases it and gives a handover. A grant of keys that another one's
// lease covers is a violation; one under a lower fence than was seen is refused.
func (b *routedBackend) serveLease(w http.ResponseWriter, r *http.Request) {
	var call leaseCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || call.First > call.Last {
		http.Error(w, "span", http.StatusBadRequest)
		return
	}
	isGrant := r.URL.Path == grantPath
	p, now := b.platform, time.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	if !b.replaceLeases(call, isGrant, now) {
		http.Error(w, "a higher number was seen", http.StatusConflict)
		return
	}
	if isGrant {
		until := now.Add(time.Duration(call.HoldMS) * time.Millisecond)
		p.leases = append(p.leases, keyLease{b.instance, call.First, call.Last, call.Number, until})
		return
	}
	p.handovers++
	w.Header().Set(headerHandover, fmt.Sprintf("handover-%d", p.handovers))
}

// replaceLeases takes the keys of a call out of this back end's leases and drops those that have lapsed. It changes
// nothing and gives false if a grant's fence is lower than one that was seen. The caller holds the lock.
func (b *routedBackend) replaceLeases(call leaseCall, isGrant bool, now time.Time) bool {
	var left []keyLease
	for _, lease := range b.platform.leases {
		isOverlap := lease.overlaps(call.First, call.Last)
		switch {
		case lease.until.Before(now):
		case !isOverlap || lease.instance != b.instance:
			if isOverlap && isGrant {
				b.platform.addViolation("keys %d to %d of %s were granted to %s while %s held %d to %d",
					call.First, call.Last, call.Service, b.instance, lease.instance, lease.first, lease.last)
			}
			left = append(left, lease)
		case lease.fence > call.Number && isGrant:
			return false
		default:
			left = append(left, lease.without(call.First, call.Last)...)
		}
	}
	b.platform.leases = left
	return true
}

// without gives what is left of a lease when a range of keys is taken out.
func (l keyLease) without(first, last uint32) []keyLease {
	var left []keyLease
	if l.first < first {
		below := l
		below.last = first - 1
		left = append(left, below)
	}
	if l.last > last {
		above := l
		above.first = last + 1
		left = append(left, above)
	}
	return left
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type keyLease struct {
	instance    string
	first, last uint32
	fence       uint64
	until       time.Time
}

// routedWorld is the list, its back ends and what was seen of them.
type routedPlatform struct {
	lock          sync.Mutex
	backends      []*routedBackend
	server        *http.Server
	leases        []keyLease
	runs          map[string]int
	notRepeatable map[string]bool
	lastRequest   map[string]time.Time
	handover      int
	random        *rand.Rand
	violations    []string
}

func newRoutedPlatform(seed int64) *routedPlatform {
	return &routedPlatform{runs: map[string]int{}, notRepeatable: map[string]bool{}, lastRequest: map[string]time.Time{}, random: rand.New(rand.NewSource(seed))}
}

func (w *routedPlatform) addViolation(form string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(form, args...))
}

func listenAndServe(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	return server, nil
}

func (w *routedPlatform) add(service, zone string, isKeyed bool) error {
	number := len(w.backends) + 1
	b := &routedBackend{platform: w, service: service, instance: fmt.Sprintf("%s-%d", service, number), zone: zone, address: fmt.Sprintf("127.41.0.%d:8000", number), isKeyed: isKeyed, work: make(chan bool, 6)}
	server, err := listenAndServe(b.address, b)
	if err != nil {
		return err
	}
	b.server = server
	w.backends = append(w.backends, b)
	return nil
}

func (w *routedPlatform) close() error {
	var faults []error
	if w.server != nil {
		faults = append(faults, w.server.Close())
	}
	for _, b := range w.backends {
		faults = append(faults, b.server.Close())
	}
	return errors.Join(faults...)
}

func (w *routedPlatform) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	page, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || page < 0 {
		http.Error(rw, "page", http.StatusBadRequest)
		return
	}
	const size = 10
	items := []map[string]any{}
	for i := page * size; i < min(len(w.backends), (page+1)*size); i++ {
		b := w.backends[i]
		items = append(items, map[string]any{"service": b.service, "instance": b.instance, "address": b.address, "district": b.zone, "state": "ready", "slots": cap(b.work), "cold_left_ms": 0})
	}
	json.NewEncoder(rw).Encode(map[string]any{"page": page, "pages": (len(w.backends) + size - 1) / size, "total": len(w.backends), "revision": 1, "backends": items})
}

func (w *routedPlatform) isLeased(instance string, key uint32) bool {
	for _, hold := range w.leases {
		if hold.instance == instance && hold.first <= key && key <= hold.last && time.Now().Before(hold.until) {
			return true
		}
	}
	return false
}

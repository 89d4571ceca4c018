package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"topazshed/internal/checker"
)

// routedBackendsPerZone is the number of back ends of each service in each zone.
const routedBackendsPerZone = 2

// keyLease is the lease of a range of keys, as the back end that holds it knows it.
type keyLease struct {
	instance    string
	first, last uint32
	fence       uint64
	until       time.Time
}

func (l *keyLease) overlaps(first, last uint32) bool { return l.first <= last && first <= l.last }

// routedPlatform is the stand-in for the platform of a fleet of routes: its list, with the back ends on it and what was
// seen of them. It is safe for concurrent use; methods that don't say otherwise take its lock.
type routedPlatform struct {
	server *http.Server

	lock     sync.Mutex
	random   *rand.Rand
	backends []*routedBackend
	leases   []keyLease
	// handovers numbers the handovers that back ends gave out.
	handovers int
	// runs counts how often each attempt ran, notRepeatable are those that must run once at most.
	runs          map[string]int
	notRepeatable map[string]bool
	// lastRequest is when each zone's back ends last got a request, lastRequestTo the same by instance.
	lastRequest   map[string]time.Time
	lastRequestTo map[string]time.Time
	// drainingSince is since when the list shows a back end as draining, by instance.
	drainingSince map[string]time.Time
	violations    []string
}

func newRoutedPlatform(seed int64) *routedPlatform {
	return &routedPlatform{
		random:        rand.New(rand.NewSource(seed)),
		runs:          map[string]int{},
		notRepeatable: map[string]bool{},
		lastRequest:   map[string]time.Time{},
		lastRequestTo: map[string]time.Time{},
		drainingSince: map[string]time.Time{},
	}
}

// start starts the back ends of all services, and the list at an address.
func (p *routedPlatform) start(address string) error {
	for _, service := range []string{"ledger", "accounts", "payments"} {
		for _, place := range zonePlaces {
			for range routedBackendsPerZone {
				if err := p.add(service, place.zone, service == "accounts"); err != nil {
					return err
				}
			}
		}
	}
	server, err := listenAndServe(address, p)
	p.server = server
	return err
}

// listenAndServe serves at an address in the background.
func listenAndServe(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	return server, nil
}

// add starts a back end; all are added before the list is served.
func (p *routedPlatform) add(service, zone string, isKeyed bool) error {
	number := len(p.backends) + 1
	b := &routedBackend{
		platform: p,
		service:  service,
		instance: fmt.Sprintf("%s-%d", service, number),
		zone:     zone,
		address:  fmt.Sprintf("127.41.0.%d:8000", number),
		isKeyed:  isKeyed,
		workers:  make(chan struct{}, backendWorkers),
	}
	server, err := listenAndServe(b.address, b)
	if err != nil {
		return err
	}
	b.server = server
	p.backends = append(p.backends, b)
	return nil
}

// close ends the list and the back ends.
func (p *routedPlatform) close() error {
	var errs []error
	if p.server != nil {
		errs = append(errs, p.server.Close())
	}
	for _, b := range p.backends {
		errs = append(errs, b.server.Close())
	}
	return errors.Join(errs...)
}

// addViolation notes that something happened that must never happen. The caller holds the lock.
func (p *routedPlatform) addViolation(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// reportViolation notes that something happened that must never happen.
func (p *routedPlatform) reportViolation(format string, args ...any) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.addViolation(format, args...)
}

func (p *routedPlatform) allViolations() []string {
	p.lock.Lock()
	defer p.lock.Unlock()
	return slices.Clone(p.violations)
}

// forbidRepeats says that an attempt must run once at most.
func (p *routedPlatform) forbidRepeats(attempt string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.notRepeatable[attempt] = true
}

// sinceLastRequest tells how long ago a zone's back ends last got a request.
func (p *routedPlatform) sinceLastRequest(zone string) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return time.Since(p.lastRequest[zone])
}

// countLeased gives the number of keys under a lease, also under one that has lapsed.
func (p *routedPlatform) countLeased() uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	count := uint64(0)
	for _, lease := range p.leases {
		count += uint64(lease.last-lease.first) + 1
	}
	return count
}

// isLeased tells whether a back end has the lease of a key. The caller holds the lock.
func (p *routedPlatform) isLeased(instance string, key uint32) bool {
	return slices.ContainsFunc(p.leases, func(lease keyLease) bool {
		return lease.instance == instance && lease.overlaps(key, key) && time.Now().Before(lease.until)
	})
}

// routedListItem is a back end as the list shows it.
type routedListItem struct {
	Service    string `json:"service"`
	Instance   string `json:"instance"`
	Address    string `json:"address"`
	Zone       string `json:"district"`
	State      string `json:"state"`
	Slots      int    `json:"slots"`
	ColdLeftMs int    `json:"cold_left_ms"`
}

// routedListPage is one page of the list.
type routedListPage struct {
	Page     int              `json:"page"`
	Pages    int              `json:"pages"`
	Total    int              `json:"total"`
	Revision uint64           `json:"revision"`
	Backends []routedListItem `json:"backends"`
}

// ServeHTTP answers with a page of the list.
func (p *routedPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || number < 0 {
		http.Error(w, "page", http.StatusBadRequest)
		return
	}
	total := len(p.backends)
	page := routedListPage{
		Page:     number,
		Pages:    (total + listPageSize - 1) / listPageSize,
		Total:    total,
		Revision: 1,
		Backends: []routedListItem{},
	}
	for i := number * listPageSize; i < min(total, (number+1)*listPageSize); i++ {
		b := p.backends[i]
		page.Backends = append(page.Backends, routedListItem{
			Service:  b.service,
			Instance: b.instance,
			Address:  b.address,
			Zone:     b.zone,
			State:    p.stateOf(b.instance),
			Slots:    cap(b.workers),
		})
	}
	json.NewEncoder(w).Encode(page)
}

// stateOf is a back end's state on the list.
func (p *routedPlatform) stateOf(instance string) string {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.drainingSince[instance].IsZero() {
		return checker.BackendReady
	}
	return checker.BackendDraining
}

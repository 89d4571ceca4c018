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

// World is the platform with its back ends.
type Platform struct {
	history      *checker.History
	lock         sync.Mutex
	backends     []*Backend
	listed       []*Backend
	listedStates map[string]string
	recorded     map[string]string
	revision     uint64
	lag          time.Duration
	pageSize     int
	calls        []time.Time
	limit        int
	server       *http.Server
	address      string
	slotOwners   map[string]slotOwner
	random       *rand.Rand
	serial       int
	fault        string
	addIP        int
}

type slotOwner struct {
	number   uint64
	instance string
}

func newPlatform(h *checker.History, seed int64, address string) (*Platform, error) {
	w := &Platform{history: h, listedStates: map[string]string{}, recorded: map[string]string{}, lag: 300 * time.Millisecond, pageSize: 10, limit: 20, address: address,
		slotOwners: map[string]slotOwner{}, random: rand.New(rand.NewSource(seed))}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go w.server.Serve(listener)
	return w, nil
}

func (w *Platform) draw(n int) int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.random.Intn(n)
}

func (w *Platform) admitSlot(service, slot string, number uint64, instance string) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	was := w.slotOwners[service+"/"+slot]
	if number < was.number || number == was.number && was.instance != instance && was.instance != "" {
		return false
	}
	w.slotOwners[service+"/"+slot] = slotOwner{number, instance}
	return true
}

func (w *Platform) add(service, zone, address string, keyed, isCold bool) (*Backend, error) {
	w.lock.Lock()
	w.serial++
	if address == "" {
		w.addIP++
		address = fmt.Sprintf("127.40.%d.%d:8000", w.addIP/200, w.addIP%200+1)
	}
	b := &Backend{platform: w, service: service, instance: fmt.Sprintf("%s-%d", service, w.serial), zone: zone, address: address, state: "ready", keyed: keyed, isCold: isCold, slots: map[string]uint64{}}
	w.lock.Unlock()
	if err := b.start(); err != nil {
		return nil, err
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.backends = append(w.backends, b)
	w.revision++
	w.history.Lock()
	w.history.Zones[b.instance] = zone
	if isCold {
		w.history.ColdStarts[b.instance] = append(w.history.ColdStarts[b.instance], w.history.Now())
	}
	w.history.Unlock()
	w.refresh()
	return b, nil
}

func (w *Platform) refresh() {
	list := slices.Clone(w.backends)
	states := map[string]string{}
	for _, b := range list {
		states[b.instance] = b.state
	}
	revision := w.revision
	time.AfterFunc(w.lag, func() {
		w.lock.Lock()
		defer w.lock.Unlock()
		if revision == w.revision {
			w.listed, w.listedStates = list, states
		}
	})
}

func (w *Platform) drain(b *Backend) {
	w.lock.Lock()
	defer w.lock.Unlock()
	b.state = "draining"
	w.revision++
	w.refresh()
}

func (w *Platform) remove(b *Backend) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.backends = slices.DeleteFunc(w.backends, func(other *Backend) bool { return other == b })
	w.revision++
	w.refresh()
}

func (w *Platform) readyBackends(service string) []*Backend {
	w.lock.Lock()
	defer w.lock.Unlock()
	var list []*Backend
	for _, b := range w.backends {
		if b.service == service && b.state == "ready" {
			list = append(list, b)
		}
	}
	return list
}

func (w *Platform) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	page, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || page < 0 {
		http.Error(rw, "page", http.StatusBadRequest)
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	now := time.Now()
	w.calls = slices.DeleteFunc(w.calls, func(at time.Time) bool { return now.Sub(at) > time.Second })
	if len(w.calls) >= w.limit {
		rw.Header().Set("Retry-After", "1")
		http.Error(rw, "slow down", http.StatusTooManyRequests)
		return
	}
	w.calls = append(w.calls, now)
	list := w.listed
	total := len(list)
	pages := max(1, (total+w.pageSize-1)/w.pageSize)
	type item struct {
		Service  string `json:"service"`
		Instance string `json:"instance"`
		Address  string `json:"address"`
		Zone     string `json:"district"`
		State    string `json:"state"`
	}
	items := []item{}
	for i := page * w.pageSize; i < min(total, (page+1)*w.pageSize); i++ {
		b := list[i]
		state := w.listedStates[b.instance]
		items = append(items, item{b.service, b.instance, b.address, b.zone, state})
	}
	switch w.fault {
	case "empty":
		items, total, pages = nil, 0, 1
	case "short":
		items = items[:len(items)/2]
	case "repeat":
		page = 0
	}
	seen := map[string]string{}
	for _, b := range list {
		seen[b.instance] = w.listedStates[b.instance]
	}
	if w.fault == "" && page == pages-1 {
		for instance, state := range seen {
			if w.recorded[instance] != state {
				checker.Record(w.history, &w.history.Platform, checker.PlatformEvent{At: w.history.Now(), Instance: instance, What: state})
			}
		}
		for instance := range w.recorded {
			if _, isThere := seen[instance]; !isThere {
				checker.Record(w.history, &w.history.Platform, checker.PlatformEvent{At: w.history.Now(), Instance: instance, What: "gone"})
			}
		}
		w.recorded = seen
	}
	rw.Header().Set("Content-Type", "application/json")
	json.NewEncoder(rw).Encode(map[string]any{"page": page, "pages": pages, "total": total, "revision": w.revision, "backends": items})
}

func (w *Platform) close() error {
	w.lock.Lock()
	list := slices.Clone(w.backends)
	w.lock.Unlock()
	for _, b := range list {
		b.crash()
	}
	return errors.Join(w.server.Close())
}

func newHistory() *checker.History {
	begun := time.Now()
	return checker.NewHistory(func() time.Duration { return time.Since(begun) }, regionOf)
}

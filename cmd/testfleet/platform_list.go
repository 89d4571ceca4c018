package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"topazshed/internal/checker"
)

const (
	// listLag is how long after a change the list shows it.
	listLag = 300 * time.Millisecond
	// listPageSize is the number of back ends on a page.
	listPageSize = 10
	// listCallLimit is the number of calls that the list answers in any second.
	listCallLimit = 20
)

// listFault is a way in which the list can be wrong.
type listFault string

// The faults of the list: no back end, half a page, the first page in place of each.
const (
	listGood   listFault = ""
	listEmpty  listFault = "empty"
	listShort  listFault = "short"
	listRepeat listFault = "repeat"
)

// Platform is the stand-in for the platform: its list, with the back ends on it. It is safe for concurrent use.
type Platform struct {
	history *checker.History
	server  *http.Server

	lock     sync.Mutex
	random   *rand.Rand
	serial   int
	backends []*Backend
	// listed and listedStates are what the list shows at present.
	listed       []*Backend
	listedStates map[string]string
	revision     uint64
	// calls are the times of the calls in the last second.
	calls []time.Time
	fault listFault
	// slotOwners are the newest owners of keyed services' slots that back ends saw, by service and slot.
	slotOwners map[string]slotOwner
	addresses  int
}

// slotOwner is an owner of a slot under a fence.
type slotOwner struct {
	fence    uint64
	instance string
}

// newPlatform serves an empty list at an address.
func newPlatform(h *checker.History, seed int64, address string) (*Platform, error) {
	p := &Platform{
		history:      h,
		random:       rand.New(rand.NewSource(seed)),
		listedStates: map[string]string{},
		slotOwners:   map[string]slotOwner{},
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p.server = &http.Server{Handler: p}
	go p.server.Serve(listener)
	return p, nil
}

// addDeployment starts the back ends of a deployment's services, spread over the zones.
func (p *Platform) addDeployment(deployment Deployment) error {
	for _, service := range slices.Sorted(maps.Keys(deployment.Services)) {
		for i := range deployment.Services[service] {
			options := backendOptions{
				service: service,
				zone:    zonePlaces[i%len(zonePlaces)].zone,
				isKeyed: deployment.Keyed[service],
			}
			if _, err := p.add(options); err != nil {
				return err
			}
		}
	}
	return nil
}

// draw draws a number below n.
func (p *Platform) draw(n int) int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.random.Intn(n)
}

// admitSlot tells whether a back end may serve a slot under a fence: not if a higher fence, or another owner under the
// same one, was seen.
func (p *Platform) admitSlot(service, slot string, fence uint64, instance string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	newest, isKnown := p.slotOwners[service+"/"+slot]
	if fence < newest.fence || isKnown && fence == newest.fence && newest.instance != instance {
		return false
	}
	p.slotOwners[service+"/"+slot] = slotOwner{fence: fence, instance: instance}
	return true
}

// backendOptions shape a new back end. Without an address it gets a new one.
type backendOptions struct {
	service, zone, address string
	isKeyed, isCold        bool
}

// add starts a back end and puts it on the list.
func (p *Platform) add(options backendOptions) (*Backend, error) {
	b := p.newBackend(options)
	if err := b.start(); err != nil {
		return nil, err
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.backends = append(p.backends, b)
	p.history.Lock()
	p.history.Zones[b.instance] = b.zone
	if b.isCold {
		p.history.ColdStarts[b.instance] = append(p.history.ColdStarts[b.instance], p.history.Now())
	}
	p.history.Unlock()
	p.change()
	return b, nil
}

func (p *Platform) newBackend(options backendOptions) *Backend {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.serial++
	address := options.address
	if address == "" {
		p.addresses++
		address = fmt.Sprintf("127.40.%d.%d:8000", p.addresses/200, p.addresses%200+1)
	}
	return &Backend{
		platform: p,
		service:  options.service,
		instance: fmt.Sprintf("%s-%d", options.service, p.serial),
		zone:     options.zone,
		address:  address,
		state:    checker.BackendReady,
		isKeyed:  options.isKeyed,
		isCold:   options.isCold,
	}
}

// change has the list show the present back ends after its lag, unless they change once more. The caller holds the lock.
func (p *Platform) change() {
	p.revision++
	backends := slices.Clone(p.backends)
	states := map[string]string{}
	for _, b := range backends {
		states[b.instance] = b.state
	}
	revision := p.revision
	time.AfterFunc(listLag, func() {
		p.lock.Lock()
		defer p.lock.Unlock()
		if revision == p.revision {
			p.listed, p.listedStates = backends, states
		}
	})
}

// drain marks a back end as draining.
func (p *Platform) drain(b *Backend) {
	p.lock.Lock()
	defer p.lock.Unlock()
	b.state = checker.BackendDraining
	p.change()
}

// remove takes a back end off the list.
func (p *Platform) remove(b *Backend) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.backends = slices.DeleteFunc(p.backends, func(other *Backend) bool { return other == b })
	p.change()
}

// setFault makes the list wrong, or right again.
func (p *Platform) setFault(fault listFault) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.fault = fault
}

// readyBackends gives the back ends of a service that neither drain nor have ended.
func (p *Platform) readyBackends(service string) []*Backend {
	p.lock.Lock()
	defer p.lock.Unlock()
	var ready []*Backend
	for _, b := range p.backends {
		if b.service == service && b.state == checker.BackendReady {
			ready = append(ready, b)
		}
	}
	return ready
}

// listItem is a back end as the list shows it.
type listItem struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Zone     string `json:"district"`
	State    string `json:"state"`
}

// listPage is one page of the list.
type listPage struct {
	Page     int        `json:"page"`
	Pages    int        `json:"pages"`
	Total    int        `json:"total"`
	Revision uint64     `json:"revision"`
	Backends []listItem `json:"backends"`
}

// ServeHTTP answers with a page of the list, or refuses calls above the limit.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || number < 0 {
		http.Error(w, "page", http.StatusBadRequest)
		return
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.admitCall(time.Now()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "slow down", http.StatusTooManyRequests)
		return
	}
	page := p.page(number)
	if p.fault == listGood && page.Page == page.Pages-1 {
		p.history.RecordList(p.shownStates())
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(page)
}

// admitCall counts a call, if the limit allows it. The caller holds the lock.
func (p *Platform) admitCall(now time.Time) bool {
	p.calls = slices.DeleteFunc(p.calls, func(at time.Time) bool { return now.Sub(at) > time.Second })
	if len(p.calls) >= listCallLimit {
		return false
	}
	p.calls = append(p.calls, now)
	return true
}

// page makes a page of the list with the present fault. The caller holds the lock.
func (p *Platform) page(number int) listPage {
	total := len(p.listed)
	page := listPage{
		Page:     number,
		Pages:    max(1, (total+listPageSize-1)/listPageSize),
		Total:    total,
		Revision: p.revision,
		Backends: []listItem{},
	}
	for i := number * listPageSize; i < min(total, (number+1)*listPageSize); i++ {
		b := p.listed[i]
		page.Backends = append(page.Backends, listItem{
			Service:  b.service,
			Instance: b.instance,
			Address:  b.address,
			Zone:     b.zone,
			State:    p.listedStates[b.instance],
		})
	}
	switch p.fault {
	case listEmpty:
		page.Backends, page.Total, page.Pages = nil, 0, 1
	case listShort:
		page.Backends = page.Backends[:len(page.Backends)/2]
	case listRepeat:
		page.Page = 0
	}
	return page
}

// shownStates gives the states of the back ends on the list. The caller holds the lock.
func (p *Platform) shownStates() map[string]string {
	states := map[string]string{}
	for _, b := range p.listed {
		states[b.instance] = p.listedStates[b.instance]
	}
	return states
}

// close ends the list and its back ends.
func (p *Platform) close() error {
	p.lock.Lock()
	backends := slices.Clone(p.backends)
	p.lock.Unlock()
	for _, b := range backends {
		b.crash()
	}
	return errors.Join(p.server.Close())
}

// newHistory makes an empty history on a clock that begins now.
func newHistory() *checker.History {
	begun := time.Now()
	return checker.NewHistory(func() time.Duration { return time.Since(begun) }, regionOf)
}

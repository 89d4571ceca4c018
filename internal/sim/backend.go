package sim

import (
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/discovery"
)

// Mode is how a simulated back end answers.
type Mode string

// The modes of a simulated back end; all but the first run the request and then answer it badly, late or not at all.
const (
	ModeGood    Mode = ""
	ModeLose    Mode = "lose"
	ModeGarbage Mode = "garbage"
	ModeForeign Mode = "foreign"
	ModeCut     Mode = "cut"
	ModeSlow    Mode = "slow"
)

const (
	coldPeriod     = 8 * time.Second
	backendWorkers = 6
	coldSlowdown   = 6
	machineBoot    = 3 * time.Second
	processBoot    = time.Second
)

// Backend is a simulated back end.
type Backend struct {
	Service, Instance, Zone, Address string
	IsUp                             bool
	State                            string
	Mode                             Mode
	isUnresponsive                   bool
	downAt                           time.Duration
	frozenUntil                      time.Duration
	coldUntil                        time.Duration
	working                          int
	queue                            []func()
	openRequests                     map[uint64]func(error)
	running                          map[*checker.Arrival]bool
}

// AddBackend puts a back end into the platform's list.
func (f *Fleet) AddBackend(service, zone string) *Backend {
	return f.addBackend(service, zone, fmt.Sprintf("b%d", len(f.Backends)))
}

func (f *Fleet) addBackend(service, zone, address string) *Backend {
	b := &Backend{Service: service, Instance: fmt.Sprintf("%s-%d", service, len(f.Backends)), Zone: zone, Address: address, IsUp: true, State: "ready", openRequests: map[uint64]func(error){}, running: map[*checker.Arrival]bool{}}
	if f.Now > 0 {
		f.warmUp(b)
	}
	f.History.Zones[b.Instance] = zone
	f.Backends = append(f.Backends, b)
	return b
}

func (f *Fleet) warmUp(b *Backend) {
	b.coldUntil = f.Now + coldPeriod
	f.History.ColdStarts[b.Instance] = append(f.History.ColdStarts[b.Instance], f.Now)
}

func (f *Fleet) backendAt(address string) *Backend {
	for _, b := range f.Backends {
		if b.Address == address && b.IsUp {
			return b
		}
	}
	return nil
}

func (f *Fleet) connectionRefused(address string) error {
	if f.Options.Fault == "cold" {
		return fmt.Errorf("connect to %s: refused, but not told so", address)
	}
	return fmt.Errorf("connect to %s: %w", address, syscall.ECONNREFUSED)
}

func (f *Fleet) probe(n *Node, b *Backend) error {
	switch {
	case !b.IsUp && !b.isUnresponsive || f.backendAt(b.Address) != b && f.backendAt(b.Address) != nil:
		return f.connectionRefused(b.Address)
	case !b.IsUp || f.Now < b.frozenUntil || f.cuts[[2]string{n.Name, b.Instance}]:
		return fmt.Errorf("connect to %s: no answer", b.Address)
	}
	return nil
}

func (f *Fleet) findBackend(instance string) *Backend {
	for _, b := range f.Backends {
		if b.Instance == instance {
			return b
		}
	}
	return nil
}

// Crash ends a back end in mid-work; Return brings it back, cold.
func (f *Fleet) Crash(b *Backend) {
	b.IsUp = false
	b.isUnresponsive = f.random.Intn(2) == 0
	b.downAt = f.Now
	b.working, b.queue = 0, nil
	for a := range b.running {
		a.End = f.Now
	}
	b.running = map[*checker.Arrival]bool{}
	for _, id := range slices.Sorted(maps.Keys(b.openRequests)) {
		lose := b.openRequests[id]
		delete(b.openRequests, id)
		lose(fmt.Errorf("connection reset by %s", b.Instance))
	}
}

// Return starts a crashed back end again, cold; a process takes a second at least, a machine that vanished its boot.
func (f *Fleet) Return(b *Backend) {
	boot := processBoot
	if b.isUnresponsive {
		boot = machineBoot
	}
	if left := boot - (f.Now - b.downAt); !b.IsUp && left > 0 {
		f.after(left, func() { f.Return(b) })
		return
	}
	if !b.IsUp && b.State != "gone" {
		b.IsUp = true
		f.warmUp(b)
	}
}

// Reuse ends a back end at once and gives its address to a new one of another service.
func (f *Fleet) Reuse(b *Backend, service string) *Backend {
	f.Crash(b)
	b.State = "gone"
	return f.addBackend(service, b.Zone, b.Address)
}

func (f *Fleet) recordList(page discovery.Page) {
	seen := map[string]string{}
	for _, item := range page.Backends {
		seen[item.Instance] = item.State
	}
	for _, instance := range slices.Sorted(maps.Keys(seen)) {
		if f.listed[instance] != seen[instance] {
			f.History.Platform = append(f.History.Platform, checker.PlatformEvent{At: f.Now, Instance: instance, What: seen[instance]})
		}
	}
	for _, instance := range slices.Sorted(maps.Keys(f.listed)) {
		if seen[instance] == "" {
			f.History.Platform = append(f.History.Platform, checker.PlatformEvent{At: f.Now, Instance: instance, What: "gone"})
		}
	}
	f.listed = seen
}

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
	coldSpan    = 8 * time.Second
	workers     = 6
	coldTimes   = 6
	machineBoot = 3 * time.Second
	processBoot = time.Second
)

// Backend is a simulated back end.
type Backend struct {
	Service, Instance, Zone, Address string
	IsUp                             bool
	State                            string
	Mode                             Mode
	isSilent                         bool
	downAt                           time.Duration
	frozen                           time.Duration
	coldUntil                        time.Duration
	working                          int
	waiting                          []func()
	open                             map[uint64]func(error)
	running                          map[*checker.Arrival]bool
}

// AddBackend puts a back end into the platform's list.
func (f *Fleet) AddBackend(service, zone string) *Backend {
	return f.addBackend(service, zone, fmt.Sprintf("b%d", len(f.Backends)))
}

func (f *Fleet) addBackend(service, zone, address string) *Backend {
	b := &Backend{Service: service, Instance: fmt.Sprintf("%s-%d", service, len(f.Backends)), Zone: zone, Address: address, IsUp: true, State: "ready", open: map[uint64]func(error){}, running: map[*checker.Arrival]bool{}}
	if f.Now > 0 {
		f.warm(b)
	}
	f.History.Places[b.Instance] = zone
	f.Backends = append(f.Backends, b)
	return b
}

func (f *Fleet) warm(b *Backend) {
	b.coldUntil = f.Now + coldSpan
	f.History.Births[b.Instance] = append(f.History.Births[b.Instance], f.Now)
}

func (f *Fleet) at(address string) *Backend {
	for _, b := range f.Backends {
		if b.Address == address && b.IsUp {
			return b
		}
	}
	return nil
}

func (f *Fleet) refused(address string) error {
	if f.Options.Fault == "cold" {
		return fmt.Errorf("connect to %s: refused, but not told so", address)
	}
	return fmt.Errorf("connect to %s: %w", address, syscall.ECONNREFUSED)
}

func (f *Fleet) reach(n *Node, b *Backend) error {
	switch {
	case !b.IsUp && !b.isSilent || f.at(b.Address) != b && f.at(b.Address) != nil:
		return f.refused(b.Address)
	case !b.IsUp || f.Now < b.frozen || f.cuts[[2]string{n.Name, b.Instance}]:
		return fmt.Errorf("connect to %s: no answer", b.Address)
	}
	return nil
}

func (f *Fleet) backend(instance string) *Backend {
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
	b.isSilent = f.random.Intn(2) == 0
	b.downAt = f.Now
	b.working, b.waiting = 0, nil
	for a := range b.running {
		a.End = f.Now
	}
	b.running = map[*checker.Arrival]bool{}
	for _, id := range slices.Sorted(maps.Keys(b.open)) {
		lose := b.open[id]
		delete(b.open, id)
		lose(fmt.Errorf("connection reset by %s", b.Instance))
	}
}

// Return starts a crashed back end again, cold; a process takes a second at least, a machine that vanished its boot.
func (f *Fleet) Return(b *Backend) {
	boot := processBoot
	if b.isSilent {
		boot = machineBoot
	}
	if left := boot - (f.Now - b.downAt); !b.IsUp && left > 0 {
		f.after(left, func() { f.Return(b) })
		return
	}
	if !b.IsUp && b.State != "gone" {
		b.IsUp = true
		f.warm(b)
	}
}

// Reuse ends a back end at once and gives its address to a new one of another service.
func (f *Fleet) Reuse(b *Backend, service string) *Backend {
	f.Crash(b)
	b.State = "gone"
	return f.addBackend(service, b.Zone, b.Address)
}

func (f *Fleet) show(page discovery.Page) {
	seen := map[string]string{}
	for _, item := range page.Backends {
		seen[item.Instance] = item.State
	}
	for _, instance := range slices.Sorted(maps.Keys(seen)) {
		if f.shown[instance] != seen[instance] {
			f.History.Platform = append(f.History.Platform, checker.PlatformEvent{At: f.Now, Instance: instance, What: seen[instance]})
		}
	}
	for _, instance := range slices.Sorted(maps.Keys(f.shown)) {
		if seen[instance] == "" {
			f.History.Platform = append(f.History.Platform, checker.PlatformEvent{At: f.Now, Instance: instance, What: "gone"})
		}
	}
	f.shown = seen
}

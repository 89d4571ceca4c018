package sim

import (
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"topazshed/internal/checker"
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
	// coldSlowdown is how many times as long a back end works while it warms up.
	coldSlowdown = 6
	// slowSlowdown is how many times as long a back end works in ModeSlow.
	slowSlowdown = 20
	// backendWorkers is how many requests a back end works on at once; others wait.
	backendWorkers = 6
	// machineBoot and processBoot are the least times from the end of a back end to its return.
	machineBoot = 3 * time.Second
	processBoot = time.Second
)

// Backend is a simulated back end.
type Backend struct {
	Service, Instance, Zone, Address string
	IsUp                             bool
	// State is what the platform's list shows: one of checker's back-end states.
	State string
	Mode  Mode

	// isUnresponsive tells of a back end that is down whether connections get no answer instead of a refusal.
	isUnresponsive bool
	downAt         time.Duration
	frozenUntil    time.Duration
	coldUntil      time.Duration
	// working is the number of busy workers; queue holds the requests that wait for one.
	working int
	queue   []func()
	// openRequests are the requests without an answer; each is given the error that ends its connection.
	openRequests map[uint64]func(error)
	running      map[*checker.Arrival]bool
}

// AddBackend puts a new back end into the platform's list. It is cold if the fleet runs already.
func (f *Fleet) AddBackend(service, zone string) *Backend {
	return f.addBackend(service, zone, fmt.Sprintf("b%d", len(f.Backends)))
}

func (f *Fleet) addBackend(service, zone, address string) *Backend {
	b := &Backend{
		Service:      service,
		Instance:     fmt.Sprintf("%s-%d", service, len(f.Backends)),
		Zone:         zone,
		Address:      address,
		IsUp:         true,
		State:        checker.BackendReady,
		openRequests: map[uint64]func(error){},
		running:      map[*checker.Arrival]bool{},
	}
	if f.Now > 0 {
		f.warmUp(b)
	}
	f.History.Zones[b.Instance] = zone
	f.Backends = append(f.Backends, b)
	return b
}

// warmUp begins a back end's cold period.
func (f *Fleet) warmUp(b *Backend) {
	b.coldUntil = f.Now + checker.ColdPeriod
	f.History.ColdStarts[b.Instance] = append(f.History.ColdStarts[b.Instance], f.Now)
}

// backendAt gives the running back end at an address, or nil.
func (f *Fleet) backendAt(address string) *Backend {
	for _, b := range f.Backends {
		if b.Address == address && b.IsUp {
			return b
		}
	}
	return nil
}

// findBackend gives the back end of an instance name, or nil.
func (f *Fleet) findBackend(instance string) *Backend {
	for _, b := range f.Backends {
		if b.Instance == instance {
			return b
		}
	}
	return nil
}

// connectError gives the error of a connection from a machine to a back end, or nil.
func (f *Fleet) connectError(n *Node, b *Backend) error {
	successor := f.backendAt(b.Address)
	switch {
	case !b.IsUp && !b.isUnresponsive || successor != b && successor != nil:
		return f.refusedError(b.Address)
	case !b.IsUp || f.Now < b.frozenUntil || f.links.isCut(n.Name, b.Instance):
		return noAnswerError(b.Address)
	}
	return nil
}

// refusedError is the error of a connection that was refused; FaultCold hides that it was.
func (f *Fleet) refusedError(address string) error {
	if f.Options.Fault == FaultCold {
		return fmt.Errorf("connect to %s: refused, with the cause hidden", address)
	}
	return fmt.Errorf("connect to %s: %w", address, syscall.ECONNREFUSED)
}

func noAnswerError(address string) error { return fmt.Errorf("connect to %s: no answer", address) }

func resetError(name string) error { return fmt.Errorf("connection reset by %s", name) }

// Crash ends a back end in mid-work; Return brings it back, cold.
func (f *Fleet) Crash(b *Backend) {
	b.IsUp = false
	b.isUnresponsive = f.random.Intn(2) == 0
	b.downAt = f.Now
	b.working, b.queue = 0, nil
	for arrival := range b.running {
		arrival.End = f.Now
	}
	b.running = map[*checker.Arrival]bool{}
	for _, id := range slices.Sorted(maps.Keys(b.openRequests)) {
		breakOff := b.openRequests[id]
		delete(b.openRequests, id)
		breakOff(resetError(b.Instance))
	}
}

// Return starts a crashed back end again, cold. A process takes processBoot at least, a machine machineBoot.
func (f *Fleet) Return(b *Backend) {
	boot := processBoot
	if b.isUnresponsive {
		boot = machineBoot
	}
	if left := boot - (f.Now - b.downAt); !b.IsUp && left > 0 {
		f.after(left, func() { f.Return(b) })
		return
	}
	if !b.IsUp && b.State != checker.BackendGone {
		b.IsUp = true
		f.warmUp(b)
	}
}

// Reuse ends a back end at once and gives its address to a new one of another service.
func (f *Fleet) Reuse(b *Backend, service string) *Backend {
	f.Crash(b)
	b.State = checker.BackendGone
	return f.addBackend(service, b.Zone, b.Address)
}

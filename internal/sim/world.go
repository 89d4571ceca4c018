package sim

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/discovery"
	"topazshed/internal/proxy"
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

func (f *Fleet) arrive(b *Backend, from *Node, order proxy.Order, method string, finish func(proxy.Event)) {
	h := order.Header
	a := &checker.Arrival{At: f.Now, End: f.Now, Service: b.Service, Instance: b.Instance, Path: order.Path, Method: method, Attempt: h.Get(proxy.HeaderAttempt), Send: h.Get("X-Send"),
		Key: h.Get(proxy.HeaderKey), Proxy: from.Name, IsUnsafe: method != http.MethodGet, IsCutOff: f.isOutOfReach(from)}
	f.History.Arrivals = append(f.History.Arrivals, a)
	f.order++
	id := f.order
	b.open[id] = func(err error) { finish(proxy.Event{Kind: proxy.EventAnswered, Err: err, IsTouched: true}) }
	answer := func(status int, text string, mode Mode) {
		take := b.open[id]
		delete(b.open, id)
		if take == nil {
			return
		}
		o := &proxy.Result{Status: status, Body: []byte(text), Header: http.Header{}}
		a.Digest = proxy.ContentDigest(o.Body)
		o.Header.Set(proxy.HeaderAttempt, a.Attempt)
		o.Header.Set(proxy.HeaderService, b.Service)
		o.Header.Set(proxy.HeaderInstance, b.Instance)
		o.Header.Set(proxy.HeaderDigest, a.Digest)
		e := proxy.Event{Kind: proxy.EventAnswered, Result: o, IsTouched: true}
		switch mode {
		case ModeLose:
			e = proxy.Event{Kind: proxy.EventAnswered, Err: fmt.Errorf("connection reset"), IsTouched: true}
		case ModeCut:
			e = proxy.Event{Kind: proxy.EventAnswered, Err: fmt.Errorf("outcome cut short"), IsTouched: true}
			if f.Options.Fault == "seal" {
				e = proxy.Event{Kind: proxy.EventAnswered, Result: o, IsTouched: true}
				o.Body = o.Body[:len(o.Body)/2]
			}
		case ModeGarbage:
			o.Body = []byte(strings.Repeat("?#", 60))
		case ModeForeign:
			o.Body = []byte(strings.ReplaceAll(text, a.Attempt, "someone-elses"))
			o.Header.Set(proxy.HeaderAttempt, "someone-elses")
			o.Header.Set(proxy.HeaderDigest, proxy.ContentDigest(o.Body))
		}
		if f.Options.Fault == "seal" && e.Result != nil {
			o.Header.Set(proxy.HeaderAttempt, a.Attempt)
			o.Header.Set(proxy.HeaderDigest, proxy.ContentDigest(o.Body))
		}
		f.after(500*time.Microsecond, func() {
			if !f.cuts[[2]string{b.Instance, from.Name}] {
				finish(e)
			}
		})
	}
	if h.Get(proxy.HeaderService) != b.Service || h.Get(proxy.HeaderInstance) != b.Instance {
		answer(http.StatusMisdirectedRequest, "not me", ModeGood)
		return
	}
	holds := time.Duration(1<<62 - 1)
	if a.Key != "" {
		left, err := strconv.Atoi(h.Get(proxy.HeaderWait))
		if err != nil {
			f.addViolation("a keyed leg told %s no wait", b.Instance)
		}
		holds = f.Now + time.Duration(left)*time.Millisecond
	}
	work := func() {
		if f.Now >= holds {
			b.done()
			answer(http.StatusConflict, "no longer held", ModeGood)
			return
		}
		a.IsRun = true
		b.running[a] = true
		span := time.Duration(8+f.random.Intn(15)) * time.Millisecond
		if a.Key != "" && f.random.Intn(30) == 0 {
			span = time.Duration(500+f.random.Intn(5000)) * time.Millisecond
		}
		if f.Now < b.coldUntil {
			span *= coldTimes
		}
		if b.Mode == ModeSlow {
			span *= 20
		}
		span += max(0, b.frozen-f.Now)
		span = min(span, holds-f.Now)
		a.End = f.Now + span
		mode := b.Mode
		f.after(span, func() { f.worked(b, a, mode, answer) })
	}
	if b.working >= workers {
		b.waiting = append(b.waiting, work)
		return
	}
	b.working++
	work()
}

func (f *Fleet) worked(b *Backend, a *checker.Arrival, mode Mode, answer func(int, string, Mode)) {
	if !b.running[a] {
		return
	}
	if f.Now < b.frozen {
		if a.Key == "" {
			a.End = b.frozen
		}
		f.after(b.frozen-f.Now, func() { f.worked(b, a, mode, answer) })
		return
	}
	delete(b.running, a)
	answer(http.StatusOK, fmt.Sprintf(`{"service":%q,"path":%q,"attempt":%q}`, b.Service, a.Path, a.Attempt), mode)
	b.done()
}

func (b *Backend) done() {
	if len(b.waiting) > 0 {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		next()
		return
	}
	b.working--
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/subcommands"
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

func (w *routedPlatform) isLeased(instance string, key uint32) bool {
	for _, hold := range w.leases {
		if hold.instance == instance && hold.first <= key && key <= hold.last && time.Now().Before(hold.until) {
			return true
		}
	}
	return false
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

const routedDocument = `{"routes": [
  {"name": "balances", "host": "ledger.example", "prefix": "/balances/", "repeatable": true, "timeout_ms": 2000, "target_ms": 500, "max_attempts": 3, "targets": [{"service": "ledger", "weight": 1}]},
  {"name": "accounts", "host": "ledger.example", "prefix": "/accounts/", "repeatable": true, "timeout_ms": 2000, "target_ms": 500, "max_attempts": 3, "targets": [{"service": "accounts", "weight": 1}]},
  {"name": "pay", "host": "ledger.example", "prefix": "/pay/", "timeout_ms": 2500, "target_ms": 800, "max_attempts": 2, "home_regions": ["north", "south"], "targets": [{"service": "payments", "weight": 1}]}],
 "services": [{"service": "ledger", "cold_rate": 17}, {"service": "accounts", "cold_rate": 17, "keyed": true}, {"service": "payments", "cold_rate": 17}]}
`

type routedCommand struct {
	program, folder, level string
	seconds, rate          int
	seed                   int64
	isDemo                 bool
}

func (*routedCommand) Name() string { return "routed" }
func (*routedCommand) Synopsis() string {
	return "run a fleet that carries routes over the product's own interface, with troubles, and judge it"
}
func (*routedCommand) Usage() string {
	return "routed [-program FILE] [-seconds N] [-rate N] [-seed N] [-demo]; a zone is emptied and given back, then the leader is killed and started again\n"
}
func (c *routedCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.program, "program", "bin/topazshed", "the program to run")
	flags.StringVar(&c.folder, "folder", "", "folder for data and logs (default: a new temporary one)")
	flags.StringVar(&c.level, "log-level", "info", "log level of the processes")
	flags.IntVar(&c.seconds, "seconds", 24, "seconds of load, from 12 to 600")
	flags.IntVar(&c.rate, "rate", 100, "requests a second, from 1 to 500")
	flags.Int64Var(&c.seed, "seed", 1, "seed of the load and the world")
	flags.BoolVar(&c.isDemo, "demo", false, "no troubles: print the doors and run until interrupted")
}

func (c *routedCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var faults []string
	if flags.NArg() > 0 {
		faults = append(faults, fmt.Sprintf("arguments %q are not known; give only flags", flags.Args()))
	}
	if c.seconds < 12 || c.seconds > 600 {
		faults = append(faults, fmt.Sprintf("-seconds %d is not from 12 to 600; mend it", c.seconds))
	}
	if c.rate < 1 || c.rate > 500 {
		faults = append(faults, fmt.Sprintf("-rate %d is not from 1 to 500; mend it", c.rate))
	}
	if _, err := os.Stat(c.program); err != nil {
		faults = append(faults, fmt.Sprintf("-program can't be found (%v); build it first", err))
	}
	if len(faults) > 0 {
		fmt.Fprintln(os.Stderr, strings.Join(faults, "\n"))
		return subcommands.ExitUsageError
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	broken, err := c.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	for _, text := range broken {
		fmt.Println("BROKEN:", text)
	}
	if len(broken) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

type routedRun struct {
	fleet    *Fleet
	platform *routedPlatform
	client   *http.Client
	lock     sync.Mutex
	serial   int
	ends     map[string]int
	slowest  time.Duration
}

func (r *routedRun) status() (map[string]any, error) {
	for _, m := range r.fleet.machines {
		status, _, text, err := r.fleet.adminCall(m, http.MethodGet, "/v1/status", nil, nil)
		if err == nil && status == http.StatusOK {
			var s map[string]any
			return s, json.Unmarshal(text, &s)
		}
	}
	return nil, errors.New("no door answers a status query")
}

func (r *routedRun) request(kind int, proxy string, key int) {
	r.lock.Lock()
	r.serial++
	id := fmt.Sprintf("routed-%08d", r.serial)
	r.lock.Unlock()
	method, path := http.MethodGet, "/balances/7"
	switch kind {
	case 1:
		path = "/accounts/7"
	case 2:
		method, path = http.MethodPost, "/pay/7"
		r.platform.lock.Lock()
		r.platform.notRepeatable[id] = true
		r.platform.lock.Unlock()
	}
	request, err := http.NewRequest(method, "http://"+proxy+path, nil)
	if err != nil {
		return
	}
	request.Host = "ledger.example"
	request.Header.Set("Topazshed-Attempt", id)
	request.Header.Set("Topazshed-Wait", "2000")
	request.Header.Set("Topazshed-Key", strconv.Itoa(key))
	begun := time.Now()
	end := "unreached"
	response, err := r.client.Do(request)
	if err == nil {
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		end = strconv.Itoa(response.StatusCode)
		isWhole := err == nil && strings.HasSuffix(string(text), " "+path+" "+id) && response.Header.Get("Content-Digest") == seal(text)
		if response.StatusCode == http.StatusOK && !isWhole {
			r.platform.lock.Lock()
			r.platform.addViolation("%s got an answer that is not its own or not whole: %q, %v", id, text, err)
			r.platform.lock.Unlock()
		}
		if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
			r.platform.lock.Lock()
			r.platform.addViolation("%s was refused without Retry-After", id)
			r.platform.lock.Unlock()
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ends[end]++
	if end == "200" {
		r.slowest = max(r.slowest, time.Since(begun))
	}
}

func (r *routedRun) load(ctx context.Context, rate int, random *rand.Rand) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m := r.fleet.machines[random.Intn(len(r.fleet.machines))]
			kind, key := random.Intn(3), random.Intn(1<<16)
			group.Go(func() { r.request(kind, m.publicAddress(7002), key) })
		}
	}
}

// order puts an operator's call to the doors in turn until one takes it.
func (r *routedRun) operate(method, path string, query url.Values, body string) error {
	last := ""
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, m := range r.fleet.machines {
			status, _, text, err := r.fleet.adminCall(m, method, path, query, []byte(body))
			if err == nil && status == http.StatusOK {
				return nil
			}
			if last = fmt.Sprintf("status %d, %s, %v", status, text, err); status == http.StatusUnprocessableEntity {
				return errors.New(last)
			}
		}
	}
	return fmt.Errorf("%s %s was not taken within 20 s: %s", method, path, last)
}

func (c *routedCommand) run(ctx context.Context) ([]string, error) {
	program, err := filepath.Abs(c.program)
	if err != nil {
		return nil, err
	}
	if c.folder == "" {
		if c.folder, err = os.MkdirTemp("", "topazshed-rig-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(c.folder)
	}
	world := newRoutedPlatform(c.seed)
	defer world.close()
	for _, service := range []string{"ledger", "accounts", "payments"} {
		for _, p := range zonePlaces {
			for range 2 {
				if err := world.add(service, p.zone, service == "accounts"); err != nil {
					return nil, err
				}
			}
		}
	}
	if world.server, err = listenAndServe("127.60.0.2:9000", world); err != nil {
		return nil, err
	}
	fleet, err := newFleet(program, c.folder, "http://127.60.0.2:9000/backends", c.level, newHistory())
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	fleet.routes = map[string]any{"list_lag_ms": 0, "retry_slack": 60, "cold_margin": 5, "stop_grace_ms": 4000}
	for _, m := range fleet.machines {
		if err := fleet.start(m); err != nil {
			return nil, err
		}
	}
	r := &routedRun{fleet: fleet, platform: world, ends: map[string]int{}, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
	if err := r.operate(http.MethodPut, "/v1/configuration", url.Values{"base": {"0"}}, routedDocument); err != nil {
		return nil, err
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		s, err := r.status()
		world.lock.Lock()
		held := uint64(0)
		for _, hold := range world.leases {
			held += uint64(hold.last-hold.first) + 1
		}
		world.lock.Unlock()
		nodes, _ := s["nodes"].([]any)
		if err == nil && held == 1<<16 && len(nodes) == len(fleet.machines) {
			break
		}
		if time.Now().After(until) {
			return nil, fmt.Errorf("not settled within 20 s: %d keys held, %d machines known (%v); see the logs in %s", held, len(nodes), err, c.folder)
		}
	}
	random := rand.New(rand.NewSource(c.seed))
	if c.isDemo {
		fmt.Println("the fleet carries routes of ledger.example; doors:")
		for _, m := range fleet.machines {
			fmt.Printf("  %s door %s proxy %s\n", m.name, m.publicAddress(7003), m.publicAddress(7002))
		}
		r.load(ctx, 20, random)
		return world.violations, nil
	}
	return c.injectFaults(ctx, r, random)
}

func (c *routedCommand) injectFaults(ctx context.Context, r *routedRun, random *rand.Rand) ([]string, error) {
	loadCtx, cancel := context.WithTimeout(ctx, time.Duration(c.seconds)*time.Second)
	defer cancel()
	loaded := make(chan bool)
	go func() {
		r.load(loadCtx, c.rate, random)
		close(loaded)
	}()
	pause := func(parts int) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(c.seconds) * time.Second * time.Duration(parts) / 12):
			return true
		}
	}
	injectedFault := func(form string, args ...any) {
		r.platform.lock.Lock()
		defer r.platform.lock.Unlock()
		r.platform.addViolation(form, args...)
	}
	steps := []func() error{
		func() error {
			return r.operate(http.MethodPost, "/v1/districts/north-a/empty", url.Values{"reason": {"new racks"}}, "")
		},
		func() error {
			r.platform.lock.Lock()
			last := time.Since(r.platform.lastRequest["north-a"])
			r.platform.lock.Unlock()
			if most := time.Duration(c.seconds) * time.Second * 2 / 12; last < most-2500*time.Millisecond {
				injectedFault("north-a was emptied %v ago and got a request %v ago", most, last)
			}
			return r.operate(http.MethodPost, "/v1/districts/north-a/restore", nil, "")
		},
		func() error {
			s, err := r.status()
			if err != nil {
				return err
			}
			for _, m := range r.fleet.machines {
				if m.publicAddress(7001) == s["leader"] {
					r.fleet.kill(m)
					fmt.Printf("%s led and was killed\n", m.name)
				}
			}
			return nil
		},
		func() error {
			for _, m := range r.fleet.machines {
				if len(m.exited) > 0 {
					if err := r.fleet.start(m); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
	for _, step := range steps {
		if !pause(2) {
			break
		}
		if err := step(); err != nil {
			return nil, err
		}
	}
	<-loaded
	for _, m := range r.fleet.machines {
		if status, _, text, err := r.fleet.adminCall(m, http.MethodGet, "/v1/configuration", nil, nil); err != nil || status != http.StatusOK || string(text) != routedDocument {
			injectedFault("%s reads back status %d, %d bytes, %v", m.name, status, len(text), err)
		}
	}
	s, err := r.status()
	if err != nil {
		return nil, err
	}
	changes, _ := s["changes"].([]any)
	if len(changes) == 0 {
		injectedFault("status tells no change of standing")
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	total := 0
	for _, count := range r.ends {
		total += count
	}
	fmt.Printf("routed seed %d: %d requests, ends %v, slowest answer %v, %d changes told\n", c.seed, total, r.ends, r.slowest.Round(time.Millisecond), len(changes))
	if 10*r.ends["200"] < 9*total {
		injectedFault("only %d of %d requests were answered", r.ends["200"], total)
	}
	return r.platform.violations, nil
}

package node_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/gateway"
	"topazshed/internal/node"
	"topazshed/internal/schema"
	"topazshed/internal/settings"
	"topazshed/internal/sharding"
)

// patience bounds every wait; nothing waits for it to pass unless something is wrong.
const patience = 10 * time.Second

var names = gateway.DefaultNames()

// until looks again and again for what other goroutines and sockets bring about.
func until(t *testing.T, what string, isSo func() bool) {
	t.Helper()
	at := time.Now()
	end := time.NewTimer(patience)
	defer end.Stop()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !isSo() {
		select {
		case <-ticker.C:
		case <-end.C:
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
	t.Logf("%s: after %v", what, time.Since(at).Round(10*time.Millisecond))
}

// ownerStandIn stands in for a back end; of a keyed service it runs only requests for keys that it owns.
type ownerStandIn struct {
	id     string
	server *httptest.Server
	lock   sync.Mutex
	held   map[[2]uint32]uint64
	isKept bool
	ran    map[string]int
	arrive chan string
	leave  chan struct{}
}

func newOwner(t *testing.T, id string, isKept bool) *ownerStandIn {
	h := &ownerStandIn{id: id, held: map[[2]uint32]uint64{}, isKept: isKept, ran: map[string]int{}, arrive: make(chan string, 9), leave: make(chan struct{})}
	h.server = httptest.NewServer(h)
	t.Cleanup(h.server.Close)
	return h
}

func (h *ownerStandIn) address() string { return strings.TrimPrefix(h.server.URL, "http://") }

func (h *ownerStandIn) isHeld(key uint32) bool {
	for span := range h.held {
		if span[0] <= key && key <= span[1] {
			return true
		}
	}
	return false
}

func (h *ownerStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.Attempt)
	w.Header().Set(names.Attempt, id)
	key, err := strconv.ParseUint(r.Header.Get(names.Key), 10, 16)
	h.lock.Lock()
	if r.Header.Get(names.Target) != h.id || h.isKept && (err != nil || !h.isHeld(uint32(key))) {
		h.lock.Unlock()
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.ran[id]++
	h.lock.Unlock()
	if strings.HasSuffix(r.URL.Path, "/slow") {
		h.arrive <- id
		<-h.leave
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(names.Seal, "seal-"+id)
	fmt.Fprintf(w, "%s %s %s", h.id, r.URL.Path, body)
}

// platformSide is the stand-in list and the way to the back ends' leases.
type platformSide struct {
	lock   sync.Mutex
	items  []discovery.Listed
	owners map[string]*ownerStandIn
	reads  atomic.Int64
	leases atomic.Int64
}

func (p *platformSide) list(ctx context.Context, turn node.Turn) ([]discovery.Listed, int, error) {
	if err := turn(ctx, 0, nil); err != nil {
		return nil, 0, err
	}
	p.reads.Add(1)
	p.lock.Lock()
	defer p.lock.Unlock()
	return append([]discovery.Listed(nil), p.items...), 1, nil
}

func (p *platformSide) lease(_ context.Context, call sharding.Call) (sharding.Answer, error) {
	h := p.owners[call.Instance]
	h.lock.Lock()
	defer h.lock.Unlock()
	span := [2]uint32{uint32(call.First), uint32(call.Last)}
	if call.Kind == sharding.GrantLease {
		if h.held[span] > uint64(call.Fence) {
			return sharding.Answer{ID: call.ID, Result: sharding.Refused}, nil
		}
		h.held[span] = uint64(call.Fence)
		p.leases.Add(1)
		return sharding.Answer{ID: call.ID, Result: sharding.Done}, nil
	}
	delete(h.held, span)
	return sharding.Answer{ID: call.ID, Result: sharding.Done, Handover: "h"}, nil
}

type machine struct {
	settings *settings.Settings
	outside  *node.Outside
	stop     context.CancelFunc
	ended    chan error
	isOver   bool
}

func (m *machine) operate(request *schema.OperatorRequest) *schema.OperatorResponse {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := m.outside.Operate(ctx, request)
	if err != nil {
		return &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_AMBIGUOUS, Message: err.Error()}
	}
	return response
}

// handedOut are the addresses that free has given: the system may give a port again as soon as its listener is closed.
var handedOut sync.Map

// free gives an address that nobody listens on and that was not given before.
func free(t *testing.T, ip string) string {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		listener.Close()
		if _, isGiven := handedOut.LoadOrStore(address, true); !isGiven {
			return address
		}
	}
}

func (p *platformSide) start(t *testing.T, s *settings.Settings) *machine {
	t.Helper()
	return p.startWith(t, s, p.lease)
}

// startWith starts a machine whose lease calls go another way.
func (p *platformSide) startWith(t *testing.T, s *settings.Settings, lease func(context.Context, sharding.Call) (sharding.Answer, error)) *machine {
	t.Helper()
	m := &machine{settings: s, ended: make(chan error, 1)}
	platform := &node.Platform{Names: names, GrantLease: lease, Serve: func(o *node.Outside) map[string]http.Handler {
		m.outside = o
		return map[string]http.Handler{s.Proxy: o.Requests}
	}, Bounds: node.Bounds{Bounds: gateway.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60, ColdExcess: 1.5, ColdMargin: 5},
		MaxHold: 10 * time.Second, ListLag: 100 * time.Millisecond, StopGrace: 1500 * time.Millisecond, MaxResolve: 5 * time.Second}}
	if s.Data != "" {
		platform.List = p.list
	}
	n, err := node.Start(context.Background(), node.Options{Settings: s, Log: slog.New(slog.DiscardHandler), OpenFolder: node.OpenFolder, Platform: platform})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go func() { m.ended <- n.Wait(ctx) }()
	return m
}

func (m *machine) finish(t *testing.T) {
	t.Helper()
	if m.isOver {
		return
	}
	m.isOver = true
	m.stop()
	select {
	case err := <-m.ended:
		if err != nil {
			t.Errorf("%s ended with %v", m.settings.Peer, err)
		}
	case <-time.After(patience):
		t.Errorf("%s does not end", m.settings.Peer)
	}
}

var serial atomic.Int64

func (m *machine) ask(client *http.Client, path, key, body string) (int, string, error) {
	request, err := http.NewRequest("POST", "http://"+m.settings.Proxy+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = "one.example"
	request.Header.Set(names.Attempt, fmt.Sprintf("%016x", serial.Add(1)))
	if key != "" {
		request.Header.Set(names.Key, key)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

func TestRoutedFleet(t *testing.T) {
	copper, nickel1, nickel2 := newOwner(t, "c-1", false), newOwner(t, "n-1", true), newOwner(t, "n-2", true)
	p := &platformSide{owners: map[string]*ownerStandIn{"c-1": copper, "n-1": nickel1, "n-2": nickel2}, items: []discovery.Listed{
		{Service: "copper", Instance: "c-1", Address: copper.address(), Zone: "mu-a", Slots: 6},
		{Service: "nickel", Instance: "n-1", Address: nickel1.address(), Zone: "mu-a", Slots: 6},
		{Service: "nickel", Instance: "n-2", Address: nickel2.address(), Zone: "mu-b", Slots: 6}}}
	var machines []*machine
	var all []*settings.Settings
	var seeds []string
	for i := range 4 {
		ip := fmt.Sprintf("127.0.77.%d", i+1)
		s := &settings.Settings{Peer: free(t, ip), Proxy: free(t, ip), Admin: ip + ":1", Zone: []string{"mu-a", "mu-b", "xi-a", "mu-a"}[i], Region: []string{"mu", "mu", "xi", "mu"}[i], DiskBytes: 16 << 20}
		s.PeerShown, s.ProxyShown, s.AdminShown = s.Peer, s.Proxy, s.Admin
		if i < 3 {
			s.Data = t.TempDir()
			seeds = append(seeds, s.Peer)
		}
		all = append(all, s)
	}
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		var group sync.WaitGroup
		for _, m := range machines {
			group.Go(func() { m.finish(t) })
		}
		group.Wait()
	})
	for _, s := range all {
		s.Seeds = seeds
		machines = append(machines, p.start(t, s))
	}
	for i, m := range machines {
		if m.outside.IsReady() {
			t.Fatalf("machine %d is ready without a configuration", i)
		}
	}
	until(t, "founded, and the operator is answered by each machine", func() bool {
		for _, m := range machines {
			if m.operate(&schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW}).Refusal != schema.RefusalKind_REFUSAL_NONE {
				return false
			}
		}
		return true
	})
	until(t, "the list is read", func() bool { return p.reads.Load() > 0 })

	target := func(service string) []*schema.Target { return []*schema.Target{{Service: service, Weight: 1}} }
	config := &schema.RouteConfig{Version: 5, Document: []byte("{ the operator's own text\n}"), Routes: []*schema.Route{
		{Name: "r-1", Host: "one.example", Prefix: "/c/", TimeoutMs: 5000, TargetMs: 500, MaxAttempts: 2, Targets: target("copper")},
		{Name: "r-2", Host: "one.example", Prefix: "/n/", TimeoutMs: 5000, TargetMs: 500, MaxAttempts: 2, Targets: target("nickel")}},
		Services: []*schema.ServicePolicy{{Service: "copper", ColdRate: 17}, {Service: "nickel", ColdRate: 17, Keyed: true}}}
	put := &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT_ROUTES, Routes: config}
	until(t, "the configuration is taken by the machine without a disk", func() bool { return machines[3].operate(put).Refusal == schema.RefusalKind_REFUSAL_NONE })
	if response := machines[1].operate(put); response.Refusal != schema.RefusalKind_REFUSAL_NONE {
		t.Fatalf("the same configuration sent again to another: %v", response)
	}
	other := &schema.RouteConfig{Version: 6, Base: 0, Document: []byte("other"), Services: config.Services}
	if response := machines[0].operate(&schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT_ROUTES, Routes: other}); response.Refusal != schema.RefusalKind_REFUSAL_CONFLICT {
		t.Fatalf("a second change on top of version 0: %v", response)
	}

	for i, m := range machines {
		until(t, fmt.Sprintf("machine %d serves", i), func() bool {
			status, text, err := m.ask(client, "/c/x", "", "work")
			return err == nil && status == 200 && text == "c-1 /c/x work"
		})
		if !m.outside.IsReady() {
			t.Fatalf("machine %d serves and is not ready", i)
		}
	}
	until(t, "keys are granted and served", func() bool {
		for _, key := range []string{"0", "20000", "40000", "65535"} {
			if status, text, err := machines[3].ask(client, "/n/x", key, "k"); err != nil || status != 200 || !strings.HasPrefix(text, "n-") {
				return false
			}
		}
		return true
	})
	for i, m := range machines {
		until(t, fmt.Sprintf("machine %d reads back", i), func() bool {
			response := m.operate(&schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW})
			return response.Version == 5 && bytes.Equal(response.Document, config.Document)
		})
	}
	until(t, "the directory knows the machines", func() bool {
		addresses, incarnation := machines[3].outside.Resolve("mu", "mu-a")
		return incarnation > 0 && strings.Contains(strings.Join(addresses, " "), all[0].Proxy) && strings.Contains(strings.Join(addresses, " "), all[3].Proxy)
	})

	// A planned stop: what is in flight ends whole, what still comes is served, and its connections are closed.
	leaver := machines[0]
	type end struct {
		status int
		text   string
		err    error
	}
	ends := make(chan end, 1)
	go func() {
		status, text, err := leaver.ask(client, "/c/slow", "", "in flight")
		ends <- end{status, text, err}
	}()
	select {
	case <-copper.arrive:
	case <-time.After(patience):
		t.Fatal("the slow request did not arrive")
	}
	leaver.stop()
	until(t, "the stopping machine is not ready any more", func() bool { return !leaver.outside.IsReady() })
	if status, text, err := leaver.ask(client, "/c/late", "", "late"); err != nil || status != 200 {
		t.Errorf("a request just after the stop's beginning: %d %s %v", status, text, err)
	}
	until(t, "the others no longer name it", func() bool {
		addresses, _ := machines[3].outside.Resolve("mu", "mu-a")
		return !strings.Contains(strings.Join(addresses, " "), all[0].Proxy)
	})
	close(copper.leave)
	if e := <-ends; e.err != nil || e.status != 200 || e.text != "c-1 /c/slow in flight" {
		t.Errorf("the request in flight ended with %+v", e)
	}
	leaver.finish(t)
	for i, m := range machines[1:] {
		until(t, fmt.Sprintf("machine %d serves on", i+1), func() bool {
			status, _, err := m.ask(client, "/c/x", "", "work")
			return err == nil && status == 200
		})
	}
	copper.lock.Lock()
	for id, count := range copper.ran {
		if count > 1 {
			t.Errorf("request %s ran %d times", id, count)
		}
	}
	copper.lock.Unlock()

	// The stopped machine comes back with its disk.
	s := *all[0]
	s.Rejoin = true
	machines[0] = p.start(t, &s)
	until(t, "the stopped machine is back with its configuration", func() bool {
		status, _, err := machines[0].ask(client, "/c/x", "", "work")
		response := machines[0].operate(&schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW})
		return err == nil && status == 200 && response.Version == 5
	})
}

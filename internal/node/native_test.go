package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"topazshed/internal/adminapi"
	"topazshed/internal/discovery"
	"topazshed/internal/node"
	"topazshed/internal/settings"
)

// nativeOwner answers the product's own key calls beside the requests.
type nativeOwner struct {
	*ownerStandIn
	leases, releases int
}

func (h *nativeOwner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/keys/") {
		h.ownerStandIn.ServeHTTP(w, r)
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	var call node.KeyCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || r.Header.Get(names.Target) != h.id {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	span := [2]uint32{uint32(call.First), uint32(call.Last)}
	switch {
	case r.URL.Path == "/keys/release":
		h.releases++
		delete(h.held, span)
		w.Header().Set(node.HandoverHeader, "h")
	case call.HoldMS <= 0 || h.held[span] > call.Number:
		w.WriteHeader(http.StatusConflict)
	default:
		h.leases++
		h.held[span] = call.Number
	}
}

func newNativeOwner(t *testing.T, id string, isKept bool) *nativeOwner {
	h := &nativeOwner{ownerStandIn: &ownerStandIn{id: id, held: map[[2]uint32]uint64{}, isKept: isKept, ran: map[string]int{}}}
	h.server = httptest.NewServer(h)
	t.Cleanup(h.server.Close)
	return h
}

// nativeList is a stand-in list in the product's own pages, two back ends each.
type nativeList struct {
	lock  sync.Mutex
	items []discovery.RoutedItem
}

func (l *nativeList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.lock.Lock()
	defer l.lock.Unlock()
	number, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	page := discovery.RoutedPage{Page: discovery.Page{Page: number, Pages: (len(l.items) + 1) / 2, Total: len(l.items), Revision: 1}}
	for i := 2 * number; i < min(len(l.items), 2*number+2); i++ {
		page.Backends = append(page.Backends, l.items[i])
	}
	json.NewEncoder(w).Encode(page)
}

type nativeMachine struct {
	settings *settings.Settings
	client   *http.Client
}

func (m *nativeMachine) admin(method, path, body string) (int, http.Header, string) {
	request, err := http.NewRequest(method, "http://"+m.settings.Admin+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err.Error()
	}
	response, err := m.client.Do(request)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return response.StatusCode, response.Header, string(text)
}

func (m *nativeMachine) read(t *testing.T, path string, into any) {
	t.Helper()
	if status, _, text := m.admin("GET", path, ""); status != 200 || json.Unmarshal([]byte(text), into) != nil {
		t.Fatalf("%s: %d %s", path, status, text)
	}
}

func (m *nativeMachine) ask(path, key string) (int, string) {
	status, text, err := (&machine{settings: m.settings}).ask(m.client, path, key, "work")
	if err != nil {
		return 0, err.Error()
	}
	return status, text
}

func TestNativeRoutedFleet(t *testing.T) {
	copper, copper2, nickel := newNativeOwner(t, "c-1", false), newNativeOwner(t, "c-2", false), newNativeOwner(t, "n-1", true)
	list := &nativeList{items: []discovery.RoutedItem{{Item: discovery.Item{Service: "copper", Instance: "c-1", Address: copper.address(), Zone: "mu-a", State: "ready"}, Slots: 6},
		{Item: discovery.Item{Service: "copper", Instance: "c-2", Address: copper2.address(), Zone: "mu-b", State: "ready"}, Slots: 6},
		{Item: discovery.Item{Service: "nickel", Instance: "n-1", Address: nickel.address(), Zone: "mu-a", State: "ready"}, Slots: 6}}}
	platform := httptest.NewServer(list)
	t.Cleanup(platform.Close)
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableCompression: true}}
	var machines []*nativeMachine
	var seeds []string
	for i := range 4 {
		ip := fmt.Sprintf("127.0.78.%d", i+1)
		s := &settings.Settings{Peer: free(t, ip), Proxy: free(t, ip), Admin: free(t, ip), Zone: []string{"mu-a", "mu-b", "xi-a", "mu-b"}[i], Region: []string{"mu", "mu", "xi", "mu"}[i], DiskBytes: 16 << 20, Routes: settings.DefaultRoutes()}
		s.Routes.ListLagMS, s.Routes.StopGraceMS = 100, 1500
		s.PeerShown, s.ProxyShown, s.AdminShown = s.Peer, s.Proxy, s.Admin
		if i < 3 {
			s.Data, s.Platform = t.TempDir(), platform.URL
			seeds = append(seeds, s.Peer)
		}
		machines = append(machines, &nativeMachine{s, client})
	}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() {
		client.CloseIdleConnections()
		stop()
		group.Wait()
	})
	for _, m := range machines {
		m.settings.Seeds = seeds
		if err := m.settings.Check(); err != nil {
			t.Fatal(err)
		}
		n, err := node.Start(context.Background(), node.Options{Settings: m.settings, Log: slog.New(slog.DiscardHandler), OpenFolder: node.OpenFolder})
		if err != nil {
			t.Fatal(err)
		}
		group.Go(func() {
			if err := n.Wait(ctx); err != nil {
				t.Errorf("%s ended with %v", m.settings.Peer, err)
			}
		})
	}
	if status, header, text := machines[0].admin("GET", "/v1/ready", ""); status != 503 || header.Get("Retry-After") == "" {
		t.Fatalf("ready without a configuration: %d %s", status, text)
	}
	route := func(prefix, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"one.example","prefix":%q,"timeout_ms":5000,"target_ms":500,"max_attempts":2,"targets":[{"service":%q,"weight":1}]}`, service, prefix, service)
	}
	document := `{"routes":[` + route("/c/", "copper") + `,` + route("/n/", "nickel") + "],\n \"services\":[{\"service\":\"copper\",\"cold_rate\":17},{\"service\":\"nickel\",\"cold_rate\":17,\"keyed\":true}]}"
	until(t, "the configuration is taken by the machine without a disk", func() bool {
		status, _, text := machines[3].admin("PUT", "/v1/configuration?base=0", document)
		return status == 200 && strings.Contains(text, `"version":1`)
	})
	for _, c := range []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"the same again", "PUT", "/v1/configuration?base=0", document, 200, `"version":1`},
		{"another on the same base", "PUT", "/v1/configuration?base=0", `{"routes":[]}`, 409, `"version":1`},
		{"an unknown service", "PUT", "/v1/configuration?base=1", `{"routes":[` + route("/z/", "zinc") + `]}`, 422, `"path":"routes[0].targets[0].service"`},
		{"a wrong shape", "PUT", "/v1/configuration?base=1", `{"routes":[{"hots":1}]}`, 422, `"path":"routes[0].hots"`},
		{"cut short", "PUT", "/v1/configuration?base=1", document[:50], 422, "send it whole"},
		{"no base", "PUT", "/v1/configuration", document, 400, "?base=N"},
		{"operator keys", "GET", "/v1/configuration/outcome?key=k", "", 404, "taken once"},
		{"an unknown zone", "POST", "/v1/districts/moon/empty", "", 404, "moon"},
		{"an unknown region", "GET", "/v1/standings/moon", "", 404, "see status"},
		{"an unknown call", "GET", "/v1/moon", "", 404, "docs/operators.md"},
	} {
		var status int
		var text string
		until(t, c.name+": answered by a leader", func() bool {
			status, _, text = machines[1].admin(c.method, c.path, c.body)
			return status != http.StatusServiceUnavailable
		})
		if status != c.status || !strings.Contains(text, c.want) {
			t.Errorf("%s: %d %s, want %d %s", c.name, status, text, c.status, c.want)
		}
	}
	for i, m := range machines {
		until(t, fmt.Sprintf("machine %d serves and is ready", i), func() bool {
			status, text := m.ask("/c/x", "")
			ready, _, _ := m.admin("GET", "/v1/ready", "")
			return status == 200 && strings.HasSuffix(text, " /c/x work") && ready == 200
		})
		if status, header, text := m.admin("GET", "/v1/configuration", ""); status != 200 || text != document || header.Get("Topazshed-Version") != "1" {
			t.Errorf("machine %d reads back %d %s", i, status, text)
		}
	}
	until(t, "keys are granted and served", func() bool {
		for _, key := range []string{"0", "40000", "65535"} {
			if status, text := machines[3].ask("/n/x", key); status != 200 || !strings.HasPrefix(text, "n-1") {
				return false
			}
		}
		return true
	})
	until(t, "a directory names the machines", func() bool {
		var match adminapi.Match
		status, _, text := machines[2].admin("GET", "/v1/match?region=mu&district=mu-b", "")
		return status == 200 && json.Unmarshal([]byte(text), &match) == nil && match.LiveMS > 0 && len(match.Proxies) == 2 && strings.Contains(text, machines[1].settings.Proxy) && strings.Contains(text, machines[3].settings.Proxy)
	})

	// A zone is emptied: its back ends get nothing, the failover assignment tells why, and it comes back.
	var before adminapi.AssignmentsAnswer
	machines[0].read(t, "/v1/standings/mu?service=copper", &before)
	if status, _, text := machines[3].admin("POST", "/v1/districts/mu-a/empty?reason=new+racks", ""); status != 200 {
		t.Fatalf("%d %s", status, text)
	}
	var after adminapi.AssignmentsAnswer
	until(t, "the failover assignment moves and tells why", func() bool {
		machines[3].read(t, "/v1/standings/mu?service=copper", &after)
		return after.Group != before.Group && len(after.Changes) > 0
	})
	last := after.Changes[len(after.Changes)-1]
	if at, err := time.Parse(time.RFC3339, last.At); err != nil || time.Since(at) > time.Minute || last.Evidence != "mu-a is emptied (new racks)" && !strings.HasPrefix(last.Evidence, "mu-a is emptied (new racks); ") ||
		last.From >= last.To || last.Was != before.Group || last.Is != after.Group || last.Leader == "" || last.Cause == "" {
		t.Errorf("%+v: %v", last, err)
	}
	until(t, "an emptied zone's back end gets nothing", func() bool {
		for range 8 {
			if status, text := machines[0].ask("/c/x", ""); status != 200 || !strings.HasPrefix(text, "c-2") {
				return false
			}
		}
		return true
	})
	var status adminapi.Status
	until(t, "every machine is reported to have the configuration", func() bool {
		machines[1].read(t, "/v1/status", &status)
		for _, n := range status.Nodes {
			if !n.InForce || n.HeardMs < 0 {
				return false
			}
		}
		return len(status.Nodes) == 4
	})
	if status.Configuration != 1 || !status.Fit || status.Disk == nil || len(status.Voters) != 3 || status.Routed.Routes != 2 || len(status.Routed.Services) != 2 || len(status.Changes) == 0 || status.LeaderUnreachable != "" || len(status.Backends) != 3 {
		t.Errorf("%+v, %+v", status, status.Routed)
	}
	if status, _, text := machines[3].admin("POST", "/v1/districts/mu-a/restore", ""); status != 200 {
		t.Fatalf("%d %s", status, text)
	}
	until(t, "the failover assignment is back", func() bool {
		machines[0].read(t, "/v1/standings/mu?service=copper", &after)
		return after.Group == before.Group
	})
	until(t, "its keys are granted and served again", func() bool {
		status, _ := machines[0].ask("/n/x", "7")
		return status == 200
	})
	var all struct {
		Assignments []adminapi.Assignment `json:"standings"`
	}
	machines[2].read(t, "/v1/standings", &all)
	if len(all.Assignments) < 2 {
		t.Errorf("%+v", all)
	}
	for _, h := range []*nativeOwner{copper, copper2, nickel} {
		h.lock.Lock()
		for id, count := range h.ran {
			if count > 1 {
				t.Errorf("request %s ran %d times at %s", id, count, h.id)
			}
		}
		h.lock.Unlock()
	}
}

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"topazshed/internal/controlplane"
	"topazshed/internal/responses"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

type front struct {
	t       testing.TB
	gateway *Gateway
	server  *httptest.Server
	client  *http.Client
}

// newFront puts a gateway before back ends: the first is the best of the choice until it fails, the others are in another region.
// Below /safe/ requests are repeatable, below /once/ they are not, and /brief/ has a short time-out.
func newFront(t testing.TB, backends ...*standIn) *front {
	w := newWorld(t)
	for i, b := range backends {
		zone := "kol-a"
		if i > 0 {
			zone = "tor-a"
		}
		w.backend(fmt.Sprint("i-", i), zone, b.address())
	}
	for prefix, turn := range map[string]func(*schema.Route){"/safe/": func(r *schema.Route) { r.Repeatable = true }, "/once/": func(*schema.Route) {}, "/": func(r *schema.Route) { r.Host = "root.example" },
		"/brief/": func(r *schema.Route) { r.TimeoutMs = 150 }} {
		route := &schema.Route{Host: "one.example", Prefix: prefix, TimeoutMs: 3000, TargetMs: 1000, MaxAttempts: 2, Targets: []*schema.Target{{Service: "copper", Weight: 1}}}
		turn(route)
		w.put(store.RouteKey(route.Host, prefix), route)
	}
	w.put(store.LimitsKey, &schema.Limits{BodyBytes: 1 << 20})
	local := &controlplane.Local{View: w.settle(), FreshAt: time.Hour}
	random := rand.New(rand.NewPCG(1, 2))
	var lock sync.Mutex
	begun := time.Now()
	now := func() time.Duration { return time.Since(begun) + time.Hour }
	g := New(Options{Self: self, Now: now, Local: func() *controlplane.Local { return local }, Names: names, Bounds: bounds, Listen: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler), Responses: responses.NewTally(slog.New(slog.DiscardHandler)),
		Draw: func(n int64) int64 {
			lock.Lock()
			defer lock.Unlock()
			return random.Int64N(n)
		}})
	for range 200 {
		g.loads.First(now(), "copper")
	}
	f := &front{t: t, gateway: g, server: httptest.NewServer(g), client: &http.Client{Timeout: patience, Transport: &http.Transport{DisableCompression: true}}}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		for _, b := range backends {
			b.stop()
		}
		f.server.CloseClientConnections()
		f.server.Close()
		g.Close()
	})
	return f
}

var serial struct {
	sync.Mutex
	n int
}

func nextID() string {
	serial.Lock()
	defer serial.Unlock()
	serial.n++
	return fmt.Sprintf("%016x", serial.n)
}

func (f *front) request(method, path string, body io.Reader) *http.Request {
	f.t.Helper()
	r, err := http.NewRequest(method, f.server.URL+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "one.example"
	r.Header.Set(names.Attempt, nextID())
	return r
}

type got struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (f *front) do(r *http.Request) got {
	f.t.Helper()
	response, err := f.client.Do(r)
	if err != nil {
		return got{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return got{response.StatusCode, response.Header, body, err}
}

func (f *front) get(path string) got { f.t.Helper(); return f.do(f.request("GET", path, nil)) }

func (f *front) post(path, body string) got {
	f.t.Helper()
	return f.do(f.request("POST", path, strings.NewReader(body)))
}

// raw sends bytes and a line that is no request on one connection, and gives the statuses of all answers until the gateway closes it.
func (f *front) raw(text string) []int {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, text+"END\r\n\r\n")
	var statuses []int
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return statuses
		}
		statuses = append(statuses, response.StatusCode)
	}
}

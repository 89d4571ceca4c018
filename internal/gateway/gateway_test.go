package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// patience bounds every wait on a socket or a channel; nothing waits for it to pass unless something is wrong.
const patience = 4 * time.Second

var names = DefaultNames()

type seen struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	BodyErr           error
	TransferEncoding  []string
	Length            int64
	Connection        int
}

func (s seen) id() string { return s.Header.Get(names.Attempt) }

// standIn is a back end on a loopback socket; its script writes raw bytes and tells whether the connection stays open.
type standIn struct {
	listener net.Listener
	lock     sync.Mutex
	requests []seen
	opened   int
	closed   chan struct{}
	stop     func()
}

type script func(r seen, conn net.Conn) (isOpen bool)

func newStandIn(t testing.TB, act script) *standIn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{listener: listener, closed: make(chan struct{}, 100)}
	var group sync.WaitGroup
	var conns sync.Map
	s.stop = func() {
		listener.Close()
		conns.Range(func(conn, _ any) bool { conn.(net.Conn).Close(); return true })
		group.Wait()
	}
	t.Cleanup(s.stop)
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Store(conn, true)
			s.lock.Lock()
			s.opened++
			number := s.opened
			s.lock.Unlock()
			group.Go(func() {
				defer func() {
					conn.Close()
					s.closed <- struct{}{}
				}()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, err := io.ReadAll(request.Body)
					r := seen{request.Method, request.RequestURI, request.Host, request.Header, body, err, request.TransferEncoding, request.ContentLength, number}
					s.lock.Lock()
					s.requests = append(s.requests, r)
					s.lock.Unlock()
					if err != nil || !act(r, conn) {
						return
					}
				}
			})
		}
	})
	return s
}

func (s *standIn) address() string { return s.listener.Addr().String() }

func (s *standIn) got() []seen {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]seen(nil), s.requests...)
}

func (s *standIn) connections() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.opened
}

func answer(r seen, status int, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d Word\r\n%s: %s\r\n%s: seal-%s\r\n", status, names.Attempt, r.id(), names.Seal, r.id())
	isSized := false
	for _, header := range headers {
		text += header + "\r\n"
		isSized = isSized || strings.HasPrefix(header, "Content-Length") || strings.HasPrefix(header, "Transfer-Encoding")
	}
	if !isSized {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

func unsealed(text string) string {
	var kept []string
	for _, line := range strings.SplitAfter(text, "\r\n") {
		if !strings.HasPrefix(line, names.Seal) {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "")
}

func saying(text func(seen) string) script {
	return func(r seen, conn net.Conn) bool {
		io.WriteString(conn, text(r))
		return true
	}
}

func thenClose(text func(seen) string) script {
	return func(r seen, conn net.Conn) bool {
		io.WriteString(conn, text(r))
		return false
	}
}

func thenReset(text func(seen) string) script {
	return func(r seen, conn net.Conn) bool {
		io.WriteString(conn, text(r))
		conn.(*net.TCPConn).SetLinger(0)
		return false
	}
}

func fine(r seen) string    { return answer(r, 200, "fine "+r.id()) }
func nothing(r seen) string { return "" }
func notRun(status int) func(seen) string {
	return func(r seen) string { return unsealed(answer(r, status, "", names.NotRun+": 1")) }
}

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
	local := &controlplane.Local{View: w.settle()}
	random := rand.New(rand.NewPCG(1, 2))
	var lock sync.Mutex
	begun := time.Now()
	now := func() time.Duration { return time.Since(begun) + time.Hour }
	g := New(Options{Self: self, Now: now, Local: func() *controlplane.Local { return local }, Names: names, Bounds: bounds, Listen: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler),
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

func TestAnswersComeBackUnchanged(t *testing.T) {
	for _, c := range []struct {
		name    string
		method  string
		status  int
		body    string
		headers []string
	}{
		{"a plain one", "GET", 200, "bytes \x00\xff\r\n\r\nHTTP/1.1 200 OK", []string{"X-Own: 1", "Set-Cookie: a=1", "Set-Cookie: b=2", "Content-Type: application/x-own"}},
		{"an empty one", "GET", 200, "", []string{"Content-Type: text/x"}},
		{"created", "POST", 201, "made", []string{"Location: /else"}},
		{"no content", "DELETE", 204, "", []string{"X-Own: 2"}},
		{"a redirect", "GET", 302, "there", []string{"Location: http://else.example/"}},
		{"not modified", "GET", 304, "", []string{"Etag: \"x\""}},
		{"the back end's own 404", "GET", 404, "not here", nil},
		{"the back end's own 409", "POST", 409, "no", nil},
		{"the back end's own 500", "POST", 500, "broken", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newStandIn(t, saying(func(r seen) string {
				headers := c.headers
				if c.status == 204 || c.status == 304 {
					headers = append([]string{"Content-Length: 0"}, headers...)
				}
				return answer(r, c.status, c.body, headers...)
			}))
			f := newFront(t, b)
			f.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
			r := f.request(c.method, "/once/x", nil)
			a := f.do(r)
			if a.err != nil || a.status != c.status || string(a.body) != c.body || a.header.Get(names.Seal) != "seal-"+r.Header.Get(names.Attempt) {
				t.Fatalf("%+v", a)
			}
			for _, line := range c.headers {
				name, value, _ := strings.Cut(line, ": ")
				if values := a.header.Values(name); !strings.Contains(strings.Join(values, "|"), value) {
					t.Errorf("header %s is %q, not %q", name, values, value)
				}
			}
		})
	}
}

func TestRequestsGoOnUnchanged(t *testing.T) {
	for _, c := range []struct {
		method, path, host, body string
	}{
		{"GET", "/safe/a/b?c=d&e=%20f&&g", "one.example", ""},
		{"GET", "/safe/%2F%41/./../x//y/?", "one.example", ""},
		{"GET", "/safe/a;b=c,d|\"?x=%zz", "one.example", ""},
		{"GET", "//double//slash?q", "root.example", ""},
		{"GET", "/", "Root.Example:8080", ""},
		{"POST", "/once/p", "one.example", "body \x00\xff"},
		{"POST", "/once/p", "one.example", ""},
		{"PUT", "/safe/p", "one.example", strings.Repeat("x", 70000)},
		{"PATCH", "/safe/p?z", "one.example", "p"},
		{"DELETE", "/once/d", "one.example", ""},
		{"DELETE", "/once/d", "one.example", "with body"},
		{"OPTIONS", "/once/o", "one.example", ""},
		{"REPORT", "/once/o", "one.example", ""},
	} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			b := newStandIn(t, saying(fine))
			f := newFront(t, b)
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(patience))
			id := nextID()
			length := fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
			if c.method == "GET" {
				length = ""
			}
			fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 900\r\n%s: forged\r\nX-Two: 1\r\nX-Two: 2\r\nX-Hop: 3\r\nConnection: x-hop\r\n%s\r\n%s", c.method, c.path, c.host, names.Attempt, id, names.Deadline, names.Target, length, c.body)
			response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
			if err != nil || response.StatusCode != 200 {
				t.Fatalf("%v, %v", response, err)
			}
			all := b.got()
			if len(all) != 1 {
				t.Fatalf("%d requests", len(all))
			}
			r := all[0]
			if r.Method != c.method || r.URI != c.path || r.Host != c.host || string(r.Body) != c.body || r.id() != id || r.Header.Get(names.Target) != "i-0" {
				t.Fatalf("%s %s of %s (%d bytes), %v", r.Method, r.URI, r.Host, len(r.Body), r.Header)
			}
			if left, err := strconv.Atoi(r.Header.Get(names.Deadline)); err != nil || left < 1 || left > 900 {
				t.Fatalf("left %q of 900", r.Header.Get(names.Deadline))
			}
			if two := r.Header.Values("X-Two"); len(two) != 2 || r.Header.Get("X-Hop") != "" {
				t.Fatalf("%v", r.Header)
			}
		})
	}
}

func TestUntrustworthyAnswers(t *testing.T) {
	long := strings.Repeat("y", 100)
	for _, c := range []struct {
		name string
		act  script
	}{
		{"cut short by its length", thenClose(func(r seen) string { return answer(r, 200, long, "Content-Length: 101") })},
		{"cut short, chunked", thenClose(func(r seen) string { return answer(r, 200, "64\r\n"+long+"\r\n", "Transfer-Encoding: chunked") })},
		{"cut short within a chunk", thenClose(func(r seen) string { return answer(r, 200, "65\r\n"+long, "Transfer-Encoding: chunked") })},
		{"cut short within its head", thenClose(func(r seen) string { return answer(r, 200, "")[:30] })},
		{"no bytes", thenClose(nothing)},
		{"reset", thenReset(nothing)},
		{"reset within its body", thenReset(func(r seen) string { return answer(r, 200, long, "Content-Length: 200") })},
		{"ended by closing", thenClose(func(r seen) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\n%s", names.Attempt, r.id(), names.Seal, long)
		})},
		{"no protocol", thenClose(func(r seen) string { return "\x16\x03\x01 not an answer\r\n\r\n" })},
		{"a broken chunk", thenClose(func(r seen) string { return answer(r, 200, "zz\r\nabc\r\n0\r\n\r\n", "Transfer-Encoding: chunked") })},
		{"a success without seal", saying(func(r seen) string { return unsealed(fine(r)) })},
		{"a success with an empty seal", saying(func(r seen) string { return strings.Replace(fine(r), "seal-"+r.id(), "", 1) })},
		{"an encoded success", saying(func(r seen) string { return answer(r, 200, "zip", "Content-Encoding: gzip") })},
		{"503 without word that it has not run", saying(func(r seen) string { return answer(r, 503, "") })},
		{"429 without word that it has not run", saying(func(r seen) string { return answer(r, 429, "") })},
		{"408 without word that it has not run", saying(func(r seen) string { return answer(r, 408, "") })},
		{"another's answer alone", thenClose(func(r seen) string { return strings.ReplaceAll(fine(r), r.id(), "ffff") })},
		{"an answer without id", thenClose(func(r seen) string { return strings.Replace(fine(r), names.Attempt, "X-Nothing", 1) })},
	} {
		for _, isSafe := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, repeatable %v", c.name, isSafe), func(t *testing.T) {
				bad, good := newStandIn(t, c.act), newStandIn(t, saying(fine))
				f := newFront(t, bad, good)
				path := "/once/x"
				if isSafe {
					path = "/safe/x"
				}
				r := f.request("POST", path, strings.NewReader("work"))
				a := f.do(r)
				if a.err != nil {
					t.Fatal(a.err)
				}
				if len(bad.got()) != 1 {
					t.Fatalf("the first back end got %d requests", len(bad.got()))
				}
				if isSafe && (a.status != 200 || string(a.body) != "fine "+r.Header.Get(names.Attempt) || len(good.got()) != 1 || string(good.got()[0].Body) != "work") {
					t.Fatalf("status %d, %q, %d requests at the other", a.status, a.body, len(good.got()))
				}
				if !isSafe && (a.status != 502 || len(good.got()) != 0) {
					t.Fatalf("status %d, %q, %d requests at the other", a.status, a.body, len(good.got()))
				}
			})
		}
	}
}

func TestALongAnswerCutShortNeverLooksComplete(t *testing.T) {
	long := strings.Repeat("z", 3*constants.KeepAnswer)
	for _, c := range []struct {
		name string
		act  script
	}{
		{"by its length", thenClose(func(r seen) string { return answer(r, 200, long, fmt.Sprint("Content-Length: ", len(long)+1)) })},
		{"chunked", thenClose(func(r seen) string {
			return answer(r, 200, fmt.Sprintf("%x\r\n%s\r\n", len(long), long), "Transfer-Encoding: chunked")
		})},
		{"a broken chunk", thenClose(func(r seen) string {
			return answer(r, 200, fmt.Sprintf("%x\r\n%s\r\nzz\r\n0\r\n\r\n", len(long), long), "Transfer-Encoding: chunked")
		})},
		{"reset", thenReset(func(r seen) string { return answer(r, 200, long, fmt.Sprint("Content-Length: ", 2*len(long))) })},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFront(t, newStandIn(t, c.act))
			a := f.get("/safe/x")
			if a.err == nil && a.status == 200 {
				t.Fatalf("%d bytes of a broken answer look complete", len(a.body))
			}
		})
	}
}

func TestLongAnswersStreamUnchanged(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 40000)
	for _, c := range []struct {
		name string
		text func(seen) string
	}{
		{"with a length", func(r seen) string { return answer(r, 200, long) }},
		{"exactly what is kept", func(r seen) string { return answer(r, 200, long[:constants.KeepAnswer]) }},
		{"one byte more than what is kept", func(r seen) string { return answer(r, 200, long[:constants.KeepAnswer+1]) }},
		{"chunked", func(r seen) string {
			return answer(r, 200, fmt.Sprintf("%x\r\n%s\r\n%x;ext=1\r\n%s\r\n0\r\nX-Trailer: 1\r\n\r\n", 5, long[:5], len(long)-5, long[5:]), "Transfer-Encoding: chunked")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newStandIn(t, saying(c.text))
			f := newFront(t, b)
			for range 2 {
				a := f.get("/safe/x")
				if a.err != nil || a.status != 200 || !strings.HasPrefix(long, string(a.body)) || len(a.body) < constants.KeepAnswer {
					t.Fatalf("status %d, %d bytes, %v", a.status, len(a.body), a.err)
				}
			}
			if b.connections() != 1 {
				t.Errorf("%d connections for two whole answers", b.connections())
			}
		})
	}
}

func TestSurplusNeverReachesTheNextRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		extra func(r seen) string
	}{
		{"a second answer of the same id", fine},
		{"a second answer of another id", func(r seen) string { return strings.ReplaceAll(fine(r), r.id(), "ffff") }},
		{"stray bytes", func(seen) string { return "stray" }},
		{"half an answer", func(r seen) string { return fine(r)[:20] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			// With the answer at once, or on its own just after it.
			for _, isApart := range []bool{false, true} {
				written := make(chan struct{}, 10)
				b := newStandIn(t, func(r seen, conn net.Conn) bool {
					if isApart {
						io.WriteString(conn, fine(r))
						io.WriteString(conn, c.extra(r))
					} else {
						io.WriteString(conn, fine(r)+c.extra(r))
					}
					written <- struct{}{}
					return true
				})
				f := newFront(t, b)
				for range 3 {
					r := f.request("POST", "/once/x", nil)
					if a := f.do(r); a.err != nil || a.status != 200 || string(a.body) != "fine "+r.Header.Get(names.Attempt) {
						t.Fatalf("apart %v: %+v", isApart, a)
					}
					select {
					case <-written:
					case <-time.After(patience):
						t.Fatal("the back end is stuck")
					}
				}
			}
		})
	}
}

func TestALateAnswerOfAnotherIDIsSkipped(t *testing.T) {
	b := newStandIn(t, saying(func(r seen) string {
		return answer(seen{Header: http.Header{names.Attempt: {"ffff"}}}, 200, "late") + fine(r)
	}))
	f := newFront(t, b)
	for range 2 {
		r := f.request("POST", "/once/x", nil)
		if a := f.do(r); a.status != 200 || string(a.body) != "fine "+r.Header.Get(names.Attempt) {
			t.Fatalf("%+v", a)
		}
	}
	if b.connections() != 2 {
		t.Errorf("a connection with surplus answers was used again")
	}
}

func TestInterimAnswersArePassedOver(t *testing.T) {
	b := newStandIn(t, saying(func(r seen) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + fine(r)
	}))
	if a := newFront(t, b).post("/once/x", "b"); a.status != 200 {
		t.Fatalf("%+v", a)
	}
}

func TestNotRunGoesToAnother(t *testing.T) {
	for _, c := range []struct {
		name string
		text func(seen) string
	}{
		{"503", notRun(503)}, {"429", notRun(429)}, {"400 without an id", notRun(400)}, {"421 with the header", notRun(421)},
		{"421 of a reused address, without the header", func(r seen) string { return unsealed(answer(r, 421, "")) }},
	} {
		for _, path := range []string{"/once/x", "/safe/x"} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				bad, good := newStandIn(t, saying(c.text)), newStandIn(t, saying(fine))
				f := newFront(t, bad, good)
				if a := f.post(path, "work"); a.status != 200 || len(bad.got()) != 1 || len(good.got()) != 1 || string(good.got()[0].Body) != "work" {
					t.Fatalf("%+v; %d and %d requests", a, len(bad.got()), len(good.got()))
				}
				if target := good.got()[0].Header.Get(names.Target); target != "i-1" {
					t.Fatalf("the second names %q", target)
				}
			})
		}
	}
}

// Another process at a back end's address turns all away at once: having the shortest queue, it must not draw the traffic.
func TestABackEndThatIsAnotherOneRests(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		most   int
	}{
		{"another one", 421, 10},
		{"only full", 503, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := newStandIn(t, saying(notRun(c.status))), newStandIn(t, saying(fine))
			f := newFront(t, first, second)
			for range 20 {
				if a := f.get("/safe/x"); a.status != 200 {
					t.Fatalf("status %d, %s", a.status, a.body)
				}
			}
			if turned := len(first.got()); turned == 0 || turned > c.most {
				t.Fatalf("%d of 20 were sent to the one that turns all away, want at most %d", turned, c.most)
			}
		})
	}
}

func TestNotRunByAllIsRefusedWithAPromise(t *testing.T) {
	one, two := newStandIn(t, saying(notRun(503))), newStandIn(t, saying(notRun(503)))
	f := newFront(t, one, two)
	r := f.request("POST", "/once/x", strings.NewReader("b"))
	a := f.do(r)
	if a.status != 503 || a.header.Get("Retry-After") == "" || a.header.Get(names.Seal) != "" || a.header.Get(names.Attempt) != r.Header.Get(names.Attempt) {
		t.Fatalf("%+v", a)
	}
	if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || after <= 0 || after > 5 {
		t.Fatalf("Retry-After %q", a.header.Get("Retry-After"))
	}
}

func TestLongBodiesStreamUnchanged(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 20000)
	for _, c := range []struct {
		name   string
		body   []byte
		length int64
	}{
		{"short, chunked", long[:10], -1}, {"empty, chunked", nil, -1}, {"long with a length", long, int64(len(long))}, {"long, chunked", long, -1},
		{"exactly what is kept", long[:constants.KeepBody], constants.KeepBody}, {"one byte more, chunked", long[:constants.KeepBody+1], -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newStandIn(t, saying(fine))
			f := newFront(t, b)
			r := f.request("POST", "/once/x", struct{ io.Reader }{bytes.NewReader(c.body)})
			r.ContentLength = c.length
			if a := f.do(r); a.err != nil || a.status != 200 {
				t.Fatalf("%+v", a)
			}
			if all := b.got(); len(all) != 1 || !bytes.Equal(all[0].Body, c.body) {
				t.Fatalf("%d requests, %d of %d bytes", len(all), len(all[0].Body), len(c.body))
			}
		})
	}
	t.Run("a long one that is not run is not cut and sent again", func(t *testing.T) {
		bad, good := newStandIn(t, saying(notRun(503))), newStandIn(t, saying(fine))
		f := newFront(t, bad, good)
		r := f.request("POST", "/safe/x", bytes.NewReader(long))
		if a := f.do(r); a.status != 503 || len(good.got()) != 0 {
			t.Fatalf("%+v, %d at the other", a, len(good.got()))
		}
	})
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

func TestSmuggling(t *testing.T) {
	inner := "GET /once/inner HTTP/1.1\r\nHost: one.example\r\n" + names.Attempt + ": inner\r\n\r\n"
	head := "POST /once/outer HTTP/1.1\r\nHost: one.example\r\n" + names.Attempt + ": outer\r\n"
	for _, c := range []struct{ name, text string }{
		{"two lengths that differ", head + "Content-Length: 0\r\nContent-Length: 99\r\n\r\n" + inner},
		{"two lengths in one line", head + "Content-Length: 0, 99\r\n\r\n" + inner},
		{"a length with a sign", head + "Content-Length: +0\r\n\r\n" + inner},
		{"a negative length", head + "Content-Length: -1\r\n\r\n" + inner},
		{"a length in hex", head + "Content-Length: 0x10\r\n\r\n" + inner},
		{"a space before the colon", head + "Content-Length : 5\r\nContent-Length: 0\r\n\r\n" + inner},
		{"chunked twice", head + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n" + inner},
		{"chunked in two lines", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + inner},
		{"another encoding", head + "Transfer-Encoding: xchunked\r\n\r\n" + inner},
		{"an encoding with a vertical tab", head + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n" + inner},
		{"a space before the encoding's colon", head + "Transfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n" + inner},
		{"a bare line feed in a chunk's size", head + "Transfer-Encoding: chunked\r\n\r\n1;\n" + inner},
		{"a chunk's size too large", head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n" + inner},
		{"a folded header", head + "X: 1\r\n " + names.Attempt + ": other\r\nContent-Length: 0\r\n\r\n"},
		{"a line feed within a path", "GET /once/a\nb HTTP/1.1\r\nHost: one.example\r\n" + names.Attempt + ": outer\r\n\r\n"},
		{"two hosts", head + "Host: two.example\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newStandIn(t, saying(fine))
			f := newFront(t, b)
			statuses := f.raw(c.text)
			all := b.got()
			for _, r := range all {
				if r.id() == "inner" || r.URI == "/once/inner" {
					t.Fatalf("a smuggled request ran: %v, statuses %v", r, statuses)
				}
			}
			// Without a request at the back end the answer is 400 or 501, or the connection ends unanswered.
			if len(all) > 1 || len(all) == 0 && len(statuses) > 0 && statuses[0] != 400 && statuses[0] != 501 {
				t.Fatalf("%d requests, statuses %v", len(all), statuses)
			}
		})
	}
	t.Run("a length beside chunks: the inner one stays in the body", func(t *testing.T) {
		b := newStandIn(t, saying(fine))
		f := newFront(t, b)
		statuses := f.raw(head + fmt.Sprintf("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner))
		all := b.got()
		if len(all) > 1 || len(all) == 1 && string(all[0].Body) != inner || len(statuses) == 0 {
			t.Fatalf("%v, statuses %v", all, statuses)
		}
	})
	t.Run("a body with a request in it stays a body", func(t *testing.T) {
		b := newStandIn(t, saying(fine))
		f := newFront(t, b)
		f.raw(head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner))
		if all := b.got(); len(all) != 1 || string(all[0].Body) != inner || all[0].id() != "outer" {
			t.Fatalf("%v", all)
		}
	})
	t.Run("a GET with a body keeps it", func(t *testing.T) {
		b := newStandIn(t, saying(fine))
		f := newFront(t, b)
		f.raw(strings.Replace(head, "POST", "GET", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner))
		if all := b.got(); len(all) != 1 || string(all[0].Body) != inner {
			t.Fatalf("%v", all)
		}
	})
	t.Run("pipelined requests each get their own answer", func(t *testing.T) {
		b := newStandIn(t, saying(fine))
		f := newFront(t, b)
		if statuses := f.raw(head + "Content-Length: 0\r\n\r\n" + inner); fmt.Sprint(statuses) != "[200 200 400]" || len(b.got()) != 2 {
			t.Fatalf("%v, %d requests", statuses, len(b.got()))
		}
	})
}

func TestHead(t *testing.T) {
	b := newStandIn(t, func(r seen, conn net.Conn) bool {
		text := answer(r, 200, "", "Content-Length: 1234")
		if r.Method == "GET" {
			text = fine(r)
		}
		io.WriteString(conn, text)
		return true
	})
	f := newFront(t, b)
	a := f.do(f.request("HEAD", "/safe/x", nil))
	if a.err != nil || a.status != 200 || len(a.body) > 0 || a.header.Get(names.Seal) == "" {
		t.Fatalf("%+v", a)
	}
	if a := f.get("/safe/x"); a.status != 200 || !strings.HasPrefix(string(a.body), "fine") {
		t.Fatalf("after a HEAD: %+v", a)
	}
}

func await(t *testing.T, what string, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(patience):
		t.Fatalf("%s did not happen within %v", what, patience)
	}
}

// hanging answers nothing, or the given start of an answer, and then waits for the gateway to close the connection.
func hanging(start func(seen) string, begun chan<- struct{}) script {
	return func(r seen, conn net.Conn) bool {
		io.WriteString(conn, start(r))
		begun <- struct{}{}
		conn.SetReadDeadline(time.Now().Add(3 * patience))
		io.Copy(io.Discard, conn)
		return false
	}
}

func TestAClientThatGoesCancelsItsRequest(t *testing.T) {
	long := strings.Repeat("z", 2*constants.KeepAnswer)
	for _, c := range []struct {
		name  string
		start func(seen) string
		isLat bool
	}{
		{"before any answer", nothing, false},
		{"within a kept answer", func(r seen) string { return answer(r, 200, "abc", "Content-Length: 9") }, false},
		{"while a long answer streams", func(r seen) string { return answer(r, 200, long, "Content-Length: 999999") }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			begun := make(chan struct{}, 9)
			bad, good := newStandIn(t, hanging(c.start, begun)), newStandIn(t, saying(fine))
			f := newFront(t, bad, good)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r := f.request("GET", "/safe/x", nil).WithContext(ctx)
			ended := make(chan struct{})
			headed := make(chan struct{})
			go func() {
				defer close(ended)
				response, err := f.client.Do(r)
				if err == nil {
					io.ReadFull(response.Body, make([]byte, constants.KeepAnswer))
					close(headed)
					io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			}()
			await(t, "the back end's work", begun)
			if c.isLat {
				await(t, "the answer's beginning", headed)
			}
			cancel()
			await(t, "the end of the call", ended)
			await(t, "the end of the connection to the back end", bad.closed)
			if len(good.got()) > 0 {
				t.Fatal("the request of a client that went was sent to another")
			}
		})
	}
}

func TestALongAnswerEndsAtItsTimeOut(t *testing.T) {
	begun := make(chan struct{}, 1)
	long := strings.Repeat("z", 2*constants.KeepAnswer)
	bad := newStandIn(t, hanging(func(r seen) string { return answer(r, 200, long, "Content-Length: 999999") }, begun))
	f := newFront(t, bad)
	ended := make(chan got, 1)
	go func() { ended <- f.get("/brief/x") }()
	await(t, "the back end's work", begun)
	select {
	case a := <-ended:
		var timeout net.Error
		if errors.As(a.err, &timeout) && timeout.Timeout() {
			t.Fatalf("an answer whose back end fell silent is held on to for more than %v beyond the route's 150 ms", patience-time.Second)
		}
		if a.err == nil {
			t.Fatalf("looks complete with %d bytes", len(a.body))
		}
	case <-time.After(3 * patience):
		t.Fatal("never ended")
	}
	await(t, "the end of the connection to the back end", bad.closed)
}

func TestAClientThatGoesWithinItsLongBody(t *testing.T) {
	for _, encoding := range []string{"Content-Length: 300000", "Transfer-Encoding: chunked"} {
		t.Run(encoding, func(t *testing.T) {
			b := newStandIn(t, saying(fine))
			f := newFront(t, b)
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			part := strings.Repeat("b", 100000)
			if strings.HasPrefix(encoding, "Transfer") {
				part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
			}
			fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: one.example\r\n%s: cut\r\n%s\r\n\r\n%s", names.Attempt, encoding, part)
			conn.Close()
			select {
			case <-b.closed:
			case <-time.After(1500 * time.Millisecond):
				t.Errorf("half of the route's time-out later the back end still waits for the rest of a body whose client went")
				await(t, "the end of the connection", b.closed)
			}
			for _, r := range b.got() {
				if r.BodyErr == nil {
					t.Fatalf("a body cut short looks complete: %d bytes", len(r.Body))
				}
			}
		})
	}
}

func TestAnIdleConnectionClosedByTheBackEndIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		name string
		act  script
	}{
		{"closed without a word", thenClose(fine)},
		{"reset without a word", func(r seen, conn net.Conn) bool {
			io.WriteString(conn, fine(r))
			return false
		}},
		{"said to close", thenClose(func(r seen) string { return answer(r, 200, "x", "Connection: close") })},
		{"said to close and left open", saying(func(r seen) string { return answer(r, 200, "x", "Connection: close") })},
		{"kept for a second only", saying(func(r seen) string { return answer(r, 200, "x", "Keep-Alive: timeout=1") })},
		{"kept for no time", saying(func(r seen) string { return answer(r, 200, "x", "Keep-Alive: 0") })},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newStandIn(t, c.act)
			f := newFront(t, b)
			for i := range 3 {
				if a := f.post("/once/x", "b"); a.status != 200 {
					t.Fatalf("request %d: %+v", i, a)
				}
				if !strings.Contains(c.name, "left open") && !strings.Contains(c.name, "kept") {
					await(t, "the close", b.closed)
				}
			}
			if b.connections() != 3 {
				t.Fatalf("%d connections for 3 requests", b.connections())
			}
		})
	}
	t.Run("one that stays open is used again", func(t *testing.T) {
		b := newStandIn(t, saying(func(r seen) string { return answer(r, 200, "x", "Keep-Alive: timeout=5") }))
		f := newFront(t, b)
		for range 5 {
			f.post("/once/x", "b")
		}
		if b.connections() != 1 {
			t.Fatalf("%d connections", b.connections())
		}
	})
}

func TestAnUnsafeOneOnAResetConnectionIsNotSentTwice(t *testing.T) {
	// The first request leaves an idle connection; the second is read on it and the connection reset.
	count := 0
	bad := newStandIn(t, func(r seen, conn net.Conn) bool {
		if count++; count == 1 {
			io.WriteString(conn, fine(r))
			return true
		}
		conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	good := newStandIn(t, saying(fine))
	f := newFront(t, bad, good)
	if a := f.post("/once/x", "b"); a.status != 200 {
		t.Fatalf("%+v", a)
	}
	a := f.post("/once/x", "b")
	if a.status != 502 || len(bad.got()) != 2 || len(good.got()) != 0 || bad.connections() != 1 {
		t.Fatalf("%+v; %d and %d requests, %d connections", a, len(bad.got()), len(good.got()), bad.connections())
	}
}

func TestAnUnreachableBackEndIsPassedOver(t *testing.T) {
	bad, good := newStandIn(t, saying(fine)), newStandIn(t, saying(fine))
	f := newFront(t, bad, good)
	bad.listener.Close()
	if a := f.post("/once/x", "b"); a.status != 200 || len(good.got()) != 1 {
		t.Fatalf("%+v", a)
	}
}

func TestDeadlines(t *testing.T) {
	for _, c := range []struct {
		name, path, left string
	}{{"the client's", "/once/x", "120"}, {"the route's", "/brief/x", "2500"}, {"the route's alone", "/brief/x", ""}} {
		t.Run(c.name, func(t *testing.T) {
			begun := make(chan struct{}, 1)
			b := newStandIn(t, hanging(nothing, begun))
			f := newFront(t, b)
			r := f.request("POST", c.path, strings.NewReader("b"))
			if c.left != "" {
				r.Header.Set(names.Deadline, c.left)
			}
			at := time.Now()
			a := f.do(r)
			if took := time.Since(at); a.status != 504 || took < 110*time.Millisecond || took > 2*time.Second {
				t.Fatalf("%+v after %v", a, took)
			}
			await(t, "the end of the connection to the back end", b.closed)
		})
	}
}

func TestOwnAnswers(t *testing.T) {
	b := newStandIn(t, saying(fine))
	f := newFront(t, b)
	big := make([]byte, 1<<20+1)
	for _, c := range []struct {
		name string
		turn func(*http.Request)
		body io.Reader
		want int
	}{
		{"no route of this host", func(r *http.Request) { r.Host = "else.example" }, nil, 404},
		{"no route of this path", func(r *http.Request) { r.URL.Path = "/none/x" }, nil, 404},
		{"a prefix without its slash", func(r *http.Request) { r.URL.Path = "/safe" }, nil, 404},
		{"another case of the path", func(r *http.Request) { r.URL.Path = "/SAFE/x" }, nil, 404},
		{"another case of the host", func(r *http.Request) { r.Host = "ONE.example" }, nil, 200},
		{"a host with a port", func(r *http.Request) { r.Host = "one.example:8548" }, nil, 200},
		{"no id", func(r *http.Request) { r.Header.Del(names.Attempt) }, nil, 400},
		{"an empty id", func(r *http.Request) { r.Header.Set(names.Attempt, "") }, nil, 400},
		{"two ids", func(r *http.Request) { r.Header.Add(names.Attempt, "two") }, nil, 400},
		{"a body above the limit", nil, bytes.NewReader(big), 413},
		{"a chunked body above the limit", nil, struct{ io.Reader }{bytes.NewReader(big)}, 413},
		{"a body of the limit", nil, bytes.NewReader(big[1:]), 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := len(b.got())
			method := "GET"
			if c.body != nil {
				method = "POST"
			}
			r := f.request(method, "/safe/x", c.body)
			if c.turn != nil {
				c.turn(r)
			}
			a := f.do(r)
			if a.status != c.want || a.err != nil {
				t.Fatalf("status %d, %s, %v; want %d", a.status, a.body, a.err, c.want)
			}
			if ran := 0; c.want != 200 {
				for _, r := range b.got()[before:] {
					if r.BodyErr == nil {
						ran++
					}
				}
				if ran > 0 {
					t.Fatalf("%d requests reached a back end", ran)
				}
			}
		})
	}
}

func TestANodeWithoutConfigurationRefuses(t *testing.T) {
	b := newStandIn(t, saying(fine))
	f := newFront(t, b)
	f.gateway.options.Local = func() *controlplane.Local { return &controlplane.Local{View: store.NewView()} }
	if a := f.get("/safe/x"); a.status != 503 || a.header.Get("Retry-After") == "" || len(b.got()) > 0 {
		t.Fatalf("%+v", a)
	}
}

func TestAStoppingGatewayFinishesAndClosesConnections(t *testing.T) {
	b := newStandIn(t, saying(fine))
	f := newFront(t, b)
	f.gateway.Stop()
	for _, path := range []string{"/safe/x", "/none/x"} {
		response, err := f.client.Do(f.request("GET", path, nil))
		if err != nil || !response.Close {
			t.Fatalf("%s: %+v, %v: the connection stays", path, response, err)
		}
		response.Body.Close()
	}
}

func TestTendClosesConnectionsToBackEndsThatLeft(t *testing.T) {
	b := newStandIn(t, saying(fine))
	f := newFront(t, b)
	f.post("/once/x", "b")
	f.gateway.Tend(store.NewView())
	await(t, "the close", b.closed)
}

func TestAClientThatGoesFreesABackEndThatStreamsOn(t *testing.T) {
	// The collector would close a forgotten connection some time.
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	chunk := strings.Repeat("z", 1<<16)
	b := newStandIn(t, func(r seen, conn net.Conn) bool {
		io.WriteString(conn, answer(r, 200, "", "Content-Length: 9999999999"))
		for {
			if _, err := io.WriteString(conn, chunk); err != nil {
				return false
			}
		}
	})
	f := newFront(t, b)
	response, err := f.client.Do(f.request("GET", "/safe/x", nil))
	if err != nil {
		t.Fatal(err)
	}
	io.ReadFull(response.Body, make([]byte, len(chunk)))
	response.Body.Close()
	await(t, "the end of the connection to the back end", b.closed)
}

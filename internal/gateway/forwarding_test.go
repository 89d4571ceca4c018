package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
)

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

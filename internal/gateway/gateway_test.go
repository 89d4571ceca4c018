package gateway

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"topazshed/internal/controlplane"
	"topazshed/internal/store"
)

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

package leasecall

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"topazshed/internal/sharding"
)

var headers = Headers{Target: "Test-Target", NotRun: "Test-Not-Run", Handover: "Test-Handover"}

type testBody struct {
	Number int `json:"number"`
}

func newTestClient() *Client {
	return NewClient(NewDial(netip.MustParseAddr("127.0.0.1")), headers)
}

// unusedAddress gives a loopback address where nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestPostTellsWhatTheBackEndCanHaveDone(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		header map[string]string
		want   sharding.Answer
	}{
		{"done", http.StatusOK, nil, sharding.Answer{Result: sharding.Done}},
		{"done with a handover", http.StatusOK, map[string]string{headers.Handover: "h"}, sharding.Answer{Result: sharding.Done, Handover: "h"}},
		{"a higher fencing token was seen", http.StatusConflict, map[string]string{headers.Handover: "h"}, sharding.Answer{Result: sharding.Refused}},
		{"another instance", http.StatusMisdirectedRequest, nil, sharding.Answer{Result: sharding.Replaced}},
		{"not understood", http.StatusBadRequest, nil, sharding.Answer{Result: sharding.Failed}},
		{"not run", http.StatusServiceUnavailable, map[string]string{headers.NotRun: "1"}, sharding.Answer{Result: sharding.Failed}},
		{"a server error", http.StatusInternalServerError, nil, sharding.Answer{Result: sharding.Unknown}},
		{"a redirect is not followed", http.StatusTemporaryRedirect, map[string]string{"Location": "/elsewhere"}, sharding.Answer{Result: sharding.Unknown}},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var body testBody
				err := json.NewDecoder(r.Body).Decode(&body)
				if err != nil || body.Number != 5 || r.URL.Path != "/path" || r.Header.Get(headers.Target) != "i-1" {
					t.Errorf("%s %v %+v %v", r.URL.Path, r.Header, body, err)
				}
				for name, value := range c.header {
					w.Header().Set(name, value)
				}
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			call := sharding.Call{ID: 7, Instance: "i-1", Address: strings.TrimPrefix(server.URL, "http://")}
			c.want.ID = call.ID
			answer, err := newTestClient().Post(context.Background(), call, "/path", testBody{5})
			if err != nil || answer != c.want {
				t.Errorf("%+v, %v; want %+v", answer, err, c.want)
			}
		})
	}
}

func TestPostWithoutAResponse(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	neverConnects := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, c := range []struct {
		name    string
		client  *Client
		address string
		want    sharding.CallResult
	}{
		{"a refused connection", newTestClient(), unusedAddress(t), sharding.Unsent},
		{"no connection comes up", NewClient(neverConnects, headers), unresponsive.Addr().String(), sharding.Unsent},
		{"a connection and then nothing", newTestClient(), unresponsive.Addr().String(), sharding.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			answer, err := c.client.Post(ctx, sharding.Call{ID: 7, Address: c.address}, "/path", testBody{})
			if err == nil || answer != (sharding.Answer{ID: 7, Result: c.want}) {
				t.Errorf("%+v, %v; want %v", answer, err, c.want)
			}
		})
	}
}

func TestProbe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for _, c := range []struct {
		name    string
		address string
		want    sharding.CallResult
		fails   bool
	}{
		{"somebody listens", listener.Addr().String(), sharding.Done, false},
		{"nobody listens", unusedAddress(t), sharding.Unknown, true},
		{"no address", "nowhere", sharding.Unknown, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer, err := newTestClient().Probe(context.Background(), sharding.Call{ID: 7, Address: c.address})
			if (err != nil) != c.fails || answer != (sharding.Answer{ID: 7, Result: c.want}) {
				t.Errorf("%+v, %v; want %v", answer, err, c.want)
			}
		})
	}
}

package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func TestAwaitFollowsTheLimitsInForce(t *testing.T) {
	const s = time.Second
	type follow struct{ now, limit time.Duration }
	for _, c := range []struct {
		name    string
		kind    AwaitKind
		limit   time.Duration
		follows []follow
		want    time.Duration
	}{
		{"the limit at its begin", AwaitRequest, 15 * s, nil, 25 * s},
		{"the same limit", AwaitRequest, 15 * s, []follow{{20 * s, 15 * s}}, 25 * s},
		{"a longer limit counts from the begin", AwaitRequest, 15 * s, []follow{{20 * s, 40 * s}}, 50 * s},
		{"a shorter limit counts from now", AwaitRequest, 15 * s, []follow{{12 * s, 5 * s}}, 17 * s},
		{"a shorter limit never makes it longer", AwaitRequest, 15 * s, []follow{{22 * s, 5 * s}}, 25 * s},
		{"a shorter limit that is over already still gives its whole time", AwaitRequest, 60 * s, []follow{{50 * s, 5 * s}}, 55 * s},
		{"shorter, then longer", AwaitRequest, 15 * s, []follow{{12 * s, 5 * s}, {13 * s, 30 * s}}, 40 * s},
		{"longer, then shorter", AwaitRequest, 15 * s, []follow{{12 * s, 30 * s}, {13 * s, 5 * s}}, 18 * s},
		{"asked often with one limit", AwaitRequest, 15 * s, []follow{{12 * s, 5 * s}, {14 * s, 5 * s}, {16 * s, 5 * s}}, 17 * s},
		{"what is over stays over", AwaitRequest, 15 * s, []follow{{26 * s, 60 * s}}, 25 * s},
		{"a head that was begun keeps its limit", AwaitHead, 3 * s, []follow{{11 * s, s}}, 13 * s},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := Await{}
			until := a.Begin(10*s, c.kind, c.limit)
			for _, f := range c.follows {
				was := until
				var isChanged bool
				if until, isChanged = a.Follow(f.now, f.limit); isChanged != (until != was) {
					t.Fatalf("at %v with %v: %v after %v, changed: %v", f.now, f.limit, until, was, isChanged)
				}
			}
			if until != c.want {
				t.Fatalf("ends at %v, want %v", until, c.want)
			}
		})
	}
}

func TestPatience(t *testing.T) {
	for _, c := range []struct {
		limits     *schema.Limits
		head, idle time.Duration
	}{
		{nil, constants.CallerHead, constants.CallerIdle},
		{&schema.Limits{}, constants.CallerHead, constants.CallerIdle},
		{&schema.Limits{HeaderTimeoutMs: 3000}, 3*time.Second + constants.CallerGrace, constants.CallerIdle},
		{&schema.Limits{IdleTimeoutMs: 15000}, constants.CallerHead, 15*time.Second + constants.CallerGrace},
	} {
		if head, idle := Patience(c.limits); head != c.head || idle != c.idle {
			t.Fatalf("%v: %v and %v, want %v and %v", c.limits, head, idle, c.head, c.idle)
		}
	}
}

// Each caller's connection must be closed by the server, well before the limits that a process had at its start.
func TestCallersConnectionsFollowTheConfiguration(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: one.example\r\n\r\n"
	short := &schema.Limits{HeaderTimeoutMs: 1, IdleTimeoutMs: 1}
	for _, c := range []struct {
		name          string
		before, after *schema.Limits
		sends         string
		isAnswered    bool
	}{
		{"idle under the limit in force", short, short, request, true},
		{"idle, and then the limit is lowered", &schema.Limits{}, short, request, true},
		{"a head that never ends", short, short, request[:20], false},
		{"nothing sent at all", short, short, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var limits atomic.Pointer[schema.Limits]
			limits.Store(c.before)
			callers := NewCallers(listener, limits.Load)
			server := &http.Server{ReadHeaderTimeout: constants.CallerHeadMark, IdleTimeout: constants.CallerIdleMark,
				Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") })}
			idle := make(chan bool, 1)
			server.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateIdle {
					idle <- true
				}
			}
			go server.Serve(callers)
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(patience))
			if _, err := io.WriteString(conn, c.sends); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			if c.isAnswered {
				response, err := http.ReadResponse(reader, nil)
				if err != nil || response.StatusCode != 200 {
					t.Fatal(response, err)
				}
				io.Copy(io.Discard, response.Body)
				<-idle
			}
			limits.Store(c.after)
			ended := make(chan error, 1)
			go func() {
				_, err := io.Copy(io.Discard, reader)
				ended <- err
			}()
			ticker := time.NewTicker(10 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case err := <-ended:
					if err != nil {
						t.Fatalf("the server did not end the connection: %v", err)
					}
					return
				case <-ticker.C:
					callers.Follow()
				}
			}
		})
	}
}

func TestCallersForgetClosedConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	callers := NewCallers(listener, func() *schema.Limits { return nil })
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := callers.Accept()
	if err != nil || len(callers.conns) != 1 {
		t.Fatal(err, len(callers.conns))
	}
	if err := conn.Close(); err != nil || len(callers.conns) != 0 || callers.Follow() != nil {
		t.Fatal(err, len(callers.conns))
	}
}

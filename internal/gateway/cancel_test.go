package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
)

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
			t.Fatalf("an answer whose back end stopped sending is held on to for more than %v beyond the route's 150 ms", patience-time.Second)
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

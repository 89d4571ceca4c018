package gateway

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
)

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

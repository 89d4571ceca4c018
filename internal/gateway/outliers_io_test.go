package gateway

import (
	"io"
	"net"
	"testing"
)

func TestAFailingBackEndIsLeftOut(t *testing.T) {
	for _, c := range []struct {
		name string
		act  script
		path string
		// lessons are the requests that the node may spend on learning it.
		lessons int
	}{
		{"errors of its own", saying(func(r seen) string { return answer(r, 500, "x") }), "/once/x", 1},
		{"an answer without a seal", saying(func(r seen) string { return unsealed(fine(r)) }), "/once/x", 1},
		{"resets on new connections", func(_ seen, conn net.Conn) bool {
			conn.(*net.TCPConn).SetLinger(0)
			return false
		}, "/once/x", 1},
		{"refuses each time", saying(func(r seen) string { return unsealed(answer(r, 503, "", names.NotRun+": 1")) }), "/once/x", 2},
		{"answers cut short", func(r seen, conn net.Conn) bool {
			text := fine(r)
			io.WriteString(conn, text[:len(text)-1])
			return false
		}, "/once/x", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			bad, good := newStandIn(t, c.act), newStandIn(t, saying(fine))
			f := newFront(t, bad, good)
			for range c.lessons {
				f.post(c.path, "b")
			}
			before := len(good.got())
			for range 5 {
				if a := f.post(c.path, "b"); a.status != 200 {
					t.Fatalf("%+v", a)
				}
			}
			if len(bad.got()) != c.lessons || len(good.got()) != before+5 {
				t.Fatalf("%d requests came to the failing one, %d to the other; want %d and %d", len(bad.got()), len(good.got()), c.lessons, before+5)
			}
		})
	}
}

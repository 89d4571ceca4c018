package gateway

import (
	"io"
	"net"
	"strings"
	"testing"

	"topazshed/internal/store"
)

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

func TestTendClosesConnectionsToBackEndsThatLeft(t *testing.T) {
	b := newStandIn(t, saying(fine))
	f := newFront(t, b)
	f.post("/once/x", "b")
	f.gateway.Tend(store.NewView())
	await(t, "the close", b.closed)
}

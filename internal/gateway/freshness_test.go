package gateway

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"topazshed/internal/constants"
)

func TestFreshness(t *testing.T) {
	type forgotten struct {
		at      time.Duration
		service string
		idle    time.Duration
		isNoted bool
	}
	const whole, least = constants.IdleDefault, constants.MinFresh
	kept, step := constants.FreshKept, constants.FreshStep
	for _, c := range []struct {
		name    string
		lessons []forgotten
		at      time.Duration
		safe    time.Duration
		unsafe  time.Duration
	}{
		{"nothing was forgotten", nil, 0, whole, whole},
		{"one of the service", []forgotten{{0, "copper", time.Second, true}}, 0, least, least},
		{"the lesson is kept", []forgotten{{0, "copper", time.Second, true}}, kept, least, least},
		{"and then given up in steps", []forgotten{{0, "copper", time.Second, true}}, kept + step/2, 2 * least, 2 * least},
		{"each twice as long", []forgotten{{0, "copper", time.Second, true}}, kept + step*3/2, 4 * least, 4 * least},
		{"until nothing is left of it", []forgotten{{0, "copper", time.Second, true}}, kept + 20*step, whole, whole},
		{"one of another service binds only what may not be repeated", []forgotten{{0, "zinc", time.Second, true}}, 0, whole, least},
		{"a fresh one that is reset teaches nothing", []forgotten{{0, "copper", least, false}}, 0, whole, whole},
		{"one that was too old already teaches nothing", []forgotten{{0, "copper", time.Second, true}, {kept - 1, "copper", time.Second, false}}, kept + step/2, 2 * least, 2 * least},
		{"a second lesson is kept twice as long", []forgotten{{0, "copper", time.Second, true}, {kept + step/2, "copper", 2 * least, true}}, kept + step/2 + 2*kept, least, least},
		{"the longest time is bounded", []forgotten{{0, "copper", time.Second, true}, {time.Minute, "copper", time.Second, true}, {2 * time.Minute, "copper", time.Second, true}, {3 * time.Minute, "copper", time.Second, true}},
			3*time.Minute + constants.MaxFreshKept + step/2, 2 * least, 2 * least},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := NewFreshness()
			begun := time.Hour
			for i, l := range c.lessons {
				if isNoted := f.Forgot(begun+l.at, l.service, l.idle); isNoted != l.isNoted {
					t.Fatalf("lesson %d: noted is %v", i, isNoted)
				}
			}
			if safe, unsafe := f.Bound(begun+c.at, "copper", true), f.Bound(begun+c.at, "copper", false); safe != c.safe || unsafe != c.unsafe {
				t.Fatalf("bounds %v and %v; want %v and %v", safe, unsafe, c.safe, c.unsafe)
			}
		})
	}
}

// rest makes all idle connections look as if they had lain idle so much longer.
func (p *Pool) rest(span time.Duration) {
	p.idle.Trim(func(_ string, conn *Conn) bool {
		conn.idleAt = conn.idleAt.Add(-span)
		return false
	})
}

func TestForgottenConnections(t *testing.T) {
	// Every connection is forgotten after its first request: what is sent next on it is reset.
	forgets := func() *standIn {
		var used sync.Map
		return newStandIn(t, func(r seen, conn net.Conn) bool {
			if _, isUsed := used.LoadOrStore(r.Connection, true); isUsed {
				conn.(*net.TCPConn).SetLinger(0)
				return false
			}
			io.WriteString(conn, fine(r))
			return true
		})
	}
	for _, c := range []struct {
		name  string
		paths []string
		want  []int
		// arrivals and connections of the back end that forgets; the other one gets nothing.
		arrivals, connections int
	}{
		{"what may be repeated is sent once more to the same back end", []string{"/safe/a", "/safe/b"}, []int{200, 200}, 3, 2},
		{"what may not be repeated is never sent again", []string{"/once/a", "/once/b"}, []int{200, 502}, 2, 1},
		{"one lesson is enough", []string{"/once/a", "/once/b", "/once/c", "/once/d"}, []int{200, 502, 200, 200}, 4, 3},
		{"what may be repeated teaches it for what may not", []string{"/safe/a", "/safe/b", "/once/c", "/once/d"}, []int{200, 200, 200, 200}, 5, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			bad, good := forgets(), newStandIn(t, saying(fine))
			f := newFront(t, bad, good)
			for i, path := range c.paths {
				a := f.post(path, "b")
				if a.status != c.want[i] {
					t.Fatalf("request %d: %+v", i, a)
				}
				f.gateway.pool.rest(time.Second)
			}
			if len(bad.got()) != c.arrivals || bad.connections() != c.connections || len(good.got()) != 0 {
				t.Fatalf("%d arrivals on %d connections, %d elsewhere; want %d on %d", len(bad.got()), bad.connections(), len(good.got()), c.arrivals, c.connections)
			}
		})
	}
}

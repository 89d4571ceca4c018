package connpool

import (
	"net"
	"slices"
	"testing"
)

// fakeConn is a connection of which only its closing matters.
type fakeConn struct {
	net.Conn
	name     string
	isClosed bool
}

func (c *fakeConn) Close() error {
	c.isClosed = true
	return nil
}

func newTestPool(limit int) *Pool[string, *fakeConn] {
	return New[string, *fakeConn](limit, func(key string) string { return key })
}

func usable(*fakeConn) Fitness { return Usable }

func closed(conns ...*fakeConn) []string {
	var names []string
	for _, conn := range conns {
		if conn.isClosed {
			names = append(names, conn.name)
		}
	}
	return names
}

func TestTakeJudgesTheNewestFirst(t *testing.T) {
	for _, c := range []struct {
		name    string
		fitness map[string]Fitness
		taken   string
		closed  []string
		left    int
	}{
		{"a usable one is handed out", nil, "new", nil, 2},
		{"an unusable one is closed and the next taken", map[string]Fitness{"new": Unusable}, "middle", []string{"new"}, 1},
		{"a too old one stays with all older ones", map[string]Fitness{"new": Unusable, "middle": TooOld}, "", []string{"new"}, 2},
		{"none is left when all are unusable", map[string]Fitness{"new": Unusable, "middle": Unusable, "old": Unusable}, "", []string{"old", "middle", "new"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool(9)
			conns := []*fakeConn{{name: "old"}, {name: "middle"}, {name: "new"}}
			for _, conn := range conns {
				p.Put("a", conn)
			}
			taken := ""
			if conn, isFound := p.Take("a", func(conn *fakeConn) Fitness { return c.fitness[conn.name] }); isFound {
				taken = conn.name
			}
			left := 0
			for _, isFound := p.Take("a", usable); isFound; _, isFound = p.Take("a", usable) {
				left++
			}
			if taken != c.taken || left != c.left || !slices.Equal(closed(conns...), c.closed) {
				t.Errorf("took %q, %d left, closed %v; want %q, %d, %v", taken, left, closed(conns...), c.taken, c.left, c.closed)
			}
		})
	}
}

func TestKeysAreApart(t *testing.T) {
	p := newTestPool(9)
	a, b := &fakeConn{name: "a"}, &fakeConn{name: "b"}
	p.Put("a", a)
	p.Put("b", b)
	p.Drop("a")
	if _, isFound := p.Take("a", usable); isFound || !a.isClosed || b.isClosed {
		t.Errorf("after Drop of a: found %v, closed %v", isFound, closed(a, b))
	}
	if conn, isFound := p.Take("b", usable); !isFound || conn != b {
		t.Errorf("b is not found")
	}
}

func TestPutClosesWhatIsAboveTheLimit(t *testing.T) {
	p := newTestPool(1)
	first, second := &fakeConn{name: "first"}, &fakeConn{name: "second"}
	p.Put("a", first)
	p.Put("a", second)
	if got := closed(first, second); !slices.Equal(got, []string{"second"}) {
		t.Errorf("closed %v", got)
	}
}

func TestTrimClosesTheStaleOnesOnly(t *testing.T) {
	p := newTestPool(9)
	stale, fresh := &fakeConn{name: "stale"}, &fakeConn{name: "fresh"}
	p.Put("a", stale)
	p.Put("a", fresh)
	p.Trim(func(_ string, conn *fakeConn) bool { return conn == stale })
	if got := closed(stale, fresh); !slices.Equal(got, []string{"stale"}) {
		t.Errorf("closed %v", got)
	}
	if conn, isFound := p.Take("a", usable); !isFound || conn != fresh {
		t.Error("the fresh one is gone")
	}
}

func TestAClosedPoolKeepsNothing(t *testing.T) {
	p := newTestPool(9)
	before, after := &fakeConn{name: "before"}, &fakeConn{name: "after"}
	p.Put("a", before)
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	p.Put("a", after)
	if got := closed(before, after); !slices.Equal(got, []string{"before", "after"}) {
		t.Errorf("closed %v", got)
	}
}

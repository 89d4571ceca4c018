package responses

import (
	"net"
	"sync"

	"topazshed/internal/sockets"
)

// guard reads from a connection and ends it once a head exceeds a bound. Any goroutine may call its methods.
type guard struct {
	conn net.Conn

	// lock guards what follows; it is not held while the connection is read.
	lock    sync.Mutex
	scanner scanner
	// exceeded is the *BoundError after which the connection was reset, or nil.
	exceeded error
}

// newGuard makes a guard that expects no head yet.
func newGuard(conn net.Conn) *guard {
	return &guard{conn: conn, scanner: scanner{bounds: Default(), isPastHead: true}}
}

// Read reads from the connection. Once a head exceeds a bound its error is a *BoundError, and the connection is reset.
func (g *guard) Read(p []byte) (int, error) {
	if err := g.err(); err != nil {
		return 0, err
	}
	n, err := g.conn.Read(p)
	if exceeded := g.take(p[:n]); exceeded != nil {
		return 0, exceeded
	}
	return n, err
}

// expectHead begins a head, unless one has begun and is not whole yet.
func (g *guard) expectHead() {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.scanner.isPastHead {
		g.scanner.begin()
	}
}

// take counts bytes that were read.
func (g *guard) take(text []byte) error {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.exceeded = g.scanner.take(text)
	if g.exceeded != nil {
		sockets.Reset(g.conn)
	}
	return g.exceeded
}

// err is the *BoundError after which the connection was reset, or nil. net/http may tell another one: it may have taken what came
// before the bound for a malformed line.
func (g *guard) err() error {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.exceeded
}

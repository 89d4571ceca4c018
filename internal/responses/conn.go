package responses

import (
	"net"
	"sync"

	"topazshed/internal/sockets"
)

// Conn is a connection of an http.Transport. A response's head is expected after each request that is written.
type Conn struct {
	net.Conn
	// lock guards what follows: a transport reads and writes at the same time.
	lock    sync.Mutex
	scanner scanner
	// exceeded is the *BoundError after which the connection was reset, or nil.
	exceeded error
}

// NewConn bounds the heads that are read on a connection.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, scanner: scanner{bounds: Default()}}
	c.scanner.begin()
	return c
}

// Write writes a request, or a part of one.
func (c *Conn) Write(p []byte) (int, error) {
	c.lock.Lock()
	if c.scanner.isPastHead {
		c.scanner.begin()
	}
	c.lock.Unlock()
	return c.Conn.Write(p)
}

// Read reads from the connection. Once a head exceeds a bound its error is a *BoundError, and the connection is reset.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.exceededError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if exceeded := c.take(p[:n]); exceeded != nil {
		return 0, exceeded
	}
	return n, err
}

// take counts bytes that were read.
func (c *Conn) take(text []byte) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.exceeded = c.scanner.take(text)
	if c.exceeded != nil {
		sockets.Reset(c.Conn)
	}
	return c.exceeded
}

func (c *Conn) exceededError() error {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.exceeded
}

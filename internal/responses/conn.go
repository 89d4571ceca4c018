package responses

import "net"

// Conn is a connection of an http.Transport. A response's head is expected after each request that is written.
type Conn struct {
	net.Conn
	guard *guard
}

// NewConn bounds the heads that are read on a connection.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, guard: newGuard(conn)}
}

// Write writes a request, or a part of one.
func (c *Conn) Write(p []byte) (int, error) {
	c.guard.expectHead()
	return c.Conn.Write(p)
}

// Read reads from the connection. Once a head exceeds a bound its error is a *BoundError, and the connection is reset.
func (c *Conn) Read(p []byte) (int, error) { return c.guard.Read(p) }

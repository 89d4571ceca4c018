package gateway

import (
	"net"
	"sync"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// AwaitKind is what the server waits for on a caller's connection.
type AwaitKind int

// The kinds of waits.
const (
	// AwaitNothing: no time-out applies.
	AwaitNothing AwaitKind = iota
	// AwaitHead: the rest of a request's head.
	AwaitHead
	// AwaitRequest: the next request, on an idle connection.
	AwaitRequest
)

// Await is until when a caller's connection may stay without what is awaited from it. It is pure and holds no lock.
type Await struct {
	kind  AwaitKind
	since time.Duration
	limit time.Duration
	until time.Duration
}

// Begin starts a wait under the limit in force, and tells when it ends.
func (a *Await) Begin(now time.Duration, kind AwaitKind, limit time.Duration) time.Duration {
	*a = Await{kind: kind, since: now, limit: limit, until: now + limit}
	return a.until
}

// Follow tells when the wait ends under the limit that is in force now, and whether that has changed. A longer limit counts from when the
// connection became idle; a shorter one from now, since the caller was promised the longer one before. A head that was begun keeps its
// limit.
func (a *Await) Follow(now, limit time.Duration) (until time.Duration, isChanged bool) {
	if a.kind != AwaitRequest || limit == a.limit || now >= a.until {
		return a.until, false
	}
	until = a.since + limit
	if limit < a.limit {
		until = min(a.until, now+limit)
	}
	isChanged = until != a.until
	a.limit = limit
	a.until = until
	return until, isChanged
}

// Patience is how long callers' connections may stay idle, and how long a request's head may take, by the limits in force.
func Patience(limits *schema.Limits) (head, idle time.Duration) {
	head = constants.CallerHead
	idle = constants.CallerIdle
	if ms := limits.GetHeaderTimeoutMs(); ms > 0 {
		head = time.Duration(ms)*time.Millisecond + constants.CallerGrace
	}
	if ms := limits.GetIdleTimeoutMs(); ms > 0 {
		idle = time.Duration(ms)*time.Millisecond + constants.CallerGrace
	}
	return head, idle
}

// Callers is a listener for an HTTP server whose time-outs are constants.CallerHeadMark and constants.CallerIdleMark. These are marks: each
// connection replaces them by the limits in force when the wait begins. Its methods may be called from any goroutine.
type Callers struct {
	net.Listener
	limits func() *schema.Limits
	begun  time.Time
	lock   sync.Mutex
	conns  map[*callerConn]bool
}

// NewCallers takes connections from a listener, under the limits that the function gives.
func NewCallers(listener net.Listener, limits func() *schema.Limits) *Callers {
	return &Callers{Listener: listener, limits: limits, begun: time.Now(), conns: map[*callerConn]bool{}}
}

// Accept gives the next caller's connection.
func (c *Callers) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	tcp, isTCP := conn.(*net.TCPConn)
	if err != nil || !isTCP {
		return conn, err
	}
	caller := &callerConn{TCPConn: tcp, callers: c}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.conns[caller] = true
	return caller, nil
}

// Follow lets idle connections follow the limits in force; the node calls it regularly. Its error is the last one of connections that have
// just ended.
func (c *Callers) Follow() (err error) {
	_, idle := Patience(c.limits())
	c.lock.Lock()
	defer c.lock.Unlock()
	for caller := range c.conns {
		if failed := caller.follow(idle); failed != nil {
			err = failed
		}
	}
	return err
}

// callerConn is one caller's connection.
type callerConn struct {
	*net.TCPConn
	callers *Callers
	lock    sync.Mutex
	await   Await
}

// SetReadDeadline replaces the marks of the server's time-outs by the limits in force.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	head, idle := Patience(c.callers.limits())
	now := time.Since(c.callers.begun)
	switch left := time.Until(t); {
	case t.IsZero() || left < constants.CallerHeadMark/2:
		c.await.Begin(now, AwaitNothing, 0)
	case left <= constants.CallerHeadMark:
		t = c.callers.begun.Add(c.await.Begin(now, AwaitHead, head))
	default:
		t = c.callers.begun.Add(c.await.Begin(now, AwaitRequest, idle))
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *callerConn) follow(idle time.Duration) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	if until, isChanged := c.await.Follow(time.Since(c.callers.begun), idle); isChanged {
		return c.TCPConn.SetReadDeadline(c.callers.begun.Add(until))
	}
	return nil
}

// Close closes the connection; the listener forgets it.
func (c *callerConn) Close() error {
	c.callers.lock.Lock()
	delete(c.callers.conns, c)
	c.callers.lock.Unlock()
	return c.TCPConn.Close()
}

package gateway

import (
	"net"
	"sync"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// AwaitKind is what is awaited from a caller on its connection.
type AwaitKind int

// The kinds of what is awaited.
const (
	AwaitNothing AwaitKind = iota
	AwaitHead
	AwaitRequest
)

// Await is how long a caller's connection may stay without what is awaited from it.
type Await struct {
	kind  AwaitKind
	since time.Duration
	limit time.Duration
	until time.Duration
}

// Begin tells until when something is awaited under a limit in force.
func (a *Await) Begin(now time.Duration, kind AwaitKind, limit time.Duration) time.Duration {
	*a = Await{kind: kind, since: now, limit: limit, until: now + limit}
	return a.until
}

// Follow tells whether an idle connection ends at another time under the limit that is in force now. A longer limit counts from when it became
// idle; a shorter one from now, since the caller was promised the longer one before. A head that was begun keeps its limit.
func (a *Await) Follow(now, limit time.Duration) (time.Duration, bool) {
	if a.kind != AwaitRequest || limit == a.limit || now >= a.until {
		return a.until, false
	}
	until := a.since + limit
	if limit < a.limit {
		until = min(a.until, now+limit)
	}
	isChanged := until != a.until
	a.limit, a.until = limit, until
	return until, isChanged
}

// Patience is how long callers' connections may stay idle, and how long a request's head may take, by the limits in force.
func Patience(limits *schema.Limits) (head, idle time.Duration) {
	head, idle = constants.CallerHead, constants.CallerIdle
	if ms := limits.GetHeaderTimeoutMs(); ms > 0 {
		head = time.Duration(ms)*time.Millisecond + constants.CallerGrace
	}
	if ms := limits.GetIdleTimeoutMs(); ms > 0 {
		idle = time.Duration(ms)*time.Millisecond + constants.CallerGrace
	}
	return head, idle
}

// Callers takes callers' connections for a server whose time-outs are constants.CallerHeadMark and constants.CallerIdleMark:
// they stand for the limits in force when something begins to be awaited.
type Callers struct {
	net.Listener
	limits func() *schema.Limits
	begun  time.Time
	lock   sync.Mutex
	conns  map[*callerConn]bool
}

// NewCallers takes connections from a listener.
func NewCallers(listener net.Listener, limits func() *schema.Limits) *Callers {
	return &Callers{Listener: listener, limits: limits, begun: time.Now(), conns: map[*callerConn]bool{}}
}

// Accept takes one.
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

// Follow lets idle connections follow the limits in force; the node calls it now and then. The error is the last of connections that have just ended.
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

type callerConn struct {
	*net.TCPConn
	callers *Callers
	lock    sync.Mutex
	await   Await
}

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

func (c *callerConn) Close() error {
	c.callers.lock.Lock()
	delete(c.callers.conns, c)
	c.callers.lock.Unlock()
	return c.TCPConn.Close()
}

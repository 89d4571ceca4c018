package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"topazshed/internal/connpool"
	"topazshed/internal/constants"
	"topazshed/internal/responses"
	"topazshed/internal/schema"
	"topazshed/internal/sockets"
)

// The sizes of a connection's buffers, in bytes.
const (
	readBufferSize  = 4 << 10
	writeBufferSize = 2 << 10
)

// Conn is one connection to a back end.
type Conn struct {
	net.Conn
	reader *responses.Reader
	writer *bufio.Writer
	// idleAt is when it was put into the pool, and lifetime how long it may stay there.
	idleAt   time.Time
	lifetime time.Duration
	// idleFor is how long it lay idle before its present use.
	idleFor time.Duration
	// isReused tells that it carried an earlier request.
	isReused bool
}

func (c *Conn) isQuiet() bool {
	return c.reader.Buffered() == 0 && sockets.IsQuiet(c.Conn)
}

// Pool dials back ends and keeps idle connections by instance, never by address alone, since another instance may take the address.
// Its methods may be called from any goroutine.
type Pool struct {
	idle   *connpool.Pool[string, *Conn]
	dialer net.Dialer
	stats  *Stats
	begun  time.Time

	lock      sync.Mutex
	freshness *Freshness
}

// NewPool makes a pool that dials from the IP of a listening address, and counts its connections in stats.
func NewPool(listen string, stats *Stats) *Pool {
	return &Pool{
		idle: connpool.New[string, *Conn](constants.MaxIdle, func(instance string) string { return instance }),
		dialer: net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     constants.KeepAliveIdle,
				Interval: constants.KeepAliveEvery,
				Count:    constants.KeepAliveCount,
			},
			Control:   sockets.IdleTimeout(constants.BackendIdleTimeout),
			LocalAddr: sockets.LocalAddress(listen),
		},
		stats:     stats,
		begun:     time.Now(),
		freshness: NewFreshness(),
	}
}

// Get gives an idle connection to a back end, or a new one that comes up within the wait. The newest idle one must be fresh enough for
// what is to be sent; a request that is not repeatable needs a fresher one.
func (p *Pool) Get(ctx context.Context, backend *schema.Backend, wait time.Duration, isRepeatable bool) (*Conn, error) {
	idleLimit := p.idleLimit(backend.Service, isRepeatable)
	conn, isIdle := p.idle.Take(backend.Instance, func(conn *Conn) connpool.Fitness {
		conn.idleFor = time.Since(conn.idleAt)
		switch {
		case conn.idleFor > idleLimit:
			return connpool.TooOld
		case conn.idleFor > conn.lifetime, conn.RemoteAddr().String() != backend.Address, !conn.isQuiet():
			return connpool.Unusable
		}
		return connpool.Usable
	})
	if isIdle {
		return conn, nil
	}
	return p.dial(ctx, backend.Address, wait)
}

func (p *Pool) dial(ctx context.Context, address string, wait time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	p.stats.Connections.Add(1)
	return &Conn{
		Conn:     raw,
		reader:   responses.NewReader(raw, readBufferSize),
		writer:   bufio.NewWriterSize(raw, writeBufferSize),
		lifetime: constants.IdleDefault,
	}, nil
}

func (p *Pool) idleLimit(service string, isRepeatable bool) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.freshness.Bound(time.Since(p.begun), service, isRepeatable)
}

// Forgot notes that a connection was reset at once, and tells whether its back end had dropped it while it lay idle.
func (p *Pool) Forgot(service string, conn *Conn) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return conn.isReused && p.freshness.Forgot(time.Since(p.begun), service, conn.idleFor)
}

// Put gives a connection back on which a whole response was read and nothing more.
func (p *Pool) Put(instance string, conn *Conn) {
	conn.idleAt = time.Now()
	conn.isReused = true
	conn.SetDeadline(time.Time{})
	p.idle.Put(instance, conn)
}

// Trim closes what lay idle too long and the connections to instances that are no longer known.
func (p *Pool) Trim(isKnown func(instance string) bool) {
	p.idle.Trim(func(instance string, conn *Conn) bool {
		return !isKnown(instance) || time.Since(conn.idleAt) > conn.lifetime
	})
}

// Close closes all idle connections; its error is always nil.
func (p *Pool) Close() error { return p.idle.Close() }

package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"topazshed/internal/connpool"
	"topazshed/internal/constants"
	"topazshed/internal/forwarding"
	"topazshed/internal/responses"
	"topazshed/internal/sockets"
)

const (
	// readBufferSize is that of a connection, in bytes.
	readBufferSize = 16 << 10
	// identityLimit bounds the body that proves an identity, in bytes.
	identityLimit = 4 << 10
)

// Identity is what a back end or proxy proves on a new connection.
type Identity struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
}

// IdentityError says that an address is in use by another service or instance than the one that was meant.
type IdentityError struct{ Want, Got Identity }

func (e *IdentityError) Error() string {
	return fmt.Sprintf("the address belongs to %s/%s, not %s/%s; the endpoint list will tell the new address",
		e.Got.Service, e.Got.Instance, e.Want.Service, e.Want.Instance)
}

// Conn is a connection whose other end has proved its identity.
type Conn struct {
	net.Conn
	reader   *responses.Reader
	idleAt   time.Time
	identity Identity
}

// Pool dials back ends and proxies, and keeps idle connections by identity, never by address. Its methods may be called from any goroutine.
type Pool struct {
	idle   *connpool.Pool[Identity, *Conn]
	dialer net.Dialer
}

// NewPool makes a pool that dials from the IP of a listening address.
func NewPool(listen string) *Pool {
	return &Pool{
		idle:   connpool.New[Identity, *Conn](constants.IdlePerBackend, func(identity Identity) string { return identity.Instance }),
		dialer: net.Dialer{Timeout: constants.ConnectWait, LocalAddr: sockets.LocalAddress(listen)},
	}
}

// Get gives an idle connection to an identity, or a new one that has proved it. Its error is an *IdentityError if another process has the
// address.
func (p *Pool) Get(ctx context.Context, address string, identity Identity) (*Conn, error) {
	conn, isIdle := p.idle.Take(identity, func(conn *Conn) connpool.Fitness {
		if conn.isUsableFor(address) {
			return connpool.Usable
		}
		return connpool.Unusable
	})
	if isIdle {
		return conn, nil
	}
	return p.dial(ctx, address, identity)
}

func (c *Conn) isUsableFor(address string) bool {
	return time.Since(c.idleAt) <= constants.IdleTTL && c.reader.Buffered() == 0 && c.RemoteAddr().String() == address &&
		sockets.IsQuiet(c.Conn)
}

func (p *Pool) dial(ctx context.Context, address string, identity Identity) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.ConnectWait)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	conn := &Conn{Conn: raw, reader: responses.NewReader(raw, readBufferSize), identity: identity}
	if err := conn.Prove(ctx); err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return conn, nil
}

// Prove asks the other end for its identity. Its error is an *IdentityError if that is another one than was meant.
func (c *Conn) Prove(ctx context.Context) error {
	got, err := c.identify(ctx)
	if err == nil && got != c.identity {
		err = &IdentityError{c.identity, got}
	}
	return err
}

func (c *Conn) identify(ctx context.Context) (Identity, error) {
	var got Identity
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	request, err := http.NewRequest(http.MethodGet, "http://"+c.RemoteAddr().String()+"/identity", nil)
	if err != nil {
		return got, err
	}
	if err := request.Write(c); err != nil {
		return got, fmt.Errorf("ask for identity: %w", err)
	}
	response, err := c.reader.Next(request)
	if err != nil {
		return got, fmt.Errorf("read identity: %w", err)
	}
	text, isLonger, err := forwarding.ReadUpTo(response.Body, identityLimit)
	if isLonger {
		return got, fmt.Errorf("read identity: it is above %d bytes", identityLimit)
	}
	if err != nil || response.StatusCode != http.StatusOK || response.Close {
		return got, fmt.Errorf("read identity: status %d, %v", response.StatusCode, err)
	}
	if err := json.Unmarshal(text, &got); err != nil {
		return got, fmt.Errorf("read identity: %w", err)
	}
	return got, nil
}

// Put gives a connection back on which a whole response was read and nothing more.
func (p *Pool) Put(conn *Conn) {
	conn.idleAt = time.Now()
	conn.SetDeadline(time.Time{})
	p.idle.Put(conn.identity, conn)
}

// Forget closes the idle connections to one identity.
func (p *Pool) Forget(identity Identity) { p.idle.Drop(identity) }

// Close closes all idle connections; its error is always nil.
func (p *Pool) Close() error { return p.idle.Close() }

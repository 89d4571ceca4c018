package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/sockets"
)

// Identity is what a back end or proxy proves on a new connection.
type Identity struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
}

// IdentityError says that an address is in the hands of another service or instance.
type IdentityError struct{ Want, Got Identity }

func (e *IdentityError) Error() string {
	return fmt.Sprintf("the address belongs to %s/%s, not %s/%s; the list will tell the new place", e.Got.Service, e.Got.Instance, e.Want.Service, e.Want.Instance)
}

// Proved is a connection whose other end has proved who it is.
type Proved struct {
	net.Conn
	reader *bufio.Reader
	idle   time.Time
	who    Identity
}

type poolShard struct {
	lock sync.Mutex
	idle map[Identity][]*Proved
}

// Pool keeps proved connections by identity, never by address.
type Pool struct {
	shards [shards]poolShard
	dialer net.Dialer
	lock   sync.Mutex
	isShut bool
}

// NewPool makes a pool that dials from a local IP.
func NewPool(local string) *Pool {
	p := &Pool{dialer: net.Dialer{Timeout: constants.ConnectWait}}
	if address, err := netip.ParseAddrPort(local); err == nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: address.Addr().AsSlice()}
	}
	for i := range p.shards {
		p.shards[i].idle = map[Identity][]*Proved{}
	}
	return p
}

func (p *Pool) shard(who Identity) *poolShard { return &p.shards[shardOf(who.Instance)] }

// Get gives a proved connection, from the pool if isReused allows it.
func (p *Pool) Get(ctx context.Context, address string, who Identity) (*Proved, error) {
	s := p.shard(who)
	s.lock.Lock()
	for n := len(s.idle[who]); n > 0; n = len(s.idle[who]) {
		conn := s.idle[who][n-1]
		s.idle[who] = s.idle[who][:n-1]
		if time.Since(conn.idle) > constants.IdleTTL || conn.reader.Buffered() > 0 || conn.RemoteAddr().String() != address || !sockets.IsQuiet(conn.Conn) {
			conn.Close()
			continue
		}
		s.lock.Unlock()
		return conn, nil
	}
	s.lock.Unlock()
	ctx, cancel := context.WithTimeout(ctx, constants.ConnectWait)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	conn := &Proved{Conn: raw, reader: bufio.NewReaderSize(raw, 16<<10), who: who}
	got, err := conn.identify(ctx)
	if err == nil && got != who {
		err = &IdentityError{who, got}
	}
	if err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return conn, nil
}

func (c *Proved) identify(ctx context.Context) (Identity, error) {
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
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return got, fmt.Errorf("read identity: %w", err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 4096))
	if err != nil || response.StatusCode != http.StatusOK || response.Close {
		return got, fmt.Errorf("read identity: status %d, %v", response.StatusCode, err)
	}
	if err := json.Unmarshal(text, &got); err != nil {
		return got, fmt.Errorf("read identity: %w", err)
	}
	return got, nil
}

// Put gives a clean connection back.
func (p *Pool) Put(conn *Proved) {
	conn.idle = time.Now()
	conn.SetDeadline(time.Time{})
	s := p.shard(conn.who)
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.idle[conn.who]) >= constants.IdlePerBackend || p.shut() {
		conn.Close()
		return
	}
	s.idle[conn.who] = append(s.idle[conn.who], conn)
}

func (p *Pool) shut() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.isShut
}

// Forget closes the idle connections to one identity.
func (p *Pool) Forget(who Identity) {
	s := p.shard(who)
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, conn := range s.idle[who] {
		conn.Close()
	}
	delete(s.idle, who)
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	p.lock.Lock()
	p.isShut = true
	p.lock.Unlock()
	for i := range p.shards {
		s := &p.shards[i]
		s.lock.Lock()
		for who, conns := range s.idle {
			for _, conn := range conns {
				conn.Close()
			}
			delete(s.idle, who)
		}
		s.lock.Unlock()
	}
	return nil
}

// Prove asks the other end once more who it is.
func (c *Proved) Prove(ctx context.Context) error {
	got, err := c.identify(ctx)
	if err == nil && got != c.who {
		err = &IdentityError{c.who, got}
	}
	return err
}

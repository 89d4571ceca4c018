// Package connpool keeps the idle connections of packages gateway and proxy, newest first, by the key of the process at their other end.
//
// It owns idle connections only: it never dials, and a connection that was handed out belongs to its taker until Put gives it back. What
// makes an idle connection fit for use differs between the two pools, so they pass that as a function. All methods may be called from
// any goroutine; a function passed to one runs under the lock of one stripe and must not call the pool.
package connpool

import (
	"net"
	"sync"
	"sync/atomic"

	"topazshed/internal/stripe"
)

// Fitness says what Take does with an idle connection.
type Fitness int

// The ways to judge an idle connection.
const (
	// Usable: it is handed out.
	Usable Fitness = iota
	// Unusable: it is closed, and the next older one is judged.
	Unusable
	// TooOld: it stays, and nothing is handed out, since all others of its key are older.
	TooOld
)

type idleStripe[Key comparable, Conn net.Conn] struct {
	lock sync.Mutex
	idle map[Key][]Conn
}

// Pool keeps idle connections by key.
type Pool[Key comparable, Conn net.Conn] struct {
	stripes  [stripe.Count]idleStripe[Key, Conn]
	name     func(Key) string
	limit    int
	isClosed atomic.Bool
}

// New makes an empty pool that keeps at most limit connections a key; name gives the part of a key that decides its stripe.
func New[Key comparable, Conn net.Conn](limit int, name func(Key) string) *Pool[Key, Conn] {
	p := &Pool[Key, Conn]{name: name, limit: limit}
	for i := range p.stripes {
		p.stripes[i].idle = map[Key][]Conn{}
	}
	return p
}

func (p *Pool[Key, Conn]) stripe(key Key) *idleStripe[Key, Conn] {
	return &p.stripes[stripe.Of(p.name(key))]
}

// Take hands out the newest idle connection of a key that judge finds usable, if there is one.
func (p *Pool[Key, Conn]) Take(key Key, judge func(Conn) Fitness) (conn Conn, isFound bool) {
	s := p.stripe(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	for n := len(s.idle[key]); n > 0; n = len(s.idle[key]) {
		newest := s.idle[key][n-1]
		fitness := judge(newest)
		if fitness == TooOld {
			break
		}
		s.idle[key] = s.idle[key][:n-1]
		if fitness == Usable {
			return newest, true
		}
		newest.Close()
	}
	return conn, false
}

// Put gives an idle connection back; it is closed if its key has enough of them or the pool is closed.
func (p *Pool[Key, Conn]) Put(key Key, conn Conn) {
	s := p.stripe(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	// Read under the lock: Close sets it before it takes this lock, so that no connection stays behind in a closed pool.
	if p.isClosed.Load() || len(s.idle[key]) >= p.limit {
		conn.Close()
		return
	}
	s.idle[key] = append(s.idle[key], conn)
}

// Drop closes the idle connections of one key.
func (p *Pool[Key, Conn]) Drop(key Key) {
	s := p.stripe(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, conn := range s.idle[key] {
		conn.Close()
	}
	delete(s.idle, key)
}

// Trim closes the idle connections that are stale.
func (p *Pool[Key, Conn]) Trim(isStale func(Key, Conn) bool) {
	for i := range p.stripes {
		p.stripes[i].trim(isStale)
	}
}

func (s *idleStripe[Key, Conn]) trim(isStale func(Key, Conn) bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for key, conns := range s.idle {
		fresh := conns[:0]
		for _, conn := range conns {
			if isStale(key, conn) {
				conn.Close()
				continue
			}
			fresh = append(fresh, conn)
		}
		s.idle[key] = fresh
		if len(fresh) == 0 {
			delete(s.idle, key)
		}
	}
}

// Close closes all idle connections, and from then on every connection that is put back. Its error is always nil.
func (p *Pool[Key, Conn]) Close() error {
	p.isClosed.Store(true)
	p.Trim(func(Key, Conn) bool { return true })
	return nil
}

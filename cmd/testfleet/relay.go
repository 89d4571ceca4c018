package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Links hold the state of every link between places: delay, cut, loss of speed.
type Links struct {
	lock  sync.Mutex
	delay func(from, to string) time.Duration
	cuts  map[[2]string]bool
}

func newLinks(delay func(from, to string) time.Duration) *Links {
	return &Links{delay: delay, cuts: map[[2]string]bool{}}
}

func (l *Links) cut(from, to string, isCut bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.cuts[[2]string{from, to}] = isCut
}

func (l *Links) isCut(from, to string) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.cuts[[2]string{from, to}]
}

// Relay carries connections to one address with the delay and cuts of the caller's link.
type Relay struct {
	links    *Links
	listener net.Listener
	target   string
	place    string
	placeOf  func(ip string) string
	lock     sync.Mutex
	conns    map[net.Conn]bool
	isClosed bool
}

func newRelay(links *Links, shown, target, place string, placeOf func(string) string) (*Relay, error) {
	listener, err := net.Listen("tcp", shown)
	if err != nil {
		return nil, err
	}
	r := &Relay{links: links, listener: listener, target: target, place: place, placeOf: placeOf, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.carry(conn)
	}
}

func (r *Relay) track(conn net.Conn) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.isClosed {
		conn.Close()
		return false
	}
	r.conns[conn] = true
	return true
}

func (r *Relay) carry(conn net.Conn) {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	from := r.placeOf(host)
	local, _, _ := net.SplitHostPort(conn.LocalAddr().String())
	_ = local
	target, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			tcp.SetLinger(0)
		}
		conn.Close()
		return
	}
	if !r.track(conn) || !r.track(target) {
		target.Close()
		return
	}
	var group sync.WaitGroup
	group.Go(func() { r.pump(target, conn, from, r.place) })
	group.Go(func() { r.pump(conn, target, r.place, from) })
	group.Wait()
	conn.Close()
	target.Close()
	r.lock.Lock()
	delete(r.conns, conn)
	delete(r.conns, target)
	r.lock.Unlock()
}

type chunk struct {
	due   time.Time
	bytes []byte
	err   error
}

func (r *Relay) pump(to, from net.Conn, fromPlace, toPlace string) {
	parcels := make(chan chunk, 256)
	go func() {
		defer close(parcels)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			parcels <- chunk{time.Now().Add(r.links.delay(fromPlace, toPlace)), buffer[:n], err}
			if err != nil {
				return
			}
		}
	}()
	isBroken := false
	for p := range parcels {
		if wait := time.Until(p.due); wait > 0 {
			time.Sleep(wait)
		}
		for !isBroken && r.links.isCut(fromPlace, toPlace) {
			time.Sleep(10 * time.Millisecond)
			r.lock.Lock()
			isBroken = r.isClosed
			r.lock.Unlock()
		}
		if isBroken {
			continue
		}
		if len(p.bytes) > 0 {
			if _, err := to.Write(p.bytes); err != nil {
				isBroken = true
				from.Close()
			}
		}
		if p.err != nil {
			if errors.Is(p.err, io.EOF) {
				if tcp, isTCP := to.(*net.TCPConn); isTCP {
					tcp.CloseWrite()
				}
			} else {
				if tcp, isTCP := to.(*net.TCPConn); isTCP {
					tcp.SetLinger(0)
				}
				to.Close()
			}
		}
	}
}

func (r *Relay) close() {
	r.listener.Close()
	r.lock.Lock()
	defer r.lock.Unlock()
	r.isClosed = true
	for conn := range r.conns {
		conn.Close()
	}
}

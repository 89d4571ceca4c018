package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds how long a relay waits for a connection to its target.
	dialTimeout = time.Second
	// cutPoll is how often a relay looks whether a cut link has healed.
	cutPoll = 10 * time.Millisecond
	// chunkBytes is the most that is read at once, chunkQueue how many chunks may be on their way.
	chunkBytes = 32 << 10
	chunkQueue = 256
)

// link is one direction between two ends, by name.
type link struct{ from, to string }

// Links hold the state of every link: its delay, and whether it is cut.
type Links struct {
	lock  sync.Mutex
	delay func(from, to string) time.Duration
	cuts  map[link]bool
}

func newLinks(delay func(from, to string) time.Duration) *Links {
	return &Links{delay: delay, cuts: map[link]bool{}}
}

// cut cuts or heals one direction of a link.
func (l *Links) cut(from, to string, isCut bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.cuts[link{from, to}] = isCut
}

func (l *Links) isCut(from, to string) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.cuts[link{from, to}]
}

// relayOptions shape a relay.
type relayOptions struct {
	links *Links
	// listen is where the relay listens, target where it passes connections on to.
	listen, target string
	// name names the target's end of links, linkName the caller's end by its IP address.
	name     string
	linkName func(ip string) string
}

// Relay passes connections on to one address, with the delay and cuts of the caller's link.
type Relay struct {
	relayOptions
	listener net.Listener
	lock     sync.Mutex
	conns    map[net.Conn]bool
	isClosed bool
}

// newRelay listens and passes connections on until close.
func newRelay(options relayOptions) (*Relay, error) {
	listener, err := net.Listen("tcp", options.listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{relayOptions: options, listener: listener, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(conn)
	}
}

// track remembers a connection, so that close can end it; false means that the relay is closed already.
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

func (r *Relay) untrack(conn net.Conn) {
	conn.Close()
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.conns, conn)
}

// pass connects to the target and pumps both ways until both have ended. If the target refuses, the caller is reset.
func (r *Relay) pass(conn net.Conn) {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	caller := r.linkName(host)
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		reset(conn)
		return
	}
	if !r.track(conn) || !r.track(target) {
		target.Close()
		return
	}
	var group sync.WaitGroup
	group.Go(func() { r.pump(target, conn, link{caller, r.name}) })
	group.Go(func() { r.pump(conn, target, link{r.name, caller}) })
	group.Wait()
	r.untrack(conn)
	r.untrack(target)
}

// reset ends a connection with a reset instead of an orderly close.
func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// chunk is what was read at once, and when it is due at the other end.
type chunk struct {
	due   time.Time
	bytes []byte
	err   error
}

// pump passes on what comes from one connection, late by the link's delay and not while the link is cut.
func (r *Relay) pump(to, from net.Conn, way link) {
	chunks := make(chan chunk, chunkQueue)
	go r.read(from, way, chunks)
	isBroken := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		for !isBroken && r.links.isCut(way.from, way.to) {
			time.Sleep(cutPoll)
			isBroken = r.hasClosed()
		}
		if isBroken {
			continue
		}
		if len(c.bytes) > 0 {
			if _, err := to.Write(c.bytes); err != nil {
				isBroken = true
				from.Close()
			}
		}
		if c.err != nil {
			passEnd(to, c.err)
		}
	}
}

// read reads chunks from a connection until it ends.
func (r *Relay) read(from net.Conn, way link, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		chunks <- chunk{due: time.Now().Add(r.links.delay(way.from, way.to)), bytes: buffer[:n], err: err}
		if err != nil {
			return
		}
	}
}

// passEnd ends the other connection as the first one ended: half-closed at its end, reset at an error.
func passEnd(to net.Conn, err error) {
	if !errors.Is(err, io.EOF) {
		reset(to)
		return
	}
	if tcp, isTCP := to.(*net.TCPConn); isTCP {
		tcp.CloseWrite()
	}
}

func (r *Relay) hasClosed() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.isClosed
}

// close stops listening and ends every connection.
func (r *Relay) close() {
	r.listener.Close()
	r.lock.Lock()
	defer r.lock.Unlock()
	r.isClosed = true
	for conn := range r.conns {
		conn.Close()
	}
}

package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/sockets"
)

// Conn is one connection to a back end.
type Conn struct {
	net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	idleAt   time.Time
	lifetime time.Duration
	isUsed   bool
	// rested is how long it lay idle before its present use.
	rested time.Duration
}

type poolShard struct {
	lock sync.Mutex
	idle map[string][]*Conn
}

// Pool keeps idle connections by instance, never by address alone.
type Pool struct {
	shards [shards]poolShard
	dialer net.Dialer
	stats  *Stats
	isShut bool
	fresh  *Freshness
	since  time.Time
	lock   sync.Mutex
}

// NewPool makes a pool that dials from a local address.
func NewPool(local string, stats *Stats) *Pool {
	p := &Pool{stats: stats, fresh: NewFreshness(), since: time.Now()}
	p.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: constants.KeepAliveIdle, Interval: constants.KeepAliveEvery, Count: constants.KeepAliveCount}
	p.dialer.Control = sockets.IdleTimeout(constants.BackendIdleTimeout)
	if address, err := netip.ParseAddrPort(local); err == nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: address.Addr().AsSlice()}
	}
	for i := range p.shards {
		p.shards[i].idle = map[string][]*Conn{}
	}
	return p
}

// Get gives an idle connection to an instance or a new one; the newest idle one must be fresh enough for what is to be sent.
func (p *Pool) Get(ctx context.Context, b *schema.Backend, wait time.Duration, isRepeatable bool) (*Conn, error) {
	bound := p.bound(b.Service, isRepeatable)
	s := &p.shards[shardOf(b.Instance)]
	s.lock.Lock()
	for n := len(s.idle[b.Instance]); n > 0; n = len(s.idle[b.Instance]) {
		conn := s.idle[b.Instance][n-1]
		if conn.rested = time.Since(conn.idleAt); conn.rested > bound {
			break
		}
		s.idle[b.Instance] = s.idle[b.Instance][:n-1]
		if conn.rested > conn.lifetime || conn.RemoteAddr().String() != b.Address || !conn.isQuiet() {
			conn.Close()
			continue
		}
		s.lock.Unlock()
		return conn, nil
	}
	s.lock.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", b.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", b.Address, err)
	}
	p.stats.Connections.Add(1)
	return &Conn{Conn: raw, reader: bufio.NewReaderSize(raw, 4<<10), writer: bufio.NewWriterSize(raw, 2<<10), lifetime: constants.IdleDefault}, nil
}

func (p *Pool) bound(service string, isRepeatable bool) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.fresh.Bound(time.Since(p.since), service, isRepeatable)
}

// Forgot notes that a connection was reset at once, and tells whether its back end had forgotten it while it lay idle.
func (p *Pool) Forgot(service string, conn *Conn) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return conn.isUsed && p.fresh.Forgot(time.Since(p.since), service, conn.rested)
}

func (c *Conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return sockets.IsQuiet(c.Conn)
}

// Put gives a clean connection back.
func (p *Pool) Put(instance string, conn *Conn) {
	conn.idleAt, conn.isUsed = time.Now(), true
	conn.SetDeadline(time.Time{})
	s := &p.shards[shardOf(instance)]
	s.lock.Lock()
	defer s.lock.Unlock()
	if p.shut() || len(s.idle[instance]) >= constants.IdleMost {
		conn.Close()
		return
	}
	s.idle[instance] = append(s.idle[instance], conn)
}

func (p *Pool) shut() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.isShut
}

// Trim closes what lay idle too long and the connections to instances that are no longer known.
func (p *Pool) Trim(isKnown func(instance string) bool) {
	for i := range p.shards {
		s := &p.shards[i]
		s.lock.Lock()
		for instance, conns := range s.idle {
			kept := conns[:0]
			for _, conn := range conns {
				if !isKnown(instance) || time.Since(conn.idleAt) > conn.lifetime {
					conn.Close()
				} else {
					kept = append(kept, conn)
				}
			}
			if s.idle[instance] = kept; len(kept) == 0 {
				delete(s.idle, instance)
			}
		}
		s.lock.Unlock()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	p.lock.Lock()
	p.isShut = true
	p.lock.Unlock()
	p.Trim(func(string) bool { return false })
	return nil
}

var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

func endToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// Answer is a back end's whole head, with its body read as far as it is kept.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body on the connection, if the answer is longer than what is kept.
	Rest   io.ReadCloser
	Length int64
}

type exchange struct {
	names   Names
	request *http.Request
	target  string
	id      string
	body    []byte
	stream  *limited
	length  int64
}

// BrokenError says that bytes were written and no whole, trustworthy answer came.
type BrokenError struct {
	Reason string
	// IsUnbegun says that the connection ended before a byte of the answer came.
	IsUnbegun bool
}

func (e *BrokenError) Error() string {
	return e.Reason + "; another back end may serve what may be repeated"
}

// target is the address as the caller wrote it. One that begins with two slashes would be taken for a host, so it goes by its parts.
func target(r *http.Request) *url.URL {
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Scheme: "http", Host: r.Host, Opaque: r.RequestURI}
	}
	return &url.URL{Scheme: "http", Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
}

// limited tells what ended a caller's body early.
type limited struct {
	io.Reader
	err error
}

func (l *limited) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p)
	if err != nil && err != io.EOF {
		l.err = err
	}
	return n, err
}

func (x *exchange) write(conn *Conn, left time.Duration) error {
	header := endToEnd(x.request.Header)
	header.Set(x.names.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	header.Set(x.names.Target, x.target)
	if _, isSet := header["User-Agent"]; !isSet {
		header["User-Agent"] = []string{""}
	}
	out := &http.Request{Method: x.request.Method, URL: target(x.request), Host: x.request.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header}
	switch {
	case x.stream != nil:
		out.Body, out.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(x.body), x.stream)), x.length
		if x.length < 0 {
			out.TransferEncoding = []string{"chunked"}
		}
	case len(x.body) > 0:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
	case x.request.Method != http.MethodGet && x.request.Method != http.MethodHead && x.length == 0:
		out.Body, out.ContentLength = http.NoBody, 0
	}
	if err := out.Write(conn.writer); err != nil {
		return err
	}
	return conn.writer.Flush()
}

func (x *exchange) read(conn *Conn) (*Answer, bool, error) {
	if _, err := conn.reader.Peek(1); err != nil {
		return nil, false, &BrokenError{Reason: "no answer: " + err.Error(), IsUnbegun: err == io.EOF || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)}
	}
	for skipped := 0; ; {
		response, err := http.ReadResponse(conn.reader, x.request)
		if err != nil {
			return nil, false, &BrokenError{Reason: "no answer: " + err.Error()}
		}
		if response.StatusCode < 200 {
			continue
		}
		isEnding := response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0
		kept, err := io.ReadAll(io.LimitReader(response.Body, constants.KeepAnswer+1))
		if err != nil {
			return nil, false, &BrokenError{Reason: "the answer was cut short: " + err.Error()}
		}
		if id := response.Header.Get(x.names.Attempt); id != x.id {
			if len(kept) > constants.KeepAnswer || isEnding || skipped >= constants.SurplusMost {
				return nil, false, &BrokenError{Reason: "an answer of another request came"}
			}
			skipped++
			continue
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && x.request.Method != http.MethodHead && response.StatusCode != 204 && response.StatusCode != 304 {
			return nil, false, &BrokenError{Reason: "the answer has no end of its own"}
		}
		answer := &Answer{Status: response.StatusCode, Header: response.Header, Body: kept, Length: response.ContentLength}
		if len(kept) > constants.KeepAnswer {
			answer.Rest = response.Body
		} else {
			answer.Length = int64(len(kept))
		}
		conn.lifetime = constants.IdleDefault
		if seconds, isSaid := keepAlive(response.Header.Get("Keep-Alive")); isSaid {
			conn.lifetime = max(0, seconds-constants.IdleMargin)
		}
		return answer, !isEnding && skipped == 0, nil
	}
}

func keepAlive(text string) (time.Duration, bool) {
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	if seconds, err := strconv.Atoi(strings.TrimSpace(text)); err == nil {
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}

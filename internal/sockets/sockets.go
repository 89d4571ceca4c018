// Package sockets holds what TCP connections need beyond the standard library's options. It keeps no state, and its functions may be
// called from any goroutine.
package sockets

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name.
const tcpUserTimeout = 18

// past is a deadline that is over for every connection.
var past = time.Unix(1, 0)

// LocalAddress is the address to dial from, for a process that listens on an "IP:port": its IP with any port. It is nil, for the
// system's choice, if the text is no such address.
func LocalAddress(listen string) net.Addr {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil
	}
	return &net.TCPAddr{IP: address.Addr().AsSlice()}
}

// IdleTimeout makes the Control function of a dialer whose connections end once sent bytes were not acknowledged for that long.
func IdleTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}

// AbortWhenDone ends the reads and writes of a connection with a time-out as soon as the context is done. The returned function undoes
// that; it tells whether it came in time, as that of context.AfterFunc does.
func AbortWhenDone(ctx context.Context, conn net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { conn.SetDeadline(past) })
}

// Reset closes a connection so that its other end is told at once and nothing that is on its way is read.
func Reset(conn net.Conn) error {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		tcp.SetLinger(0)
	}
	return conn.Close()
}

// IsQuiet tells whether an idle connection is open and nothing has arrived on it. It reads nothing; a connection that is not TCP counts
// as quiet.
func IsQuiet(conn net.Conn) bool {
	raw, err := rawConnOf(conn)
	if raw == nil {
		return err == nil
	}
	isQuiet := true
	err = raw.Read(func(fd uintptr) bool {
		n, err := peek(fd)
		isQuiet = n < 0 && isNothingYet(err)
		return true
	})
	return err == nil && isQuiet
}

// connKey is the key of a context's connection.
type connKey struct{}

// WithConn is the ConnContext function of an HTTP server whose handlers may ask for their connection with ConnOf.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf is the connection on which the request of a context came, or nil.
func ConnOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// IsClosedByPeer tells whether the other end has closed or reset a connection that is being read elsewhere. It reads nothing; what is no TCP
// connection counts as open, and so does one on which bytes wait before its end.
func IsClosedByPeer(conn net.Conn) bool {
	raw, err := rawConnOf(conn)
	if raw == nil {
		return err != nil
	}
	isClosed := false
	// Control and not Read, which would wait for the reader of the connection.
	err = raw.Control(func(fd uintptr) {
		n, err := peek(fd)
		isClosed = n == 0 && err == nil || n < 0 && !isNothingYet(err)
	})
	return err != nil || isClosed
}

// rawConnOf gives the raw connection below a TCP connection, and nil below any other.
func rawConnOf(conn net.Conn) (syscall.RawConn, error) {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return nil, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	return raw, nil
}

// peek looks at the first byte that has arrived on a socket: 0 bytes without an error are the connection's end.
func peek(fd uintptr) (n int, err error) {
	var first [1]byte
	n, _, err = syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// isNothingYet tells whether an error says only that nothing has arrived.
func isNothingYet(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR)
}

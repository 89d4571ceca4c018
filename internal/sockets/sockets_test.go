package sockets

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

func TestAnIdleConnectionIsQuietUntilItsPeerSpeaksOrLeaves(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for _, c := range []struct {
		name string
		act  func(net.Conn)
		want bool
	}{
		{"nothing happens", func(net.Conn) {}, true},
		{"a byte arrives", func(peer net.Conn) { peer.Write([]byte("x")) }, false},
		{"the peer closes", func(peer net.Conn) { peer.Close() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dialer := net.Dialer{Control: IdleTimeout(700 * time.Millisecond)}
			conn, err := dialer.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			peer, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			c.act(peer)
			isQuiet := IsQuiet(conn)
			for deadline := time.Now().Add(5 * time.Second); isQuiet != c.want && time.Now().Before(deadline); {
				isQuiet = IsQuiet(conn)
			}
			if isQuiet != c.want {
				t.Errorf("quiet %v, want %v", isQuiet, c.want)
			}
		})
	}
}

func TestLocalAddress(t *testing.T) {
	for _, c := range []struct{ listen, want string }{
		{"127.0.0.1:80", "127.0.0.1:0"},
		{"[::1]:80", "[::1]:0"},
	} {
		if got := LocalAddress(c.listen); got == nil || got.String() != c.want {
			t.Errorf("of %q: %v, want %s", c.listen, got, c.want)
		}
	}
	for _, listen := range []string{"", "localhost:80", "127.0.0.1"} {
		if got := LocalAddress(listen); got != nil {
			t.Errorf("of %q: %v, want none", listen, got)
		}
	}
}

func TestAbortWhenDone(t *testing.T) {
	for _, c := range []struct {
		name      string
		isStopped bool
	}{
		{"a done context ends a read", false},
		{"a stopped one does not", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, peer := net.Pipe()
			defer conn.Close()
			defer peer.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			stop := AbortWhenDone(ctx, conn)
			if c.isStopped && !stop() {
				t.Fatal("stopped too late")
			}
			cancel()
			if c.isStopped {
				go peer.Write([]byte("x"))
			}
			_, err := conn.Read(make([]byte, 1))
			if isAborted := errors.Is(err, os.ErrDeadlineExceeded); isAborted == c.isStopped {
				t.Errorf("read ends with %v", err)
			}
		})
	}
}

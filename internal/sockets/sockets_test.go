package sockets

import (
	"net"
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

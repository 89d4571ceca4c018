// Package sockets holds what connections need beyond the standard library's options.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const tcpUserTimeout = 18

// IdleTimeout makes a dialer's control that gives a connection up once sent bytes stay so long without word of their arrival.
func IdleTimeout(most time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var fault error
		err := raw.Control(func(fd uintptr) {
			fault = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(most.Milliseconds()))
		})
		return errors.Join(err, fault)
	}
}

// IsQuiet tells that an idle connection is open and that nothing has arrived on it.
func IsQuiet(conn net.Conn) bool {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := true
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && isQuiet
}

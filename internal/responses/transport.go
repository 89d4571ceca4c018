package responses

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// transport is an http.Transport whose connections are Conns.
type transport struct{ base *http.Transport }

// NewTransport makes a transport bound the heads of responses; base must not be used by others. An error of it wraps a *BoundError
// where a head exceeded a bound.
func NewTransport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	// The connection's own bound comes first; this one catches what the scanner might take for a body.
	base.MaxResponseHeaderBytes = 2 * int64(Default().Bytes)
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &transport{base: base}
}

// RoundTrip makes one call.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, isBounded := info.Conn.(*Conn); isBounded {
			used.Store(conn)
		}
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if conn := used.Load(); err != nil && conn != nil {
		if exceeded := conn.guard.err(); exceeded != nil {
			return nil, errors.Join(exceeded, err)
		}
	}
	return response, err
}

// CloseIdleConnections closes the connections that no call uses.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

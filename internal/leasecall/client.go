// Package leasecall makes the HTTP calls to back ends about shard leases, and says of each what it can have done there. It
// knows no format: paths and bodies are its users' (internal/node for the product's own interface, platform for the
// platform's). A Client may be used by any goroutine.
package leasecall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/responses"
	"topazshed/internal/sharding"
	"topazshed/internal/sockets"
)

// idlePerHost (connections) are kept open to one host at most.
const idlePerHost = 4

// Headers are the names of the headers of a call and its response.
type Headers struct {
	// Target names the instance that a call is meant for.
	Target string
	// NotRun, in a response, says that the back end did nothing.
	NotRun string
	// Handover, in the response to a release, is what the next owner is given.
	Handover string
}

// Dial opens a TCP connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewDial gives a Dial from a local address (any, if local is not valid). Its connections are reset when they are closed,
// so that what a network partition holds up never arrives later.
func NewDial(local netip.Addr) Dial {
	dialer := &net.Dialer{Timeout: constants.DialWait, Control: sockets.IdleTimeout(constants.BackendIdleTimeout)}
	if local.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: local.AsSlice()}
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			err = tcp.SetLinger(0)
		}
		return conn, err
	}
}

// NewHTTPClient gives an HTTP client over dial that follows no redirects. timeout bounds a whole call; 0 is no bound.
func NewHTTPClient(dial Dial, timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout: timeout,
		Transport: responses.NewTransport(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     constants.IdleDefault,
			DisableCompression:  true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Client makes calls about shard leases.
type Client struct {
	dial    Dial
	http    *http.Client
	headers Headers
}

// NewClient gives a client over dial. Only the context of a call bounds how long it takes.
func NewClient(dial Dial, headers Headers) *Client {
	return &Client{dial: dial, http: NewHTTPClient(dial, 0), headers: headers}
}

// Probe asks whether anything accepts connections at the call's address. The result is Done if so, else Unknown.
func (c *Client) Probe(ctx context.Context, call sharding.Call) (sharding.Answer, error) {
	answer := sharding.Answer{ID: call.ID, Result: sharding.Unknown}
	conn, err := c.dial(ctx, "tcp", call.Address)
	if err != nil {
		return answer, err
	}
	answer.Result = sharding.Done
	return answer, conn.Close()
}

// Post sends body as JSON to a path at the call's address. The error tells why there was no whole response; the result is
// Unsent if no connection came up, Failed if the back end did nothing, Replaced if another one answered at the address,
// Unknown if it may have acted.
func (c *Client) Post(ctx context.Context, call sharding.Call, path string, body any) (sharding.Answer, error) {
	answer := sharding.Answer{ID: call.ID, Result: sharding.Unknown}
	text, err := json.Marshal(body)
	if err != nil {
		return answer, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+path, bytes.NewReader(text))
	if err != nil {
		return answer, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(c.headers.Target, call.Instance)
	request, hadConnection := traceConnection(request)
	response, err := c.http.Do(request)
	if err != nil {
		answer.Result = resultWithoutResponse(hadConnection())
		return answer, err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, constants.LeaseResponse))
	err = errors.Join(err, response.Body.Close())
	answer.Result = c.resultOf(response)
	if answer.Result == sharding.Done {
		answer.Handover = response.Header.Get(c.headers.Handover)
	}
	return answer, err
}

func resultWithoutResponse(hadConnection bool) sharding.CallResult {
	if hadConnection {
		return sharding.Unknown
	}
	return sharding.Unsent
}

func (c *Client) resultOf(response *http.Response) sharding.CallResult {
	didNothing := response.Header.Get(c.headers.NotRun) != ""
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return sharding.Done
	case status == http.StatusConflict:
		return sharding.Refused
	case status == http.StatusMisdirectedRequest:
		return sharding.Replaced
	case status == http.StatusBadRequest || didNothing:
		return sharding.Failed
	default:
		return sharding.Unknown
	}
}

// traceConnection gives a request that tells whether it ever had a connection: without one nothing of it was written.
func traceConnection(request *http.Request) (*http.Request, func() bool) {
	var hadConnection atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { hadConnection.Store(true) }}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), trace)), hadConnection.Load
}

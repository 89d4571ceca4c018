package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"topazshed/internal/forwarding"
	"topazshed/internal/sockets"
)

// exchange sends a request on a connection and reads the response. It gives the event, and whether nothing is left on the connection.
func exchange(ctx context.Context, conn *Conn, q *Request, order *Order) (event Event, isClean bool) {
	event.Kind = EventAnswered
	request, err := outgoing(conn, q, order)
	if err != nil {
		event.Err = err
		return event, false
	}
	if order.IsBound {
		defer sockets.AbortWhenDone(ctx, conn)()
	}
	conn.SetDeadline(time.Now().Add(order.For))
	event.MayHaveRun = true
	if err := request.Write(conn); err != nil {
		event.Err = fmt.Errorf("write the request: %w", err)
		return event, false
	}
	response, err := conn.reader.Next(request)
	if err != nil {
		event.Err = fmt.Errorf("read the response: %w", err)
		return event, false
	}
	body, err := readBody(response, order.Limit)
	if err != nil {
		event.Err = err
		return event, false
	}
	event.Result = &Result{Status: response.StatusCode, Header: response.Header, Body: body}
	return event, !response.Close && conn.reader.Buffered() == 0
}

// outgoing is the request as it is written on a connection.
func outgoing(conn *Conn, q *Request, order *Order) (*http.Request, error) {
	address, err := url.Parse("http://" + conn.RemoteAddr().String() + order.Path)
	if err != nil {
		return nil, err
	}
	address.RawQuery = q.RawQuery
	request := &http.Request{
		Method:     q.Method,
		URL:        address,
		Host:       address.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     order.Header,
	}
	if len(q.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(q.Body))
		request.ContentLength = int64(len(q.Body))
	}
	return request, nil
}

// readBody reads a response's body, which must be whole and within a limit of bytes. It does not close the body, which would read a longer
// one to its end.
func readBody(response *http.Response, limit uint64) ([]byte, error) {
	body, isLonger, err := forwarding.ReadUpTo(response.Body, int64(limit))
	if err != nil {
		return nil, fmt.Errorf("the response was cut short: %w", err)
	}
	if isLonger {
		return nil, newResponseError("the response is above the entry's limit; raise outcome_limit or send less")
	}
	return body, nil
}

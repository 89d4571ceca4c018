package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/forwarding"
)

// BrokenError says that bytes were written to a back end and no whole, trustworthy response came. The request may have run.
type BrokenError struct {
	Reason string
	// IsUnbegun says that the connection ended before a byte of the response came.
	IsUnbegun bool
	// Cause is the error of the connection, or nil.
	Cause error
}

func (e *BrokenError) Error() string {
	return e.Reason + "; another back end may serve what may be repeated"
}

// Unwrap gives the error of the connection.
func (e *BrokenError) Unwrap() error { return e.Cause }

// exchange is one caller's request as it is written to back ends, once an attempt, and the responses that are read to it.
type exchange struct {
	names   Names
	request *http.Request
	// target is the instance of the present attempt.
	target string
	id     string
	// body is kept in memory; stream, if there is one, follows it and can be sent only once.
	body   []byte
	stream *errorRecorder
	// length is the body's, or -1 if the caller did not give it.
	length int64
}

// errorRecorder keeps the error that ended a caller's body early.
type errorRecorder struct {
	io.Reader
	err error
}

func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// takeBody reads what is kept of the caller's body, so that it can be sent again; a longer one streams.
func (x *exchange) takeBody() error {
	body := x.request.Body
	if body == nil || body == http.NoBody || x.request.ContentLength == 0 {
		return nil
	}
	kept, isLonger, err := forwarding.ReadUpTo(body, constants.KeepBody)
	if err != nil {
		return err
	}
	x.body = kept
	if isLonger {
		x.stream = &errorRecorder{Reader: body}
	}
	return nil
}

// streamErr is the error that ended the caller's body while it was passed on, or nil.
func (x *exchange) streamErr() error {
	if x.stream == nil {
		return nil
	}
	return x.stream.err
}

// targetURL is the address as the caller wrote it. One that begins with two slashes would be taken for a host, so it goes by its parts.
func targetURL(r *http.Request) *url.URL {
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Scheme: "http", Host: r.Host, Opaque: r.RequestURI}
	}
	return &url.URL{
		Scheme:     "http",
		Host:       r.Host,
		Path:       r.URL.Path,
		RawPath:    r.URL.RawPath,
		RawQuery:   r.URL.RawQuery,
		ForceQuery: r.URL.ForceQuery,
	}
}

// write sends the request, with the time that the caller still waits.
func (x *exchange) write(conn *Conn, left time.Duration) error {
	out := &http.Request{
		Method:     x.request.Method,
		URL:        targetURL(x.request),
		Host:       x.request.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     x.header(left),
	}
	x.setBody(out)
	if err := out.Write(conn.writer); err != nil {
		return err
	}
	return conn.writer.Flush()
}

func (x *exchange) header(left time.Duration) http.Header {
	header := forwarding.EndToEnd(x.request.Header)
	header.Set(x.names.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	header.Set(x.names.Target, x.target)
	if _, isSet := header["User-Agent"]; !isSet {
		// An empty value keeps net/http from writing its own.
		header["User-Agent"] = []string{""}
	}
	return header
}

func (x *exchange) setBody(out *http.Request) {
	switch {
	case x.stream != nil:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(x.body), x.stream))
		out.ContentLength = x.length
		if x.length < 0 {
			out.TransferEncoding = []string{"chunked"}
		}
	case len(x.body) > 0:
		out.Body = io.NopCloser(bytes.NewReader(x.body))
		out.ContentLength = int64(len(x.body))
	case x.request.Method != http.MethodGet && x.request.Method != http.MethodHead && x.length == 0:
		// With NoBody net/http writes "Content-Length: 0".
		out.Body = http.NoBody
		out.ContentLength = 0
	}
}

// read gives the response to this request, and whether the connection may carry another one. Its error is a *BrokenError.
func (x *exchange) read(conn *Conn) (answer *Answer, isReusable bool, err error) {
	if _, err := conn.reader.Peek(1); err != nil {
		isUnbegun := err == io.EOF || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
		return nil, false, &BrokenError{Reason: "no answer: " + err.Error(), IsUnbegun: isUnbegun, Cause: err}
	}
	for skipped := 0; ; {
		response, err := conn.reader.Next(x.request)
		if err != nil {
			return nil, false, &BrokenError{Reason: "no answer: " + err.Error(), Cause: err}
		}
		kept, isLonger, err := forwarding.ReadUpTo(response.Body, constants.KeepAnswer)
		if err != nil {
			return nil, false, &BrokenError{Reason: "the answer was cut short: " + err.Error(), Cause: err}
		}
		isLast := response.Close || hasNoLength(response)
		if response.Header.Get(x.names.Attempt) != x.id {
			if isLonger || isLast || skipped >= constants.MaxSurplus {
				return nil, false, &BrokenError{Reason: "an answer of another request came"}
			}
			skipped++
			continue
		}
		if hasNoLength(response) && mayHaveBody(x.request.Method, response.StatusCode) {
			return nil, false, &BrokenError{Reason: "the answer has no end of its own"}
		}
		conn.lifetime = idleLifetime(response.Header.Get("Keep-Alive"))
		return newAnswer(response, kept, isLonger), !isLast && skipped == 0, nil
	}
}

// hasNoLength tells that only the end of the connection ends a response's body.
func hasNoLength(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// idleLifetime is how long a connection may lie idle, by the Keep-Alive field of the last response on it.
func idleLifetime(keepAlive string) time.Duration {
	if timeout, isSet := keepAliveTimeout(keepAlive); isSet {
		return max(0, timeout-constants.IdleMargin)
	}
	return constants.IdleDefault
}

// keepAliveTimeout reads a Keep-Alive field: "timeout=5, max=100", or the bare number that some back ends send.
func keepAliveTimeout(field string) (timeout time.Duration, isSet bool) {
	for _, part := range strings.Split(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	if seconds, err := strconv.Atoi(strings.TrimSpace(field)); err == nil {
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}

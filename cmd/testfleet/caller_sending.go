package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"topazshed/internal/checker"
)

// sending is one sending of a request to one of the proxies that a directory named.
type sending struct {
	request callRequest
	match   *match
	// left is how long the caller still waits, age the age of the attempt id if the caller names it.
	left, age time.Duration
	serial    int
}

// send sends a request once.
func (c *Callers) send(s sending) *checker.Reply {
	proxy := s.match.Proxies[c.draw(len(s.match.Proxies))]
	reply := &checker.Reply{
		At:       c.history.Now(),
		Service:  s.request.kind.Service,
		Path:     s.request.path,
		Method:   s.request.kind.Method,
		Attempt:  s.request.attempt,
		Send:     fmt.Sprintf("%s/%d", s.request.attempt, s.serial),
		Zone:     proxy.Zone,
		Proxy:    proxy.Address,
		IsUnsafe: s.request.kind.isUnsafe(),
		IsProper: true,
	}
	limit := s.left
	if !reply.IsUnsafe {
		limit = min(limit, checker.SafeLimit)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	httpRequest, err := s.httpRequest(ctx, proxy.Address, reply.Send)
	if err != nil {
		reply.Broken = err.Error()
		return reply
	}
	response, err := c.clients[s.request.zone].Do(httpRequest)
	if err != nil {
		reply.End = c.history.Now()
		reply.Broken = brokenBy(ctx, err)
		return reply
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	reply.End = c.history.Now()
	if err != nil {
		reply.Broken = checker.BrokenCut
		return reply
	}
	reply.ReadAnswer(response.StatusCode, response.Header, text)
	return reply
}

// httpRequest makes the request as the proxy gets it.
func (s *sending) httpRequest(ctx context.Context, proxyAddress, send string) (*http.Request, error) {
	r := &s.request
	var body io.Reader
	if r.kind.Method == http.MethodPost {
		body = strings.NewReader(fmt.Sprintf(`{"attempt":%q,"amount":%d}`, r.attempt, len(r.attempt)))
	}
	address := "http://" + proxyAddress + "/" + r.kind.Service + r.path
	request, err := http.NewRequestWithContext(ctx, r.kind.Method, address, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerAttempt, r.attempt)
	request.Header.Set(headerWait, strconv.FormatInt(max(1, s.left.Milliseconds()), 10))
	request.Header.Set(headerOrigin, s.match.Origin)
	request.Header.Set(headerSend, send)
	if s.age > 0 {
		request.Header.Set(headerAge, strconv.FormatInt(s.age.Milliseconds()+1, 10))
	}
	if r.key != "" {
		request.Header.Set(headerKey, r.key)
	}
	return request, nil
}

// brokenBy tells how a sending without an answer broke.
func brokenBy(ctx context.Context, err error) string {
	var operation *net.OpError
	switch {
	case ctx.Err() != nil:
		return checker.BrokenLate
	case errors.As(err, &operation) && operation.Op == "dial":
		return checker.BrokenDial
	}
	return checker.BrokenLost
}

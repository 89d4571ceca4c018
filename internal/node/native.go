package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/discovery"
	"topazshed/internal/gateway"
	"topazshed/internal/settings"
	"topazshed/internal/sharding"
	"topazshed/internal/sockets"
)

// PartialListError says that a read of the list was not whole, so that nothing is taken out by it.
type PartialListError struct{ Reason string }

func (e *PartialListError) Error() string {
	return fmt.Sprintf("the list was not read whole: %s; mend the list if it lasts", e.Reason)
}

// NativePlatform speaks the product's own interface, for a fleet whose settings say that it carries routes.
func NativePlatform(s *settings.Settings) *Platform {
	bounds := s.Routes
	milliseconds := func(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
	platform := &Platform{Names: gateway.DefaultNames(), Bounds: Bounds{
		Bounds: gateway.Bounds{RetryRatio: bounds.RetryRatio, RetryWindow: milliseconds(bounds.RetryWindowMS), RetrySlack: bounds.RetrySlack,
			ColdExcess: bounds.ColdExcess, ColdMargin: bounds.ColdMargin},
		HoldMost: milliseconds(bounds.HoldMostMS), ListLag: milliseconds(bounds.ListLagMS), ListRate: bounds.ListRate, StopGrace: milliseconds(bounds.StopGraceMS),
		ResolveMost: milliseconds(bounds.MatchLifeMS)}}
	caller := newCaller(s.Proxy)
	platform.GrantLease = caller.grantLease
	if s.Platform != "" {
		platform.List = func(ctx context.Context, turn Turn) ([]discovery.Listed, int, error) {
			return listNative(ctx, caller.lister, s.Platform, turn)
		}
	}
	platform.Serve = func(outside *Outside) map[string]http.Handler {
		return map[string]http.Handler{s.Proxy: outside.Requests, s.Admin: outside.Admin}
	}
	return platform
}

func listNative(ctx context.Context, client *http.Client, list string, turn Turn) ([]discovery.Listed, int, error) {
	var pages []discovery.Page
	beside := map[string]discovery.RoutedItem{}
	fault := ""
	for number := 0; number < constants.ListPagesMost; number++ {
		var page discovery.RoutedPage
		if err := turn(ctx, 0, nil); err != nil {
			fault = err.Error()
			break
		}
		if _, err := fetchPage(ctx, client, list, number, &page); err != nil {
			fault = err.Error()
			break
		}
		if page.Page.Page != number {
			fault = fmt.Sprintf("it gave page %d for page %d", page.Page.Page, number)
			break
		}
		plain := page.Page
		for _, item := range page.Backends {
			plain.Backends = append(plain.Backends, item.Item)
			beside[item.Service+"/"+item.Instance] = item
		}
		pages = append(pages, plain)
		if number+1 >= page.Pages {
			break
		}
	}
	sweep := discovery.Join(pages)
	var items []discovery.Listed
	for _, item := range sweep.Items {
		own := beside[item.Service+"/"+item.Instance]
		items = append(items, discovery.Listed{Service: item.Service, Instance: item.Instance, Address: item.Address, Zone: item.Zone, Slots: own.Slots,
			IsDraining: item.State == "draining", ColdLeft: time.Duration(own.ColdLeftMS) * time.Millisecond})
	}
	if fault == "" {
		fault = sweep.Reason
	}
	if fault != "" {
		return items, max(1, len(pages)), &PartialListError{fault}
	}
	return items, len(pages), nil
}

// KeyCall is what a back end of a keyed service is told: the keys from first to last are its own under that number, or no longer.
type KeyCall struct {
	Service  string `json:"service"`
	First    uint32 `json:"first"`
	Last     uint32 `json:"last"`
	Number   uint64 `json:"number"`
	HoldMS   int64  `json:"hold_ms,omitempty"`
	Handover string `json:"handover,omitempty"`
}

// HandoverHeader carries what the next owner of released keys is given.
const HandoverHeader = "Topazshed-Handover"

type caller struct {
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	lister       *http.Client
	leaseManager *http.Client
}

// newCaller calls from a local address; its connections are reset when they are closed, so that what a cut holds up never arrives.
func newCaller(local string) *caller {
	dialer := &net.Dialer{Timeout: constants.DialWait, Control: sockets.IdleTimeout(constants.BackendIdleTimeout)}
	if address, err := netip.ParseAddrPort(local); err == nil {
		dialer.LocalAddr = &net.TCPAddr{IP: address.Addr().AsSlice()}
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			err = tcp.SetLinger(0)
		}
		return conn, err
	}
	client := func(wait time.Duration) *http.Client {
		return &http.Client{Timeout: wait, Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: constants.IdleDefault, DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	}
	return &caller{dial: dial, lister: client(constants.ListCall), leaseManager: client(0)}
}

func (c *caller) probe(ctx context.Context, call sharding.Call) (sharding.Answer, error) {
	answer := sharding.Answer{ID: call.ID, Result: sharding.Unknown}
	conn, err := c.dial(ctx, "tcp", call.Address)
	switch {
	case err == nil:
		answer.Result = sharding.Done
		err = conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		answer.Result = sharding.Failed
	}
	return answer, err
}

// Traced gives a request that tells whether it ever had a connection: without one nothing of it was written.
func Traced(request *http.Request) (*http.Request, func() bool) {
	var hasConnection atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { hasConnection.Store(true) }}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), trace)), hasConnection.Load
}

func (c *caller) grantLease(ctx context.Context, call sharding.Call) (sharding.Answer, error) {
	if call.Kind == sharding.Probe {
		return c.probe(ctx, call)
	}
	answer := sharding.Answer{ID: call.ID, Result: sharding.Unknown}
	body, path := KeyCall{Service: call.Service, First: uint32(call.First), Last: uint32(call.Last), Number: uint64(call.Fence)}, "/keys/release"
	if call.Kind == sharding.GrantLease {
		body.HoldMS, body.Handover, path = call.LeaseDuration.Milliseconds(), call.Handover, "/keys/grant"
	}
	text, err := json.Marshal(body)
	if err != nil {
		return answer, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+path, bytes.NewReader(text))
	if err != nil {
		return answer, err
	}
	names := gateway.DefaultNames()
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(names.Target, call.Instance)
	request, hadConnection := Traced(request)
	response, err := c.leaseManager.Do(request)
	if err != nil {
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			answer.Result = sharding.Failed
		case !hadConnection():
			answer.Result = sharding.Unsent
		}
		return answer, err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, constants.DocumentLimit))
	err = errors.Join(err, response.Body.Close())
	switch {
	case response.StatusCode == http.StatusOK:
		answer.Result, answer.Handover = sharding.Done, response.Header.Get(HandoverHeader)
	case response.StatusCode == http.StatusConflict:
		answer.Result = sharding.Refused
	case response.StatusCode == http.StatusMisdirectedRequest || response.StatusCode == http.StatusBadRequest || response.Header.Get(names.NotRun) != "":
		answer.Result = sharding.Failed
	}
	return answer, err
}

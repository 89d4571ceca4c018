package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
)

// Options make an Executor.
type Options struct {
	Self  *schema.Node
	Now   func() time.Duration
	Local func() *controlplane.Local
	Want  func(service string)
	Call  func(ctx context.Context, address string, frame *schema.Frame) (*schema.Frame, error)
	Draw  func(int64) int64
	Pool  *Pool
	Loads *Loads
	Kept  *Kept
	Log   *slog.Logger
}

// Executor carries out the orders of each request's course with real connections.
type Executor struct {
	options Options
	serial  atomic.Uint64
	stats   [4]atomic.Uint64
}

// NewExecutor makes one.
func NewExecutor(options Options) *Executor { return &Executor{options: options} }

// Stats are the counts of sealed, refused, doubtful and repeated attempts.
func (x *Executor) Stats() map[string]uint64 {
	return map[string]uint64{"sealed": x.stats[0].Load(), "declined": x.stats[1].Load(), "doubtful": x.stats[2].Load(), "repeats": x.stats[3].Load()}
}

// Result is a whole answer: a back end's, or what a caller is told.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
}

// ServeHTTP takes one request from a caller or from another proxy.
func (x *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := x.options.Now()
	result, fault := x.run(r, begun)
	switch {
	case fault == nil:
		x.stats[0].Add(1)
	case fault.Result == ResultAmbiguous:
		x.stats[2].Add(1)
	default:
		x.stats[1].Add(1)
	}
	told := Tell(x.options.Self.Id, r.Header.Get(HeaderAttempt), result, fault)
	for name, values := range told.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(told.Status)
	w.Write(told.Body)
}

// Tell makes the answer to a caller out of a sealed response or a fault.
func Tell(self, attempt string, result *Result, fault *RefusalError) *Result {
	told := &Result{Header: http.Header{}}
	if fault != nil {
		told = fault.describe()
	} else {
		told.Status, told.Header, told.Body = result.Status, result.Header.Clone(), result.Body
		told.Header.Set(HeaderOutcome, ResultSealed)
		told.Header.Set("Content-Length", strconv.Itoa(len(result.Body)))
	}
	told.Header.Set(HeaderProxy, self)
	told.Header.Set(HeaderAttempt, attempt)
	return told
}

func (x *Executor) run(r *http.Request, begun time.Duration) (*Result, *RefusalError) {
	q, fault := ReadRequest(r)
	if fault != nil {
		return nil, fault
	}
	if fault := x.readBody(q, r, begun); fault != nil {
		return nil, fault
	}
	q.Seal()
	return x.Run(r.Context(), q, begun)
}

func (x *Executor) readBody(q *Request, r *http.Request, begun time.Duration) *RefusalError {
	limit := uint64(constants.BodyLimit)
	if service := x.options.Local().View.Services[q.Service]; service != nil {
		if entry := service.Entry(q.Path); entry != nil {
			limit = entry.BodyLimit
		}
	}
	oversize := newRefusal(http.StatusRequestEntityTooLarge, "oversize", "the body is above the entry's limit of %d bytes; send less", limit)
	if r.ContentLength > int64(limit) {
		return oversize
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return newRefusal(http.StatusBadRequest, "cut-short", "the body ended early; send it whole")
	}
	if uint64(len(body)) > limit {
		return oversize
	}
	q.Body = body
	return nil
}

// Run carries a request until it has its one response.
func (x *Executor) Run(ctx context.Context, q *Request, begun time.Duration) (*Result, *RefusalError) {
	machine := NewRequestMachine(RequestOptions{Self: x.options.Self, Loads: x.options.Loads, Kept: x.options.Kept, Draw: x.options.Draw, Request: q, Begun: begun,
		Owner: fmt.Sprintf("%s/%d", x.options.Self.Id, x.serial.Add(1))})
	defer func() { x.stats[3].Add(uint64(machine.Repeats)) }()
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	var conn *Proved
	var isClean bool
	var answers chan *schema.ReservationResponse
	event := Event{Kind: EventBegun}
	for {
		order := machine.Next(x.options.Now(), x.options.Local(), event)
		if conn != nil && order.Kind != OrderSend {
			if order.Keeps && isClean {
				x.options.Pool.Put(conn)
			} else {
				conn.Close()
			}
			conn = nil
		}
		event = Event{}
		switch order.Kind {
		case OrderReply:
			return order.Result, order.Fault
		case OrderWait:
			if order.Wanted != "" {
				x.options.Want(order.Wanted)
			}
			event.Kind = EventWoken
			select {
			case <-ctx.Done():
				event.Kind = EventGone
			case <-time.After(order.For):
			}
		case OrderConnect:
			event.Kind = EventConnected
			conn, event.Err = x.options.Pool.Get(ctx, order.Address, order.Who)
			isClean = true
			if event.Err != nil {
				x.options.Log.Debug("not reached", "instance", order.Who.Instance, "reason", event.Err.Error())
			}
		case OrderSend:
			event.Kind = EventAnswered
			event.Result, event.IsTouched, isClean, event.Err = exchange(ctx, conn, q, order)
			event.IsGone = event.Err != nil && ctx.Err() != nil
			if event.Err != nil {
				x.options.Log.Debug("leg failed", "instance", conn.who.Instance, "reason", event.Err.Error())
			}
		case OrderReserve:
			answers = x.reserve(ctx, order)
			event = Event{Kind: EventReserved, Reserved: <-answers}
		case OrderListen:
			event = Event{Kind: EventReserved, Reserved: <-answers}
		case OrderReplay:
			event = Event{Kind: EventReplayed, Replayed: x.replay(ctx, order)}
		case OrderRelease:
			answers = x.reserve(context.WithoutCancel(ctx), order)
			for range order.Reservations {
				<-answers
			}
			event.Kind = EventReleased
		}
	}
}

func (x *Executor) replay(ctx context.Context, order Order) *schema.ReplayResponse {
	ctx, cancel := context.WithTimeout(ctx, order.For)
	defer cancel()
	frame, err := x.options.Call(ctx, order.Address, &schema.Frame{Body: &schema.Frame_ReplayRequest{ReplayRequest: order.Replay}})
	if err != nil {
		return nil
	}
	return frame.GetReplayResponse()
}

func (x *Executor) reserve(ctx context.Context, order Order) chan *schema.ReservationResponse {
	answers := make(chan *schema.ReservationResponse, len(order.Reservations))
	ctx, cancel := context.WithTimeout(ctx, order.For)
	var group sync.WaitGroup
	for _, call := range order.Reservations {
		group.Go(func() {
			frame, err := x.options.Call(ctx, call.Member.Address, &schema.Frame{Body: &schema.Frame_ReservationRequest{ReservationRequest: call.Request}})
			if err != nil {
				frame = &schema.Frame{}
			}
			answers <- frame.GetReservationResponse()
		})
	}
	go func() {
		defer cancel()
		group.Wait()
	}()
	return answers
}

func exchange(ctx context.Context, conn *Proved, q *Request, order Order) (result *Result, isTouched, isClean bool, err error) {
	address, err := url.Parse("http://" + conn.RemoteAddr().String() + order.Path)
	if err != nil {
		return nil, false, false, err
	}
	address.RawQuery = q.RawQuery
	request := &http.Request{Method: q.Method, URL: address, Host: address.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: order.Header}
	if len(q.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(q.Body))
		request.ContentLength = int64(len(q.Body))
	}
	if order.IsBound {
		defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	}
	conn.SetDeadline(time.Now().Add(order.For))
	if err := request.Write(conn); err != nil {
		return nil, true, false, fmt.Errorf("write leg: %w", err)
	}
	response, err := http.ReadResponse(conn.reader, request)
	if err != nil {
		return nil, true, false, fmt.Errorf("read outcome: %w", err)
	}
	body, err := readWhole(response, order.Limit)
	if err != nil {
		return nil, true, false, err
	}
	return &Result{response.StatusCode, response.Header, body}, true, !response.Close && conn.reader.Buffered() == 0, nil
}

func readWhole(response *http.Response, limit uint64) ([]byte, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("outcome cut short: %w", err)
	}
	if uint64(len(body)) > limit {
		return nil, errors.New("outcome is above the entry's limit; raise outcome_limit or shrink it")
	}
	return body, nil
}

// Seal is the digest header of a body in the form of RFC 9530.
func Seal(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

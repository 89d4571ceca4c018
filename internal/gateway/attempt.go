package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/sockets"
)

// attempt is one sending of a request to one back end, as the gateway's tables count it.
type attempt struct {
	gateway  *Gateway
	service  string
	instance string
	key      uint32
	isKeyed  bool
	begun    time.Duration
}

func (e *execution) beginAttempt(instance string) attempt {
	a := attempt{
		gateway:  e.gateway,
		service:  e.machine.Service,
		instance: instance,
		key:      e.machine.Key,
		isKeyed:  e.machine.IsKeyed,
		begun:    e.now(),
	}
	a.gateway.loads.Start(a.begun, instance)
	return a
}

func (a *attempt) elapsed() time.Duration { return a.gateway.options.Now() - a.begun }

// judge notes what the attempt says about its back end.
func (a *attempt) judge(verdict Verdict) {
	now := a.gateway.options.Now()
	a.gateway.loads.Judge(now, a.service, a.instance, verdict, now-a.begun)
}

// end takes the attempt off the tables.
func (a *attempt) end(ctx context.Context, isServed bool) {
	now := a.gateway.options.Now()
	took := now - a.begun
	a.gateway.loads.Stop(a.instance, a.begun)
	a.gateway.loads.End(a.instance, took, isServed)
	if isServed || ctx.Err() != nil {
		a.gateway.pressure.Note(now, a.service, a.instance, took)
	}
	if a.isKeyed {
		a.gateway.loads.KeyLoad(a.service, a.key, took, isServed)
	}
}

// send sends the request on the open connection and reads the response.
func (e *execution) send(ctx context.Context, order Order) Event {
	a := e.beginAttempt(order.Backend.Instance)
	e.noteSend(a.instance)
	e.exchange.target = a.instance
	stop := sockets.AbortWhenDone(ctx, e.conn)
	defer stop()
	writeErr := e.exchange.write(e.conn, e.machine.Until-a.begun)
	e.machine.Sent(e.now())
	if err := e.exchange.streamErr(); err != nil && ctx.Err() == nil {
		a.end(ctx, false)
		return e.bodyFailed(err)
	}
	answer, isReusable, err := e.exchange.read(e.conn)
	e.gateway.options.Responses.Note(a.instance, err)
	if err != nil {
		return e.unanswered(ctx, &a, order, err, writeErr)
	}
	e.answer = answer
	e.isReusable = isReusable && writeErr == nil
	return e.answered(ctx, &a)
}

// bodyFailed ends an attempt whose caller's body ended early.
func (e *execution) bodyFailed(err error) Event {
	e.isReusable = false
	if isTooLarge(err) {
		return Event{Kind: EventOversize, Reason: err.Error()}
	}
	e.conn.Close()
	panic(http.ErrAbortHandler)
}

// unanswered ends an attempt without a whole response.
func (e *execution) unanswered(ctx context.Context, a *attempt, order Order, err, writeErr error) Event {
	var broken *BrokenError
	isReset := errors.As(err, &broken) && broken.IsUnbegun && ctx.Err() == nil && a.elapsed() < constants.FreshReset
	if isReset && e.gateway.pool.Forgot(order.Backend.Service, e.conn) {
		a.end(ctx, false)
		return Event{Kind: EventBroken, Reason: "the back end had forgotten the idle connection: " + err.Error(), IsForgotten: true}
	}
	if writeErr != nil {
		err = fmt.Errorf("%w (while writing: %v)", err, writeErr)
	}
	return e.broken(ctx, a, err.Error())
}

// broken ends an attempt whose response is missing or can't be trusted, or that has run out of time.
func (e *execution) broken(ctx context.Context, a *attempt, reason string) Event {
	e.answer = nil
	e.isReusable = false
	a.end(ctx, false)
	if ctx.Err() == nil {
		e.gateway.loads.Fail(e.now(), a.instance)
		a.judge(VerdictFailed)
		return Event{Kind: EventBroken, Reason: reason}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && e.gateway.loads.IsOverdue(e.machine.Service, a.elapsed()) {
		a.judge(VerdictFailed)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		e.conn.Close()
		panic(http.ErrAbortHandler)
	}
	return Event{Kind: EventExpired, Reason: reason}
}

// answered ends an attempt with a whole response, by its status.
func (e *execution) answered(ctx context.Context, a *attempt) Event {
	status, header, names := e.answer.Status, e.answer.Header, e.gateway.options.Names
	switch {
	case header.Get(names.NotRun) != "" || status == http.StatusMisdirectedRequest:
		a.end(ctx, false)
		e.judgeNotRun(a, status)
		return Event{Kind: EventNotRun, Reason: fmt.Sprintf("status %d, not run", status)}
	case isSuccess(status) && (header.Get(names.Seal) == "" || header.Get("Content-Encoding") != ""):
		return e.broken(ctx, a, "the answer has no seal")
	case isUnclearRefusal(status):
		return e.broken(ctx, a, fmt.Sprintf("status %d without word that it has not run", status))
	case status >= http.StatusInternalServerError:
		a.end(ctx, false)
		a.judge(VerdictFailed)
		return Event{Kind: EventErrored, Reason: fmt.Sprintf("status %d", status)}
	}
	a.end(ctx, true)
	a.judge(VerdictHealthy)
	return Event{Kind: EventAnswered}
}

// judgeNotRun lets a back end rest that says that it is not the one which was meant; a refusal only counts against it.
func (e *execution) judgeNotRun(a *attempt, status int) {
	switch {
	case status != http.StatusMisdirectedRequest:
		a.judge(VerdictRefused)
	case !e.machine.IsKeyed:
		for range constants.FailuresToRest {
			e.gateway.loads.Fail(e.now(), a.instance)
		}
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// isUnclearRefusal tells that a status may mean that the request did not run, but that only NotRun makes sure of it.
func isUnclearRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout
}

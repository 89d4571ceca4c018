package gateway

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"topazshed/internal/sockets"
)

// execution performs the orders of one request's machine with real connections, on the goroutine of the request. A panic with
// http.ErrAbortHandler ends the caller's connection without a response: the caller has gone, or has got a part of one.
type execution struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	// exchange and machine are held by value: behind a pointer they would be allocated for each request.
	exchange exchange
	machine  RequestMachine

	// conn is the open connection to the back end instance, or nil; isReusable says that it may go back to the pool.
	conn       *Conn
	instance   string
	isReusable bool
	// answer is the response that was read on conn, or nil.
	answer *Answer
}

func (e *execution) now() time.Duration { return e.gateway.options.Now() }

// run asks the machine for orders until the caller has its response.
func (e *execution) run() {
	ctx, cancel := context.WithTimeout(e.request.Context(), e.machine.Until-e.machine.Begun)
	defer cancel()
	defer e.machine.Abandon()
	defer func() { e.gateway.stats.Repeats.Add(uint64(e.machine.Repeats)) }()
	event := Event{Kind: EventBegun}
	for isDone := false; !isDone; {
		local, now := e.gateway.options.Local(), e.now()
		event.AreRowsUnconfirmed = e.gateway.areRowsUnconfirmed(local.ConfirmedAt, now)
		event.MayMissSlowStarts = e.gateway.mayMissSlowStarts(event.AreRowsUnconfirmed, now)
		order := e.machine.Next(now, local.View, event)
		isUnused := event.Kind == EventConnected || event.Kind == EventChecked
		isKept := order.Kind == OrderSend || order.Kind == OrderCheckWarm
		switch {
		case isUnused && !isKept:
			e.returnUnused()
		case e.conn != nil && !isKept && order.Kind != OrderPass:
			e.releaseConn(e.isReusable)
		}
		event, isDone = e.perform(ctx, order)
	}
}

func (e *execution) perform(ctx context.Context, order Order) (event Event, isDone bool) {
	switch order.Kind {
	case OrderConnect:
		return e.connect(ctx, order), false
	case OrderWait:
		return wait(ctx, order.Wait), false
	case OrderCheckWarm:
		return e.checkWarm(ctx, order), false
	case OrderSend:
		return e.send(ctx, order), false
	case OrderPass:
		e.pass(ctx)
	case OrderRefuse:
		e.refuse(order)
	case OrderFail:
		e.fail(order)
	}
	return Event{}, true
}

// releaseConn gives the connection back to the pool if nothing is left on it, and closes it otherwise.
func (e *execution) releaseConn(isReusable bool) {
	conn := e.conn
	e.conn = nil
	if isReusable && e.answer != nil && e.answer.isReadToItsEnd() && conn.reader.Buffered() == 0 {
		e.gateway.pool.Put(e.instance, conn)
		return
	}
	conn.Close()
}

// returnUnused gives a connection back on which nothing was sent, since its back end was closed to requests while it was made.
func (e *execution) returnUnused() {
	conn := e.conn
	e.conn = nil
	e.gateway.loads.End(e.instance, 0, false)
	e.gateway.stats.Overtaken.Add(1)
	e.gateway.options.Log.Debug("overtaken", "id", e.exchange.id, "instance", e.instance, "ms", e.elapsed().Milliseconds())
	e.gateway.pool.Put(e.instance, conn)
}

func (e *execution) connect(ctx context.Context, order Order) Event {
	g, instance := e.gateway, order.Backend.Instance
	e.answer = nil
	e.isReusable = false
	g.loads.Begin(instance)
	conn, err := g.pool.Get(ctx, order.Backend, order.Wait, e.machine.Route.Repeatable)
	if err == nil {
		e.conn = conn
		e.instance = instance
		return Event{Kind: EventConnected}
	}
	g.loads.End(instance, 0, false)
	if ctx.Err() == nil || errors.Is(err, syscall.ECONNREFUSED) {
		g.loads.Fail(e.now(), instance)
		g.loads.Judge(e.now(), e.machine.Service, instance, VerdictFailed, 0)
	}
	abortIfCanceled(ctx)
	if ctx.Err() != nil {
		return Event{Kind: EventExpired}
	}
	return Event{Kind: EventUnreached, Reason: err.Error()}
}

func wait(ctx context.Context, span time.Duration) Event {
	select {
	case <-ctx.Done():
		abortIfCanceled(ctx)
		return Event{Kind: EventExpired}
	case <-time.After(span):
		return Event{Kind: EventWoken}
	}
}

// abortIfCanceled ends the request if its caller has gone.
func abortIfCanceled(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		panic(http.ErrAbortHandler)
	}
}

// pass gives the back end's response to the caller.
func (e *execution) pass(ctx context.Context) {
	e.gateway.stats.Served.Add(1)
	stop := sockets.AbortWhenDone(ctx, e.conn)
	isComplete := e.answer.copyTo(e.writer, e.request.Method, e.gateway.stopping.Load())
	stop()
	e.releaseConn(e.isReusable && isComplete)
	if !isComplete {
		panic(http.ErrAbortHandler)
	}
}

// noteSend counts and logs a request that is about to be sent to a back end in slow start, or by rows that are not confirmed.
func (e *execution) noteSend(instance string) {
	local, now := e.gateway.options.Local(), e.now()
	isCold, isStale := e.machine.choice.IsCold, e.gateway.areRowsStale(local, now)
	if !isCold && !isStale {
		return
	}
	if isCold {
		e.gateway.stats.Cold.Add(1)
	}
	if isStale {
		e.gateway.stats.Stale.Add(1)
	}
	e.gateway.options.Log.Debug("sent to a back end that is cold, or by old rows", "id", e.exchange.id, "instance", instance, "cold", isCold,
		"ageMilliseconds", (now - local.FreshAt).Milliseconds(), "ms", e.elapsed().Milliseconds())
}

func (e *execution) refuse(order Order) {
	e.gateway.options.Log.Debug("refused", "id", e.exchange.id, "service", e.machine.Service, "why", string(order.Refusal),
		"reason", order.Reason, "ms", e.elapsed().Milliseconds())
	e.gateway.refuse(e.writer, e.exchange.id, order.Refusal, "the request has not run; come back after Retry-After", order.RetryAfter)
}

func (e *execution) fail(order Order) {
	e.gateway.stats.Failed.Add(1)
	e.gateway.options.Log.Debug("failed", "id", e.exchange.id, "service", e.machine.Service,
		"reason", order.Reason, "ms", e.elapsed().Milliseconds())
	e.gateway.respond(e.writer, e.exchange.id, ownResponse{Status: order.Status, Kind: kindFailed, Message: order.Reason})
}

func (e *execution) elapsed() time.Duration { return e.now() - e.machine.Begun }

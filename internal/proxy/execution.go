package proxy

import (
	"context"
	"sync"
	"time"

	"topazshed/internal/schema"
)

// execution performs the orders of one request's machine with real connections, on the goroutine of the request.
type execution struct {
	executor *Executor
	request  *Request
	// machine is held by value: behind a pointer it would be allocated apart.
	machine RequestMachine

	// conn is the open connection, or nil; isClean says that nothing is left on it.
	conn    *Conn
	isClean bool
	// reservations are the replicas' answers to the last OrderReserve or OrderRelease.
	reservations chan *schema.ReservationResponse
}

// run asks the machine for orders until the request has its response.
func (e *execution) run(ctx context.Context) (*Result, *RefusalError) {
	defer func() { e.executor.stats.repeats.Add(uint64(e.machine.Repeats)) }()
	ctx, cancel := context.WithTimeout(ctx, e.request.Wait)
	defer cancel()
	options := &e.executor.options
	event := Event{Kind: EventBegun}
	for {
		order := e.machine.Next(options.Now(), options.Local(), event)
		if e.conn != nil && order.Kind != OrderSend {
			e.releaseConn(order.KeepsConn)
		}
		if order.Kind == OrderReply {
			return order.Result, order.Refusal
		}
		event = e.perform(ctx, &order)
	}
}

func (e *execution) releaseConn(mayKeep bool) {
	conn := e.conn
	e.conn = nil
	if mayKeep && e.isClean {
		e.executor.options.Pool.Put(conn)
		return
	}
	conn.Close()
}

func (e *execution) perform(ctx context.Context, order *Order) Event {
	switch order.Kind {
	case OrderWait:
		return e.wait(ctx, order)
	case OrderConnect:
		return e.connect(ctx, order)
	case OrderSend:
		return e.send(ctx, order)
	case OrderReserve:
		e.reservations = e.executor.callReplicas(ctx, order)
		return Event{Kind: EventReserved, Reserved: <-e.reservations}
	case OrderListen:
		return Event{Kind: EventReserved, Reserved: <-e.reservations}
	case OrderRelease:
		// The replicas are told even if the caller has left.
		e.reservations = e.executor.callReplicas(context.WithoutCancel(ctx), order)
		for range order.Reservations {
			<-e.reservations
		}
		return Event{Kind: EventReleased}
	case OrderReplay:
		return Event{Kind: EventReplayed, Replayed: e.executor.replay(ctx, order)}
	}
	return Event{}
}

func (e *execution) wait(ctx context.Context, order *Order) Event {
	if order.Wanted != "" {
		e.executor.options.Want(order.Wanted)
	}
	select {
	case <-ctx.Done():
		return Event{Kind: EventGone}
	case <-time.After(order.For):
		return Event{Kind: EventWoken}
	}
}

func (e *execution) connect(ctx context.Context, order *Order) Event {
	conn, err := e.executor.options.Pool.Get(ctx, order.Address, order.Identity)
	e.conn = conn
	e.isClean = true
	e.executor.options.Exceeded.Note(order.Identity.Instance, err)
	if err != nil {
		e.executor.options.Log.Debug("not reached", "instance", order.Identity.Instance, "reason", err.Error())
	}
	return Event{Kind: EventConnected, Err: err}
}

func (e *execution) send(ctx context.Context, order *Order) Event {
	event, isClean := exchange(ctx, e.conn, e.request, order)
	e.isClean = isClean
	e.executor.options.Exceeded.Note(e.conn.identity.Instance, event.Err)
	event.IsGone = event.Err != nil && ctx.Err() != nil
	if event.Err != nil {
		e.executor.options.Log.Debug("attempt failed", "instance", e.conn.identity.Instance, "reason", event.Err.Error())
	}
	return event
}

// callReplicas sends the order's reservations to all replicas at once. Each gives one answer, nil if it could not be reached in time.
func (x *Executor) callReplicas(ctx context.Context, order *Order) chan *schema.ReservationResponse {
	answers := make(chan *schema.ReservationResponse, len(order.Reservations))
	ctx, cancel := context.WithTimeout(ctx, order.For)
	var group sync.WaitGroup
	for _, call := range order.Reservations {
		group.Go(func() {
			request := &schema.Frame{Body: &schema.Frame_ReservationRequest{ReservationRequest: call.Request}}
			frame, err := x.options.Call(ctx, call.Member.Address, request)
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

// replay asks another proxy for a response; it gives nil if that proxy could not be reached in time.
func (x *Executor) replay(ctx context.Context, order *Order) *schema.ReplayResponse {
	ctx, cancel := context.WithTimeout(ctx, order.For)
	defer cancel()
	request := &schema.Frame{Body: &schema.Frame_ReplayRequest{ReplayRequest: order.Replay}}
	frame, err := x.options.Call(ctx, order.Address, request)
	if err != nil {
		return nil
	}
	return frame.GetReplayResponse()
}

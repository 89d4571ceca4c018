package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/forwarding"
	"topazshed/internal/schema"
	"topazshed/internal/sockets"
	"topazshed/internal/store"
)

// A node learns from its rows that a back end is in slow start. While a majority does not confirm the rows, it asks the back end itself before
// it sends there: a health check, on the connection that the request will use, tells how long the slow start lasts.

// WarmSends is how many requests a node may send to a back end on one answer to a health check: its part, one of so many, of what all nodes
// together may send to a cold one, and one at least. The back end may turn cold right after its answer.
func (l *Loads) WarmSends(policy *schema.ServicePolicy, nodes int) int {
	return max(1, l.ColdRate(policy)/max(1, nodes))
}

// MaySendUnasked counts a request to a back end that told lately that it is not in slow start, unless so many were sent since it was asked.
func (l *Loads) MaySendUnasked(now time.Duration, id string, sends int) bool {
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	i := s.instances[id]
	if i == nil || i.askedAt == 0 || now-i.askedAt >= constants.WarmCheckEvery || i.sentSinceAsked >= sends {
		return false
	}
	i.sentSinceAsked++
	return true
}

// NoteWarmCheck notes that a back end said, asked at an instant, for how much longer it is in slow start; 0 is that it is not. The request that
// asked may be sent then.
func (l *Loads) NoteWarmCheck(askedAt, now time.Duration, id string, coldLeft time.Duration) {
	s := l.lockStripe(id)
	defer s.lock.Unlock()
	i := s.instance(id)
	if askedAt > i.askedAt {
		i.askedAt = askedAt
		i.sentSinceAsked = 1
	}
	if coldLeft > 0 {
		i.coldUntil = max(i.coldUntil, now+coldLeft+constants.ColdAfter)
	}
}

// areRowsUnconfirmed tells whether a zone may have been emptied and restored since a majority last confirmed this node's rows.
func (g *Gateway) areRowsUnconfirmed(confirmedAt, now time.Duration) bool {
	return now-confirmedAt >= constants.RowsConfirmedFor
}

// mayMissSlowStarts tells whether back ends may be in slow start without a row that says so: the rows are not confirmed, or were not shortly before.
func (g *Gateway) mayMissSlowStarts(areRowsUnconfirmed bool, now time.Duration) bool {
	if areRowsUnconfirmed {
		g.unconfirmedAt.Store(int64(now))
	}
	return now-time.Duration(g.unconfirmedAt.Load()) < constants.WarmCheckAfter
}

// mustAsk tells whether the chosen back end must be asked for its slow start before the request is sent, and where. One of a service without a
// health check can't be asked.
func (m *RequestMachine) mustAsk(now time.Duration, view *store.View) (healthPath string, isNeeded bool) {
	service := view.Services[m.Service]
	if !m.mayMissSlowStarts || service == nil || service.Policy.GetHealthPath() == "" {
		return "", false
	}
	sends := m.Loads.WarmSends(service.Policy, len(view.Nodes))
	return service.Policy.GetHealthPath(), !m.Loads.MaySendUnasked(now, m.choice.Backend.Instance, sends)
}

// checkWarm asks the back end on the open connection whether it is in slow start. Where an idle connection was dropped, it asks on another one.
func (e *execution) checkWarm(ctx context.Context, order Order) Event {
	ctx, cancel := context.WithTimeout(ctx, constants.WarmCheckWait)
	defer cancel()
	e.gateway.stats.WarmChecks.Add(1)
	askedAt := e.now()
	header, isReusable, err := e.askHealth(ctx, order)
	for err != nil && e.conn.isReused && ctx.Err() == nil {
		e.gateway.pool.Forgot(order.Backend.Service, e.conn)
		if err := e.reconnect(ctx, order.Backend); err != nil {
			return e.endWarmCheck(err.Error())
		}
		askedAt = e.now()
		header, isReusable, err = e.askHealth(ctx, order)
	}
	if err != nil {
		return e.endWarmCheck("its health check had no answer: " + err.Error())
	}
	if reason := e.noteWarmCheck(askedAt, order.Backend.Instance, header); reason != "" {
		return e.endWarmCheck(reason)
	}
	if !isReusable {
		if err := e.reconnect(ctx, order.Backend); err != nil {
			return e.endWarmCheck(err.Error())
		}
	}
	return Event{Kind: EventChecked}
}

// noteWarmCheck notes what a back end says of its slow start, or gives the reason why it has said nothing.
func (e *execution) noteWarmCheck(askedAt time.Duration, instance string, header http.Header) (reason string) {
	names := e.gateway.options.Names
	if answering := header.Get(names.Instance); answering != "" && answering != instance {
		return "another back end answers at its address"
	}
	if header.Get(names.NotRun) != "" {
		return "it is too busy for a health check"
	}
	e.gateway.loads.NoteWarmCheck(askedAt, e.now(), instance, coldLeftOf(header.Get(names.ColdLeft)))
	return ""
}

// askHealth writes a health check and reads the header fields of its response, and whether the connection may carry a request after it.
func (e *execution) askHealth(ctx context.Context, order Order) (header http.Header, isReusable bool, err error) {
	stop := sockets.AbortWhenDone(ctx, e.conn)
	header, isReusable, err = e.exchangeHealth(order)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	return header, isReusable, err
}

func (e *execution) exchangeHealth(order Order) (header http.Header, isReusable bool, err error) {
	question := &http.Request{
		Method:     http.MethodGet,
		URL:        &url.URL{Scheme: "http", Host: order.Backend.Address, Opaque: order.HealthPath},
		Host:       order.Backend.Address,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		// An empty value keeps net/http from writing its own.
		Header: http.Header{"User-Agent": {""}},
	}
	if err := question.Write(e.conn.writer); err != nil {
		return nil, false, err
	}
	if err := e.conn.writer.Flush(); err != nil {
		return nil, false, err
	}
	for skipped := 0; ; skipped++ {
		response, err := e.conn.reader.Next(question)
		if err != nil {
			return nil, false, err
		}
		_, isLonger, err := forwarding.ReadUpTo(response.Body, constants.KeepAnswer)
		if err != nil {
			return nil, false, err
		}
		isLast := response.Close || hasNoLength(response) || isLonger
		isSurplus := response.Header.Get(e.gateway.options.Names.Attempt) != ""
		if !isSurplus {
			e.conn.lifetime = idleLifetime(response.Header.Get("Keep-Alive"))
			return response.Header, !isLast && skipped == 0, nil
		}
		if isLast || skipped >= constants.MaxSurplus {
			return nil, false, &BrokenError{Reason: "an answer of a request came for a health check"}
		}
	}
}

// coldLeftOf reads how many milliseconds a slow start lasts; a field that can't be read counts as one that has not ended.
func coldLeftOf(field string) time.Duration {
	if field == "" {
		return 0
	}
	left, err := strconv.ParseFloat(field, 64)
	if err != nil {
		return constants.WarmCheckEvery
	}
	return max(0, time.Duration(left*float64(time.Millisecond)))
}

// endWarmCheck closes the connection of a back end that did not tell whether it is in slow start; nothing was sent to it.
func (e *execution) endWarmCheck(reason string) Event {
	e.conn.Close()
	e.conn = nil
	e.gateway.loads.End(e.instance, 0, false)
	abortIfCanceled(e.request.Context())
	return Event{Kind: EventUnreached, Reason: reason}
}

// reconnect takes another connection in place of one that has ended.
func (e *execution) reconnect(ctx context.Context, backend *schema.Backend) error {
	e.conn.Close()
	conn, err := e.gateway.pool.Get(ctx, backend, constants.WarmCheckWait, e.machine.Route.Repeatable)
	if err == nil {
		e.conn = conn
	}
	return err
}

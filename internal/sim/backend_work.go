package sim

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/proxy"
)

const (
	// headerSend names one sending of a caller, so that the checker can tell copies of it.
	headerSend = "X-Send"
	// otherAttempt is the attempt id of an answer that belongs to another request.
	otherAttempt = "someone-elses"
	// A request takes minWork to minWork+workSpread milliseconds, one keyed request in longWorkOneIn
	// minLongWork to minLongWork+longWorkSpread.
	minWork, workSpread         = 8, 15
	longWorkOneIn               = 30
	minLongWork, longWorkSpread = 500, 5000
)

// noDeadline is later than every virtual time.
const noDeadline = time.Duration(math.MaxInt64 / 2)

// backendRequest is one request at a back end.
type backendRequest struct {
	fleet   *Fleet
	backend *Backend
	from    *Node
	id      uint64
	arrival *checker.Arrival
	// deadline is when a keyed request must no longer run.
	deadline time.Duration
	finish   func(proxy.Event)
}

// receiveRequest hands a request to a back end; finish gets the answer or the error that ends the connection.
func (f *Fleet) receiveRequest(b *Backend, from *Node, order proxy.Order, method string, finish func(proxy.Event)) {
	header := order.Header
	arrival := f.recordArrival(b, from, order, method)
	f.eventCount++
	r := &backendRequest{
		fleet:    f,
		backend:  b,
		from:     from,
		id:       f.eventCount,
		arrival:  arrival,
		deadline: noDeadline,
		finish:   finish,
	}
	b.openRequests[r.id] = func(err error) { finish(failedEvent(err)) }
	if header.Get(proxy.HeaderService) != b.Service || header.Get(proxy.HeaderInstance) != b.Instance {
		r.answer(http.StatusMisdirectedRequest, "not me", ModeGood)
		return
	}
	if arrival.Key != "" {
		left, err := strconv.Atoi(header.Get(proxy.HeaderWait))
		if err != nil {
			f.addViolation("a keyed attempt at %s names no wait", b.Instance)
		}
		r.deadline = f.Now + time.Duration(left)*time.Millisecond
	}
	if b.working >= backendWorkers {
		b.queue = append(b.queue, r.work)
		return
	}
	b.working++
	r.work()
}

// recordArrival notes a request at a back end in the history.
func (f *Fleet) recordArrival(b *Backend, from *Node, order proxy.Order, method string) *checker.Arrival {
	arrival := &checker.Arrival{
		At:       f.Now,
		End:      f.Now,
		Service:  b.Service,
		Instance: b.Instance,
		Path:     order.Path,
		Method:   method,
		Attempt:  order.Header.Get(proxy.HeaderAttempt),
		Send:     order.Header.Get(headerSend),
		Key:      order.Header.Get(proxy.HeaderKey),
		Proxy:    from.Name,
		IsUnsafe: method != http.MethodGet,
		IsCutOff: f.isOutOfReach(from),
	}
	f.History.Arrivals = append(f.History.Arrivals, arrival)
	return arrival
}

// failedEvent tells a request state machine that an attempt broke after it was written.
func failedEvent(err error) proxy.Event {
	return proxy.Event{Kind: proxy.EventAnswered, Err: err, MayHaveRun: true}
}

// work occupies a worker for the time that the request takes.
func (r *backendRequest) work() {
	f, b, arrival := r.fleet, r.backend, r.arrival
	if f.Now >= r.deadline {
		b.releaseWorker()
		r.answer(http.StatusConflict, "no longer held", ModeGood)
		return
	}
	arrival.IsRun = true
	b.running[arrival] = true
	span := min(r.drawSpan(), r.deadline-f.Now)
	arrival.End = f.Now + span
	mode := b.Mode
	f.after(span, func() { r.finishWork(mode) })
}

// drawSpan draws how long the back end works on the request.
func (r *backendRequest) drawSpan() time.Duration {
	f, b := r.fleet, r.backend
	span := time.Duration(minWork+f.random.Intn(workSpread)) * time.Millisecond
	if r.arrival.Key != "" && f.random.Intn(longWorkOneIn) == 0 {
		span = time.Duration(minLongWork+f.random.Intn(longWorkSpread)) * time.Millisecond
	}
	if f.Now < b.coldUntil {
		span *= coldSlowdown
	}
	if b.Mode == ModeSlow {
		span *= slowSlowdown
	}
	return span + max(0, b.frozenUntil-f.Now)
}

// finishWork answers the request, after the thaw if the back end is frozen, and not at all if it has crashed since.
func (r *backendRequest) finishWork(mode Mode) {
	f, b, arrival := r.fleet, r.backend, r.arrival
	if !b.running[arrival] {
		return
	}
	if f.Now < b.frozenUntil {
		if arrival.Key == "" {
			arrival.End = b.frozenUntil
		}
		f.after(b.frozenUntil-f.Now, func() { r.finishWork(mode) })
		return
	}
	delete(b.running, arrival)
	r.answer(http.StatusOK, fmt.Sprintf(`{"service":%q,"path":%q,"attempt":%q}`, b.Service, arrival.Path, arrival.Attempt), mode)
	b.releaseWorker()
}

// releaseWorker gives a worker to the next request in the queue.
func (b *Backend) releaseWorker() {
	if len(b.queue) == 0 {
		b.working--
		return
	}
	next := b.queue[0]
	b.queue = b.queue[1:]
	next()
}

// answer sends an answer back, spoilt as the mode says, unless the connection has ended.
func (r *backendRequest) answer(status int, text string, mode Mode) {
	f, b := r.fleet, r.backend
	if b.openRequests[r.id] == nil {
		return
	}
	delete(b.openRequests, r.id)
	event := r.spoil(r.result(status, text), mode)
	f.after(backendDelay, func() {
		if !f.links.isCut(b.Instance, r.from.Name) {
			r.finish(event)
		}
	})
}

// result makes a whole answer with its digest and notes the digest in the history.
func (r *backendRequest) result(status int, text string) *proxy.Result {
	result := &proxy.Result{Status: status, Body: []byte(text), Header: http.Header{}}
	r.arrival.Digest = proxy.ContentDigest(result.Body)
	result.Header.Set(proxy.HeaderAttempt, r.arrival.Attempt)
	result.Header.Set(proxy.HeaderService, r.backend.Service)
	result.Header.Set(proxy.HeaderInstance, r.backend.Instance)
	result.Header.Set(proxy.HeaderDigest, r.arrival.Digest)
	return result
}

// spoil gives what arrives of an answer under a mode. FaultSeal makes the digest fit whatever that is.
func (r *backendRequest) spoil(result *proxy.Result, mode Mode) proxy.Event {
	isSealForged := r.fleet.Options.Fault == FaultSeal
	event := proxy.Event{Kind: proxy.EventAnswered, Result: result, MayHaveRun: true}
	switch mode {
	case ModeLose:
		return failedEvent(fmt.Errorf("connection reset"))
	case ModeCut:
		if !isSealForged {
			return failedEvent(fmt.Errorf("answer cut short"))
		}
		result.Body = result.Body[:len(result.Body)/2]
	case ModeGarbage:
		result.Body = []byte(strings.Repeat("?#", 60))
	case ModeForeign:
		result.Body = []byte(strings.ReplaceAll(string(result.Body), r.arrival.Attempt, otherAttempt))
		result.Header.Set(proxy.HeaderAttempt, otherAttempt)
		result.Header.Set(proxy.HeaderDigest, proxy.ContentDigest(result.Body))
	}
	if isSealForged {
		result.Header.Set(proxy.HeaderAttempt, r.arrival.Attempt)
		result.Header.Set(proxy.HeaderDigest, proxy.ContentDigest(result.Body))
	}
	return event
}

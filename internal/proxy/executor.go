package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/forwarding"
	"topazshed/internal/responses"
	"topazshed/internal/schema"
)

// Options make an Executor.
type Options struct {
	Self *schema.Node
	// Now is the process's monotonic clock.
	Now func() time.Duration
	// Local gives the newest view of the replicated state.
	Local func() *controlplane.Local
	// Want asks for the rows of a service that this node lacks.
	Want func(service string)
	// Call sends a frame to a node and gives its answer.
	Call func(ctx context.Context, address string, frame *schema.Frame) (*schema.Frame, error)
	// Draw gives a random number from 0 to below its argument.
	Draw      func(int64) int64
	Pool      *Pool
	Loads     *Loads
	Responses *ResponseCache
	// Exceeded counts the responses that exceeded a bound; nil counts nothing.
	Exceeded *responses.Tally
	Log      *slog.Logger
}

// stats count how requests ended, and the attempts after the first.
type stats struct {
	sealed, refused, ambiguous, repeats atomic.Uint64
}

// Executor performs the orders of each request's machine with real connections.
type Executor struct {
	options Options
	serial  atomic.Uint64
	stats   stats
}

// NewExecutor makes an executor that has served nothing yet.
func NewExecutor(options Options) *Executor { return &Executor{options: options} }

// Stats are the counts since the start, by their names in the admin API.
func (x *Executor) Stats() map[string]uint64 {
	return map[string]uint64{
		"sealed":   x.stats.sealed.Load(),
		"declined": x.stats.refused.Load(),
		"doubtful": x.stats.ambiguous.Load(),
		"repeats":  x.stats.repeats.Load(),
	}
}

// ServeHTTP takes one request from a caller or from another proxy.
func (x *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := x.options.Now()
	result, refusal := x.serve(r, begun)
	switch {
	case refusal == nil:
		x.stats.sealed.Add(1)
	case refusal.Result == ResultAmbiguous:
		x.stats.ambiguous.Add(1)
	default:
		x.stats.refused.Add(1)
	}
	CallerResult(x.options.Self.Id, r.Header.Get(HeaderAttempt), result, refusal).write(w)
}

func (x *Executor) serve(r *http.Request, begun time.Duration) (*Result, *RefusalError) {
	q, refusal := ReadRequest(r)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := x.readBody(q, r); refusal != nil {
		return nil, refusal
	}
	q.SetDigest()
	return x.Run(r.Context(), q, begun)
}

func (x *Executor) readBody(q *Request, r *http.Request) *RefusalError {
	limit := x.bodyLimit(q)
	if r.ContentLength > int64(limit) {
		return oversize(limit)
	}
	body, isLonger, err := forwarding.ReadUpTo(r.Body, int64(limit))
	if err != nil {
		return newRefusal(http.StatusBadRequest, kindCutShort, "the body ended early; send it whole")
	}
	if isLonger {
		return oversize(limit)
	}
	q.Body = body
	return nil
}

// bodyLimit is that of the request's entry, in bytes, or a default if the entry is not known yet.
func (x *Executor) bodyLimit(q *Request) uint64 {
	if service := x.options.Local().View.Services[q.Service]; service != nil {
		if entry := service.Entry(q.Path); entry != nil {
			return entry.BodyLimit
		}
	}
	return constants.BodyLimit
}

func oversize(limit uint64) *RefusalError {
	return newRefusal(http.StatusRequestEntityTooLarge, kindOversize, "the body is above the entry's limit of %d bytes; send less", limit)
}

// Run carries a request out until it has its one response.
func (x *Executor) Run(ctx context.Context, q *Request, begun time.Duration) (*Result, *RefusalError) {
	e := execution{
		executor: x,
		request:  q,
		machine: *NewRequestMachine(RequestOptions{
			Self:      x.options.Self,
			Loads:     x.options.Loads,
			Responses: x.options.Responses,
			Draw:      x.options.Draw,
			Request:   q,
			Begun:     begun,
			Owner:     fmt.Sprintf("%s/%d", x.options.Self.Id, x.serial.Add(1)),
		}),
	}
	return e.run(ctx)
}

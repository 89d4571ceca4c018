package proxy

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

type keptResult struct {
	attempt string
	digest  []byte
	result  *Result
	at      time.Duration
	size    int
}

type keptShard struct {
	lock   sync.Mutex
	held   map[string]*keptResult
	order  []*keptResult
	weight int
}

// Kept are the sealed responses of unsafe requests that this proxy still has, for repeats of their attempt ids.
type Kept struct {
	shards [shards]keptShard
}

// NewKept makes an empty table.
func NewKept() *Kept {
	k := &Kept{}
	for i := range k.shards {
		k.shards[i].held = map[string]*keptResult{}
	}
	return k
}

// Put keeps a response within the bound of bytes.
func (k *Kept) Put(now time.Duration, q *Request, o *Result) {
	size := len(o.Body) + len(q.Attempt) + 512
	if size > constants.KeptResponse {
		return
	}
	s := &k.shards[shardOf(q.Attempt)]
	s.lock.Lock()
	defer s.lock.Unlock()
	fresh := &keptResult{q.Attempt, q.Digest, o, now, size}
	s.held[q.Attempt] = fresh
	s.order = append(s.order, fresh)
	s.weight += size
	for len(s.order) > 0 && (s.weight > constants.KeptBytes/shards || now-s.order[0].at >= constants.ReservationKept) {
		oldest := s.order[0]
		s.order = s.order[1:]
		s.weight -= oldest.size
		if s.held[oldest.attempt] == oldest {
			delete(s.held, oldest.attempt)
		}
	}
}

// Get gives the response of an attempt id for the same request, or nil.
func (k *Kept) Get(attempt string, digest []byte) *Result {
	s := &k.shards[shardOf(attempt)]
	s.lock.Lock()
	defer s.lock.Unlock()
	if kept := s.held[attempt]; kept != nil && bytes.Equal(kept.digest, digest) {
		return kept.result
	}
	return nil
}

// Replay answers another proxy.
func (k *Kept) Replay(request *schema.ReplayRequest) *schema.ReplayResponse {
	o := k.Get(request.Attempt, request.Digest)
	if o == nil {
		return &schema.ReplayResponse{}
	}
	replay := &schema.ReplayResponse{Kept: true, Status: uint32(o.Status), Body: o.Body}
	for name, values := range o.Header {
		for _, value := range values {
			replay.Header = append(replay.Header, &schema.HeaderField{Name: name, Value: value})
		}
	}
	return replay
}

func replayed(replay *schema.ReplayResponse) *Result {
	o := &Result{Status: int(replay.Status), Header: http.Header{}, Body: replay.Body}
	for _, field := range replay.Header {
		o.Header.Add(field.Name, field.Value)
	}
	return o
}

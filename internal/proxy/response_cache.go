package proxy

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/stripe"
)

// responseOverhead is what a cached response is taken to need beside its body and id, in bytes.
const responseOverhead = 512

type cachedResponse struct {
	attempt string
	digest  []byte
	result  *Result
	at      time.Duration
	size    int
}

type cacheStripe struct {
	lock      sync.Mutex
	byAttempt map[string]*cachedResponse
	// oldestFirst may still hold a response that a younger one of its id replaced.
	oldestFirst []*cachedResponse
	size        int
}

// ResponseCache keeps the sealed responses of unsafe requests for repeats of their attempt ids. Its methods may be called from any
// goroutine.
type ResponseCache struct {
	stripes [stripe.Count]cacheStripe
}

// NewResponseCache makes an empty cache.
func NewResponseCache() *ResponseCache {
	c := &ResponseCache{}
	for i := range c.stripes {
		c.stripes[i].byAttempt = map[string]*cachedResponse{}
	}
	return c
}

// Put keeps a response, and forgets the oldest ones above the bound of bytes. A response that is too large is not kept.
func (c *ResponseCache) Put(now time.Duration, q *Request, result *Result) {
	size := len(result.Body) + len(q.Attempt) + responseOverhead
	if size > constants.KeptResponse {
		return
	}
	s := &c.stripes[stripe.Of(q.Attempt)]
	s.lock.Lock()
	defer s.lock.Unlock()
	fresh := &cachedResponse{q.Attempt, q.Digest, result, now, size}
	s.byAttempt[q.Attempt] = fresh
	s.oldestFirst = append(s.oldestFirst, fresh)
	s.size += size
	for len(s.oldestFirst) > 0 && s.mustForget(now, s.oldestFirst[0]) {
		s.forgetOldest()
	}
}

func (s *cacheStripe) mustForget(now time.Duration, oldest *cachedResponse) bool {
	return s.size > constants.KeptBytes/stripe.Count || now-oldest.at >= constants.ReservationKept
}

func (s *cacheStripe) forgetOldest() {
	oldest := s.oldestFirst[0]
	s.oldestFirst = s.oldestFirst[1:]
	s.size -= oldest.size
	if s.byAttempt[oldest.attempt] == oldest {
		delete(s.byAttempt, oldest.attempt)
	}
}

// Get gives the response of an attempt id for a request of the same digest, or nil.
func (c *ResponseCache) Get(attempt string, digest []byte) *Result {
	s := &c.stripes[stripe.Of(attempt)]
	s.lock.Lock()
	defer s.lock.Unlock()
	if cached := s.byAttempt[attempt]; cached != nil && bytes.Equal(cached.digest, digest) {
		return cached.result
	}
	return nil
}

// Replay answers another proxy that asks for a response.
func (c *ResponseCache) Replay(request *schema.ReplayRequest) *schema.ReplayResponse {
	result := c.Get(request.Attempt, request.Digest)
	if result == nil {
		return &schema.ReplayResponse{}
	}
	replay := &schema.ReplayResponse{Kept: true, Status: uint32(result.Status), Body: result.Body}
	for name, values := range result.Header {
		for _, value := range values {
			replay.Header = append(replay.Header, &schema.HeaderField{Name: name, Value: value})
		}
	}
	return replay
}

// resultOf is the response that another proxy replayed.
func resultOf(replay *schema.ReplayResponse) *Result {
	result := &Result{Status: int(replay.Status), Header: http.Header{}, Body: replay.Body}
	for _, field := range replay.Header {
		result.Header.Add(field.Name, field.Value)
	}
	return result
}

// Package inflight matches responses to the requests that one incarnation of a process has sent.
//
// Requests owns the serial numbers of one kind of request and remembers the newest requests until their responses come. A response counts
// only if it bears the number of a remembered request and comes from the address that the request went to, so that answers to a former
// incarnation of the process, or from somebody else, are never taken. A Requests is not safe for concurrent use: the goroutine that steps the
// node's state machines owns it.
package inflight

import "time"

// FirstSerialLimit is the bound below which the first serial number of an incarnation is drawn: two incarnations in hundreds of millions
// begin within reach of each other, and five bytes hold the number.
const FirstSerialLimit = 1 << 34

// Kept is how many requests of a kind are remembered: heartbeats and subscriptions of half a minute.
const Kept = 64

// request is one sending that may still be answered.
type request struct {
	sentAt time.Duration
	to     string
}

// Requests are the requests of one kind that may still be answered, by serial number.
type Requests struct {
	serial uint64
	sent   map[uint64]request
	stale  uint64
}

// New begins to number requests after first, which each incarnation of a process draws anew below FirstSerialLimit.
func New(first uint64) *Requests {
	return &Requests{serial: first, sent: map[uint64]request{}}
}

// Next gives the number of the next request.
func (r *Requests) Next() uint64 {
	r.serial++
	return r.serial
}

// Sent remembers where the request with the newest number went, and forgets the one that was sent Kept numbers before.
func (r *Requests) Sent(now time.Duration, to string) {
	r.sent[r.serial] = request{sentAt: now, to: to}
	delete(r.sent, r.serial-Kept)
}

// Match tells when the request that a response answers was sent. A response that belongs to no remembered request is counted as stale.
func (r *Requests) Match(serial uint64, from string) (sentAt time.Duration, isKnown bool) {
	sent, isSent := r.sent[serial]
	if !isSent || sent.to != from {
		r.stale++
		return 0, false
	}
	return sent.sentAt, true
}

// Stale is how many responses belonged to no request that this incarnation remembers.
func (r *Requests) Stale() uint64 { return r.stale }

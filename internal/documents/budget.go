// Package documents bounds the memory that configurations take while a process reads, checks and answers them: each is bounded by itself,
// and a Budget bounds those that are under way together. It holds no document; a Budget may be used by any goroutine.
package documents

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Budget is the bytes of documents that may be under way at once.
type Budget struct {
	bytes int64
	wait  time.Duration
	room  *semaphore.Weighted
	// shown is the size of the document that was shown last, plus one; 0 is not known.
	shown atomic.Int64
}

// NewBudget gives a budget of so many bytes, in which a call waits for its turn for a while at most.
func NewBudget(bytes int64, wait time.Duration) *Budget {
	return &Budget{bytes: bytes, wait: wait, room: semaphore.NewWeighted(bytes)}
}

// BusyError says that other documents take the whole budget. Nothing was read.
type BusyError struct {
	// Bytes is the size of the budget.
	Bytes int64
}

// Error says what to do.
func (e *BusyError) Error() string {
	return fmt.Sprintf("this node is at work on configurations of %d bytes already; send it again shortly, or to another node", e.Bytes)
}

// Acquire takes room for a document of so many bytes; a negative size is unknown and takes all. Who gets it calls release once the call
// is answered. The error is a *BusyError, or that of ctx.
func (b *Budget) Acquire(ctx context.Context, size int64) (release func(), err error) {
	if size < 0 || size > b.bytes {
		size = b.bytes
	}
	waiting, cancel := context.WithTimeout(ctx, b.wait)
	defer cancel()
	if err := b.room.Acquire(waiting, size); err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, &BusyError{Bytes: b.bytes}
	}
	return func() { b.room.Release(size) }, nil
}

// AcquireShown takes room for showing a document, which is taken to be as large as the one before.
func (b *Budget) AcquireShown(ctx context.Context) (release func(), err error) {
	return b.Acquire(ctx, b.shown.Load()-1)
}

// NoteShown notes the size of the document that was shown.
func (b *Budget) NoteShown(size int) { b.shown.Store(int64(size) + 1) }

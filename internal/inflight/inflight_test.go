package inflight

import (
	"testing"
	"time"
)

func TestAResponseMatchesOnlyItsRequest(t *testing.T) {
	const first = 100
	for _, c := range []struct {
		name   string
		later  int
		serial uint64
		from   string
		isOwn  bool
	}{
		{"from the node that was asked", 0, first + 1, "a", true},
		{"from another node", 0, first + 1, "b", false},
		{"to a request of a former incarnation", 0, first, "a", false},
		{"to a request that was never sent", 0, first + 2, "a", false},
		{"to the oldest request that is remembered", Kept - 1, first + 1, "a", true},
		{"to a request that is forgotten", Kept, first + 1, "a", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			requests := New(first)
			for i := range 1 + c.later {
				requests.Next()
				requests.Sent(time.Duration(i+1)*time.Second, "a")
			}
			sentAt, isOwn := requests.Match(c.serial, c.from)
			if isOwn != c.isOwn || isOwn && sentAt != time.Second {
				t.Fatalf("matched %v, sent at %v; want %v, sent at 1s", isOwn, sentAt, c.isOwn)
			}
			want := uint64(1)
			if c.isOwn {
				want = 0
			}
			if requests.Stale() != want {
				t.Fatalf("%d responses counted as stale, want %d", requests.Stale(), want)
			}
		})
	}
}

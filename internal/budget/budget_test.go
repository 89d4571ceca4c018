package budget

import (
	"testing"
	"time"
)

const (
	window = 10 * time.Second
	margin = 250 * time.Millisecond
)

func TestTakeStaysWithinTheShareOfEveryWindow(t *testing.T) {
	for _, c := range []struct {
		name    string
		gains   []time.Duration
		takes   []time.Duration
		share   int
		allowed []bool
	}{
		{"no share allows nothing", nil, []time.Duration{0}, Whole - 1, []bool{false}},
		{"a share of one allows one a window", nil, []time.Duration{0, time.Second, window - 1, window}, Whole, []bool{true, false, false, true}},
		{"first attempts before a repeat do not pay for it", []time.Duration{0, 0, 0}, []time.Duration{time.Second, time.Second}, Whole, []bool{true, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &Bucket{}
			for _, at := range c.gains {
				b.Gain(at, Whole, margin)
			}
			for i, at := range c.takes {
				if got := b.Take(at, c.share, window); got != c.allowed[i] {
					t.Errorf("repeat %d at %v: %v", i, at, got)
				}
			}
		})
	}
}

func TestFirstAttemptsAfterARepeatPayForTheNext(t *testing.T) {
	b := &Bucket{}
	if !b.Take(0, Whole, window) || b.Take(time.Second, Whole, window) {
		t.Fatal("a share of one does not allow one repeat in the window")
	}
	b.Gain(2*time.Second, Whole, margin)
	if b.Earned() != 0 {
		t.Fatalf("earned %d", b.Earned())
	}
	if b.Take(3*time.Second, Whole-1, window) {
		t.Error("a repeat is allowed with less than a whole share")
	}
	if !b.Take(3*time.Second, Whole, window) {
		t.Error("a repeat is not allowed though it was paid for")
	}
}

func TestBucketsAreApart(t *testing.T) {
	b := Buckets{}
	b.Of("copper").Gain(0, Whole, margin)
	if b.Of("copper").Earned() != Whole || b.Of("tin").Earned() != 0 {
		t.Errorf("copper earned %d, tin %d", b.Of("copper").Earned(), b.Of("tin").Earned())
	}
}

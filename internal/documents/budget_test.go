package documents

import (
	"context"
	"errors"
	"testing"
	"time"
)

const testWait = 50 * time.Millisecond

// mustAcquire takes room that must be there.
func mustAcquire(t *testing.T, b *Budget, size int64) (release func()) {
	t.Helper()
	release, err := b.Acquire(context.Background(), size)
	if err != nil {
		t.Fatalf("%d bytes: %v", size, err)
	}
	return release
}

// Guards against documents that are bounded one by one and not together (memory over the limit, issue 42).
func TestABudgetBoundsDocumentsTogether(t *testing.T) {
	for _, c := range []struct {
		name   string
		taken  []int64
		size   int64
		isBusy bool
	}{
		{"within it", []int64{40, 40}, 20, false},
		{"beyond it", []int64{40, 40}, 21, true},
		{"of unknown size beside another", []int64{1}, -1, true},
		{"of unknown size alone", nil, -1, false},
		{"larger than all of it, alone", nil, 1000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewBudget(100, testWait)
			for _, size := range c.taken {
				mustAcquire(t, b, size)
			}
			_, err := b.Acquire(context.Background(), c.size)
			var busy *BusyError
			if errors.As(err, &busy) != c.isBusy {
				t.Errorf("%v", err)
			}
		})
	}
}

func TestADocumentWaitsForItsTurn(t *testing.T) {
	b := NewBudget(100, 10*time.Second)
	release := mustAcquire(t, b, 100)
	time.AfterFunc(testWait, release)
	mustAcquire(t, b, 100)
}

func TestACallThatEndsWaitsNoLonger(t *testing.T) {
	b := NewBudget(100, 10*time.Second)
	mustAcquire(t, b, 100)
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	if _, err := b.Acquire(ctx, 1); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v", err)
	}
}

func TestAShownDocumentIsTakenToBeAsLargeAsTheOneBefore(t *testing.T) {
	b := NewBudget(100, testWait)
	release, err := b.AcquireShown(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.AcquireShown(context.Background()); err == nil {
		t.Error("two of unknown size are shown at once")
	}
	release()
	b.NoteShown(50)
	for range 2 {
		if _, err := b.AcquireShown(context.Background()); err != nil {
			t.Error(err)
		}
	}
	if _, err := b.AcquireShown(context.Background()); err == nil {
		t.Error("three halves fit")
	}
}

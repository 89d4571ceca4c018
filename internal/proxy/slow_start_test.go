package proxy

import (
	"context"
	"syscall"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func at(rank, of int) func() Part { return func() Part { return Part{rank, of} } }

func TestABackendSeenDownIsColdHereAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []error
		isCold bool
	}{
		{"one that refused and answers again", []error{syscall.ECONNREFUSED, nil}, true},
		{"one that was only late", []error{context.DeadlineExceeded, nil}, false},
		{"one that was never away", []error{nil, nil}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLoads(func() time.Duration { return noon })
			for _, err := range c.faults {
				l.Report("b", err)
			}
			begun := 0
			for range 50 {
				if l.MayBegin(noon, &schema.Backend{Instance: "b"}, at(0, 1), 6) {
					begun++
				}
			}
			if isCold := begun == 6; isCold != c.isCold || !isCold && begun != 50 {
				t.Fatalf("%d attempts at once, want cold %v", begun, c.isCold)
			}
			if !l.MayBegin(noon+constants.ColdRamp, &schema.Backend{Instance: "b"}, at(0, 1), 6) {
				t.Error("it is still cold after the ramp")
			}
		})
	}
}

func TestAReturnedBackendIsRampedAnew(t *testing.T) {
	l := NewLoads(func() time.Duration { return noon })
	cold := &schema.Backend{Instance: "c", Cold: true}
	count := func(from time.Duration) int {
		begun := 0
		for i := range 1000 {
			if l.MayBegin(from+time.Duration(i)*time.Millisecond, cold, at(0, 1), 6) {
				begun++
			}
		}
		return begun
	}
	first, ramped := count(noon), count(noon+constants.ColdRamp+time.Second)
	l.Report("c", syscall.ECONNREFUSED)
	if again := count(noon + 2*constants.ColdRamp); first > 6 || ramped != 12 || again != first {
		t.Fatalf("%d attempts in the first second, %d when ramped, %d in the first second after it was lost", first, ramped, again)
	}
}

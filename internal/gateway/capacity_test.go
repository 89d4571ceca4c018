package gateway

import (
	"math"
	"strconv"
	"sync"
	"testing"
	"time"

	"topazshed/internal/constants"
)

func TestCapacity(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		least, most int
	}{
		{0, constants.MinCapacity, constants.MinCapacity},
		{16 << 20, constants.MinCapacity, constants.MinCapacity},
		{110 << 20, 200, 250},
		{170 << 20, 300, 400},
		{math.MaxInt64, constants.MaxCapacity, constants.MaxCapacity},
	} {
		if capacity := Capacity(c.memory); capacity < c.least || capacity > c.most {
			t.Fatalf("%d bytes: capacity %d, want %d to %d", c.memory, capacity, c.least, c.most)
		}
	}
}

func TestIsFull(t *testing.T) {
	for _, c := range []struct {
		inFlight, capacity int
		priority           uint32
		want               bool
	}{
		{1, 100, 0, false}, {100, 100, 0, false}, {101, 100, 0, true},
		{88, 100, 1, false}, {89, 100, 1, true}, {75, 100, 2, false}, {76, 100, 2, true},
		{63, 100, 3, false}, {64, 100, 3, true}, {63, 100, math.MaxUint32, false}, {64, 100, math.MaxUint32, true},
		{1, constants.MinCapacity, 9, false},
	} {
		if got := IsFull(c.inFlight, c.capacity, c.priority); got != c.want {
			t.Fatalf("%+v: %v", c, got)
		}
	}
}

// With its capacity taken a node refuses at once, the lowest rank first, and takes requests again as soon as others have ended.
func TestAFullNodeRefusesAtOnce(t *testing.T) {
	begun, release := make(chan bool, 3), make(chan bool)
	held := newStandIn(t, saying(func(r seen) string {
		begun <- true
		<-release
		return fine(r)
	}))
	f := newFront(t, held)
	f.gateway.options.Capacity = 2
	var group sync.WaitGroup
	statuses := make(chan int, 2)
	for range 2 {
		group.Go(func() { statuses <- f.get("/safe/x").status })
	}
	<-begun
	<-begun
	a := f.get("/safe/x")
	if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); a.status != 503 || err != nil || after <= 0 || after > 1 {
		t.Errorf("status %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
	}
	close(release)
	group.Wait()
	for range 2 {
		if status := <-statuses; status != 200 {
			t.Errorf("status %d", status)
		}
	}
	last := 0
	for begun := time.Now(); last != 200 && time.Since(begun) < patience; {
		last = f.get("/safe/x").status
	}
	if last != 200 {
		t.Errorf("afterwards status %d", last)
	}
}

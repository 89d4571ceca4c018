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

// The memory of a small machine, in bytes, and what an idle process of it takes.
const (
	smallMachine = 256 << 20
	idleProcess  = 24 << 20
)

// Guards against bounds on each response without one on their sum (FAULT): what back ends may make a process keep, at its most for all
// requests and lease calls in flight, fits the memory of a small machine.
func TestWhatBackEndsSendFitsTheMemory(t *testing.T) {
	const (
		// Go keeps up to twice a body's size while it reads one of unknown length.
		bodies = 2 * (constants.KeepBody + constants.KeepAnswer)
		// The server's and the back end's connection have two buffers each, and io.Copy has one.
		buffers = 2*(4<<10) + readBufferSize + writeBufferSize + 32<<10
		// The server's two goroutines of a connection, and the one that waits for the end of the attempt.
		stacks   = 3 * (8 << 10)
		request  = bodies + constants.RequestHead + constants.ParsedHead + buffers + stacks
		call     = constants.ParsedHead + 2*(4<<10) + 32<<10 + stacks
		allCalls = 2 * constants.MaxLeaseCalls * call
	)
	processLimit := math.Floor(smallMachine * constants.MemoryShare)
	capacity := int64(Capacity(int64(processLimit)))
	total := capacity*request + allCalls + idleProcess
	t.Logf("%d requests of %d KiB, lease calls of %d MiB and an idle process take %d MiB of %d", capacity, request>>10, allCalls>>20, total>>20, smallMachine>>20)
	if total > smallMachine {
		t.Error("that is more than the machine has")
	}
}

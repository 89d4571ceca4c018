package sim

import (
	"container/heap"
	"time"
)

// thawDelay is how long after the end of a freeze a machine handles what it missed.
const thawDelay = time.Microsecond

// event is a function that is due at a virtual time; events of one time run in the order of their scheduling.
type event struct {
	at     time.Duration
	number uint64
	run    func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].number < q[b].number
}

func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after schedules a function for the time after a delay.
func (f *Fleet) after(delay time.Duration, run func()) {
	f.eventCount++
	heap.Push(&f.queue, &event{at: f.Now + delay, number: f.eventCount, run: run})
}

// Run handles the events that are due until a virtual time and sets the clock to it.
func (f *Fleet) Run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		next := heap.Pop(&f.queue).(*event)
		f.Now = next.at
		next.run()
	}
	f.Now = until
}

// RunFor runs the fleet for a span of virtual time.
func (f *Fleet) RunFor(span time.Duration) { f.Run(f.Now + span) }

// clock gives a machine's monotonic clock, which has an offset and a rate of its own.
func (f *Fleet) clock(n *Node) time.Duration {
	return n.clockOffset + time.Duration(float64(f.Now)*n.clockRate)
}

// onNode runs a function on a machine's process and checks the machine's invariants after it.
func (f *Fleet) onNode(n *Node, boot int, run func()) {
	f.whenAwake(n, boot, func() {
		run()
		f.checkNode(n)
	})
}

// whenAwake runs a function once the machine isn't frozen. It is dropped if the process of that boot has ended.
func (f *Fleet) whenAwake(n *Node, boot int, run func()) {
	if !n.IsUp || n.Boot != boot {
		return
	}
	if f.Now < n.frozenUntil {
		f.after(n.frozenUntil-f.Now+thawDelay, func() { f.whenAwake(n, boot, run) })
		return
	}
	run()
}

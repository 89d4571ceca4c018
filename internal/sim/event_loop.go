package sim

import (
	"container/heap"
	"time"
)

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []*event

func (e events) Len() int { return len(e) }

func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].order < e[b].order
}

func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (f *Fleet) after(d time.Duration, do func()) {
	f.eventCount++
	heap.Push(&f.queue, &event{f.Now + d, f.eventCount, do})
}

// Run works until a virtual time.
func (f *Fleet) Run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(*event)
		f.Now = e.at
		e.do()
	}
	f.Now = until
}

// RunFor works for a span of virtual time.
func (f *Fleet) RunFor(d time.Duration) { f.Run(f.Now + d) }

func (f *Fleet) clock(n *Node) time.Duration {
	return n.clockOffset + time.Duration(float64(f.Now)*n.clockRate)
}

func (f *Fleet) on(n *Node, boot int, do func()) {
	if !n.IsUp || n.Boot != boot {
		return
	}
	if f.Now < n.frozenUntil {
		f.after(n.frozenUntil-f.Now+time.Microsecond, func() { f.on(n, boot, do) })
		return
	}
	do()
	f.checkNode(n)
}

func (f *Fleet) onWire(n *Node, boot int, do func()) {
	if !n.IsUp || n.Boot != boot {
		return
	}
	if f.Now < n.frozenUntil {
		f.after(n.frozenUntil-f.Now+time.Microsecond, func() { f.onWire(n, boot, do) })
		return
	}
	do()
}

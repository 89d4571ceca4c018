package sim

import (
	"fmt"
	"time"

	"topazshed/internal/schema"
)

func playChaos(f *Fleet) error {
	for range 12 {
		n := f.pickNode(func(n *Node) bool { return true })
		switch f.random.Intn(8) {
		case 0, 1:
			if n.IsUp {
				f.Kill(n)
				f.after(time.Duration(f.random.Intn(6000))*time.Millisecond, func() { f.Start(n) })
			}
		case 2:
			f.Freeze(n, time.Duration(f.random.Intn(10000))*time.Millisecond)
		case 3:
			region := fmt.Sprintf("r%d", f.random.Intn(3))
			f.Split(isInRegion(region), true)
			f.after(time.Duration(f.random.Intn(9000))*time.Millisecond, func() { f.Split(isInRegion(region), false) })
		case 4:
			other := f.pickNode(func(*Node) bool { return true })
			f.Cut(n, other, true)
			f.after(6*time.Second, func() { f.Cut(n, other, false) })
		case 5:
			if b := f.Backends[f.random.Intn(len(f.Backends))]; f.random.Intn(3) > 0 {
				f.Return(b)
			} else if b.IsUp {
				f.Crash(b)
			}
		case 6:
			if leader := f.Leader(); leader != nil {
				f.Kill(leader)
				f.after(3*time.Second, func() { f.Start(leader) })
			}
		case 7:
			f.Split(func(o *Node) bool { return o == n }, true)
			f.after(7*time.Second, func() { f.Split(func(o *Node) bool { return o == n }, false) })
		}
		f.RunFor(time.Duration(500+f.random.Intn(4000)) * time.Millisecond)
	}
	f.RunFor(12 * time.Second)
	for _, a := range f.Nodes {
		for _, b := range f.Nodes {
			f.Cut(a, b, false)
		}
	}
	f.startAll()
	for _, b := range f.Backends {
		f.Return(b)
	}
	f.RunFor(5 * time.Second)
	f.killAll(isInRegion(f.ownerOf("service3", "/book").Region))
	if err := f.expectServed("the last blow", recoveryBound); err != nil {
		return err
	}
	for range 20 {
		if o := f.Show(f.pickNode(func(n *Node) bool { return n.IsUp })); o != nil && o.Refusal == schema.RefusalKind_REFUSAL_NONE {
			return f.expectConverged()
		}
		f.RunFor(time.Second)
	}
	return fmt.Errorf("no read-back within 20 s after the last blow")
}

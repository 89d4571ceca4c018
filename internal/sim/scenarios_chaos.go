package sim

import (
	"fmt"
	"time"
)

func playChaos(f *Fleet) error {
	for range 12 {
		f.injectRandomFailure()
		f.RunFor(time.Duration(500+f.random.Intn(4000)) * time.Millisecond)
	}
	f.RunFor(12 * time.Second)
	f.healAll()
	f.startAll()
	for _, b := range f.Backends {
		f.Return(b)
	}
	f.RunFor(5 * time.Second)
	f.killAll(isInRegion(f.ownerOf("service3", "/book").Region))
	if err := f.expectServed("the loss of a region"); err != nil {
		return err
	}
	if !f.tryReadBack(20, time.Second) {
		return fmt.Errorf("no read-back within 20 s after the loss of the region")
	}
	return f.expectConverged()
}

// injectRandomFailure draws a machine and what happens to it or around it.
func (f *Fleet) injectRandomFailure() {
	n := f.pickNode(isAny)
	switch f.random.Intn(8) {
	case 0, 1:
		if n.IsUp {
			f.Kill(n)
			f.after(f.drawMillis(6000), func() { f.Start(n) })
		}
	case 2:
		f.Freeze(n, f.drawMillis(10000))
	case 3:
		region := fmt.Sprintf("r%d", f.random.Intn(3))
		f.Split(isInRegion(region), true)
		f.after(f.drawMillis(9000), func() { f.Split(isInRegion(region), false) })
	case 4:
		other := f.pickNode(isAny)
		f.Cut(n, other, true)
		f.after(6*time.Second, func() { f.Cut(n, other, false) })
	case 5:
		if b := f.drawBackend(); f.random.Intn(3) > 0 {
			f.Return(b)
		} else if b.IsUp {
			f.Crash(b)
		}
	case 6:
		f.killLeaderFor(3 * time.Second)
	case 7:
		f.Split(isOnly(n), true)
		f.after(7*time.Second, func() { f.Split(isOnly(n), false) })
	}
}

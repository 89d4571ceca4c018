package sim

import (
	"time"
)

func playRegionCut(f *Fleet) error {
	for _, region := range []string{"r0", "r2"} {
		f.Split(isInRegion(region), true)
		f.RunFor(14 * time.Second)
		f.Split(isInRegion(region), false)
		f.RunFor(6 * time.Second)
	}
	return f.expectConverged()
}

func playDisksSplit(f *Fleet) error {
	f.Split(func(n *Node) bool { return n.Zone == "r0-d0" || n.Zone == "r1-d0" || n.Zone == "r2-d0" }, true)
	f.RunFor(9 * time.Second)
	f.healAll()
	f.RunFor(8 * time.Second)
	return f.expectConverged()
}

func playOneWay(f *Fleet) error {
	for range 4 {
		a, b := f.pickNode(hasDisk), f.pickNode(isAny)
		if leader := f.Leader(); leader != nil && f.random.Intn(2) == 0 {
			a = leader
		}
		f.Cut(a, b, true)
		f.RunFor(5 * time.Second)
		f.Cut(a, b, false)
		f.RunFor(2 * time.Second)
	}
	return f.expectConverged()
}

func playIsolated(f *Fleet) error {
	for range 3 {
		n := f.pickNode(isUp)
		f.Split(isOnly(n), true)
		f.RunFor(8 * time.Second)
		f.Split(isOnly(n), false)
		f.RunFor(5 * time.Second)
	}
	return f.expectConverged()
}

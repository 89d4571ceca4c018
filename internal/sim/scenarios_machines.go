package sim

import (
	"fmt"
	"time"
)

func playLeaderKilled(f *Fleet) error {
	for range 3 {
		if leader := f.Leader(); leader != nil {
			f.Kill(leader)
			f.RunFor(4 * time.Second)
			f.Start(leader)
		}
		f.RunFor(4 * time.Second)
	}
	return f.expectConverged()
}

func playLeaderFrozen(f *Fleet) error {
	for _, span := range []time.Duration{1500 * time.Millisecond, 5 * time.Second, 12 * time.Second} {
		if leader := f.Leader(); leader != nil {
			f.Freeze(leader, span)
		}
		f.RunFor(span + 5*time.Second)
	}
	return f.expectConverged()
}

func playProxyFrozen(f *Fleet) error {
	for range 4 {
		f.Freeze(f.pickNode(isUp), time.Duration(500+f.random.Intn(9000))*time.Millisecond)
		f.RunFor(5 * time.Second)
	}
	f.RunFor(10 * time.Second)
	return f.expectConverged()
}

func playManyKilled(f *Fleet) error {
	for range 2 {
		for range 5 {
			if n := f.pickNode(isUp); n.IsUp {
				f.Kill(n)
			}
		}
		f.RunFor(time.Duration(2+f.random.Intn(6)) * time.Second)
		f.startAll()
		f.RunFor(15 * time.Second)
	}
	return f.expectConverged()
}

func playZoneLost(f *Fleet) error {
	f.RunFor(3 * time.Second)
	lost := f.ownerOf("service1", "/pay").Zone
	f.killAll(isIn(lost))
	if err := f.expectServed("the loss of " + lost); err != nil {
		return err
	}
	f.RunFor(10 * time.Second)
	return f.expectConverged()
}

func playRegionLost(f *Fleet) error {
	f.RunFor(3 * time.Second)
	lost := f.ownerOf("service1", "/pay").Region
	f.killAll(isInRegion(lost))
	for _, b := range f.Backends {
		if regionOf(b.Zone) == lost {
			f.Crash(b)
		}
	}
	if err := f.expectServed("the loss of " + lost); err != nil {
		return err
	}
	f.RunFor(5 * time.Second)
	return f.expectConverged()
}

func playAllKilled(f *Fleet) error {
	before := f.acceptedVersion
	f.killAll(isAny)
	f.RunFor(2 * time.Second)
	f.startAll()
	if err := f.expectServed("the restart"); err != nil {
		return err
	}
	f.RunFor(8 * time.Second)
	if err := f.expectConverged(); err != nil {
		return err
	}
	if version := f.Show(f.Leader()).GetVersion(); version < before {
		return fmt.Errorf("after the restart the configuration is %d, not %d", version, before)
	}
	return nil
}

func playRolling(f *Fleet) error {
	for i := range 6 {
		n := f.Nodes[(i*5+f.random.Intn(5))%len(f.Nodes)]
		f.Stop(n)
		for waited := 0; n.IsUp && waited < 200; waited++ {
			f.RunFor(100 * time.Millisecond)
		}
		if n.IsUp {
			return fmt.Errorf("%s did not end its planned stop", n.Name)
		}
		f.Start(n)
		f.RunFor(1500 * time.Millisecond)
	}
	return f.expectConverged()
}

func playFrozenAttempt(f *Fleet) error {
	for range 3 {
		f.freezeBeforeSend = time.Duration(3+f.random.Intn(18)) * time.Second
		f.RunFor(9 * time.Second)
	}
	f.RunFor(14 * time.Second)
	return f.expectConverged()
}

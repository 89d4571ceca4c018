package sim

import (
	"fmt"
	"time"
)

func playWiped(f *Fleet) error {
	for range 4 {
		n := f.pickNode(hasDiskAndIsUp)
		f.Kill(n)
		f.Wipe(n)
		f.RunFor(f.drawMillis(3000))
		f.Start(n)
		f.RunFor(12 * time.Second)
	}
	return f.expectConverged()
}

func playSlowDisk(f *Fleet) error {
	for i, milliseconds := range []time.Duration{100, 3000, 400, 900, 3000, 5000} {
		leader := f.awaitLeader()
		slow := []*Node{f.pickNode(func(n *Node) bool { return n.HasDisk && n != leader })}
		if i%2 == 0 {
			slow = append(slow, leader)
		}
		for _, n := range slow {
			f.SlowDisk(n, milliseconds*time.Millisecond)
		}
		f.RunFor(2 * time.Second)
		f.putAgain()
		f.RunFor(4 * time.Second)
		for _, n := range slow {
			f.SlowDisk(n, 0)
		}
		f.RunFor(2 * time.Second)
	}
	f.RunFor(4 * time.Second)
	return f.expectConverged()
}

func playFailingDisk(f *Fleet) error {
	for i, kind := range []string{ringFiles, snapshotFiles, ""} {
		n := f.awaitLeader()
		if i == 1 {
			n = f.pickNode(hasDiskAndIsUp)
		}
		n.disk.Fault, n.disk.Only = fmt.Errorf("no room"), kind
		for range 3 {
			f.putAgain()
			f.RunFor(time.Second)
		}
		if n.IsUp && kind != snapshotFiles {
			return fmt.Errorf("%s goes on with a disk that fails", n.Name)
		}
		if n.IsUp {
			f.Kill(n)
		}
		f.RepairDisk(n)
		if i == 2 {
			f.Wipe(n)
		}
		f.Start(n)
		f.RunFor(6 * time.Second)
	}
	return f.expectReadBack()
}

func playPower(f *Fleet) error {
	for step := range 8 {
		n := f.awaitLeader()
		if f.random.Intn(3) == 0 {
			n = f.pickNode(hasDiskAndIsUp)
		}
		n.disk.CutAfter(step)
		f.putAgain()
		f.RunFor(time.Second)
		if n.IsUp {
			f.Kill(n)
		}
		f.RepairDisk(n)
		f.Start(n)
		f.RunFor(3 * time.Second)
		if err := f.expectReadBack(); err != nil {
			return err
		}
	}
	return f.expectConverged()
}

func playWipedAfterAccept(f *Fleet) error {
	for range 3 {
		leader := f.awaitLeader()
		other := f.pickNode(func(n *Node) bool { return n.HasDisk && n.IsUp && n != leader })
		before := f.acceptedVersion
		f.putAgain()
		for i := 0; f.acceptedVersion == before && i < 300; i++ {
			f.RunFor(10 * time.Millisecond)
		}
		lost := []*Node{leader, other}
		for _, n := range lost {
			f.Kill(n)
			f.Wipe(n)
		}
		f.RunFor(f.drawMillis(3000))
		for _, n := range lost {
			f.Start(n)
		}
		f.RunFor(6 * time.Second)
		if err := f.expectReadBack(); err != nil {
			return err
		}
		f.RunFor(8 * time.Second)
	}
	return f.expectConverged()
}

package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

func playBackends(f *Fleet) error {
	for range 8 {
		b := f.Backends[f.random.Intn(len(f.Backends))]
		switch f.random.Intn(3) {
		case 0:
			f.Crash(b)
		case 1:
			f.drainBackend(b)
		case 2:
			f.AddBackend(b.Service, b.Zone)
		}
		f.RunFor(2 * time.Second)
	}
	return f.expectConverged()
}

func playRelease(f *Fleet) error {
	for _, service := range []string{"service0", "service3"} {
		for _, b := range f.readyBackends(service)[:4] {
			f.AddBackend(b.Service, b.Zone)
			f.RunFor(1500 * time.Millisecond)
			f.drainBackend(b)
			f.RunFor(1500 * time.Millisecond)
		}
	}
	f.RunFor(12 * time.Second)
	return f.expectConverged()
}

func playAllCold(f *Fleet) error {
	f.hotKey = true
	for _, away := range []time.Duration{3 * time.Second, processBoot} {
		for _, b := range f.Backends {
			f.Crash(b)
			b.isUnresponsive = false
		}
		f.RunFor(away)
		for _, b := range f.Backends {
			f.Return(b)
		}
		f.RunFor(15 * time.Second)
	}
	return f.expectConverged()
}

func playReuse(f *Fleet) error {
	for i := range 6 {
		list := f.readyBackends(fmt.Sprintf("service%d", i%4))
		f.Reuse(list[f.random.Intn(len(list))], fmt.Sprintf("service%d", (i+1)%4))
		f.RunFor(3 * time.Second)
	}
	return f.expectConverged()
}

func playBadOutcomes(f *Fleet) error {
	for _, mode := range []Mode{ModeLose, ModeGarbage, ModeForeign, ModeCut, ModeSlow} {
		for _, count := range []int{2, 12} {
			for s := range 4 {
				for i, b := range f.readyBackends(fmt.Sprintf("service%d", s)) {
					if b.Mode = ModeGood; i < count {
						b.Mode = mode
					}
				}
			}
			f.RunFor(3 * time.Second)
		}
	}
	for _, b := range f.Backends {
		b.Mode = ModeGood
	}
	return nil
}

func playBackendFrozen(f *Fleet) error {
	for range 5 {
		b := f.Backends[f.random.Intn(len(f.Backends))]
		b.frozenUntil = f.Now + time.Duration(1+f.random.Intn(12))*time.Second
		f.RunFor(4 * time.Second)
	}
	return f.expectConverged()
}

func playHotKey(f *Fleet) error {
	f.hotKey = true
	f.RunFor(8 * time.Second)
	busiest, most := f.readyBackends("service3")[0], 0
	counts := map[string]int{}
	for _, a := range f.History.Arrivals {
		if counts[a.Instance]++; a.Service == "service3" && counts[a.Instance] > most {
			busiest, most = f.findBackend(a.Instance), counts[a.Instance]
		}
	}
	f.AddBackend("service3", busiest.Zone)
	f.drainBackend(busiest)
	f.RunFor(15 * time.Second)
	return f.expectConverged()
}

func playBackendCut(f *Fleet) error {
	for range 5 {
		list := f.readyBackends("service3")
		b := list[f.random.Intn(len(list))]
		b.Mode = ModeSlow
		f.RunFor(time.Second)
		for _, n := range f.Nodes {
			f.cuts[[2]string{b.Instance, n.Name}] = true
			f.cuts[[2]string{n.Name, b.Instance}] = f.random.Intn(2) == 0
		}
		for _, id := range slices.Sorted(maps.Keys(b.openRequests)) {
			b.openRequests[id](fmt.Errorf("connection reset on the way"))
		}
		b.State = "draining"
		f.RunFor(5 * time.Second)
		for _, n := range f.Nodes {
			delete(f.cuts, [2]string{b.Instance, n.Name})
			delete(f.cuts, [2]string{n.Name, b.Instance})
		}
	}
	return f.expectConverged()
}

func playBadList(f *Fleet) error {
	count := func(n *Node) int {
		total := 0
		for _, service := range f.View(n).Services {
			total += len(service.Backends)
		}
		return total
	}
	before := count(f.Leader())
	for _, fault := range []string{"empty", "short", "repeated", "missing", "stale"} {
		f.listFault = fault
		f.RunFor(4 * time.Second)
		leader := f.Leader()
		if leader == nil {
			return fmt.Errorf("no leader at %v", f.Now)
		}
		if after := count(leader); after != before {
			return fmt.Errorf("a list that is %s left %d of %d back ends", fault, after, before)
		}
	}
	f.listFault = ""
	return f.expectConverged()
}

package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"topazshed/internal/checker"
)

func playBackends(f *Fleet) error {
	for range 8 {
		b := f.drawBackend()
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
		ready := f.readyBackends(fmt.Sprintf("service%d", i%4))
		f.Reuse(ready[f.random.Intn(len(ready))], fmt.Sprintf("service%d", (i+1)%4))
		f.RunFor(3 * time.Second)
	}
	return f.expectConverged()
}

func playBadAnswers(f *Fleet) error {
	for _, mode := range []Mode{ModeLose, ModeGarbage, ModeForeign, ModeCut, ModeSlow} {
		for _, count := range []int{2, 12} {
			f.setModes(mode, count)
			f.RunFor(3 * time.Second)
		}
	}
	for _, b := range f.Backends {
		b.Mode = ModeGood
	}
	return nil
}

// setModes gives a mode to that many back ends of each service, and the good one to the others.
func (f *Fleet) setModes(mode Mode, count int) {
	for service := range f.Options.Services {
		for i, b := range f.readyBackends(fmt.Sprintf("service%d", service)) {
			b.Mode = ModeGood
			if i < count {
				b.Mode = mode
			}
		}
	}
}

func playBackendFrozen(f *Fleet) error {
	for range 5 {
		b := f.drawBackend()
		b.frozenUntil = f.Now + time.Duration(1+f.random.Intn(12))*time.Second
		f.RunFor(4 * time.Second)
	}
	return f.expectConverged()
}

func playHotKey(f *Fleet) error {
	f.hotKey = true
	f.RunFor(8 * time.Second)
	busiest := f.busiestBackend("service3")
	f.AddBackend("service3", busiest.Zone)
	f.drainBackend(busiest)
	f.RunFor(15 * time.Second)
	return f.expectConverged()
}

// busiestBackend gives the back end of a service that got the most requests.
func (f *Fleet) busiestBackend(service string) *Backend {
	busiest, most := f.readyBackends(service)[0], 0
	counts := map[string]int{}
	for _, arrival := range f.History.Arrivals {
		counts[arrival.Instance]++
		if arrival.Service == service && counts[arrival.Instance] > most {
			busiest, most = f.findBackend(arrival.Instance), counts[arrival.Instance]
		}
	}
	return busiest
}

func playBackendCut(f *Fleet) error {
	for range 5 {
		ready := f.readyBackends("service3")
		b := ready[f.random.Intn(len(ready))]
		b.Mode = ModeSlow
		f.RunFor(time.Second)
		f.cutBackend(b)
		b.State = checker.BackendDraining
		f.RunFor(5 * time.Second)
		f.healBackend(b)
	}
	return f.expectConverged()
}

// cutBackend cuts the links from a back end to all machines, some also the other way, and resets its connections. The
// back end works on.
func (f *Fleet) cutBackend(b *Backend) {
	for _, n := range f.Nodes {
		f.links.cuts[link{b.Instance, n.Name}] = true
		f.links.cuts[link{n.Name, b.Instance}] = f.random.Intn(2) == 0
	}
	for _, id := range slices.Sorted(maps.Keys(b.openRequests)) {
		b.openRequests[id](fmt.Errorf("connection reset on the way"))
	}
}

func (f *Fleet) healBackend(b *Backend) {
	for _, n := range f.Nodes {
		delete(f.links.cuts, link{b.Instance, n.Name})
		delete(f.links.cuts, link{n.Name, b.Instance})
	}
}

func playBadList(f *Fleet) error {
	before := f.countBackends(f.Leader())
	for _, fault := range []listFault{listEmpty, listShort, listRepeated, listMissing, listStale} {
		f.listFault = fault
		f.RunFor(4 * time.Second)
		leader := f.Leader()
		if leader == nil {
			return fmt.Errorf("no leader at %v", f.Now)
		}
		if after := f.countBackends(leader); after != before {
			return fmt.Errorf("a list that is %s left %d of %d back ends", fault, after, before)
		}
	}
	f.listFault = listGood
	return f.expectConverged()
}

// countBackends gives how many back ends a machine knows.
func (f *Fleet) countBackends(n *Node) int {
	total := 0
	for _, service := range f.View(n).Services {
		total += len(service.Backends)
	}
	return total
}

package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"topazshed/internal/standing"
)

// Growth is how a fleet's costs stand at one size, on virtual time.
type Growth struct {
	Nodes, Services         int
	Ready                   time.Duration
	SpreadMedian, SpreadMax time.Duration
	BytesPerNode            int
	FramesPerNode           int
	LeaderFrames            int
	FullRows                int
	ReaderRows              int
	WidestView              int
	Breaches                []string
}

// Grow measures a fleet of that many nodes over six districts that serves that many small services, each reader being asked for a few of them.
func Grow(seed int64, nodes, services int) (Growth, error) {
	var entries []string
	for s := range services {
		entries = append(entries, fmt.Sprintf(`{"service":"service%d","path":"/read","methods":["GET"],"repeat_safe":["GET"]}`, s))
	}
	document := `{"entries":[` + strings.Join(entries, ",") + `]}`
	f := New(Options{Seed: seed, Regions: 3, Districts: 2, PerDistrict: nodes / 6, Services: services, Backends: 3, Document: document})
	g := Growth{Nodes: len(f.Nodes), Services: services}
	if err := f.Begin(); err != nil {
		return g, err
	}
	g.Ready = f.Now
	for i, n := range f.Nodes {
		for k := range 3 {
			f.on(n, n.Boot, func() {
				n.core.Want(f.clock(n), fmt.Sprintf("service%d", (i*7+k*31)%services))
				f.perform(n)
			})
		}
	}
	f.RunFor(10 * time.Second)
	for kind := range f.Frames {
		delete(f.Frames, kind)
	}
	for kind := range f.Bytes {
		delete(f.Bytes, kind)
	}
	leader := f.Leader()
	if leader == nil {
		return g, fmt.Errorf("no leader at %v", f.Now)
	}
	f.sentTo = map[string]int{}
	const span = 10
	f.RunFor(span * time.Second)
	for _, count := range f.Frames {
		g.FramesPerNode += count
	}
	for _, count := range f.Bytes {
		g.BytesPerNode += count
	}
	g.FramesPerNode /= span * len(f.Nodes)
	g.BytesPerNode /= span * len(f.Nodes)
	g.LeaderFrames = f.sentTo[leader.Name] / span
	f.Effect = nil
	for version := uint64(1); version <= 5; version++ {
		f.Put(f.Leader(), document, version)
		f.RunFor(3 * time.Second)
	}
	slices.Sort(f.Effect)
	if len(f.Effect) == 0 {
		return g, fmt.Errorf("no configuration was carried to all")
	}
	g.SpreadMedian, g.SpreadMax = f.Effect[len(f.Effect)/2], f.Effect[len(f.Effect)-1]
	var readers []int
	for _, n := range f.Nodes {
		if n.HasDisk {
			g.FullRows = max(g.FullRows, f.Rows(n))
		} else {
			readers = append(readers, f.Rows(n))
		}
		g.WidestView = max(g.WidestView, n.core.Local().Known)
	}
	slices.Sort(readers)
	g.ReaderRows = readers[len(readers)/2]
	g.Breaches = f.Breaches
	return g, nil
}

// Failing is how long the loss of an entry's active group was felt, on virtual time from its last machine's end.
type Failing struct {
	Number, Read, Unsafe time.Duration
}

// Failover kills the group that is active for reads in the first region, and the one for unsafe work, and measures each.
func Failover(seed int64) (Failing, error) {
	var result Failing
	for _, kind := range []struct {
		method, service, path, probe string
		into                         *time.Duration
	}{{"GET", "service0", "/read", "/read/x", &result.Read}, {"POST", "service1", "/pay", "/pay", &result.Unsafe}} {
		f := New(Options{Seed: seed})
		if err := f.Begin(); err != nil {
			return result, err
		}
		f.RunFor(10 * time.Second)
		view := f.View(f.Leader())
		entry := view.Services[kind.service].Entry(kind.path)
		origin := standing.Origin{Region: "r0"}
		if standing.IsBound(entry) {
			origin = standing.Origin{Service: entry.Service, Path: entry.Path}
		}
		owner, err := standing.Resolve(view, entry, origin)
		if err != nil {
			return result, err
		}
		at := f.Now
		f.killAll(isIn(owner.District))
		isServed := false
		for i := 0; !isServed && f.Now < at+30*time.Second; i++ {
			f.Query(fmt.Sprintf("failover-%s-%d", kind.service, i), kind.method, kind.service, kind.probe, "r0", 2*time.Second, func(o string) { isServed = isServed || o == "sealed" })
			f.RunFor(50 * time.Millisecond)
			if leader := f.Leader(); leader != nil && result.Number == 0 {
				if now, err := standing.Resolve(f.View(leader), entry, origin); err == nil && now.Trail.IsNewer(owner.Trail) {
					result.Number = f.Now - at
				}
			}
		}
		if !isServed || len(f.Breaches) > 0 {
			return result, fmt.Errorf("%s%s: served %v, breaches %v", kind.service, kind.path, isServed, f.Breaches)
		}
		*kind.into = f.Now - at
	}
	return result, nil
}

package sim

import (
	"fmt"
	"time"

	"topazshed/internal/failover"
)

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
		origin := failover.Origin{Region: "r0"}
		if failover.IsEntity(entry) {
			origin = failover.Origin{Service: entry.Service, Path: entry.Path}
		}
		owner, err := failover.Resolve(view, entry, origin)
		if err != nil {
			return result, err
		}
		at := f.Now
		f.killAll(isIn(owner.Zone))
		isServed := false
		for i := 0; !isServed && f.Now < at+30*time.Second; i++ {
			f.Request(fmt.Sprintf("failover-%s-%d", kind.service, i), kind.method, kind.service, kind.probe, "r0", 2*time.Second, func(o string) { isServed = isServed || o == "sealed" })
			f.RunFor(50 * time.Millisecond)
			if leader := f.Leader(); leader != nil && result.Number == 0 {
				if now, err := failover.Resolve(f.View(leader), entry, origin); err == nil && now.Trail.IsNewer(owner.Trail) {
					result.Number = f.Now - at
				}
			}
		}
		if !isServed || len(f.Violations) > 0 {
			return result, fmt.Errorf("%s%s: served %v, breaches %v", kind.service, kind.path, isServed, f.Violations)
		}
		*kind.into = f.Now - at
	}
	return result, nil
}

package sim

import (
	"fmt"
	"net/http"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
)

const (
	// failoverWarmUp is how long a fleet runs before its active group is killed, failoverLimit how long a failover may take.
	failoverWarmUp = 10 * time.Second
	failoverLimit  = 30 * time.Second
	// failoverProbeEvery is how often the measured entry is requested.
	failoverProbeEvery = 50 * time.Millisecond
	// probeWait is how long a probe waits for its answer.
	probeWait = 2 * time.Second
	// firstRegion is where probes come from.
	firstRegion = "r0"
)

// FailoverTimes tell how long the loss of an entry's active group was felt, on virtual time from its last machine's end:
// until a new failover number was known, and until a safe and an unsafe request were served.
type FailoverTimes struct {
	NewNumber, Read, Unsafe time.Duration
}

// Failover kills the group that is active for reads in the first region and, in another fleet, the one for unsafe
// requests, and measures each.
func Failover(seed int64) (FailoverTimes, error) {
	var times FailoverTimes
	read := CallerRequest{Method: http.MethodGet, Service: "service0", Path: "/read/x"}
	if err := measureFailover(seed, read, "/read", &times.NewNumber, &times.Read); err != nil {
		return times, err
	}
	pay := CallerRequest{Method: http.MethodPost, Service: "service1", Path: "/pay"}
	err := measureFailover(seed, pay, "/pay", &times.NewNumber, &times.Unsafe)
	return times, err
}

// measureFailover kills the group that is active for an entry. It sets newNumber, if that is still 0, and served.
func measureFailover(seed int64, request CallerRequest, entryPath string, newNumber, served *time.Duration) error {
	f := New(Options{Seed: seed})
	if err := f.Begin(); err != nil {
		return err
	}
	f.RunFor(failoverWarmUp)
	view := f.View(f.Leader())
	entry := view.Services[request.Service].Entry(entryPath)
	origin := failover.Origin{Region: firstRegion}
	if failover.IsEntity(entry) {
		origin = failover.Origin{Service: entry.Service, Path: entry.Path}
	}
	owner, err := failover.Resolve(view, entry, origin)
	if err != nil {
		return err
	}
	begun := f.Now
	f.killAll(isIn(owner.Zone))
	isServed := false
	for i := 0; !isServed && f.Now < begun+failoverLimit; i++ {
		request.Attempt = fmt.Sprintf("failover-%s-%d", request.Service, i)
		request.Region, request.Wait = firstRegion, probeWait
		f.Request(request, func(result string) { isServed = isServed || result == checker.ResultSealed })
		f.RunFor(failoverProbeEvery)
		if *newNumber == 0 && f.hasNewerNumber(entry, origin, owner) {
			*newNumber = f.Now - begun
		}
	}
	if !isServed || len(f.Violations) > 0 {
		return fmt.Errorf("%s%s: served %v, violations %v", request.Service, entryPath, isServed, f.Violations)
	}
	*served = f.Now - begun
	return nil
}

// hasNewerNumber tells whether the leader knows a newer failover number of an entry than an owner's.
func (f *Fleet) hasNewerNumber(entry *schema.Entry, origin failover.Origin, owner failover.Owner) bool {
	leader := f.Leader()
	if leader == nil {
		return false
	}
	newest, err := failover.Resolve(f.View(leader), entry, origin)
	return err == nil && newest.Trail.IsNewer(owner.Trail)
}

package constants

import "time"

// Reading the platform's list of back ends in a fleet of entries, and health checks (internal/discovery, internal/node).
const (
	// ListReadEvery is the pause between two reads of the list.
	ListReadEvery = 500 * time.Millisecond
	// EndpointMissingReads (whole reads) must lack a back end before it is removed.
	EndpointMissingReads = 2
	// EndpointFloor (percent) of a service may vanish in one read; for more, the health checks must agree.
	EndpointFloor = 50
	// ListCallTimeout bounds the call for one page.
	ListCallTimeout = 800 * time.Millisecond
	// HealthCheckEvery is how often a proxy checks a back end.
	HealthCheckEvery = 700 * time.Millisecond
	// HealthCheckTimeout bounds one check: below HealthCheckEvery.
	HealthCheckTimeout = 600 * time.Millisecond
	// HealthCheckFailures (checks) in a row that fail make a back end unhealthy at one proxy.
	HealthCheckFailures = 2
)

// Reading the list in a fleet of routes. Its draining back ends must be known within 2.5 s, and calls of the list are bounded
// and paid for.
const (
	// ListEvery is the pause between two reads of a short list.
	ListEvery = 400 * time.Millisecond
	// ListPageEvery is what each page of a read adds to the pause after it.
	ListPageEvery = 150 * time.Millisecond
	// MaxListEvery is the longest such pause: with the read, a commit and its replication, draining back ends are still known
	// within 2.5 s.
	MaxListEvery = 1100 * time.Millisecond
	// ListRateShare (fraction) of the allowed calls is used at most; operators and a former leader may need the others.
	ListRateShare = 0.7
	// ListRest of the bound on draining back ends is left for the read, its commit, the replication and a connection that is
	// being made.
	ListRest = 1400 * time.Millisecond
	// ListDrainParts (parts) of that bound, one of which is the longest pause between two reads of a short list.
	ListDrainParts = 6
	// ListTellAfter is how long after a read's begin its pages are taken as they come: a paced read of many pages takes
	// seconds, and draining back ends must be known sooner.
	ListTellAfter = 600 * time.Millisecond
	// ListWindow is the second in which calls are counted, longer by what a call may be on its way.
	ListWindow = 1100 * time.Millisecond
	// ListRefused is how long after a refused call the page is asked for again: others, such as a former leader, use the rate
	// too.
	ListRefused = 300 * time.Millisecond
	// ListRefusals (refusals) of one page after which a read is given up.
	ListRefusals = 3
	// ListCall bounds the call for one page.
	ListCall = 700 * time.Millisecond
	// MaxListPages (pages) of one read: more than 78000 back ends in pages of 50, fewer than a list that never ends.
	MaxListPages = 2000
)

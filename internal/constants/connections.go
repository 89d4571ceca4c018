package constants

import "time"

// Connections to back ends, and what is kept of a request and its response (internal/gateway, internal/leasecall).
const (
	// BackendConnect bounds making a connection to a back end: two ways over a far link and a busy machine.
	BackendConnect = 400 * time.Millisecond
	// BackendIdleTimeout is how long sent bytes may be unacknowledged before a connection is given up: eight ways over a far
	// link.
	BackendIdleTimeout = 700 * time.Millisecond
	// KeepAliveIdle is how long a connection is idle before TCP probes it.
	KeepAliveIdle = time.Second
	// KeepAliveEvery is the time between two such probes.
	KeepAliveEvery = time.Second
	// KeepAliveCount (probes) without an answer end a connection.
	KeepAliveCount = 2
	// IdleDefault is how long a connection may be idle if its back end says nothing.
	IdleDefault = 8 * time.Second
	// IdleMargin is how long before its back end closes an idle connection it is no longer used.
	IdleMargin = 1500 * time.Millisecond
	// MaxIdle (connections) to one back end are kept idle.
	MaxIdle = 16
	// MinFresh is how long a connection may be idle while a service's back ends forget idle ones: below any time-out worth
	// having, above the gap within a few requests in a row.
	MinFresh = 100 * time.Millisecond
	// FreshKept is how long it is remembered that a connection was forgotten; each further time is remembered twice as long.
	FreshKept = 8 * time.Second
	// MaxFreshKept is the longest such time: new connections cost money.
	MaxFreshKept = time.Minute
	// FreshStep is the length of a step in which that is unlearned: connections may then be idle twice as long.
	FreshStep = 2 * time.Second
	// FreshReset is the time within which the reset of a forgotten connection comes back: two ways over a far link and a busy
	// machine.
	FreshReset = 250 * time.Millisecond
	// KeepAnswer (bytes) of a response are read before the first byte goes to the caller, so that a broken one can be retried
	// elsewhere.
	KeepAnswer = 64 << 10
	// KeepBody (bytes) of a request are kept so that it can be sent again; longer ones stream and are sent once.
	KeepBody = 64 << 10
	// MaxSurplus (responses) to other requests are skipped on one connection.
	MaxSurplus = 2
)

package constants

import "time"

// A process: its end, its memory and its listeners (internal/node, cmd/topazshed).
const (
	// StopLinger is how long a stopping proxy still accepts requests: the life of a directory's response, and the replication
	// of the node's state.
	StopLinger = MatchTTL + 1200*time.Millisecond
	// MaxStop bounds a planned stop: the linger, and the longest deadline that a caller may name.
	MaxStop = StopLinger + MaxWait
	// DrainShare (fraction) of the grace period of a stop in which requests in flight may still end.
	DrainShare = 0.9
	// StartWait is how long a starting process waits for what a former one of its machine still holds: longer than a planned stop.
	StartWait = 30 * time.Second
	// StartRetry is the time between two tries meanwhile.
	StartRetry = 50 * time.Millisecond
	// SettingsWait is how long a starting process waits for a settings file that is missing or not whole: it may be being written.
	SettingsWait = 2 * time.Second
	// SettingsEvery is how often a node on the users' platform looks whether its settings file has changed.
	SettingsEvery = 2 * time.Second
	// GarbagePercent (percent) of the live heap may be garbage before it is collected: memory at its peak costs more than a
	// little processor time.
	GarbagePercent = 40
	// MemoryShare (fraction) of a machine's memory that the runtime may take before it collects harder.
	MemoryShare = 0.6
	// RequestHead (bytes) of a request are read at most, on every listener.
	RequestHead = 64 << 10
	// CallerHead is how long reading a request's header may take if the configuration says nothing.
	CallerHead = 5 * time.Second
	// CallerIdle is how long a caller's connection may be idle if the configuration says nothing.
	CallerIdle = time.Minute
	// CallerGrace is added to the configuration's limits: two ways and a packet that is sent again, so that a caller at its
	// limit is not cut off.
	CallerGrace = 500 * time.Millisecond
	// CallerHeadMark stands in an http.Server's settings for the configuration's limit of a header; gateway.Callers recognises
	// it.
	CallerHeadMark = 1000 * time.Hour
	// CallerIdleMark stands there for the limit of an idle connection.
	CallerIdleMark = 3 * CallerHeadMark
	// ResolveTTL is how long a caller of a fleet of routes may use a response of the directory: a lost node is soon out of them
	// all.
	ResolveTTL = 2 * time.Second
	// MinResolve (nodes) of the caller's zone are enough for a response; with fewer, the region's others are added.
	MinResolve = 2
	// MaxResolve (nodes) are named in one response.
	MaxResolve = 64
)

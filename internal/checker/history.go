package checker

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// The states of a back end in the platform's list. BackendGone means that the list no longer shows it.
const (
	BackendReady    = "ready"
	BackendDraining = "draining"
	BackendGone     = "gone"
)

// OperatorAction is what an operator asked for.
type OperatorAction string

// The actions of operators. A bad put is a configuration that must be refused.
const (
	OperatorPut     OperatorAction = "put"
	OperatorBadPut  OperatorAction = "bad-put"
	OperatorShow    OperatorAction = "show"
	OperatorEmpty   OperatorAction = "empty"
	OperatorRestore OperatorAction = "restore"
)

// FleetAction is what was done to a process.
type FleetAction string

// The actions on processes: a planned stop, and a kill.
const (
	FleetStop FleetAction = "stop"
	FleetKill FleetAction = "kill"
)

// Arrival is one request as a back end saw it.
type Arrival struct {
	At, End  time.Duration
	Service  string
	Instance string
	Path     string
	Method   string
	// Attempt is the attempt id, Send names one sending of it by a caller.
	Attempt string
	Send    string
	Key     string
	Proxy   string
	// IsUnsafe tells that the request must not run twice, IsRun that it ran.
	IsUnsafe bool
	IsRun    bool
	// Digest is the digest of the answer.
	Digest string
	// IsCutOff tells that the proxy was in touch with less than a majority, so it could know nothing newer.
	IsCutOff bool
}

// Reply is one sending as a caller saw it.
type Reply struct {
	At, End time.Duration
	Service string
	Path    string
	Method  string
	Attempt string
	Send    string
	Zone    string
	Proxy   string
	// Result is one of the Result values, empty if no whole answer came; Kind is the kind of a refusal.
	Result string
	Kind   string
	Status int
	// Digest is the digest of the answer's body if Result is ResultSealed.
	Digest   string
	IsUnsafe bool
	IsProper bool
	// RetryAfter is how long the caller was asked to wait.
	RetryAfter time.Duration
	// Broken is one of the Broken values, empty if a whole answer came.
	Broken   string
	IsCutOff bool
}

// Call is a caller's whole undertaking: one attempt id, one or more sendings.
type Call struct {
	At, End  time.Duration
	Service  string
	Path     string
	Attempt  string
	IsUnsafe bool
	Result   string
	// Sends counts the sendings; LastReason tells why the last one wasn't served.
	Sends      int
	LastReason string
}

// MatchSeen is a directory's answer as a caller saw it.
type MatchSeen struct {
	At       time.Duration
	Admin    string
	Service  string
	Path     string
	Version  uint64
	Status   int
	Zone     string
	Boot     int
	IsCutOff bool
}

// PlatformEvent is a change of a back end in the platform's list, at the time at which the list first showed it.
type PlatformEvent struct {
	At       time.Duration
	Instance string
	// What is the back end's new state.
	What string
}

// OperatorEvent is what an operator sent and how it was answered.
type OperatorEvent struct {
	At, End time.Duration
	What    OperatorAction
	Zone    string
	Version uint64
	Base    uint64
	Status  int
	Entries []EntrySeen
	Node    string
}

// EntrySeen is an entry of a configuration as the operator wrote it.
type EntrySeen struct {
	Service, Path string
	Methods, Safe []string
	Homes         []string
}

// FleetEvent is what the runner did to a process.
type FleetEvent struct {
	At, End time.Duration
	What    FleetAction
	Node    string
	Proxy   string
}

// History is everything that was seen from outside. Whoever reads or writes its fields beside other goroutines holds its
// lock.
type History struct {
	sync.Mutex
	// Now gives the time since the run began, RegionOf the region of a zone.
	Now      func() time.Duration
	RegionOf func(zone string) string

	Arrivals  []*Arrival
	Replies   []*Reply
	Calls     []*Call
	Matches   []MatchSeen
	Platform  []PlatformEvent
	Operators []OperatorEvent
	Fleet     []FleetEvent
	// Zones are the zones of back ends and ColdStarts the times at which they started cold, by instance.
	Zones      map[string]string
	ColdStarts map[string][]time.Duration

	// listed are the states that the platform's list showed last, by instance.
	listed map[string]string
}

// NewHistory makes an empty history from a clock and a function that gives the region of a zone.
func NewHistory(now func() time.Duration, regionOf func(zone string) string) *History {
	return &History{Now: now, RegionOf: regionOf, Zones: map[string]string{}, ColdStarts: map[string][]time.Duration{}}
}

// Record adds one thing that was seen to one of the history's lists.
func Record[T any](h *History, list *[]T, seen T) {
	h.Lock()
	defer h.Unlock()
	*list = append(*list, seen)
}

// RecordList notes each change of a back end's state since the list was shown last. The states are those of a whole
// list, by instance.
func (h *History) RecordList(states map[string]string) {
	h.Lock()
	defer h.Unlock()
	now := h.Now()
	for _, instance := range slices.Sorted(maps.Keys(states)) {
		if h.listed[instance] != states[instance] {
			h.Platform = append(h.Platform, PlatformEvent{At: now, Instance: instance, What: states[instance]})
		}
	}
	for _, instance := range slices.Sorted(maps.Keys(h.listed)) {
		if _, isListed := states[instance]; !isListed {
			h.Platform = append(h.Platform, PlatformEvent{At: now, Instance: instance, What: BackendGone})
		}
	}
	h.listed = states
}

package checker

import (
	"sync"
	"time"
)

// Arrival is one request as a back end saw it.
type Arrival struct {
	At, End  time.Duration
	Service  string
	Instance string
	Path     string
	Method   string
	Attempt  string
	Send     string
	Key      string
	Proxy    string
	IsUnsafe bool
	IsRun    bool
	Digest   string
	IsCutOff bool
}

// Reply is one sending as a caller saw it.
type Reply struct {
	At, End    time.Duration
	Service    string
	Path       string
	Method     string
	Attempt    string
	Send       string
	Zone       string
	Proxy      string
	Result     string
	Kind       string
	Status     int
	Digest     string
	IsUnsafe   bool
	IsProper   bool
	RetryAfter time.Duration
	Broken     string
	IsCutOff   bool
}

// Call is a caller's whole undertaking: one attempt id, one or more sendings.
type Call struct {
	At, End    time.Duration
	Service    string
	Path       string
	Attempt    string
	IsUnsafe   bool
	Result     string
	Sends      int
	LastReason string
}

// MatchSeen is a directory's response as a caller saw it.
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

// PlatformEvent is a change of a back end in the platform's list, at the time it was first shown.
type PlatformEvent struct {
	At       time.Duration
	Instance string
	What     string
}

// OperatorEvent is what an operator sent and was told.
type OperatorEvent struct {
	At, End time.Duration
	What    string
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
	What    string
	Node    string
	Proxy   string
}

// History is everything that was seen from outside.
type History struct {
	sync.Mutex
	Now        func() time.Duration
	RegionOf   func(zone string) string
	Arrivals   []*Arrival
	Replies    []*Reply
	Calls      []*Call
	Matches    []MatchSeen
	Platform   []PlatformEvent
	Operators  []OperatorEvent
	Fleet      []FleetEvent
	Zones      map[string]string
	ColdStarts map[string][]time.Duration
}

// NewHistory makes an empty history on a clock and a way to tell a zone's region.
func NewHistory(now func() time.Duration, regionOf func(zone string) string) *History {
	return &History{Now: now, RegionOf: regionOf, Zones: map[string]string{}, ColdStarts: map[string][]time.Duration{}}
}

// Record adds one thing that was seen.
func Record[T any](h *History, list *[]T, it T) {
	h.Lock()
	defer h.Unlock()
	*list = append(*list, it)
}

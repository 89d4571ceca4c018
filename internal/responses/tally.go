package responses

import (
	"cmp"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"topazshed/internal/constants"
)

// Count is how often responses of a party exceeded a bound.
type Count struct {
	// Party is the instance of a back end or another name of who sent them; empty for all beyond constants.TalliedParties.
	Party string `json:"party"`
	Bound Bound  `json:"bound"`
	Count uint64 `json:"count"`
}

// tallyKey is what is counted apart.
type tallyKey struct {
	party string
	bound Bound
}

// Tally counts the responses that exceeded a bound and logs some of them. Its methods may be called by any goroutine; a nil Tally
// counts nothing.
type Tally struct {
	log *slog.Logger

	lock     sync.Mutex
	counts   map[tallyKey]uint64
	loggedAt time.Time
	// unlogged are the responses since the last log line.
	unlogged int
}

// NewTally makes an empty tally.
func NewTally(log *slog.Logger) *Tally {
	return &Tally{log: log, counts: map[tallyKey]uint64{}}
}

// Note counts an error that is or wraps a *BoundError; any other one, and nil, it ignores.
func (t *Tally) Note(party string, err error) {
	var exceeded *BoundError
	if t == nil || !errors.As(err, &exceeded) {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	key := tallyKey{party, exceeded.Bound}
	if t.counts[key] == 0 && len(t.counts) >= constants.TalliedParties {
		key.party = ""
	}
	t.counts[key]++
	if time.Since(t.loggedAt) < constants.TallyLogEvery {
		t.unlogged++
		return
	}
	t.log.Warn("a response exceeds a bound", "party", party, "bound", string(exceeded.Bound), "limit", exceeded.Limit, "others", t.unlogged)
	t.loggedAt = time.Now()
	t.unlogged = 0
}

// Counts gives what was counted, by party and bound.
func (t *Tally) Counts() []Count {
	if t == nil {
		return nil
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	counts := make([]Count, 0, len(t.counts))
	for key, count := range t.counts {
		counts = append(counts, Count{key.party, key.bound, count})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Party, b.Party), cmp.Compare(a.Bound, b.Bound))
	})
	return counts
}

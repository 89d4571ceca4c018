package replication

import (
	"log/slog"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/frame"
	"topazshed/internal/inflight"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// wantedFor is how long a service's rows are kept after they were last asked for.
const wantedFor = 10 * time.Minute

// ReaderTable is the table of a reader; only its Subscription changes it.
type ReaderTable interface {
	// Version is the log index that the table stands at.
	Version() raft.Index
	// Rows gives all rows below the prefixes.
	Rows(prefixes []string) []*schema.Row
	// Digest is the digest of all rows below a prefix.
	Digest(prefix string) *schema.RangeDigest
	// Merge takes a delta and gives the rows that it changed; it tells false for a delta that is older or leaves a gap.
	Merge(delta *schema.Delta) ([]*schema.Row, bool)
	// Forget drops the rows that are below none of the prefixes, and gives tombstones of them.
	Forget(prefixes []string) []*schema.Row
}

// Fleet is what a Subscription must know of the system that its node belongs to.
type Fleet interface {
	// HasSystem tells whether the node has joined a system.
	HasSystem() bool
	// HasState tells whether the node holds rows of its system, and so knows the system's nodes.
	HasState() bool
	// Addresses gives the addresses of the other known nodes that fit, in a fixed order.
	Addresses(isFit func(*schema.Node) bool) []string
}

// SubscriptionOptions make a Subscription; all but RemoteAfter and BaseOnly must be set.
type SubscriptionOptions struct {
	// Region is that of the reader.
	Region string
	// Seeds are the addresses to try while the reader knows no member of the log.
	Seeds []string
	// FirstSerial is the number before that of the first subscription; see package inflight.
	FirstSerial uint64
	// Draw gives a number below its argument from the node's seeded source.
	Draw func(int64) int64
	Log  *slog.Logger
	// Base are the prefixes that every reader holds.
	Base []string
	// BaseOnly says that wanted services need no subscription of their own, since Base has all rows.
	BaseOnly bool
	// RenewEvery is the pause between two renewals of the subscription.
	RenewEvery time.Duration
	// ConfirmedWithin is how old rows may be that count as confirmed.
	ConfirmedWithin time.Duration
	// DigestEvery is the pause between two comparisons of digests with the source.
	DigestEvery time.Duration
	// PrefersHome says that a source in another region is taken only once none was found in the own region for RemoteAfter, and that it is
	// left as soon as one is found there. Otherwise one choice in remoteSourceOdds falls on another region.
	PrefersHome bool
	// RemoteAfter is how long a source of the own region is sought first.
	RemoteAfter time.Duration
}

// LeaderHint is where a source saw the leader.
type LeaderHint struct {
	Address string
	// SeenAt is when the source last heard of it, by this node's clock.
	SeenAt time.Duration
}

// Effects are what a Subscription asks of its owner: to send the envelopes in their order, then to publish.
type Effects struct {
	Sends []frame.Envelope
	// IsInstalled says that the table changed; Changed are the rows that did.
	IsInstalled bool
	Changed     []*schema.Row
	// Leader is nil if the delta says nothing fresh of the leader.
	Leader *LeaderHint
}

// Subscription is the side of a reader. It owns the choice of the source, the prefixes held and wanted, and the subscriptions in flight.
type Subscription struct {
	options  SubscriptionOptions
	table    ReaderTable
	fleet    Fleet
	source   source
	requests *inflight.Requests
	// held is replaced, never changed, since readers of other goroutines hold it.
	held map[string]bool
	// wanted is when each further prefix was last asked for.
	wanted      map[string]time.Duration
	renewedAt   time.Duration
	comparedAt  time.Duration
	homeAskedAt time.Duration
	freshAt     time.Duration
	confirmedAt time.Duration
}

// NewSubscription makes a Subscription that holds no rows and has no source yet.
func NewSubscription(options SubscriptionOptions, table ReaderTable, fleet Fleet) *Subscription {
	return &Subscription{
		options:  options,
		table:    table,
		fleet:    fleet,
		source:   source{failedAt: map[string]time.Duration{}, askedAt: map[string]time.Duration{}},
		requests: inflight.New(options.FirstSerial),
		held:     map[string]bool{},
		wanted:   map[string]time.Duration{},
	}
}

// Source is the address of the current source; "" is none.
func (s *Subscription) Source() string { return s.source.address }

// LiveSource is the address of the source if it may still be relied on; it tells false if not.
func (s *Subscription) LiveSource(now time.Duration) (string, bool) {
	return s.source.address, s.source.isAlive(now)
}

// FreshAt is the latest instant for which a majority has confirmed the rows; 0 is never.
func (s *Subscription) FreshAt() time.Duration { return s.freshAt }

// ConfirmedAt is about when a majority last confirmed the rows, as if the newest delta had taken no time on its way; 0 is never.
func (s *Subscription) ConfirmedAt() time.Duration { return s.confirmedAt }

// Held are the prefixes whose rows this reader has. The map is never changed once it is given out.
func (s *Subscription) Held() map[string]bool { return s.held }

// StaleResponses counts the deltas that answered no subscription of this incarnation.
func (s *Subscription) StaleResponses() uint64 { return s.requests.Stale() }

// SetSeeds takes other seeds. A reader without rows lets go of its source, which was one of the former seeds.
func (s *Subscription) SetSeeds(seeds []string) {
	s.options.Seeds = seeds
	if !s.fleet.HasState() {
		s.source.address = ""
	}
}

// Want asks for a service's rows for the next minutes.
func (s *Subscription) Want(now time.Duration, service string) []frame.Envelope {
	prefix := store.ServicePrefix(service)
	s.wanted[prefix] = now
	if s.held[prefix] {
		return nil
	}
	return s.subscribe(now)
}

// Tick renews the subscription, or turns to another source if this one is silent or sends old rows.
func (s *Subscription) Tick(now time.Duration) []frame.Envelope {
	if !s.source.isAlive(now) && s.source.isUnresponsive() {
		s.failSource(now, s.source.address, "it is unresponsive")
	}
	if s.source.isDue(now) && (s.chooseSource(now) || s.source.chooseAgain(now)) {
		return s.try(now)
	}
	isServed := s.source.isConfirmed(now) || s.source.isAwaited(now)
	if !isServed || now-s.renewedAt < s.options.RenewEvery {
		return nil
	}
	return append(s.renew(now), s.askAtHome(now)...)
}

// DropUnwanted lets go of the services that nobody asked for lately.
func (s *Subscription) DropUnwanted(now time.Duration) Effects {
	var effects Effects
	for prefix, wantedAt := range s.wanted {
		if now-wantedAt <= wantedFor {
			continue
		}
		delete(s.wanted, prefix)
		s.setHeld(prefix, false)
		if len(s.table.Rows([]string{prefix})) > 0 {
			effects.IsInstalled = true
			effects.Changed = append(effects.Changed, s.table.Forget(s.prefixes())...)
		}
	}
	return effects
}

// TakeDelta installs the rows of a delta if it answers a subscription of this incarnation and joins the table without a gap.
func (s *Subscription) TakeDelta(now time.Duration, from string, delta *schema.Delta) Effects {
	askedAt, isKnown := s.requests.Match(delta.Serial, from)
	if !isKnown {
		return Effects{}
	}
	if delta.Probe {
		return s.takeProbeAnswer(now, from, delta)
	}
	age := time.Duration(delta.AgeMs) * time.Millisecond
	isConfirmed := age < s.options.ConfirmedWithin
	if !s.mayTake(now, from, isConfirmed) {
		return Effects{}
	}
	changed, isMerged := s.table.Merge(delta)
	if !isMerged {
		return s.afterRefusedDelta(now, delta)
	}
	if isConfirmed {
		s.confirmSource(now, from)
	} else {
		s.failSource(now, from, "its rows are not confirmed")
	}
	for _, prefix := range delta.Whole {
		s.setHeld(prefix, true)
	}
	if age < maxReportedAge {
		s.freshAt = max(s.freshAt, askedAt-age)
		s.confirmedAt = max(s.confirmedAt, s.estimateConfirmed(now, askedAt)-age)
	}
	effects := Effects{IsInstalled: true, Changed: changed}
	if delta.Leader != "" && age < constants.NodeLostAfter {
		effects.Leader = &LeaderHint{Address: delta.Leader, SeenAt: now - age}
	}
	return effects
}

// estimateConfirmed is about when a delta was sent: now, unless it answers a subscription that should have been renewed since, so that it was held
// up on its way.
func (s *Subscription) estimateConfirmed(now, askedAt time.Duration) time.Duration {
	if now-askedAt > s.options.RenewEvery+constants.DeltaHeldUp {
		return askedAt
	}
	return now
}

// takeProbeAnswer asks a member for rows whose own are confirmed, unless others are on their way. A reader without rows takes any.
func (s *Subscription) takeProbeAnswer(now time.Duration, from string, answer *schema.Delta) Effects {
	age := time.Duration(answer.AgeMs) * time.Millisecond
	if age >= s.options.ConfirmedWithin && s.table.Version() > 0 {
		s.failSource(now, from, "its rows are not confirmed")
		return Effects{}
	}
	if s.source.isAwaited(now) || s.source.isConfirmed(now) {
		return Effects{}
	}
	s.source.await(now, from)
	return Effects{Sends: s.subscribe(now)}
}

// confirmSource notes that a member sends confirmed rows, and logs it if a source was sought.
func (s *Subscription) confirmSource(now time.Duration, from string) {
	if s.source.isSeeking() {
		s.options.Log.Info("a source of rows is found", "source", from,
			"soughtMilliseconds", (now - s.source.seekingSince).Milliseconds(), "tries", s.source.tries)
		// The rows may have been on their way for long; the next ones count from a newer request.
		s.renewedAt = 0
	}
	s.source.confirm(now, from)
}

// failSource notes that a member can't be relied on, and logs the loss of a good source.
func (s *Subscription) failSource(now time.Duration, from, reason string) {
	if !s.source.isSeeking() {
		s.options.Log.Info("the source of rows is lost", "source", from, "reason", reason,
			"ageMilliseconds", (now - s.freshAt).Milliseconds())
	}
	s.source.fail(now, from)
}

// afterRefusedDelta asks again from the table's version if a delta begins after it; an older delta needs nothing.
func (s *Subscription) afterRefusedDelta(now time.Duration, delta *schema.Delta) Effects {
	if raft.Index(delta.From) <= s.table.Version() {
		return Effects{}
	}
	return Effects{Sends: s.subscribe(now)}
}

// TakeDigests fetches the ranges again whose rows differ from the source's.
func (s *Subscription) TakeDigests(now time.Duration, from string, response *schema.DigestResponse) []frame.Envelope {
	if from != s.source.address || len(response.Differing) == 0 {
		return nil
	}
	s.options.Log.Warn("rows differ from the source's and are fetched again", "ranges", response.Differing)
	for _, prefix := range response.Differing {
		s.setHeld(prefix, false)
	}
	return s.subscribe(now)
}

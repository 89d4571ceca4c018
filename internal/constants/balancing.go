package constants

import "time"

// Choosing a back end, and the expected delay that the choice rests on (internal/gateway).
const (
	// DelayWeight (fraction) of a back end's newest delay in its running mean: about the last eight count.
	DelayWeight = 0.12
	// UnknownDelay (fraction of the latency target) is assumed for a back end that has served nothing yet.
	UnknownDelay = 0.25
	// ZonePenalty (fraction of the latency target) is how much quicker a back end in another zone must be: bytes between zones
	// cost money.
	ZonePenalty = 0.2
	// RegionPenalty (fraction of the latency target) is the same for another region: bytes cost eight times as much.
	RegionPenalty = 1.2
	// ColdPenalty (factor) on the delay of a back end that warms up: it works at half its pace.
	ColdPenalty = 2.0
	// StrainBelow (fraction) is how much longer a back end takes at full use than idle, before it queues.
	StrainBelow = 0.3
	// StrainFrom (fraction of its slots) is the use from which requests begin to queue: the estimate is rough.
	StrainFrom = 0.8
	// StrainAbove (factor) is how much longer it takes for each part of its slots in use above that.
	StrainAbove = 2.0
	// CostJitter (fraction) is the most that is drawn on top of a cost, so that nodes do not all choose the same.
	CostJitter = 0.1
	// MaxSearches (back ends) are tried for one request, connected or not.
	MaxSearches = 5
	// TendEvery is how often a gateway drops idle connections and unknown back ends.
	TendEvery = time.Second
)

// Slow start of back ends that warm up (internal/gateway, internal/controlplane).
const (
	// ColdSpare (requests a second) of what the fleet may send to such a back end is left: those counted in one second that
	// arrive in the next.
	ColdSpare = 1
	// ColdWindow is the second in which requests to it are counted, longer by what a request may be on its way.
	ColdWindow = 1100 * time.Millisecond
	// ColdAfter is added to what the list says of how long it is warming up: its clock may be quicker.
	ColdAfter = 200 * time.Millisecond
	// RowsConfirmedFor is how long after its rows were last confirmed a node sends by them without asking the back end: in the calm a
	// source's rows are up to 0.75 s old, and it tells its readers each 0.4 s.
	RowsConfirmedFor = 1250 * time.Millisecond
	// WarmCheckAfter is how much longer it asks once its rows are confirmed again: a request to empty a zone may not have come through
	// meanwhile, and the zone's back ends turn cold all the same, which the list shows later.
	WarmCheckAfter = 3 * time.Second
	// WarmCheckEvery is how long what a back end said of its slow start is relied on: in that time it may begin one.
	WarmCheckEvery = 250 * time.Millisecond
	// WarmCheckWait is how long its answer is waited for.
	WarmCheckWait = 400 * time.Millisecond
	// MaxSlowStartSenders (nodes) share what it bears: whole requests a second remain for each.
	MaxSlowStartSenders = 4
)

// Waiting for a key's owner, and the load of keys (internal/gateway).
const (
	// OwnerPollEvery is how often a request that waits for its key looks again.
	OwnerPollEvery = 15 * time.Millisecond
	// OwnerWaitParts (parts) of a request's latency target, one of which it may wait for its key: a refusal after more is late.
	OwnerWaitParts = 5
	// Keys (keys) of a keyed service: 0 to 65535.
	Keys = 1 << 16
	// LoadBuckets (buckets) in which a node counts the work of a keyed service: 64 keys each, fine enough to divide a hot
	// range; heartbeats have only those that had work.
	LoadBuckets = 1024
	// LoadEvery is how often a heartbeat has them.
	LoadEvery = 600 * time.Millisecond
	// LoadReports (reports) of a node are averaged: fewer follow chance, more come late.
	LoadReports = 5
	// LoadCap (factor) on the usual time is the most that one request adds to the load of its key.
	LoadCap = 2
	// UsualStep (parts) is how far the usual time, a running median, moves with each request: a twentieth.
	UsualStep = 20
)

package constants

import "time"

// Shard leases of keyed services (internal/sharding).
const (
	// LastKey (key) is the greatest key of a service.
	LastKey = 65535
	// MaxKeyLease is the longest lease: an election fits between two renewals, and a lost owner's keys are back in 6 s.
	MaxKeyLease = 4500 * time.Millisecond
	// KeyLeaseShare (percent) of the longest lease that back ends take is used, so that a shorter one still leaves a margin.
	KeyLeaseShare = 60
	// KeyRenewParts (parts) of a lease after one of which it is renewed: a failed renewal is sent again at once, several times
	// within the rest.
	KeyRenewParts = 3
	// KeyLeaseTime is how long after a majority was last heard lease calls may be sent: below the shortest election time-out of
	// 600 ms.
	KeyLeaseTime = 500 * time.Millisecond
	// KeyLeaseWait bounds a call that grants a lease: a far link and a busy machine.
	KeyLeaseWait = 600 * time.Millisecond
	// MaxLeaseCalls (calls) of each kind, grants and releases, are in flight at once: a new leader finds every lease due, and
	// its heartbeats share the processor with the calls.
	MaxLeaseCalls = 128
	// MaxOwnerLeaseCalls (calls) to one back end that grant leases are in flight at once: as many as connections are kept to it.
	MaxOwnerLeaseCalls = 4
	// KeyDoubt is how long such a call may be unanswered before the back end's other leases are not renewed until it is: twice
	// there and back over a far link, and a busy machine.
	KeyDoubt = 200 * time.Millisecond
	// KeyReleaseWait bounds a call that releases a lease, which waits for running work.
	KeyReleaseWait = 5 * time.Second
	// KeyArrivalMargin is how long after its caller gave up a call may still arrive: what is on its way when the caller resets
	// its connection.
	KeyArrivalMargin = 300 * time.Millisecond
	// KeyLeaseMargin is added to every lease for the steps of clocks and of this machine.
	KeyLeaseMargin = 100 * time.Millisecond
	// KeyClockSlow (percent) is how much slower a back end's clock may run.
	KeyClockSlow = 2
	// KeyAnswerLost is how long after its time-out a call without any result counts as unanswered.
	KeyAnswerLost = 5 * time.Second
	// KeyPredecessorMargin is how long after an election calls of the former leader may still arrive: its lease, a call's
	// time-out and its way.
	KeyPredecessorMargin = KeyLeaseTime + KeyLeaseWait + KeyArrivalMargin
	// KeyProposalPause is how long passes before a record is proposed again: several commits.
	KeyProposalPause = time.Second
	// KeyRetryPause is how long passes before a failed call is sent again.
	KeyRetryPause = 200 * time.Millisecond
	// KeyUnreachableAfter is how long an owner may be without an accepted lease or probe before it is given up: two calls.
	KeyUnreachableAfter = 1300 * time.Millisecond
	// KeyProbeWait bounds a probe: two ways over a far link and a busy machine.
	KeyProbeWait = 400 * time.Millisecond
	// KeyUnreachableKept is how long a back end that was given up gets no shards: longer than a lease, so that it does not get
	// its own back at once.
	KeyUnreachableKept = 10 * time.Second
)

// The division of keys among back ends (internal/sharding). Loads are the mean number of requests in flight.
const (
	// KeyLayoutSettle is how long the set of back ends must be unchanged before the first layout, so that one that is starting
	// gets its part.
	KeyLayoutSettle = 1500 * time.Millisecond
	// KeyRangesAtFirst (ranges) of a back end in the first layout, if there is room: busy keys are close together, so one range each
	// would give most of them to one back end.
	KeyRangesAtFirst = 3
	// KeyLeaveParts (parts) in which a draining owner's keys are released, one after the other.
	KeyLeaveParts = 4
	// KeyLeaveStep is the time between two such parts: all are on their way in 0.75 s of the 2.5 s that a draining back end
	// serves.
	KeyLeaveStep = 250 * time.Millisecond
	// KeyHomesSettle is how long other home regions must be the same before keys move for them: a row of changes moves them
	// once.
	KeyHomesSettle = 4 * time.Second
	// MaxKeyHomeMoves (ranges) of a service are on their way into home regions at once.
	MaxKeyHomeMoves = 32
	// MaxKeyPieces (ranges) are what a freed range is split into at most.
	MaxKeyPieces = 8
	// MinKeyLoad (requests in flight) is the total below which load says nothing.
	MinKeyLoad = 2.0
	// KeyLoadUneven (requests in flight) is the least difference from the mean that is worth a move.
	KeyLoadUneven = 0.8
	// KeyHotShare (factor on the mean) is the load above which a back end gives keys away.
	KeyHotShare = 1.35
	// KeyIdleShare (factor on the mean) is the load below which a back end is given keys.
	KeyIdleShare = 0.5
	// KeyUnevenFor is how long the load must be uneven before keys move, and between two rounds of moves: one report of load.
	KeyUnevenFor = 400 * time.Millisecond
	// MaxKeyMoves (moves) of a service are under way at once to even load out, at least.
	MaxKeyMoves = 2
	// KeyMovePart (fraction of the mean) is the least load that is worth a move.
	KeyMovePart = 0.05
	// KeyMoveDensity (fraction) of the hottest bucket's density that a bucket beside it must have to move with it: others stay,
	// since moved keys cost money.
	KeyMoveDensity = 0.5
	// MaxKeyRanges (ranges) of a service above which only an owner far above the mean gives keys away: each range's lease is
	// renewed again and again.
	MaxKeyRanges = 64
	// KeyFarShare (factor on the mean) is the load above which a back end gives keys away however many ranges there are.
	KeyFarShare = 2
	// KeyCoalesceParts (parts) of MaxKeyRanges, one of which is kept free while load is even, so that load may move at once.
	KeyCoalesceParts = 4
	// KeyCoalescePause is the time between two ranges that are merged, and after the last move for load: three reports of load.
	KeyCoalescePause = 1800 * time.Millisecond
	// KeyCoalesceLoad (fraction of the mean) is the most load of a range that is merged: hotter ones were cut out on purpose.
	KeyCoalesceLoad = 0.1
	// KeyCoalesceShare (factor on the mean) is the load up to which merging fills a back end, and its inverse what it leaves at
	// least: well within what moves load.
	KeyCoalesceShare = 1.15
	// KeyRangesPerOwner (ranges) a back end may have on average in a large service.
	KeyRangesPerOwner = 5
	// KeyWidthPart (fraction) is the weight of a range's share of keys, beside that of its load, when freed keys are spread.
	KeyWidthPart = 0.1
)

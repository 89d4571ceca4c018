package constants

import "time"

const (
	// LastKey (key) is the greatest key of a service.
	LastKey = 65535
	// KeyHoldMost (time) is the longest hold given: a change of leader fits between two renewals, and a lost owner's keys are back in 6 s.
	KeyHoldMost = 4500 * time.Millisecond
	// KeyHoldShare (percent) of the greatest allowed hold is used, so that a shorter allowed one still leaves room.
	KeyHoldShare = 60
	// KeyRenewParts (parts) of a hold after one of which it is renewed: a failed one is sent again at once, several times within the rest.
	KeyRenewParts = 3
	// KeyLeaseTime (time) is how long after a majority's last word calls may be sent: below the shortest election wait of 600 ms.
	KeyLeaseTime = 500 * time.Millisecond
	// KeyLeaseWait (time) bounds a lease's call: a far link and a busy machine.
	KeyLeaseWait = 600 * time.Millisecond
	// KeyDoubt (time) without an answer to a lease after which its back end's other spans are not renewed before that answer: twice there and back over a far link, and a busy machine.
	KeyDoubt = 200 * time.Millisecond
	// KeyReleaseWait (time) bounds a release's call, which waits for running work.
	KeyReleaseWait = 5 * time.Second
	// KeyArrivalMargin (time) is how long after its caller gave up a call may still arrive: what is on its way when the caller resets its connection.
	KeyArrivalMargin = 300 * time.Millisecond
	// KeyHoldMargin (time) is added to every hold for the steps of clocks and of this machine.
	KeyHoldMargin = 100 * time.Millisecond
	// KeyClockSlow (percent) is how much slower a back end's clock may run.
	KeyClockSlow = 2
	// KeyAnswerLost (time) after its wait a call without any word counts as unanswered.
	KeyAnswerLost = 5 * time.Second
	// KeyPredecessorMargin (time) after an election the calls of the leader before may still arrive: its lease, a call's wait and its way.
	KeyPredecessorMargin = KeyLeaseTime + KeyLeaseWait + KeyArrivalMargin
	// KeyProposalPause (time) passes before a record is proposed again: several commits.
	KeyProposalPause = time.Second
	// KeyRetryPause (time) passes before a failed call is sent again.
	KeyRetryPause = 200 * time.Millisecond
	// KeyLayoutSettle (time) is how long the set of back ends must have stood still before the first layout, so that one that is just starting up has its part.
	KeyLayoutSettle = 1500 * time.Millisecond
	// KeyStripes (spans) of a back end in the first layout, if there is room: busy keys sit close together, so one span each would give most of them to one.
	KeyStripes = 3
	// KeyUnreachableAfter (time) without any taken lease or probe an owner is given up: two calls.
	KeyUnreachableAfter = 1300 * time.Millisecond
	// KeyProbeWait (time) bounds a probe: two ways over the longest link and a busy machine.
	KeyProbeWait = 400 * time.Millisecond
	// KeyUnreachableKept (time) is how long a given-up back end gets no keys: longer than a hold, so that it does not get its own back at once.
	KeyUnreachableKept = 10 * time.Second
	// KeyLeaveParts (parts) are what a leaving owner's keys are released in, one after the other.
	KeyLeaveParts = 4
	// KeyLeaveStep (time) lies between two such parts: all are under way in 0.75 s of the 2.5 s that a draining back end serves.
	KeyLeaveStep = 250 * time.Millisecond
	// KeyPiecesMost (spans) are what a freed span is split into at the most.
	KeyPiecesMost = 8
	// KeyLoadLeast (requests in flight) is the sum below which heat tells nothing.
	KeyLoadLeast = 2.0
	// KeyLoadUneven (requests in flight) is the least difference from the mean worth a move.
	KeyLoadUneven = 0.8
	// KeyHotShare (parts of the mean) is the load above which a back end gives keys away.
	KeyHotShare = 1.35
	// KeyIdleShare (parts of the mean) is the load below which a back end is given keys.
	KeyIdleShare = 0.5
	// KeyUnevenFor (time) is how long the load must be uneven before keys move, and between two rounds of moves: a report of heat.
	KeyUnevenFor = 400 * time.Millisecond
	// KeyMovesMost (moves) of a service are under way at once for the sake of load, at the least.
	KeyMovesMost = 2
	// KeyMovePart (parts of the mean) is the least heat worth a move.
	KeyMovePart = 0.05
	// KeyMoveDensity (parts) of the hottest bucket's density a peer must have to go with it: lukewarm keys stay, since their share is priced.
	KeyMoveDensity = 0.5
	// KeySpansMost (spans) of a service above which only an owner far above the mean gives keys away: each span is granted again and again.
	KeySpansMost = 64
	// KeyFarShare (parts of the mean) is the load above which a back end gives keys away however many spans there are.
	KeyFarShare = 2
	// KeyGatherParts (parts) of the greatest number of spans one of which is kept free in the calm, so that load may move at once when it must.
	KeyGatherParts = 4
	// KeyGatherPause (time) lies between two spans that are gathered, and after the last move for load: three reports of heat.
	KeyGatherPause = 1800 * time.Millisecond
	// KeyGatherWarmth (parts of the mean) is the most heat of a span that is gathered: what is hotter was cut out on purpose.
	KeyGatherWarmth = 0.1
	// KeyGatherShare (parts of the mean) is the load that gathering gives a back end at the most, and its inverse what it leaves at the least: far inside what moves load.
	KeyGatherShare = 1.15
	// KeySpansParts (spans) a back end may have on the mean in a large service.
	KeySpansParts = 5
	// KeyWidthPart (parts) is the weight of a range's share of keys beside that of its heat when freed keys are spread.
	KeyWidthPart = 0.1
)

package constants

import "time"

// Back ends that one node takes out for a moment, since they fail its requests (internal/gateway).
const (
	// FailuresToRest (failures) in a row after which a back end gets nothing for a while.
	FailuresToRest = 2
	// MinRest is the first such time, doubled with each further failure.
	MinRest = 300 * time.Millisecond
	// MaxRest is the longest one: one attempt then shows whether the back end is back.
	MaxRest = 2 * time.Second
	// OutlierHalfLife is the time after which an attempt's result counts half: a node may send each back end one request in two
	// seconds.
	OutlierHalfLife = 4 * time.Second
	// OutlierShare (fraction) of attempts that fail makes a back end an outlier while the others of its service are well: one
	// failure among the few that a node sees of one.
	OutlierShare = 0.2
	// OutlierOver (factor) on the others' share of failures is added, so that a fault of all ejects none.
	OutlierOver = 2.0
	// OutlierRefusals (attempts, faded) that a back end must have refused before refusals count: two within some seconds, since
	// full ones refuse too.
	OutlierRefusals = 1.5
	// OutlierOut is the time of a first ejection, doubled with each further one: a crashed back end is back in some seconds.
	OutlierOut = 800 * time.Millisecond
	// MaxOutlierOut is the longest time of an ejection.
	MaxOutlierOut = 4 * time.Second
	// OutlierTrials (requests) in a row must succeed, one at a time, before an ejected back end counts as healthy; a failure
	// ejects it again, for twice as long.
	OutlierTrials = 1
	// OutlierForgiven is how long a back end must have been healthy before its former ejections no longer count: several
	// periods of one that goes down and up.
	OutlierForgiven = 15 * time.Second
	// OutlierOverdue (factor) on the usual time of its service, after which an attempt makes its back end an outlier: above
	// nearly all that are only long.
	OutlierOverdue = 4
	// MinOutlierOverdue is the least time that counts as overdue: hiccups of links and machines are shorter.
	MinOutlierOverdue = 400 * time.Millisecond
	// OutlierUsualWeight (fraction) of the newest response's time in the usual one.
	OutlierUsualWeight = 0.05
	// OutlierFloor (percent) of a service's back ends may be ejected at a node, and always one; of more, those whose time ends
	// first are used.
	OutlierFloor = 30
	// OutlierPenalty (factor) on the cost of a back end that is used although it is ejected.
	OutlierPenalty = 3.0
)

// Back ends that the whole fleet ejects, by the reports of several nodes (internal/discovery).
const (
	// EjectionVotes (nodes) whose requests a back end failed within EjectionVoteWindow eject it for all: one node loses a
	// request now and then, three seldom at the same back end.
	EjectionVotes = 3
	// EjectionVoteWindow is how long a node's report counts: two heartbeats through a relay.
	EjectionVoteWindow = 2 * time.Second
	// EjectionTime is the time of a first ejection, doubled with each further one: several heartbeats, so that a back end that
	// is healthy again is soon back.
	EjectionTime = 2500 * time.Millisecond
	// EjectionTimeOwner is the same for an owner of shards: its keys went elsewhere, and each return moves them twice more if
	// it still fails.
	EjectionTimeOwner = 10 * time.Second
	// MaxEjectionTime is the longest time of an ejection.
	MaxEjectionTime = 20 * time.Second
	// EjectionTrial is the time after which an ejected back end that nobody tried is taken back.
	EjectionTrial = 3 * time.Second
	// OutlierQuorumGoods (requests) must succeed on trial.
	OutlierQuorumGoods = 2
	// TrialSenders (nodes) may try an ejected back end.
	TrialSenders = 2
	// OutlierQuorumForgiven is how long a back end must have been healthy before its former ejections no longer count: several
	// periods of one that goes down and up.
	OutlierQuorumForgiven = 30 * time.Second
	// OutlierQuorumFloor (percent) of a service's back ends may be ejected: the rest then bears a third more. If more are
	// reported, the fault may be elsewhere and twice the votes are needed.
	OutlierQuorumFloor = 25
)

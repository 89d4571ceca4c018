// Package constants holds every fixed number of topazshed with its unit and reason.
package constants

import "time"

const (
	// Tick (time) is how often the control machine looks at the clock: a fifth of a raft heartbeat.
	Tick = 20 * time.Millisecond
	// RaftHeartbeat (time) keeps a leader known; three fit into the shortest election wait even at 35 ms a link.
	RaftHeartbeat = 100 * time.Millisecond
	// RaftElectionLeast (time) is the shortest silence before a voter asks for votes: above four heartbeats and a slow sync.
	RaftElectionLeast = 600 * time.Millisecond
	// RaftElectionSpread (time) is drawn on top of the least wait so that two voters seldom ask at once.
	RaftElectionSpread = 600 * time.Millisecond
	// RaftBatchItems (items) bounds one append message so that it fits a frame.
	RaftBatchItems = 256
	// RaftBatchBytes (bytes) bounds the payload of one append message: a quarter of a frame.
	RaftBatchBytes = 2 << 20
	// RaftKeepItems (items) stay in memory behind the snapshot so that a slow follower needs no snapshot.
	RaftKeepItems = 2048
	// RaftKeepBytes (bytes) bounds them: with whole configurations of 100 KB the items alone would be 200 MB.
	RaftKeepBytes = 4 << 20
	// RaftTransferBytes (bytes) of log are kept behind a snapshot that is being sent, so that its receiver can go on from it; above that it gets a newer one.
	RaftTransferBytes = 16 << 20
	// SnapshotPartBytes (bytes) of a snapshot are sent at once: heartbeats and appends pass between two parts, in 0.25 s on the slowest links (2 Mbit/s).
	SnapshotPartBytes = 64 << 10
	// SnapshotWindow (parts) may be unconfirmed: over the longest links (70 ms there and back) that is 3.6 MB a second.
	SnapshotWindow = 4
	// SnapshotBytesMost (bytes) is the largest snapshot that is received: above any that the size to design for has (55 MB packed), below a size that is noise.
	SnapshotBytesMost = 1 << 30
	// RaftSnapshotEvery (items) is the log length after which a new snapshot is written.
	RaftSnapshotEvery = 4096
	// RaftLogBytes (bytes) of log in memory above which a new snapshot is written, whatever their number: an eighth of the smallest machines' memory.
	RaftLogBytes = 24 << 20
	// LearnerGap (items) is how near a learner must be to the commit before it may vote.
	LearnerGap = 16
	// MemberLostAfter (time) is the silence after which a voter is replaced if a learner stands by.
	MemberLostAfter = 6 * time.Second
	// ProposalWait (time) is how long an operator's request may wait for its commit before it is doubtful.
	ProposalWait = 5 * time.Second

	// HeartbeatEvery (time) is a node's report to the leader: ten in a lease; each tells the snapshot it has.
	HeartbeatEvery = 400 * time.Millisecond
	// NodeLostAfter (time) is the silence after which the leader takes a node as lost: five heartbeats and a far link.
	NodeLostAfter = 2400 * time.Millisecond
	// LeaseDuration (time) is how long a node may start unsafe attempts after it sent the heartbeat that was granted: ten heartbeats, and lease, margin and reservation window together stay under 15 s.
	LeaseDuration = 4 * time.Second
	// LeaseClockMargin (time) covers a clock-rate error of 5 per cent on a lease, twice.
	LeaseClockMargin = 500 * time.Millisecond
	// IsolatedAfter (time) is the age of the last word from core or region at which a proxy refuses all.
	IsolatedAfter = 4 * time.Second
	// ConfirmWait (time) is how long an accepted operator's request waits for every proxy's word before it tells who has not given it.
	ConfirmWait = time.Second
	// BehindMost (time) is how long a disk machine serves on although it was told of changes that it can't apply yet: with the way there it stays below 2.5 s.
	BehindMost = 1500 * time.Millisecond
	// FailoverPlanEvery (time) is how often the leader's watcher derives the failover assignment.
	FailoverPlanEvery = 200 * time.Millisecond
	// FailoverSettle (time) keeps a fresh leader from judging nodes that could not have reported yet.
	FailoverSettle = 2 * time.Second
	// GroupIncrement (numbers) is the failover increment of routed fleets: 46 regions with 182 zones need 46 + 182 + 46 residues, some zones lost at once many more.
	GroupIncrement = 10000
	// Increment (numbers) is the failover increment: the source's example, room for 50 groups and 50 regions.
	Increment = 100

	// ShuffleEvery (time) is how often a node shuffles its partial view with one peer.
	ShuffleEvery = time.Second
	// ActiveView (nodes) is the size of the small view whose members are probed.
	ActiveView = 5
	// PassiveView (nodes) is the size of the larger view that refills the small one.
	PassiveView = 24
	// ShuffleSample (nodes) travel in one shuffle.
	ShuffleSample = 8
	// ProbeEvery (time) is the probing period of one peer.
	ProbeEvery = 500 * time.Millisecond
	// ProbeWait (time) is the silence after which a probed peer is suspected: three probes.
	ProbeWait = 1600 * time.Millisecond
	// SuspectWitnesses (nodes) must agree before the leader treats a suspicion as a loss.
	SuspectWitnesses = 2
	// WhoEvery (time) is how often a node without a system asks its seeds.
	WhoEvery = 250 * time.Millisecond
	// FoundSettle (time) is how long all three seeds must have been unfounded before one founds.
	FoundSettle = 700 * time.Millisecond

	// DeltaEvery (time) is the longest pause between two deltas to a subscriber, also when nothing changed.
	DeltaEvery = 250 * time.Millisecond
	// SubscribeEvery (time) renews a subscription; the server forgets one after four missed renewals.
	SubscribeEvery = 500 * time.Millisecond
	// SubscriptionTTL (time) is when the server forgets a silent subscriber.
	SubscriptionTTL = 2 * time.Second
	// SourceTimeout (time) is when a subscriber turns to another source of deltas.
	SourceTimeout = 900 * time.Millisecond
	// SourceTryPause (time) more passes before each further machine is tried as a source, so that a fleet without a majority does not storm the few that have the log.
	SourceTryPause = 150 * time.Millisecond
	// SourceTryPauseMost (time) is the longest such pause.
	SourceTryPauseMost = 2 * SourceTimeout
	// HomeSourceEvery (time) is how often a machine whose source is in another region asks one of its own.
	HomeSourceEvery = 4 * time.Second
	// DeltaKeep (rows) changes stay in memory for deltas; a subscriber further behind gets whole ranges.
	DeltaKeep = 8192
	// DigestEvery (time) is how often a subscriber compares its ranges with its source.
	DigestEvery = 2 * time.Second

	// ListReadEvery (time) is the pause between sweeps of the platform's list.
	ListReadEvery = 500 * time.Millisecond
	// EndpointMissingReads (sweeps) is how many whole sweeps must lack a back end before it is taken out.
	EndpointMissingReads = 2
	// EndpointFloor (percent) of a service may vanish in one sweep; more needs the probes' agreement too.
	EndpointFloor = 50
	// ListCallTimeout (time) bounds one page's call.
	ListCallTimeout = 800 * time.Millisecond
	// HealthCheckEvery (time) is the probing period of a back end by one proxy.
	HealthCheckEvery = 700 * time.Millisecond
	// HealthCheckTimeout (time) bounds one probe.
	HealthCheckTimeout = 600 * time.Millisecond
	// HealthCheckFailures (probes) in a row make a back end failing at one proxy.
	HealthCheckFailures = 2

	// ReservationWindow (time) is the longest wait of an unsafe request, and what must be waited out when most replicas of an id are lost: short, since service must be back in 15 s.
	ReservationWindow = 6 * time.Second
	// ReservationKept (time) is how long a replica remembers a reservation: a caller's person who tries again within two minutes is still held off; at 300 unsafe requests a second and three replicas of five it is 27000 reservations a replica.
	ReservationKept = 150 * time.Second
	// ReservationKeptLeast (time) is how long a reservation is remembered even by a replica that has no more room.
	ReservationKeptLeast = 2 * ReservationWindow
	// ReservationsMost (reservations) a replica holds: 32 MiB; above it the oldest beyond ReservationKeptLeast are forgotten first.
	ReservationsMost = 200000
	// ReservationPage (reservations) are copied to another replica at once, and the rest of one shard: a quarter of a frame at the most.
	ReservationPage = 8192
	// KeptBytes (bytes) of sealed responses of unsafe requests a proxy keeps for repeats of their ids; the oldest go first.
	KeptBytes = 16 << 20
	// KeptResponse (bytes) is the largest response that is kept.
	KeptResponse = 64 << 10
	// AgeMost (time) is the oldest first sending that a caller may tell.
	AgeMost = 24 * time.Hour
	// ReservationReplicas (replicas) hold one reservation.
	ReservationReplicas = 3
	// ReservationWait (time) bounds one reservation round: replicas are 1 ms away, the rest is for a busy machine.
	ReservationWait = 400 * time.Millisecond
	// ReservationCopyEvery (time) is how often a new replica asks the former ones.
	ReservationCopyEvery = 200 * time.Millisecond

	// MatchTTL (time) is how long a caller may use a directory's response.
	MatchTTL = 2 * time.Second
	// MatchProxies (proxies) are handed out at most.
	MatchProxies = 3
	// WaitMost (time) is the longest wait a caller may name.
	WaitMost = 15 * time.Second
	// ParkMost (time) is how long a request waits for a failover assignment that is being moved.
	ParkMost = 1500 * time.Millisecond
	// ParkShort (time) is how long a request waits for a lease or for replicas; another proxy may have them, so the caller is told soon.
	ParkShort = 500 * time.Millisecond
	// AnswerMargin (time) before the end of a caller's wait its final answer is given, so that it arrives: two far links and a busy machine.
	AnswerMargin = 150 * time.Millisecond
	// AnswerShare (parts) of a wait is the most that the margin may take.
	AnswerShare = 5
	// ParkStep (time) is how often a parked request is asked about again.
	ParkStep = 20 * time.Millisecond
	// RetryAfter (time) is what a refused caller is told to wait: one failover is mostly over by then.
	RetryAfter = time.Second
	// BodyLimit (bytes) is the default for a request's body.
	BodyLimit = 1 << 20
	// ResponseLimit (bytes) is the default for a back end's response.
	ResponseLimit = 4 << 20
	// BodyLimitMost (bytes) is the most an entry may ask for.
	BodyLimitMost = 16 << 20
	// RepeatShare (percent) of first attempts may be repeated: a fifth.
	RepeatShare = 20
	// RepeatAllowance (attempts) a service and window, shared by all proxies.
	RepeatAllowance = 10
	// RepeatWindow (time) is the sliding window of the repeat budget.
	RepeatWindow = 10 * time.Second
	// RepeatMargin (time) lengthens the window of repeats, and is how long first attempts after a repeat may still count before it, since an attempt arrives later than it was counted.
	RepeatMargin = 250 * time.Millisecond
	// ColdRamp (time) is how long a new back end is held below its full share: from as many attempts a second as it works on at once (each may take it a second) to twice that.
	ColdRamp = 10 * time.Second
	// ColdMargin (time) lengthens the second in which a cold back end's attempts are counted, since an attempt arrives later than it was counted.
	ColdMargin = 100 * time.Millisecond
	// Bearable (attempts) a warm back end works on at once, the entry's default.
	ColdRate = 6
	// KeyShare (percent) of a proxy's attempts in flight to a service one key may hold.
	KeyShare = 40
	// ConnectWait (time) bounds a connection with its identity exchange.
	ConnectWait = 700 * time.Millisecond
	// SafeAttemptMost (time) bounds one repeat-safe attempt so that another back end can still be tried.
	SafeAttemptMost = 2 * time.Second
	// IdleTTL (time) is how long a proved connection may lie idle.
	IdleTTL = 4 * time.Second
	// IdlePerBackend (connections) are kept at most.
	IdlePerBackend = 8
	// AttemptsMost (tries) bounds the attempts of one repeat-safe request.
	AttemptsMost = 4
	// KeyedAfterglow (time) is how long a keyed attempt without a whole answer counts as running: its back end can't be asked, and was told of no longer wait.
	KeyedAfterglow = ReservationWindow
	// KeyMoves (slots) of a service are moved at once to even out its back ends; a newly warm one so gets its share little by little.
	KeyMoves = 4
	// KeySlots (slots) divide the keys of a keyed service.
	KeySlots = 64

	// FrameLimit (bytes) is the largest frame between processes.
	FrameLimit = 16 << 20
	// FrameQueue (frames) waits for one peer at most; older requests are worth nothing.
	FrameQueue = 1024
	// DialWait (time) bounds a connection to a peer.
	DialWait = 800 * time.Millisecond
	// FrameIdleTimeout (time) without word that sent bytes arrived after which a connection to a peer is given up and dialled anew: after a healed cut its own next try may be seconds away.
	FrameIdleTimeout = time.Second
	// DialPause (time) passes after a connection to a peer failed before the next is tried: a process that starts is found soon, one that is gone costs little.
	DialPause = 100 * time.Millisecond
	// DisjointPause (time) passes before a peer that has no version in common is called again: only an operator changes that.
	DisjointPause = 5 * time.Second
	// AnswerLimit (bytes) is the largest frame that answers a connection's first one: it holds a span of versions and no more.
	AnswerLimit = 64
	// FleetRiseAfter (time) is how long all must have been able to read a version before the fleet uses it: as long as an operator needs to see the last node's figures and go back.
	FleetRiseAfter = 10 * time.Minute
	// FrameStall (time) is when a write to a peer that takes nothing is given up.
	FrameStall = 2 * time.Second
	// DocumentLimit (bytes) of an operator's configuration: an eighth of a frame, so its rows fit one record.
	DocumentLimit = 1 << 20
	// EntriesLimit (entries) in one configuration.
	EntriesLimit = 4096

	// JournalFiles (files) in the ring.
	JournalFiles = 4
	// JournalFileBytes (bytes) of one preallocated file: a put of the largest document fits four times.
	JournalFileBytes = 8 << 20
	// JournalDiskParts (parts) of a bounded disk: one for each ring file, two for each snapshot area; three quarters stay free.
	JournalDiskParts = 32
	// PackFrom (bytes) is the payload above which a journal's record is packed: whole configurations shrink tenfold, small records are not worth the time.
	PackFrom = 16 << 10
	// JournalMargin (bytes) of a ring file are left beside its largest record: its head and the state that goes along.
	JournalMargin = 8 << 10
	// SnapshotFileBytes (bytes) of one of the two preallocated snapshot areas.
	SnapshotFileBytes = 16 << 20
	// FullDiskPause (time) between two tries to write to a full disk.
	FullDiskPause = 50 * time.Millisecond
	// FullDiskMost (time) that a full disk is waited out before its machine gives up; the others' disks carry the log meanwhile.
	FullDiskMost = 20 * time.Second
	// SlowSync (time) of one sync at which a leader hands over.
	SlowSync = 800 * time.Millisecond

	// StopLinger (time) is how long a stopping proxy still accepts: a match's life and one spread.
	StopLinger = MatchTTL + 1200*time.Millisecond
	// StopMost (time) bounds a planned stop: the longest wait a caller may name and the linger.
	StopMost = StopLinger + WaitMost
	// StaleList (time) is the list's age at which doctor complains.
	StaleList = 10 * time.Second

	// Keys (keys) of a keyed service of a routed fleet: 0 to 65535.
	Keys = 1 << 16
	// LoadBuckets (buckets) in which a node notes the work of a keyed service: 64 keys each, fine enough to divide a hot range; heartbeats carry only those that had work.
	LoadBuckets = 1024
	// LoadEvery (time) is how often a heartbeat carries them.
	LoadEvery = 600 * time.Millisecond
	// LoadReports (reports) of a node are averaged: fewer follow chance, more come late.
	LoadReports = 5
	// LoadCap (times) the usual time is the most that one request adds to the heat of its key.
	LoadCap = 2
	// UsualStep (parts) is how far the usual time, a running median, moves at each request: a twentieth.
	UsualStep = 20
	// ParkPoll (time) is how often a request that waits for its key looks again.
	ParkPoll = 15 * time.Millisecond
	// ParkParts (parts) of a request's aim, one of which it may wait for its key: a refusal after more is late.
	ParkParts = 5
	// ColdSpare (requests a second) of what the fleet may send to a cold back end are left: those counted in one second that arrive in the next.
	ColdSpare = 1
	// ColdSecond (time) is the second in which requests to a cold back end are counted, longer by what a request may be under way.
	ColdSecond = 1100 * time.Millisecond
	// DelayWeight (parts) of a back end's newest delay in its running mean: about the last eight count.
	DelayWeight = 0.12
	// UnknownDelay (parts of the aim) is taken for a back end that has served nothing yet.
	UnknownDelay = 0.25
	// ZonePenalty (parts of the aim) is what a back end in another zone must be quicker by: bytes between zones are paid for.
	ZonePenalty = 0.2
	// RegionPenalty (parts of the aim) is the same for another region: eight times as dear.
	RegionPenalty = 1.2
	// ColdPenalty (times) makes a cold back end dearer: it works at half its pace.
	ColdPenalty = 2.0
	// StrainBelow (parts) is how much longer a back end takes at full use than idle, before it queues.
	StrainBelow = 0.3
	// StrainFrom (parts of its slots) is the use from which requests begin to queue: the estimate is rough.
	StrainFrom = 0.8
	// StrainAbove (parts) is how much longer it takes for each part of its slots in use above that.
	StrainAbove = 2.0
	// CostJitter (parts) is drawn on top of a cost, so that nodes do not all choose the same.
	CostJitter = 0.1
	// FailuresToRest (failures) in a row after which a back end rests.
	FailuresToRest = 2
	// RestLeast (time) of a resting back end, doubled at each failure more.
	RestLeast = 300 * time.Millisecond
	// RestMost (time) of a resting back end: one attempt then shows whether it is back.
	RestMost = 2 * time.Second
	// OutlierHalfLife (time) after which what an attempt told of a back end counts half: a node may send one request in two seconds to each.
	OutlierHalfLife = 4 * time.Second
	// OutlierShare (parts) of attempts that fail from which a back end is an outlier while the others of its service are well: one failure among the few that a node sees of one.
	OutlierShare = 0.2
	// OutlierOver (times) the share of the others that fail is added, so that a trouble of all ejects none.
	OutlierOver = 2.0
	// OutlierRefusals (attempts) that a back end must have refused before that counts, faded: two within some seconds, since full ones refuse too.
	OutlierRefusals = 1.5
	// OutlierOut (time) of a first ejection, doubled at each further one: a crashed back end is back in some seconds.
	OutlierOut = 800 * time.Millisecond
	// OutlierOutMost (time) of an ejection.
	OutlierOutMost = 4 * time.Second
	// OutlierTrials (requests) in a row that must go well, one at a time, before an ejected back end counts as sound: its next failure ejects it again, for twice as long.
	OutlierTrials = 1
	// OutlierForgiven (time) that a back end must have been sound before its former ejections count no more: several periods of one that goes down and up.
	OutlierForgiven = 15 * time.Second
	// OutlierOverdue (times) the usual time of its service an attempt may take before its back end counts as out: above nearly all that are only long.
	OutlierOverdue = 4
	// OutlierOverdueLeast (time) is the least that counts as overdue: a hiccup of a link or machine is shorter.
	OutlierOverdueLeast = 400 * time.Millisecond
	// OutlierUsualWeight (parts) of the newest answer's time in the usual one.
	OutlierUsualWeight = 0.05
	// OutlierFloor (percent) of the open back ends of a service that may be out at a node, and always one; of more, those whose time is over first are used.
	OutlierFloor = 30
	// OutlierPenalty (times) makes a back end dearer that is used although it is out.
	OutlierPenalty = 3.0
	// EjectionVotes (nodes) whose requests a back end failed within the window make it failing for all: one loses a request now and then, three seldom the same one's.
	EjectionVotes = 3
	// EjectionVoteWindow (time) for which a node's word counts: two heartbeats through a relay.
	EjectionVoteWindow = 2 * time.Second
	// EjectionTime (time) of a first verdict, doubled at each further one: several heartbeats, so that one that is well again is soon back.
	EjectionTime = 2500 * time.Millisecond
	// EjectionTimeOwner (time) of a first verdict on an owner of keys: its keys went elsewhere, and each return moves them twice more if it is still ill.
	EjectionTimeOwner = 10 * time.Second
	// MaxEjectionTime (time) of a verdict.
	MaxEjectionTime = 20 * time.Second
	// EjectionTrial (time) after which a failing back end that nobody tried is cleared.
	EjectionTrial = 3 * time.Second
	// OutlierQuorumGoods (requests) that must go well on trial.
	OutlierQuorumGoods = 2
	// TrialSenders (nodes) may try a failing back end.
	TrialSenders = 2
	// OutlierQuorumForgiven (time) that a back end must have been clear before its former verdicts count no more: several periods of one that goes down and up.
	OutlierQuorumForgiven = 30 * time.Second
	// OutlierQuorumFloor (percent) of a service's back ends that may be failing by verdict: the rest bear a third more then. If more are doubted, the trouble may be elsewhere and twice the votes are needed.
	OutlierQuorumFloor = 25
	// SearchesMost (back ends) are sought for one request, connected or not.
	SearchesMost = 5
	// BackendConnect (time) bounds a connection to a back end: two ways over the longest link and a busy machine.
	BackendConnect = 400 * time.Millisecond
	// BackendIdleTimeout (time) without word that sent bytes arrived after which a connection is given up: eight ways over the longest link.
	BackendIdleTimeout = 700 * time.Millisecond
	// KeepAliveIdle (time) of silence before a connection is probed.
	KeepAliveIdle = time.Second
	// KeepAliveEvery (time) between two probes.
	KeepAliveEvery = time.Second
	// KeepAliveCount (probes) without answer end a connection.
	KeepAliveCount = 2
	// IdleDefault (time) that a connection may lie idle if its back end says nothing.
	IdleDefault = 8 * time.Second
	// IdleMargin (time) before a back end closes an idle connection by which it is no longer used.
	IdleMargin = 1500 * time.Millisecond
	// FreshLeast (time) that a connection may lie idle while a service's back ends forget idle ones: below any time-out that is worth having, above a few requests in a row.
	FreshLeast = 100 * time.Millisecond
	// FreshKept (time) is how long a first lesson of a forgotten connection is kept; each further one is kept twice as long.
	FreshKept = 8 * time.Second
	// FreshKeptMost (time) is the longest that one is kept: new connections are paid for.
	FreshKeptMost = time.Minute
	// FreshStep (time) is the length of a step in which a lesson is given up: connections may then lie idle twice as long.
	FreshStep = 2 * time.Second
	// FreshReset (time) within which the reset of a forgotten connection comes back: two ways over the longest link and a busy machine.
	FreshReset = 250 * time.Millisecond
	// IdleMost (connections) to one back end are kept idle.
	IdleMost = 16
	// KeepAnswer (bytes) of an answer are read before the first byte goes to the caller, so that a broken one can be sought elsewhere.
	KeepAnswer = 64 << 10
	// KeepBody (bytes) of a request are kept so that it can be sent again; longer ones stream and are sent once.
	KeepBody = 64 << 10
	// SurplusMost (answers) of other requests are passed over on one connection.
	SurplusMost = 2
	// PressureFresh (time) after which the delays that were noted say nothing of now.
	PressureFresh = 3 * time.Second
	// PressureLeast (attempts) that must have ended before their delays are believed.
	PressureLeast = 3
	// PressureWeight (parts) of the newest delay of a back end: about the last three count, since a node asks each but seldom.
	PressureWeight = 0.3
	// PressureServiceWeight (parts) is the same for a whole service: about the last twenty.
	PressureServiceWeight = 0.05
	// ShedFrom (parts of the aim) that a request of the lowest rank must expect before some are shed.
	ShedFrom = 0.7
	// ShedSlope (share for a part of the aim) bounds how steeply more are shed: delays are known late, and a much steeper answer swings.
	ShedSlope = 1.5
	// ShedMost (share) is shed at the most, so that the delays stay known.
	ShedMost = 0.9
	// ShedRank (parts of the aim) by which each higher rank is shed later.
	ShedRank = 0.15
	// ShedRanks (ranks) are told apart: a number from here on is the lowest rank.
	ShedRanks = 3
	// BackPart (parts of a route's time-out) below which a caller that has less left is taken to have come back.
	BackPart = 0.95
	// RefuseHeeded (parts) of the time that a caller has left are the longest Retry-After that callers heed.
	RefuseHeeded = 0.33
	// RefuseUnknown (time) is what a caller that says nothing is taken to have left.
	RefuseUnknown = 2 * time.Second
	// RefuseLeast (time) is the shortest mean wait.
	RefuseLeast = 2 * time.Millisecond
	// RefuseAfter (time) is the mean wait that a refused caller is told when back ends are busy: about one request's work.
	RefuseAfter = 250 * time.Millisecond
	// RefuseAfterMove (time) is the same while keys move or back ends are cold.
	RefuseAfterMove = 400 * time.Millisecond
	// RouteTimeoutMost (time) is the longest time-out of a route.
	RouteTimeoutMost = 10 * time.Minute
	// RouteTargetOver (time) is how much a route's target may be above its time-out.
	RouteTargetOver = time.Minute
	// AcceptedConfigs (configurations) are remembered by version and digest, so that one sent again is known: four hours of 21,000 a day.
	AcceptedConfigs = 4096
	// RecentConfigs (configurations) of them every node is told of, for programs that know no others: as many orders as may be under way at once.
	RecentConfigs = 8
	// ColdAfter (time) is added to what the list says that a back end stays cold: its clock, the way and a row's spread.
	ColdAfter = 200 * time.Millisecond
	// SettleMargin (time) beyond the list's lag after which it tells of a zone that was given back.
	SettleMargin = 300 * time.Millisecond
	// SlowStartSendersMost (nodes) share what a cold back end bears: whole requests a second remain for each.
	SlowStartSendersMost = 4
	// OperatorPatience (time) is how long a node seeks a leader for an operator's request before it says that there is none: below the second after which operators turn elsewhere.
	OperatorPatience = 900 * time.Millisecond
	// PassOnWait (time) without an answer from the leader after which a request is passed on again: a commit over the longest links and a slow disk.
	PassOnWait = 400 * time.Millisecond
	// PassOnPause (time) after a node said that it does not lead.
	PassOnPause = 100 * time.Millisecond
	// FarPeers (nodes) of other regions are probed at most where the own region has too few: bytes between regions are dear.
	FarPeers = 1
	// RoutedRaftHeartbeat (time) keeps a routed fleet's leader known: four fit into the shortest election wait.
	RoutedRaftHeartbeat = 250 * time.Millisecond
	// RoutedElectionLeast (time) is the shortest silence before a voter of a routed fleet asks for votes: its keys stay held for seconds, so it may wait.
	RoutedElectionLeast = time.Second
	// RoutedElectionSpread (time) is drawn on top.
	RoutedElectionSpread = 600 * time.Millisecond
	// RoutedHeartbeat (time) is how often a routed fleet's nodes report to their relay, and relays to the leader: three in the silence after which a node is lost.
	RoutedHeartbeat = 700 * time.Millisecond
	// RoutedLostAfter (time) is the silence after which the leader of a routed fleet takes a node as lost: two heartbeats, each through a relay.
	RoutedLostAfter = 2100 * time.Millisecond
	// RoutedProbe (time) is the probing period of one peer in a routed fleet.
	RoutedProbe = 700 * time.Millisecond
	// RoutedProbeWait (time) is the silence after which it is suspected.
	RoutedProbeWait = 1500 * time.Millisecond
	// RoutedShuffle (time) is how often views are shuffled in a routed fleet: its table has all nodes, the views only serve probes and a lost source.
	RoutedShuffle = 8 * time.Second
	// RoutedTick (time) is how often a routed fleet's control machine looks at the clock: a fifth of its heartbeat; each look is a wake-up.
	RoutedTick = 50 * time.Millisecond
	// RoutedDelta (time) is the longest pause between two deltas to a subscriber of a routed fleet: two fit into SourceTimeout.
	RoutedDelta = 400 * time.Millisecond
	// RoutedSubscribe (time) renews a subscription of a routed fleet: two fit into SubscriptionTTL.
	RoutedSubscribe = 900 * time.Millisecond
	// RoutedDigest (time) is how often a subscriber of a routed fleet compares its ranges: they differ only after a fault.
	RoutedDigest = 6 * time.Second
	// FullHeartbeatEvery (heartbeats) one of which tells a node's addresses; the others only its state.
	FullHeartbeatEvery = 12
	// FarSourceAfter (time) without a source in the own region after which a reader turns to another region's.
	FarSourceAfter = 2500 * time.Millisecond
	// ListEvery (time) is the pause between reads of a routed fleet's list: draining ones are known well within 2.5 s.
	ListEvery = 400 * time.Millisecond
	// ListPageEvery (time) is what each page of a read adds to the pause after it: calls are paid for.
	ListPageEvery = 150 * time.Millisecond
	// ListEveryMost (time) is the longest such pause: with the read, a commit and its spread, draining ones are still known within 2.5 s.
	ListEveryMost = 1100 * time.Millisecond
	// ListRateShare (parts) of the calls that the list allows are used at most; operators and a leader before may need the others.
	ListRateShare = 0.7
	// ListRest (time) of the bound on draining back ends is left for the read, its commit, the spread and a connection that is being made.
	ListRest = 1400 * time.Millisecond
	// ListDrainParts (parts) of that bound, one of which is the longest pause between two reads of a short list.
	ListDrainParts = 6
	// ListTellAfter (time) of a read after which its pages are taken as they come: a paced read of many pages takes seconds, and those that leave must be known sooner.
	ListTellAfter = 600 * time.Millisecond
	// ListSecond (time) is the second in which calls are counted, longer by what a call may be under way.
	ListSecond = 1100 * time.Millisecond
	// ListRefused (time) after a refused call before the page is asked for again: others, such as a leader before, use the rate too.
	ListRefused = 300 * time.Millisecond
	// ListRefusals (refusals) of one page after which a read is given up.
	ListRefusals = 3
	// QuietElections (waits) fit into the span after which calm machines must keep every bound again: the shortest wait, its spread, and what the new leader does first.
	QuietElections = 3
	// SourceFound (time) of that span is left for the first answer of a far source: one subscription and a far way.
	SourceFound = 600 * time.Millisecond
	// ListCall (time) bounds one page's call.
	ListCall = 700 * time.Millisecond
	// SettingsEvery (time) is how often a routed node looks whether its settings file has changed: nobody need tell it.
	SettingsEvery = 2 * time.Second
	// RequestBytes (bytes) that a request in flight may take: what is kept of its body and its answer, buffers and stacks, and their garbage.
	RequestBytes = 256 << 10
	// CapacityParts (parts) of the process's memory, one of which requests in flight may take.
	CapacityParts = 2
	// CapacityLeast (requests) a node may have in flight however little memory it has.
	CapacityLeast = 64
	// CapacityMost (requests) a node may have in flight however much memory it has: each takes two descriptors.
	CapacityMost = 4096
	// CapacityPriorityParts (parts) of the room, one of which each lower rank leaves to the higher ones.
	CapacityPriorityParts = 8
	// CallerHead (time) that a request's head may take if the configuration says nothing.
	CallerHead = 5 * time.Second
	// CallerIdle (time) that a caller's connection may stay idle if the configuration says nothing.
	CallerIdle = time.Minute
	// CallerGrace (time) above the configuration's limits: two ways and a packet sent again, so that a caller at its limit is not cut off.
	CallerGrace = 500 * time.Millisecond
	// CallerHeadMark (time) stands in a server's settings for the limit of a head in force.
	CallerHeadMark = 1000 * time.Hour
	// CallerIdleMark (time) stands there for the limit of an idle connection in force.
	CallerIdleMark = 3 * CallerHeadMark
	// TendEvery (time) is how often a gateway drops idle connections and unknown back ends.
	TendEvery = time.Second
	// RefusedApart (time) is how far apart two refused connections prove that a back end's process has ended.
	RefusedApart = 150 * time.Millisecond
	// DrainShare (parts) of a stop's grace in which requests in flight may still end.
	DrainShare = 0.9
	// ResolveTTL (time) is how long a caller of a routed fleet may use a directory's answer: a lost node is out of them all soon.
	ResolveTTL = 2 * time.Second
	// ResolveLeast (nodes) of the caller's own zone are enough for an answer; with fewer, the region's others are added.
	ResolveLeast = 2
	// ResolveMost (nodes) are handed out at most.
	ResolveMost = 64
	// ListPagesMost (pages) of one read of the list: 78000 back ends in pages of 50, and more than a list that never ends.
	ListPagesMost = 2000
	// RoutesDocumentLimit (bytes) of a routed fleet's configuration: half a frame.
	RoutesDocumentLimit = 8 << 20
	// GarbagePercent (percent) of the live heap may be garbage before it is collected: memory at its peak is dearer than the little processor time.
	GarbagePercent = 40
	// MemoryShare (parts) of a machine's memory the runtime may take before it collects harder.
	MemoryShare = 0.6
	// ChangesKept (changes) of failover assignment are remembered for operators: an afternoon of troubles in a few KiB.
	ChangesKept = 32
	// EvidenceMost (zones) are named in the evidence of one change; of more only the count is told, so that a record stays small.
	EvidenceMost = 4
)

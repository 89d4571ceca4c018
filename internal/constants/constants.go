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
	// RaftKeepItems (items) stay in memory behind the image so that a slow follower needs no image.
	RaftKeepItems = 2048
	// RaftImageEvery (items) is the log length after which a new image is written.
	RaftImageEvery = 4096
	// LearnerGap (items) is how near a learner must be to the commit before it may vote.
	LearnerGap = 16
	// MemberLostAfter (time) is the silence after which a voter is replaced if a learner stands by.
	MemberLostAfter = 6 * time.Second
	// ProposalWait (time) is how long an operator's query may wait for its commit before it is doubtful.
	ProposalWait = 5 * time.Second

	// BeatEvery (time) is a node's report to the leader: ten in a grant; each tells the image it has.
	BeatEvery = 400 * time.Millisecond
	// NodeLostAfter (time) is the silence after which the leader takes a node as lost: five beats and a far link.
	NodeLostAfter = 2400 * time.Millisecond
	// GrantTime (time) is how long a node may start unsafe legs after it sent the beat that was granted: ten beats, and grant, margin and claim window together stay under 15 s.
	GrantTime = 4 * time.Second
	// GrantMargin (time) covers a clock-rate error of 5 per cent on a grant, twice.
	GrantMargin = 500 * time.Millisecond
	// IsolatedAfter (time) is the age of the last word from core or region at which a proxy declines all.
	IsolatedAfter = 4 * time.Second
	// ConfirmWait (time) is how long an accepted operator's query waits for every proxy's word before it tells who has not given it.
	ConfirmWait = time.Second
	// BehindMost (time) is how long a disk machine serves on although it was told of changes that it can't apply yet: with the way there it stays below 2.5 s.
	BehindMost = 1500 * time.Millisecond
	// StandingPlanEvery (time) is how often the leader's watcher derives the standing.
	StandingPlanEvery = 200 * time.Millisecond
	// StandingSettle (time) keeps a fresh leader from judging nodes that could not have reported yet.
	StandingSettle = 2 * time.Second
	// GroupIncrement (numbers) is the failover increment of routed fleets: 46 regions with 182 zones need 46 + 182 + 46 residues, some zones lost at once many more.
	GroupIncrement = 10000
	// Increment (numbers) is the failover increment: the source's example, room for 50 groups and 50 regions.
	Increment = 100

	// ShuffleEvery (time) is how often a node shuffles its partial view with one neighbour.
	ShuffleEvery = time.Second
	// ActiveView (nodes) is the size of the small view whose members are probed.
	ActiveView = 5
	// PassiveView (nodes) is the size of the larger view that refills the small one.
	PassiveView = 24
	// ShuffleSample (nodes) travel in one shuffle.
	ShuffleSample = 8
	// ProbeEvery (time) is the probing period of one neighbour.
	ProbeEvery = 500 * time.Millisecond
	// ProbeWait (time) is the silence after which a probed neighbour is suspected: three probes.
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
	// SubscriptionLife (time) is when the server forgets a silent subscriber.
	SubscriptionLife = 2 * time.Second
	// SourceSilent (time) is when a subscriber turns to another source of deltas.
	SourceSilent = 900 * time.Millisecond
	// DeltaKeep (rows) changes stay in memory for deltas; a subscriber further behind gets whole ranges.
	DeltaKeep = 8192
	// DigestEvery (time) is how often a subscriber compares its ranges with its source.
	DigestEvery = 2 * time.Second

	// RosterEvery (time) is the pause between sweeps of the platform's list.
	RosterEvery = 500 * time.Millisecond
	// RosterMissing (sweeps) is how many whole sweeps must lack a back end before it is taken out.
	RosterMissing = 2
	// RosterFloor (percent) of a service may vanish in one sweep; more needs the probes' agreement too.
	RosterFloor = 50
	// RosterCall (time) bounds one page's call.
	RosterCall = 800 * time.Millisecond
	// VitalsEvery (time) is the probing period of a back end by one proxy.
	VitalsEvery = 700 * time.Millisecond
	// VitalsWait (time) bounds one probe.
	VitalsWait = 600 * time.Millisecond
	// VitalsFails (probes) in a row make a back end failing at one proxy.
	VitalsFails = 2

	// ClaimWindow (time) is the longest wait of an unsafe query, and what must be waited out when most keepers of an id are lost: short, since service must be back in 15 s.
	ClaimWindow = 6 * time.Second
	// ClaimKept (time) is how long a keeper remembers a claim: a caller's person who tries again within two minutes is still held off; at 300 unsafe queries a second and three keepers of five it is 27000 claims a keeper.
	ClaimKept = 150 * time.Second
	// ClaimKeptLeast (time) is how long a claim is remembered even by a keeper that has no more room.
	ClaimKeptLeast = 2 * ClaimWindow
	// ClaimsMost (claims) a keeper holds: 32 MiB; above it the oldest beyond ClaimKeptLeast are forgotten first.
	ClaimsMost = 200000
	// ClaimPage (claims) are copied to another keeper at once, and the rest of one shard: a quarter of a frame at the most.
	ClaimPage = 8192
	// KeptBytes (bytes) of sealed outcomes of unsafe queries a proxy keeps for repeats of their ids; the oldest go first.
	KeptBytes = 16 << 20
	// KeptOutcome (bytes) is the largest outcome that is kept.
	KeptOutcome = 64 << 10
	// AgeMost (time) is the oldest first sending that a caller may tell.
	AgeMost = 24 * time.Hour
	// ClaimReplicas (keepers) hold one claim.
	ClaimReplicas = 3
	// ClaimWait (time) bounds one claim round: keepers are 1 ms away, the rest is for a busy machine.
	ClaimWait = 400 * time.Millisecond
	// ClaimCopyEvery (time) is how often a new keeper asks the former ones.
	ClaimCopyEvery = 200 * time.Millisecond

	// MatchLife (time) is how long a caller may use a directory's outcome.
	MatchLife = 2 * time.Second
	// MatchProxies (proxies) are handed out at most.
	MatchProxies = 3
	// WaitMost (time) is the longest wait a caller may name.
	WaitMost = 15 * time.Second
	// ParkMost (time) is how long a query waits for a standing that is being moved.
	ParkMost = 1500 * time.Millisecond
	// ParkShort (time) is how long a query waits for a grant or for keepers; another proxy may have them, so the caller is told soon.
	ParkShort = 500 * time.Millisecond
	// AnswerMargin (time) before the end of a caller's wait its final answer is given, so that it arrives: two far links and a busy machine.
	AnswerMargin = 150 * time.Millisecond
	// AnswerShare (parts) of a wait is the most that the margin may take.
	AnswerShare = 5
	// ParkStep (time) is how often a parked query is asked about again.
	ParkStep = 20 * time.Millisecond
	// RetryAfter (time) is what a declined caller is told to wait: one failover is mostly over by then.
	RetryAfter = time.Second
	// BodyLimit (bytes) is the default for a query's body.
	BodyLimit = 1 << 20
	// OutcomeLimit (bytes) is the default for a back end's outcome.
	OutcomeLimit = 4 << 20
	// BodyLimitMost (bytes) is the most an entry may ask for.
	BodyLimitMost = 16 << 20
	// RepeatShare (percent) of first legs may be repeated: a fifth.
	RepeatShare = 20
	// RepeatAllowance (legs) a service and window, shared by all proxies.
	RepeatAllowance = 10
	// RepeatWindow (time) is the sliding window of the repeat budget.
	RepeatWindow = 10 * time.Second
	// RepeatMargin (time) shortens the window for first legs and lengthens it for repeats, since a leg arrives later than it was counted.
	RepeatMargin = 250 * time.Millisecond
	// ColdRamp (time) is how long a new back end is held below its full share: from as many legs a second as it works on at once (each may take it a second) to twice that.
	ColdRamp = 10 * time.Second
	// ColdMargin (time) lengthens the second in which a cold back end's legs are counted, since a leg arrives later than it was counted.
	ColdMargin = 100 * time.Millisecond
	// Bearable (legs) a warm back end works on at once, the entry's default.
	Bearable = 6
	// KeyShare (percent) of a proxy's legs in flight to a service one key may hold.
	KeyShare = 40
	// ConnectWait (time) bounds a connection with its identity exchange.
	ConnectWait = 700 * time.Millisecond
	// SafeLegMost (time) bounds one repeat-safe leg so that another back end can still be tried.
	SafeLegMost = 2 * time.Second
	// IdleLife (time) is how long a proved connection may lie idle.
	IdleLife = 4 * time.Second
	// IdlePerBackend (connections) are kept at most.
	IdlePerBackend = 8
	// LegsMost (tries) bounds the legs of one repeat-safe query.
	LegsMost = 4
	// KeyedAfterglow (time) is how long a keyed leg without a whole answer counts as running: its back end can't be asked, and was told of no longer wait.
	KeyedAfterglow = ClaimWindow
	// KeyMoves (slots) of a service are moved at once to even out its back ends; a newly warm one so gets its share little by little.
	KeyMoves = 4
	// KeySlots (slots) divide the keys of a keyed service.
	KeySlots = 64

	// FrameLimit (bytes) is the largest frame between processes.
	FrameLimit = 16 << 20
	// FrameQueue (frames) waits for one peer at most; older queries are worth nothing.
	FrameQueue = 1024
	// DialWait (time) bounds a connection to a peer.
	DialWait = 800 * time.Millisecond
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
	// ImageFileBytes (bytes) of one of the two preallocated image areas.
	ImageFileBytes = 16 << 20
	// SlowSync (time) of one sync at which a leader hands over.
	SlowSync = 800 * time.Millisecond

	// StopLinger (time) is how long a stopping proxy still accepts: a match's life and one spread.
	StopLinger = MatchLife + 1200*time.Millisecond
	// StopMost (time) bounds a planned stop: the longest wait a caller may name and the linger.
	StopMost = StopLinger + WaitMost
	// StaleList (time) is the list's age at which doctor complains.
	StaleList = 10 * time.Second
)

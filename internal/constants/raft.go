package constants

import "time"

// The replicated log: elections, replication and snapshots (internal/raft, internal/controlplane).
const (
	// Tick is how often the control machine looks at the clock: a fifth of RaftHeartbeat.
	Tick = 20 * time.Millisecond
	// RaftHeartbeat is how often a leader sends to its followers: three fit into the shortest election time-out even at 35 ms
	// one way.
	RaftHeartbeat = 100 * time.Millisecond
	// MinRaftElection is the shortest election time-out: above four heartbeats and a slow sync.
	MinRaftElection = 600 * time.Millisecond
	// RaftElectionSpread is the most that is drawn on top of MinRaftElection, so that two voters seldom stand at once (Raft
	// paper, section 5.2).
	RaftElectionSpread = 600 * time.Millisecond
	// RaftBatchItems (log entries) bounds one append message so that it fits a frame.
	RaftBatchItems = 256
	// RaftBatchBytes (bytes) bounds the payload of one append message: an eighth of FrameLimit.
	RaftBatchBytes = 2 << 20
	// RaftKeepItems (log entries) stay in memory before the snapshot's index, so that a slow follower needs no snapshot.
	RaftKeepItems = 2048
	// RaftKeepBytes (bytes) bounds RaftKeepItems: with whole configurations of 100 KB the items alone would be 200 MB.
	RaftKeepBytes = 4 << 20
	// RaftTransferBytes (bytes) of log are kept after a snapshot that is being sent, so that its receiver can go on from it;
	// above that it gets a newer snapshot.
	RaftTransferBytes = 16 << 20
	// RaftSnapshotEvery (log entries) is the length of the log after which a new snapshot is written.
	RaftSnapshotEvery = 4096
	// RaftLogBytes (bytes) of log in memory after which a new snapshot is written, whatever the number of entries: an eighth
	// of the smallest machines' memory.
	RaftLogBytes = 24 << 20
	// SnapshotPartBytes (bytes) of a snapshot are sent at once: heartbeats and appends pass between two parts, within 0.25 s on
	// the slowest links (2 Mbit/s).
	SnapshotPartBytes = 64 << 10
	// SnapshotWindow (parts) may be unacknowledged: over a far link that is 3.6 MB a second.
	SnapshotWindow = 4
	// MaxSnapshotBytes (bytes) is the largest snapshot that is received: above any of the design's size (55 MB packed), and
	// low enough to reject garbage.
	MaxSnapshotBytes = 1 << 30
	// LearnerGap (log entries) is how far behind the commit index a learner may be to become a voter.
	LearnerGap = 16
	// MemberLostAfter is the time-out after which an unresponsive voter is replaced if there is a learner.
	MemberLostAfter = 6 * time.Second
)

// The same for fleets of routes, whose leader may be away for longer since shard leases last for seconds.
const (
	// RoutedTick is how often the control machine looks at the clock: a fifth of RoutedRaftHeartbeat; each look wakes the
	// process up.
	RoutedTick = 50 * time.Millisecond
	// RoutedRaftHeartbeat is how often a leader sends to its followers: four fit into the shortest election time-out.
	RoutedRaftHeartbeat = 250 * time.Millisecond
	// MinRoutedElection is the shortest election time-out: shard leases last longer, so an election may wait.
	MinRoutedElection = time.Second
	// RoutedElectionSpread is the most that is drawn on top of MinRoutedElection.
	RoutedElectionSpread = 600 * time.Millisecond
	// QuietElections (election time-outs) fit into the time after which a fleet without faults must keep every bound again: the
	// shortest time-out, its spread, and what the new leader does first.
	QuietElections = 3
)

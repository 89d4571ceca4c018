package constants

import "time"

// Connections between nodes (internal/frame).
const (
	// FrameLimit (bytes) is the largest frame.
	FrameLimit = 16 << 20
	// FrameQueue (frames) wait for one peer at most; older requests are of no use.
	FrameQueue = 1024
	// FrameStall is the time-out of a write to a peer.
	FrameStall = 2 * time.Second
	// FrameIdleTimeout is how long sent bytes may be unacknowledged before a connection to a peer is given up and made anew:
	// after a partition heals, TCP's own next try may be seconds away.
	FrameIdleTimeout = time.Second
	// DialWait bounds making a connection to a peer.
	DialWait = 800 * time.Millisecond
	// DialPause is how long after a connection to a peer failed the next is tried: a process that starts is found soon, one
	// that is gone costs little.
	DialPause = 100 * time.Millisecond
	// DisjointPause is the same for a peer that has no protocol version in common: only an operator changes that.
	DisjointPause = 5 * time.Second
	// AnswerLimit (bytes) is the largest answer to a connection's first frame: it holds a span of versions and no more.
	AnswerLimit = 64
)

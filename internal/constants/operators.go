package constants

import "time"

// Requests of operators, and configurations (internal/controlplane, internal/adminapi, internal/routes).
const (
	// ProposalWait is how long an operator's request waits for its commit before its result is ambiguous.
	ProposalWait = 5 * time.Second
	// ConfirmWait is how long an accepted request waits until every proxy has confirmed the change, before the response names
	// the zones that have not.
	ConfirmWait = time.Second
	// OperatorPatience is how long a node seeks a leader for a request before it answers that there is none: below the second
	// after which operators turn to another node.
	OperatorPatience = 900 * time.Millisecond
	// ForwardWait is how long a node waits for the leader's response before it forwards a request again: a commit over far links
	// and a slow disk.
	ForwardWait = 400 * time.Millisecond
	// ForwardPause is how long a node waits to forward a request again after the receiver answered that it does not lead.
	ForwardPause = 100 * time.Millisecond
	// DocumentLimit (bytes) of a configuration of entries: a sixteenth of FrameLimit, so that its rows fit one record.
	DocumentLimit = 1 << 20
	// EntriesLimit (entries) in one configuration.
	EntriesLimit = 4096
	// RoutesDocumentLimit (bytes) of a configuration of routes: half of FrameLimit.
	RoutesDocumentLimit = 8 << 20
	// DocumentBudget (bytes) of configurations are under way in one process at once: reading and checking one takes about four times its size.
	DocumentBudget = RoutesDocumentLimit
	// DocumentWait is how long a call waits for room in it: callers go on to another node after a second.
	DocumentWait = 800 * time.Millisecond
	// DocumentReadWait is how long a caller may take to send its document, so that a slow one does not keep the budget.
	DocumentReadWait = 10 * time.Second
	// AcceptedConfigs (configurations) are remembered by version and digest, so that one that is sent again is recognised: four
	// hours at 21,000 a day.
	AcceptedConfigs = 4096
	// RecentConfigs (configurations) of these are known to every node, for programs that know no others: as many requests as
	// may be in flight at once.
	RecentConfigs = 8
	// MaxRouteTimeout is the longest time-out of a route.
	MaxRouteTimeout = 10 * time.Minute
	// RouteTargetOver is how far a route's latency target may be above its time-out.
	RouteTargetOver = time.Minute
	// ChangesKept (changes) of failover assignments are remembered for operators: an afternoon of faults in a few KiB.
	ChangesKept = 32
	// MaxEvidence (zones) are named in the evidence of one change; of more only the count is given, so that a record stays
	// small.
	MaxEvidence = 4
	// StaleList is the age of the endpoint list at which doctor reports it.
	StaleList = 10 * time.Second
)

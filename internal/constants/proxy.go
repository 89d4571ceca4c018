package constants

import "time"

// Requests of a fleet of entries (internal/proxy, internal/directory).
const (
	// MatchTTL is how long a caller may use a response of the directory.
	MatchTTL = 2 * time.Second
	// MatchProxies (proxies) are named to a caller at most.
	MatchProxies = 3
	// MaxWait is the longest deadline that a caller may name.
	MaxWait = 15 * time.Second
	// MaxPark is how long a request waits for a failover assignment that is being moved.
	MaxPark = 1500 * time.Millisecond
	// ParkShort is how long a request waits for a lease or for replicas; another proxy may have them, so the caller is told
	// soon.
	ParkShort = 500 * time.Millisecond
	// ParkStep is how often a waiting request looks again.
	ParkStep = 20 * time.Millisecond
	// AnswerMargin is how long before its caller's deadline a request gets its final response, so that it arrives: two far
	// links and a busy machine.
	AnswerMargin = 150 * time.Millisecond
	// AnswerShare (parts) of a deadline, one of which AnswerMargin may take at most.
	AnswerShare = 5
	// RetryAfter is what a refused caller is told to wait: most failovers are over by then.
	RetryAfter = time.Second
	// BodyLimit (bytes) is the default limit of a request's body.
	BodyLimit = 1 << 20
	// ResponseLimit (bytes) is the default limit of a back end's response.
	ResponseLimit = 4 << 20
	// MaxBodyLimit (bytes) is the highest limit that an entry may ask for.
	MaxBodyLimit = 16 << 20
	// RepeatShare (percent) of first attempts may be retried: a fifth, as the users set it.
	RepeatShare = 20
	// RepeatAllowance (attempts) are allowed beside that for each service and window, by all proxies together.
	RepeatAllowance = 10
	// RepeatWindow is the sliding window of the retry budget.
	RepeatWindow = 10 * time.Second
	// RepeatMargin lengthens the window for retries, and first attempts count so long after a retry as if they came before it,
	// since an attempt arrives later than it was counted.
	RepeatMargin = 250 * time.Millisecond
	// ColdRamp is how long a new back end is in slow start: from as many attempts a second as it works on at once (each may
	// take it a second) to twice that.
	ColdRamp = 10 * time.Second
	// ColdMargin lengthens the second in which attempts to a back end in slow start are counted, since an attempt arrives later
	// than it was counted.
	ColdMargin = 100 * time.Millisecond
	// ColdRate (attempts) a warm back end works on at once, if its entry says nothing.
	ColdRate = 6
	// KeyShare (percent) of a proxy's attempts in flight to a service one key may take.
	KeyShare = 40
	// ConnectWait bounds a connection with its exchange of identities.
	ConnectWait = 700 * time.Millisecond
	// MaxSafeAttempt bounds one repeat-safe attempt, so that another back end can still be tried.
	MaxSafeAttempt = 2 * time.Second
	// IdleTTL is how long a connection whose identity is known may be idle.
	IdleTTL = 4 * time.Second
	// IdlePerBackend (connections) are kept idle at most.
	IdlePerBackend = 8
	// MaxAttempts (attempts) of one repeat-safe request.
	MaxAttempts = 4
	// KeyedAfterglow is how long a keyed attempt without a whole response counts as running: its back end can't be asked, and
	// was given no longer deadline.
	KeyedAfterglow = ReservationWindow
	// KeyMoves (slots) of a service are moved at once to even its back ends out; a back end that just warmed up so gets its
	// share little by little.
	KeyMoves = 4
	// KeySlots (slots) divide the keys of a keyed service.
	KeySlots = 64
)

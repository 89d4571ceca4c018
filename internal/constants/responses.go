package constants

import "time"

// Responses of back ends, other proxies and the platform (internal/responses).
const (
	// ResponseHead (bytes) of one response are read at most, those of interim responses before it counted in.
	ResponseHead = 32 << 10
	// ResponseFields (fields) of one response: a field takes many times its bytes once it is parsed.
	ResponseFields = 128
	// InterimResponses (responses) come before one response at most.
	InterimResponses = 8
	// ParsedHead (bytes) is the most memory that a head within these bounds takes, parsed and copied for the caller.
	ParsedHead = 128 << 10
	// LeaseResponse (bytes) of the body of a response to a lease call are read, so that its connection can be used again; nothing is
	// kept of them.
	LeaseResponse = 64 << 10
	// TalliedParties (counts) are kept apart; a fleet whose back ends come and go names ever new ones.
	TalliedParties = 256
	// TallyLogEvery is the least time between two log lines about responses that exceed a bound.
	TallyLogEvery = time.Second
)

package constants

import "time"

// Load shedding by the delay that a service's requests must expect (internal/gateway).
const (
	// PressureFresh is the age at which observed delays say nothing of the present.
	PressureFresh = 3 * time.Second
	// MinPressure (attempts) must have ended before their delays are believed.
	MinPressure = 3
	// PressureWeight (fraction) of the newest delay of a back end: about the last three count, since a node asks each but
	// seldom.
	PressureWeight = 0.3
	// PressureServiceWeight (fraction) is the same for a whole service: about the last twenty.
	PressureServiceWeight = 0.05
	// ShedFrom (fraction of the latency target) that a request of the lowest priority must expect before some are shed.
	ShedFrom = 0.7
	// ShedSlope (share of requests for each part of the latency target) bounds how steeply more are shed: delays are known
	// late, and a much steeper response oscillates.
	ShedSlope = 1.5
	// MaxShed (share of requests) is shed at most, so that the delays stay known.
	MaxShed = 0.9
	// ShedRank (fraction of the latency target) by which each higher priority is shed later.
	ShedRank = 0.15
	// ShedRanks (priorities) are told apart: a number from here on is the lowest priority.
	ShedRanks = 3
)

// What a refused caller is told (internal/gateway).
const (
	// BackPart (fraction of a route's time-out): a caller that has less left is taken to have come back.
	BackPart = 0.95
	// RefuseHeeded (fraction) of the time that a caller has left is the longest Retry-After that callers heed.
	RefuseHeeded = 0.33
	// RefuseUnknown is the time left that is assumed for a caller that says nothing.
	RefuseUnknown = 2 * time.Second
	// MinRefuse is the shortest mean Retry-After.
	MinRefuse = 2 * time.Millisecond
	// RefuseAfter is the mean Retry-After while back ends are busy: about one request's work.
	RefuseAfter = 250 * time.Millisecond
	// RefuseAfterMove is the same while shards move or back ends warm up.
	RefuseAfterMove = 400 * time.Millisecond
)

// How many requests a node takes at once (internal/gateway).
const (
	// RequestBytes (bytes) that a request in flight may take: what is kept of its body and its response, buffers and stacks,
	// and their garbage.
	RequestBytes = 256 << 10
	// CapacityParts (parts) of the process's memory, one of which requests in flight may take.
	CapacityParts = 2
	// MinCapacity (requests) may be in flight however little memory there is.
	MinCapacity = 64
	// MaxCapacity (requests) may be in flight however much memory there is: each takes two file descriptors.
	MaxCapacity = 4096
	// CapacityPriorityParts (parts) of the capacity, one of which each lower priority leaves to the higher ones.
	CapacityPriorityParts = 8
)

package constants

import "time"

// Reservations of idempotency keys, and stored responses (internal/idempotency, internal/proxy).
const (
	// ReservationWindow is the longest wait of an unsafe request, and how long a new replica set waits if most replicas of the
	// former one are lost: short, since service must be back in 15 s.
	ReservationWindow = 6 * time.Second
	// ReservationKept is how long a replica remembers a reservation: a person who tries again within two minutes still gets no
	// second run. At 300 unsafe requests a second and three replicas of five these are 27000 reservations a replica.
	ReservationKept = 150 * time.Second
	// MinReservationKept is how long a reservation is remembered even by a full replica.
	MinReservationKept = 2 * ReservationWindow
	// MaxReservations (reservations) at one replica: 32 MiB; above it the oldest beyond MinReservationKept are forgotten.
	MaxReservations = 200000
	// ReservationPage (reservations) are copied to another replica at once, besides the rest of one shard: a quarter of
	// FrameLimit at most.
	ReservationPage = 8192
	// ReservationReplicas (replicas) hold one reservation.
	ReservationReplicas = 3
	// ReservationWait bounds one round of a reservation: replicas are 1 ms away, the rest is for a busy machine.
	ReservationWait = 400 * time.Millisecond
	// ReservationCopyEvery is how often a new replica asks the former ones.
	ReservationCopyEvery = 200 * time.Millisecond
	// KeptBytes (bytes) of sealed responses to unsafe requests a proxy keeps for repeats of their ids; the oldest go first.
	KeptBytes = 16 << 20
	// KeptResponse (bytes) is the largest response that is kept.
	KeptResponse = 64 << 10
	// MaxAge is the oldest first sending that a caller may state.
	MaxAge = 24 * time.Hour
)

package controlplane

import (
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/timing"
)

// workload is what the machine does differently depending on what its fleet carries; entryWorkload and routeWorkload
// implement it. It is chosen once, when the machine is made.
type workload interface {
	// timing gives the intervals and time-outs of all parts.
	timing() timing.Timing
	// restorable gives the part of a voter's hard state on disk that it may start with; nil is none.
	restorable(hardState *schema.HardState) *schema.HardState
	// receiveHeartbeat takes a heartbeat that came in a frame, and takeOwnHeartbeat that of this node, which leads.
	receiveHeartbeat(frame *schema.Frame, heartbeat *schema.Heartbeat)
	takeOwnHeartbeat(heartbeat *schema.Heartbeat)
	// peersHeardAt is when half of the ready nodes of the own region, this one among them, had last been heard of; 0 is
	// unknown or not needed.
	peersHeardAt() time.Duration
}

func newWorkload(c *Machine) workload {
	if c.options.Routes != nil {
		return &routeWorkload{machine: c}
	}
	return &entryWorkload{machine: c}
}

package controlplane

import (
	"slices"
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/timing"
)

// entryWorkload is the workload of a fleet that carries entries: nodes report to the leader and get leases in response.
type entryWorkload struct{ machine *Machine }

func (w *entryWorkload) timing() timing.Timing { return timing.ForEntries() }

// restorable leaves out the commit index: a node must not hold its last state, since a leader that has not settled yet
// would seem to confirm it.
func (w *entryWorkload) restorable(hardState *schema.HardState) *schema.HardState {
	if hardState == nil {
		return nil
	}
	return &schema.HardState{Term: hardState.Term, Vote: hardState.Vote, Id: hardState.Id, System: hardState.System}
}

func (w *entryWorkload) receiveHeartbeat(frame *schema.Frame, heartbeat *schema.Heartbeat) {
	c := w.machine
	response := w.respond(heartbeat)
	if frame.From == c.self.Id {
		c.takeHeartbeatResponse(frame.Address, response)
		return
	}
	c.send(frame.Address, &schema.Frame{Body: &schema.Frame_HeartbeatResponse{HeartbeatResponse: response}})
}

func (w *entryWorkload) takeOwnHeartbeat(heartbeat *schema.Heartbeat) {
	c := w.machine
	c.takeHeartbeatResponse(c.self.Address, w.respond(heartbeat))
}

// respond gives the response to a heartbeat, with a lease if this node leads and may give one.
func (w *entryWorkload) respond(heartbeat *schema.Heartbeat) *schema.HeartbeatResponse {
	c := w.machine
	response := &schema.HeartbeatResponse{Leader: c.leader.address, Serial: heartbeat.Serial, Version: uint64(c.state.Version())}
	if c.IsLeading() && c.duties.TakeHeartbeat(c.leaderState(), heartbeat) {
		lease := c.duties.GrantLease(c.leaderState(), heartbeat.Node.Id, c.state.NewestFence())
		response.Leader = c.self.Address
		response.Accepted = true
		response.LeaseMs = uint32(lease.Milliseconds())
	}
	return response
}

func (w *entryWorkload) peersHeardAt() time.Duration {
	c := w.machine
	count := 0
	var heardAt []time.Duration
	for id, node := range c.state.View().Nodes {
		if node.Region != c.self.Region || node.State != schema.NodeState_NODE_READY {
			continue
		}
		count++
		if id != c.self.Id {
			heardAt = append(heardAt, c.peers[id])
		}
	}
	needed := count / 2
	switch {
	case needed == 0 && count > 0:
		return c.now
	case needed == 0 || len(heardAt) < needed:
		return 0
	}
	slices.Sort(heardAt)
	return heardAt[len(heardAt)-needed]
}

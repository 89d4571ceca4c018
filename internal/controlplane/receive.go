package controlplane

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/operations"
	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// Receive takes a frame from another node.
func (c *Machine) Receive(now time.Duration, f *schema.Frame) {
	c.now = now
	if c.refused != nil {
		return
	}
	if f.System != "" && c.bootstrap.System() != "" && f.System != c.bootstrap.System() {
		c.log.Warn("frame of another system declined", "from", f.From, "system", f.System)
		return
	}
	c.peerSampler.Heard(now, f.From)
	if node := c.view.Nodes[f.From]; node != nil && node.Region == c.self.Region {
		c.peers[f.From] = now
	}
	switch body := f.Body.(type) {
	case *schema.Frame_Raft:
		if c.quorum == nil || c.bootstrap.System() != "" && f.System == "" {
			return
		}
		if isFromLeader(body.Raft.Kind) {
			c.bootstrap.Adopt(f.System)
		}
		if c.bootstrap.System() == "" {
			return
		}
		c.addresses[f.From] = f.Address
		c.quorum.Step(now, body.Raft)
		if c.quorum.LeaderID() == f.From {
			c.leader, c.leaderAt = f.Address, now
			if body.Raft.Kind == schema.RaftKind_RAFT_APPEND {
				c.state.ObserveCommit(now, raft.Index(body.Raft.Commit))
			}
		}
	case *schema.Frame_DiscoverRequest:
		c.peerSampler.Learn(body.DiscoverRequest.Node)
		c.answerDiscovery(f.Address, body.DiscoverRequest)
	case *schema.Frame_DiscoverResponse:
		if c.guard(protocolversion.Version(body.DiscoverResponse.FleetVersion)) != nil {
			return
		}
		c.peerSampler.Learn(body.DiscoverResponse.Nodes...)
		c.bootstrap.TakeAnswer(now, f.Address, body.DiscoverResponse)
		if c.leader == "" {
			c.leader = body.DiscoverResponse.Leader
		}
	case *schema.Frame_Shuffle:
		for _, s := range c.peerSampler.Shuffle(f.Address, body.Shuffle) {
			s.Frame.GetShuffle().System, s.Frame.GetShuffle().Leader = c.bootstrap.System(), c.leader
			c.send(s.To, s.Frame)
		}
		c.bootstrap.Adopt(body.Shuffle.System)
		if c.leader == "" || now-c.leaderAt > constants.NodeLostAfter && body.Shuffle.Leader != "" {
			c.leader = body.Shuffle.Leader
		}
	case *schema.Frame_Probe:
		c.send(f.Address, &schema.Frame{Body: &schema.Frame_ProbeResponse{ProbeResponse: &schema.ProbeResponse{Subject: c.self.Id, Serial: body.Probe.Serial, Incarnation: c.self.Incarnation}}})
	case *schema.Frame_ProbeResponse:
	case *schema.Frame_Heartbeat:
		c.workload.receiveHeartbeat(f, body.Heartbeat)
	case *schema.Frame_HeartbeatResponse:
		c.takeHeartbeatResponse(f.Address, body.HeartbeatResponse)
	case *schema.Frame_Subscribe:
		c.sendAll(c.publisher.Subscribe(now, c.confirmation(), f.Address, body.Subscribe))
	case *schema.Frame_Delta:
		c.takeDelta(f.Address, body.Delta)
	case *schema.Frame_DigestRequest:
		c.sendAll(c.publisher.CompareDigests(f.Address, body.DigestRequest))
	case *schema.Frame_DigestResponse:
		if c.quorum == nil {
			c.sendAll(c.subscription.TakeDigests(now, f.Address, body.DigestResponse))
		}
	case *schema.Frame_OperatorRequest:
		c.operations.ReceiveRequest(now, f.Address, f.Call, body.OperatorRequest)
	case *schema.Frame_OperatorResponse:
		c.operations.ReceiveResponse(now, f.Address, operations.Ticket(f.Call), body.OperatorResponse)
	}
}

// isFromLeader tells whether only a leader sends messages of that kind.
func isFromLeader(kind schema.RaftKind) bool {
	switch kind {
	case schema.RaftKind_RAFT_APPEND, schema.RaftKind_RAFT_SNAPSHOT, schema.RaftKind_RAFT_SNAPSHOT_PART:
		return true
	}
	return false
}

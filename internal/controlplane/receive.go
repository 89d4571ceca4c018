package controlplane

import (
	"time"

	"topazshed/internal/operations"
	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// Receive takes a frame from another node and hands its message to the part that it is for; what the part wants sent
// goes into the effects.
func (c *Machine) Receive(now time.Duration, f *schema.Frame) {
	c.now = now
	if c.refused != nil || !c.isOfThisSystem(f) {
		return
	}
	c.noteSender(f)
	switch body := f.Body.(type) {
	case *schema.Frame_Raft:
		c.receiveRaft(f, body.Raft)
	case *schema.Frame_DiscoverRequest:
		c.receiveDiscoverRequest(f, body.DiscoverRequest)
	case *schema.Frame_DiscoverResponse:
		c.receiveDiscoverResponse(f.Address, body.DiscoverResponse)
	case *schema.Frame_Shuffle:
		c.receiveShuffle(f.Address, body.Shuffle)
	case *schema.Frame_Probe:
		c.receiveProbe(f.Address, body.Probe)
	case *schema.Frame_ProbeResponse:
		// noteSender has told the sampler that the sender responds.
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
		c.receiveDigestResponse(f.Address, body.DigestResponse)
	case *schema.Frame_OperatorRequest:
		c.operations.ReceiveRequest(now, f.Address, f.Call, body.OperatorRequest)
	case *schema.Frame_OperatorResponse:
		c.operations.ReceiveResponse(now, f.Address, operations.Ticket(f.Call), body.OperatorResponse)
	}
}

// isOfThisSystem tells whether a frame may be taken: both nodes belong to one system, or one of them to none yet.
func (c *Machine) isOfThisSystem(f *schema.Frame) bool {
	system := c.bootstrap.System()
	if f.System == "" || system == "" || f.System == system {
		return true
	}
	c.log.Warn("a frame of another system is refused", "from", f.From, "system", f.System)
	return false
}

// noteSender notes that a node responds.
func (c *Machine) noteSender(f *schema.Frame) {
	c.peerSampler.Heard(c.now, f.From)
	if node := c.state.View().Nodes[f.From]; node != nil && node.Region == c.self.Region {
		c.peers[f.From] = c.now
	}
}

// receiveRaft steps the log. A node that belongs to no system joins that of a leader which sends it entries or a
// snapshot, and takes no other messages until then.
func (c *Machine) receiveRaft(f *schema.Frame, message *schema.Raft) {
	if c.raft == nil || c.bootstrap.System() != "" && f.System == "" {
		return
	}
	c.bootstrap.TakePart(f.System)
	if isFromLeader(message.Kind) {
		c.bootstrap.Adopt(f.System)
	}
	if c.bootstrap.System() == "" {
		return
	}
	c.addresses[f.From] = f.Address
	c.raft.Step(c.now, message)
	if c.raft.LeaderID() != f.From {
		return
	}
	c.leader.observe(f.Address, c.now)
	if message.Kind == schema.RaftKind_RAFT_APPEND {
		c.state.ObserveCommit(raft.Index(message.Commit))
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

// receiveDiscoverRequest answers a node that looks for a system.
func (c *Machine) receiveDiscoverRequest(f *schema.Frame, request *schema.DiscoverRequest) {
	c.peerSampler.Learn(request.Node)
	if f.System == "" {
		c.bootstrap.NoteAsked(f.Address)
	}
	c.answerDiscovery(f.Address, request)
}

// receiveDiscoverResponse takes what another node tells of the system. A fleet whose version this program doesn't speak is not joined.
func (c *Machine) receiveDiscoverResponse(from string, response *schema.DiscoverResponse) {
	if c.guard(protocolversion.Version(response.FleetVersion)) != nil {
		return
	}
	c.peerSampler.Learn(response.Nodes...)
	c.bootstrap.TakeAnswer(c.now, from, response)
	c.leader.adopt(response.Leader)
}

// receiveShuffle exchanges peers with another node, and takes its word for the system and the leader where this node knows none.
func (c *Machine) receiveShuffle(from string, shuffle *schema.Shuffle) {
	c.sendSampler(c.peerSampler.Shuffle(from, shuffle))
	c.bootstrap.Adopt(shuffle.System)
	c.leader.adoptIfOld(c.now, shuffle.Leader)
}

// receiveProbe tells a node that probes this one that it is alive.
func (c *Machine) receiveProbe(from string, probe *schema.Probe) {
	response := &schema.ProbeResponse{Subject: c.self.Id, Serial: probe.Serial, Incarnation: c.self.Incarnation}
	c.send(from, &schema.Frame{Body: &schema.Frame_ProbeResponse{ProbeResponse: response}})
}

// receiveDigestResponse has ranges fetched again that differ from the source's; only readers have a source.
func (c *Machine) receiveDigestResponse(from string, response *schema.DigestResponse) {
	if c.raft == nil {
		c.sendAll(c.subscription.TakeDigests(c.now, from, response))
	}
}

package controlplane

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/frame"
	"topazshed/internal/leader"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// Effects are what the shell performs: sync, then send and answer.
type Effects struct {
	Quorum    raft.Ready
	Hard      *schema.HardState
	Sends     []frame.Envelope
	Responses []LocalResponse
	Calls     []leader.LeaseCall
	IsWork    bool
}

// send puts a frame among the effects, signed by this node. A frame to this node itself, or to no address, is dropped.
func (c *Machine) send(to string, f *schema.Frame) {
	if to == "" || to == c.self.Address {
		return
	}
	f.System = c.bootstrap.System()
	f.From = c.self.Id
	f.Address = c.self.Address
	c.effects.Sends = append(c.effects.Sends, frame.Envelope{To: to, Frame: f})
}

// sendAll puts the frames of a part among the effects, in their order.
func (c *Machine) sendAll(envelopes []frame.Envelope) {
	for _, envelope := range envelopes {
		c.send(envelope.To, envelope.Frame)
	}
}

// Take gives the effects that are due.
func (c *Machine) Take() Effects {
	if c.refused != nil {
		return Effects{}
	}
	effects := c.effects
	c.effects = Effects{}
	if c.quorum != nil && c.bootstrap.System() != "" {
		effects.Quorum = c.quorum.Take()
		for _, m := range effects.Quorum.Messages {
			before := len(c.effects.Sends)
			c.send(c.addressOf(m.To), &schema.Frame{Body: &schema.Frame_Raft{Raft: m}})
			effects.Sends = append(effects.Sends, c.effects.Sends[before:]...)
			c.effects.Sends = c.effects.Sends[:before]
		}
		if effects.Quorum.HardState != nil {
			effects.Hard = proto.Clone(effects.Quorum.HardState).(*schema.HardState)
			effects.Hard.Id, effects.Hard.System, effects.Hard.Version = c.self.Id, c.bootstrap.System(), c.shownFleet()
		}
	}
	effects.IsWork = effects.Hard != nil || len(effects.Quorum.Entries) > 0 || effects.Quorum.Snapshot != nil || len(effects.Sends) > 0 || len(effects.Responses) > 0 || len(effects.Calls) > 0 ||
		len(effects.Quorum.Reads) > 0 || len(effects.Quorum.LostReads) > 0
	return effects
}

// TakeUnbound applies what a majority has on disk and gives the effects that rest on nothing unwritten, while this disk is busy.
func (c *Machine) TakeUnbound() Effects {
	if c.quorum != nil {
		c.apply()
		c.state.Refresh(c.now)
		c.publishDeltas()
	}
	if c.refused != nil {
		return Effects{}
	}
	effects := Effects{Sends: c.effects.Sends, Responses: c.effects.Responses, Calls: c.effects.Calls}
	c.effects = Effects{}
	return effects
}

func (c *Machine) addressOf(id string) string {
	if address := c.addresses[id]; address != "" {
		return address
	}
	if record := c.duties.Fleet().Node(id); record != nil && c.now-record.LastHeard < constants.NodeLostAfter {
		return record.Node.Address
	}
	for _, node := range c.peerSampler.Known() {
		if node.Id == id {
			return node.Address
		}
	}
	if node := c.view.Nodes[id]; node != nil {
		return node.Address
	}
	for _, m := range slices.Concat(c.quorum.Members().Voters, c.quorum.Members().Learners) {
		if m.Id == id {
			return m.Address
		}
	}
	return ""
}

// Synced tells that the effects are on disk; committed items are applied now.
func (c *Machine) Synced(now time.Duration, effects Effects) {
	c.now = now
	if c.quorum == nil {
		return
	}
	if effects.Quorum.Snapshot != nil {
		if c.guardState(c.state.Restore(now, effects.Quorum.Snapshot)) != nil {
			return
		}
	}
	c.quorum.Synced(now, effects.Quorum)
	defer c.state.Refresh(now)
	c.apply()
	for _, ticket := range effects.Quorum.Reads {
		c.operations.ReadConfirmed(now, ticket)
	}
	for _, ticket := range effects.Quorum.LostReads {
		c.operations.ReadLost(now, ticket)
	}
	c.publishDeltas()
}

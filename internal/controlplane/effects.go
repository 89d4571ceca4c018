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

// Effects are what a Driver performs: it writes what the log needs to the disk, calls Synced, and only then sends and answers.
type Effects struct {
	// Quorum is the log's part: entries and a snapshot to write, and reads that a majority has confirmed.
	Raft raft.Ready
	// Hard is the hard state to write; nil is none.
	HardState *schema.HardState
	Sends     []frame.Envelope
	Responses []LocalResponse
	Calls     []leader.LeaseCall
	// IsWork says that there is anything to perform.
	IsWork bool
}

// send adds a frame to the effects. The node's own address and an unknown one get none.
func (c *Machine) send(to string, f *schema.Frame) {
	if envelope, isSent := c.seal(to, f); isSent {
		c.effects.Sends = append(c.effects.Sends, envelope)
	}
}

// seal names this node as the sender of a frame; it tells false for an address that gets none.
func (c *Machine) seal(to string, f *schema.Frame) (frame.Envelope, bool) {
	if to == "" || to == c.self.Address {
		return frame.Envelope{}, false
	}
	f.System = c.bootstrap.System()
	f.From = c.self.Id
	f.Address = c.self.Address
	return frame.Envelope{To: to, Frame: f}, true
}

// sendAll adds the frames of a part to the effects, in their order.
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
	if c.raft != nil && c.bootstrap.System() != "" {
		c.takeReady(&effects)
	}
	effects.IsWork = effects.needsDisk() || effects.hasReads() || effects.hasOutput()
	return effects
}

// takeReady adds what the log wants written and sent.
func (c *Machine) takeReady(effects *Effects) {
	effects.Raft = c.raft.Take()
	for _, message := range effects.Raft.Messages {
		f := &schema.Frame{Body: &schema.Frame_Raft{Raft: message}}
		if envelope, isSent := c.seal(c.addressOf(message.To), f); isSent {
			effects.Sends = append(effects.Sends, envelope)
		}
	}
	if hardState := effects.Raft.HardState; hardState != nil {
		effects.HardState = proto.Clone(hardState).(*schema.HardState)
		effects.HardState.Id = c.self.Id
		effects.HardState.System = c.bootstrap.System()
		effects.HardState.Version = c.shownFleet()
	}
}

// needsDisk tells whether the effects must be written before anything else is done.
func (e *Effects) needsDisk() bool {
	return e.HardState != nil || len(e.Raft.Entries) > 0 || e.Raft.Snapshot != nil
}

func (e *Effects) hasReads() bool { return len(e.Raft.Reads) > 0 || len(e.Raft.LostReads) > 0 }

func (e *Effects) hasOutput() bool {
	return len(e.Sends) > 0 || len(e.Responses) > 0 || len(e.Calls) > 0
}

// TakeIndependent applies what a majority has on disk and gives the effects that rest on nothing unwritten, while this disk is busy.
func (c *Machine) TakeIndependent() Effects {
	if c.raft != nil {
		c.apply()
		c.refresh()
		c.publishDeltas()
	}
	if c.refused != nil {
		return Effects{}
	}
	effects := c.effects
	c.effects = Effects{}
	return effects
}

// Synced tells that the effects are on disk; committed items are applied now.
func (c *Machine) Synced(now time.Duration, effects Effects) {
	c.now = now
	if c.raft == nil {
		return
	}
	if snapshot := effects.Raft.Snapshot; snapshot != nil && c.guardState(c.state.Restore(now, snapshot)) != nil {
		return
	}
	c.raft.Synced(now, effects.Raft)
	c.apply()
	c.refresh()
	for _, number := range effects.Raft.Reads {
		c.operations.ReadConfirmed(now, number)
	}
	for _, number := range effects.Raft.LostReads {
		c.operations.ReadLost(now, number)
	}
	c.publishDeltas()
}

// addressOf gives the address of a member of the log: where it last sent from, else what is known of it, newest first; "" is unknown.
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
	if node := c.state.View().Nodes[id]; node != nil {
		return node.Address
	}
	for _, member := range c.members() {
		if member.Id == id {
			return member.Address
		}
	}
	return ""
}

// members are the voters and the learners of the log.
func (c *Machine) members() []*schema.Member {
	members := c.raft.Members()
	return slices.Concat(members.Voters, members.Learners)
}

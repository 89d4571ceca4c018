package heartbeat

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// relay holds the newest heartbeat of each node that this node took for the leader and has not passed on yet, by id.
type relay struct {
	heartbeats map[string]*schema.Heartbeat
}

func newRelay() relay { return relay{heartbeats: map[string]*schema.Heartbeat{}} }

// add keeps a heartbeat; what an earlier one reported and this one leaves out is kept with it.
func (r *relay) add(heartbeat *schema.Heartbeat) {
	heartbeat.Relayed = nil
	id := heartbeat.Node.GetId()
	if earlier := r.heartbeats[id]; earlier != nil {
		mergeEarlier(heartbeat, earlier)
	}
	r.heartbeats[id] = heartbeat
}

// drain gives all heartbeats in order of their ids, and forgets them.
func (r *relay) drain() []*schema.Heartbeat {
	var heartbeats []*schema.Heartbeat
	for _, id := range slices.Sorted(maps.Keys(r.heartbeats)) {
		heartbeats = append(heartbeats, r.heartbeats[id])
	}
	r.heartbeats = map[string]*schema.Heartbeat{}
	return heartbeats
}

// mergeEarlier takes over the full description of the node unless its state changed, the load unless there is newer, and all health reports.
func mergeEarlier(heartbeat, earlier *schema.Heartbeat) {
	isAbridged := heartbeat.Node.Address == "" && earlier.Node.Address != ""
	if isAbridged && earlier.Node.State == heartbeat.Node.State {
		heartbeat.Node = earlier.Node
	}
	if len(heartbeat.Load) == 0 {
		heartbeat.Load = earlier.Load
	}
	heartbeat.Health = append(earlier.Health, heartbeat.Health...)
}

// Relay takes another node's heartbeat, and those that it relays itself, to pass them on with this node's next one. That one becomes due at once
// if a node stops, or is new to the rows.
func (s *Sender) Relay(heartbeat *schema.Heartbeat) {
	for _, each := range append(heartbeat.Relayed, heartbeat) {
		s.relay.add(each)
		isStopping := each.Node.State == schema.NodeState_NODE_STOPPING
		isNew := each.Node.Address != "" && !s.fleet.IsListed(each.Node.Id)
		if isStopping || isNew {
			s.Hasten()
		}
	}
}

// sendToRelay sends a heartbeat on its way to the leader, with those that this node relays. Most heartbeats to the same node abridge the
// description of this node.
func (s *Sender) sendToRelay(now time.Duration, facts Facts, heartbeat *schema.Heartbeat) Outgoing {
	self := s.options.Self
	target := s.relayTarget(now, facts, heartbeat.Serial)
	isFullDue := heartbeat.Serial%constants.FullHeartbeatEvery == 1
	if !isFullDue && target == s.lastTarget && self.State == s.lastTargetState {
		heartbeat.Node = &schema.Node{Id: self.Id, State: self.State, Incarnation: self.Incarnation, Disk: self.Disk}
	}
	s.lastTarget = target
	s.lastTargetState = self.State
	if facts.IsLeader {
		return Outgoing{Heartbeat: heartbeat}
	}
	heartbeat.Relayed = s.relay.drain()
	return Outgoing{To: target, Heartbeat: heartbeat}
}

// relayTarget is where the next heartbeat goes: to the relay if there is one, else to the leader if it gave a sign lately, else to any member
// of the log. Every second heartbeat of a node that the rows don't list yet goes to the leader directly.
func (s *Sender) relayTarget(now time.Duration, facts Facts, serial uint64) string {
	self := s.options.Self
	leader := facts.Leader
	isOtherLeader := leader.Address != "" && leader.Address != self.Address
	switch {
	case isOtherLeader && serial%2 == 0 && !s.fleet.IsListed(self.Id):
		return leader.Address
	case facts.Relay != "":
		return facts.Relay
	case isOtherLeader && now-leader.SeenAt <= constants.NodeLostAfter:
		return leader.Address
	}
	return s.drawMember(func(node *schema.Node) bool { return node.Disk && node.Address != self.Address })
}

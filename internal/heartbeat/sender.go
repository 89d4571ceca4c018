// Package heartbeat sends a node's regular reports to the leader and takes the lease that the leader grants in response.
//
// In a fleet of entries every node reports to the leader itself. In a fleet of routes a node reports to a member of the log in its own region,
// its source of rows, which relays what it took since to the leader with its own heartbeat; no lease is granted there.
//
// A Sender owns the serial numbers and times of a node's heartbeats, what they carry, the heartbeats that are to be relayed, and the lease.
// What the leader makes of heartbeats is not its matter. It sends nothing itself: the goroutine that steps the node's control plane calls it
// with the present time and sends what it returns.
//
// Invariants:
//   - A lease counts from when the heartbeat was sent that it answers, never from when the response came, so that it ends here before the
//     leader takes it as ended.
//   - A lease is taken only from the node that the heartbeat went to, and only for a heartbeat of this incarnation.
package heartbeat

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/inflight"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// leaderDoubtedAfter is how long after the last sign of the leader a node sends every second heartbeat to another member of the log, which
// knows a newer leader.
const leaderDoubtedAfter = 2 * constants.MinRaftElection

// Fleet is what a Sender must know of the nodes around its own.
type Fleet interface {
	// Addresses gives the addresses of the other known nodes that fit, in a fixed order.
	Addresses(isFit func(*schema.Node) bool) []string
	// IsListed tells whether the rows have a node of that id.
	IsListed(id string) bool
}

// Options make a Sender; the functions may be nil but for Draw.
type Options struct {
	// Self describes this node. Its id, address and disk never change, its state and incarnation do.
	Self *schema.Node
	// Seeds are the addresses to send to while no member of the log is known.
	Seeds []string
	// FirstSerial is the number before that of the first heartbeat; see package inflight.
	FirstSerial uint64
	// Draw gives a number below its argument from the node's seeded source.
	Draw func(int64) int64
	// Interval is the pause between two heartbeats.
	Interval time.Duration
	// IsRelayed says that heartbeats go through relays and get no response.
	IsRelayed bool
	// Load gives the load by shard in the time since the last report.
	Load func(since time.Duration) []*schema.ShardLoad
	// HealthReports gives the back ends to report on since the last heartbeat; it replaces those of SetHealthReports.
	HealthReports func() []*schema.HealthReport
}

// Leader is the leader as a node knows it.
type Leader struct {
	// Address is "" if no leader is known.
	Address string
	// SeenAt is when there was last a sign of it.
	SeenAt time.Duration
}

// Facts are what a heartbeat reports and what its way depends on.
type Facts struct {
	// Node is a copy of this node's description, with the protocol versions that it speaks.
	Node *schema.Node
	// Version is the log index that this node's rows stand at.
	Version raft.Index
	// Suspects are the ids of the nodes that did not answer this node's probes.
	Suspects []string
	Leader   Leader
	// IsLeader says that this node is the leader, whose heartbeats stay with it.
	IsLeader bool
	// Relay is the address of the source of rows if this node has a live one and keeps no log itself; otherwise "".
	Relay string
}

// Outgoing is a heartbeat and where it goes.
type Outgoing struct {
	// To is "" for a heartbeat that this node, being the leader, takes itself.
	To        string
	Heartbeat *schema.Heartbeat
}

// Sender is the sending side of one node's heartbeats.
type Sender struct {
	options  Options
	fleet    Fleet
	requests *inflight.Requests
	// sentAt is when the last heartbeat was sent; 0 means that the next is due at once.
	sentAt     time.Duration
	leaseUntil time.Duration
	// What the next heartbeats report.
	healthReports   []*schema.HealthReport
	replicaSet      uint64
	isReplicaReady  bool
	oldestIndex     uint64
	loadReportedAt  time.Duration
	relay           relay
	lastTarget      string
	lastTargetState schema.NodeState
}

// NewSender makes a Sender whose first heartbeat is due.
func NewSender(options Options, fleet Fleet) *Sender {
	return &Sender{options: options, fleet: fleet, requests: inflight.New(options.FirstSerial), relay: newRelay()}
}

// SetSeeds takes the seeds of changed settings.
func (s *Sender) SetSeeds(seeds []string) { s.options.Seeds = seeds }

// SetHealthReports takes this node's health checks of back ends.
func (s *Sender) SetHealthReports(reports []*schema.HealthReport) { s.healthReports = reports }

// SetReservationReplica takes this node's state as a replica of reservations: the number of its set, and whether it has caught up.
func (s *Sender) SetReservationReplica(set uint64, isReady bool) {
	s.replicaSet = set
	s.isReplicaReady = isReady
}

// SetOldestIndex takes the lowest index that a request in flight still uses; 0 is none.
func (s *Sender) SetOldestIndex(index uint64) { s.oldestIndex = index }

// LeaseUntil is when this node's lease ends; 0 is never granted.
func (s *Sender) LeaseUntil() time.Duration { return s.leaseUntil }

// StaleResponses counts the responses that answered no heartbeat of this incarnation.
func (s *Sender) StaleResponses() uint64 { return s.requests.Stale() }

// Hasten makes the next heartbeat due at once.
func (s *Sender) Hasten() { s.sentAt = 0 }

// IsDue tells whether the next heartbeat shall be sent.
func (s *Sender) IsDue(now time.Duration) bool { return now-s.sentAt >= s.options.Interval }

// Send makes the next heartbeat.
func (s *Sender) Send(now time.Duration, facts Facts) Outgoing {
	s.sentAt = now
	heartbeat := s.newHeartbeat(now, facts)
	if s.options.IsRelayed {
		return s.sendToRelay(now, facts, heartbeat)
	}
	return s.sendToLeader(now, facts, heartbeat)
}

func (s *Sender) newHeartbeat(now time.Duration, facts Facts) *schema.Heartbeat {
	heartbeat := &schema.Heartbeat{
		Node:         facts.Node,
		Version:      uint64(facts.Version),
		Health:       s.healthReports,
		Suspects:     facts.Suspects,
		Serial:       s.requests.Next(),
		ReplicaSet:   s.replicaSet,
		ReplicaReady: s.isReplicaReady,
		OldestIndex:  s.oldestIndex,
		Load:         s.dueLoad(now),
	}
	if s.options.HealthReports != nil {
		heartbeat.Health = s.options.HealthReports()
	}
	return heartbeat
}

// dueLoad gives the load since it was last reported, once in constants.LoadEvery.
func (s *Sender) dueLoad(now time.Duration) []*schema.ShardLoad {
	since := now - s.loadReportedAt
	if s.options.Load == nil || since < constants.LoadEvery {
		return nil
	}
	s.loadReportedAt = now
	return s.options.Load(since)
}

// sendToLeader sends a heartbeat to the leader, and every second one to another member of the log while there is no sign of the leader.
func (s *Sender) sendToLeader(now time.Duration, facts Facts, heartbeat *schema.Heartbeat) Outgoing {
	if facts.IsLeader {
		s.requests.Sent(now, s.options.Self.Address)
		return Outgoing{Heartbeat: heartbeat}
	}
	to := facts.Leader.Address
	isDoubted := now-facts.Leader.SeenAt > leaderDoubtedAfter && heartbeat.Serial%2 == 0
	if to == "" || to == s.options.Self.Address || isDoubted {
		to = s.drawMember(func(node *schema.Node) bool { return node.Disk })
	}
	s.requests.Sent(now, to)
	return Outgoing{To: to, Heartbeat: heartbeat}
}

// TakeResponse takes the response to a heartbeat: the lease that the leader grants, or where the leader is. It gives the leader if the response
// tells of one, and nil otherwise. The owner tells who it takes for the leader so far.
func (s *Sender) TakeResponse(now time.Duration, from string, response *schema.HeartbeatResponse, known string) *Leader {
	if !response.Accepted {
		return s.takeRedirection(now, from, response.Leader, known)
	}
	sentAt, isKnown := s.requests.Match(response.Serial, from)
	if isKnown && response.LeaseMs > 0 {
		lease := time.Duration(response.LeaseMs) * time.Millisecond
		s.leaseUntil = max(s.leaseUntil, sentAt+lease)
	}
	return &Leader{Address: from, SeenAt: now}
}

// takeRedirection turns to the leader that another node names, unless it is known or names itself.
func (s *Sender) takeRedirection(now time.Duration, from, named, known string) *Leader {
	if named == "" || named == known || named == from {
		return nil
	}
	s.Hasten()
	return &Leader{Address: named, SeenAt: now}
}

// drawMember draws one of the known nodes that fit, or a seed if none does.
func (s *Sender) drawMember(isFit func(*schema.Node) bool) string {
	addresses := s.fleet.Addresses(isFit)
	if len(addresses) == 0 {
		addresses = s.options.Seeds
	}
	return addresses[s.options.Draw(int64(len(addresses)))]
}

package leader

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

const (
	// minimumVoters are kept even if some don't answer: of fewer none may be lost.
	minimumVoters = 3
	// memberAnswersWithin is the time since a member's last answer within which it counts as live.
	memberAnswersWithin = time.Second
)

// MemberProgress is what the log tells about one member.
type MemberProgress struct {
	// SinceHeard is how long the member has not answered this leader.
	SinceHeard time.Duration
	// HasCaughtUp tells whether the member's disk has nearly all of the log, and all that was committed when the
	// members last changed.
	HasCaughtUp bool
}

// MembershipFacts are what the next change of the log's members follows from.
type MembershipFacts struct {
	Now time.Duration
	// Self is this leader, which is a voter.
	Self string
	// Members are those of the newest change, which need not be committed.
	Members *schema.Members
	// Progress is known of every member.
	Progress map[string]MemberProgress
	// Heard are the nodes that this leader has heard of, and Rows those of the table.
	Heard map[string]*NodeRecord
	Rows  map[string]*schema.Node
	// IsFit tells whether a node speaks the version that the fleet uses.
	IsFit func(*schema.Node) bool
	// ReplacesByAddress tells whether a newer incarnation at a voter's address shows that the voter has lost its disk.
	ReplacesByAddress bool
	// LostAfter is the time without an answer after which a voter counts as unresponsive.
	LostAfter time.Duration
}

// NextMembers gives the next change of the log's members with its reason, or nil if none is needed. There is one change
// at a time, so that any majority before it and any majority after it have a member in common.
func NextMembers(facts MembershipFacts) (next *schema.Members, reason string) {
	members := proto.Clone(facts.Members).(*schema.Members)
	changes := []func(*schema.Members) string{
		facts.dropReplacedVoter,
		facts.admit,
		facts.dropUnresponsiveLearner,
		facts.dropUnresponsiveVoter,
	}
	for _, change := range changes {
		if reason := change(members); reason != "" {
			return members, reason
		}
	}
	return nil, ""
}

// ToleratedLosses gives how many more voters may be lost before there is no majority, and the voters that are
// unresponsive already.
func ToleratedLosses(facts MembershipFacts) (tolerated uint32, unresponsive []string) {
	voters := facts.Members.GetVoters()
	for _, m := range voters {
		if facts.Progress[m.Id].SinceHeard > facts.LostAfter {
			unresponsive = append(unresponsive, m.Id)
		}
	}
	return uint32(max(0, len(voters)-len(unresponsive)-majority(len(voters)))), unresponsive
}

// majority is how many of so many voters must agree.
func majority(voters int) int { return voters/2 + 1 }

func memberAt(members []*schema.Member, id string) int {
	return slices.IndexFunc(members, func(m *schema.Member) bool { return m.Id == id })
}

// dropReplacedVoter takes out a voter whose disk is gone: it never votes again, and each such voter raises the majority
// that the others must be.
func (f MembershipFacts) dropReplacedVoter(members *schema.Members) string {
	for i, m := range members.Voters {
		if replacement := f.replacementOf(m); replacement != "" {
			members.Voters = slices.Delete(members.Voters, i, i+1)
			return "voter " + m.Id + " has lost its disk and is back as " + replacement
		}
	}
	return ""
}

// replacementOf gives the newer process with a disk that runs at a voter's address under another identity, if there is
// one.
func (f MembershipFacts) replacementOf(voter *schema.Member) string {
	if !f.ReplacesByAddress || voter.Id == f.Self {
		return ""
	}
	incarnation := f.Rows[voter.Id].GetIncarnation()
	if record := f.Heard[voter.Id]; record != nil {
		incarnation = max(incarnation, record.Node.GetIncarnation())
	}
	if incarnation == 0 {
		return ""
	}
	for _, id := range slices.Sorted(maps.Keys(f.Heard)) {
		record := f.Heard[id]
		node := record.Node
		isOther := id != voter.Id && node.GetAddress() == voter.Address
		if !isOther || !node.GetDisk() || !record.isRecent(f.Now) {
			continue
		}
		if node.GetIncarnation() > incarnation {
			return id
		}
	}
	return ""
}

// admit takes a node with a disk in as a learner, lets a learner vote that has caught up, or notes a voter's new
// address.
func (f MembershipFacts) admit(members *schema.Members) string {
	for _, id := range slices.Sorted(maps.Keys(f.Heard)) {
		record := f.Heard[id]
		node := record.Node
		if !f.IsFit(node) || !node.Disk || !record.isRecent(f.Now) || node.State == schema.NodeState_NODE_STOPPING {
			continue
		}
		if reason := f.admitNode(members, node); reason != "" {
			return reason
		}
	}
	return ""
}

func (f MembershipFacts) admitNode(members *schema.Members, node *schema.Node) string {
	if i := memberAt(members.Voters, node.Id); i >= 0 {
		if members.Voters[i].Address == node.Address {
			return ""
		}
		members.Voters[i].Address = node.Address
		return "voter " + node.Id + " has a new address"
	}
	i := memberAt(members.Learners, node.Id)
	if i < 0 {
		members.Learners = append(members.Learners, &schema.Member{Id: node.Id, Address: node.Address, Zone: node.Zone})
		return "node " + node.Id + " has a disk and joins as learner"
	}
	if !f.Progress[node.Id].HasCaughtUp {
		return ""
	}
	learner := members.Learners[i]
	members.Learners = slices.Delete(members.Learners, i, i+1)
	members.Voters = append(members.Voters, learner)
	return "learner " + node.Id + " has caught up and votes"
}

func (f MembershipFacts) dropUnresponsiveLearner(members *schema.Members) string {
	for i, m := range members.Learners {
		if f.Progress[m.Id].SinceHeard > 2*constants.MemberLostAfter {
			members.Learners = slices.Delete(members.Learners, i, i+1)
			return "learner " + m.Id + " is unresponsive"
		}
	}
	return ""
}

// dropUnresponsiveVoter takes out a voter that has not answered for long, if enough of the others are live. Where the
// majority gets smaller without the unresponsive voters, so that one more loss is tolerated, that is done sooner: of
// four voters three must live, and of three that are left only two.
func (f MembershipFacts) dropUnresponsiveVoter(members *schema.Members) string {
	count := len(members.Voters)
	if count <= minimumVoters {
		return ""
	}
	unresponsive, live := 0, 0
	for _, m := range members.Voters {
		switch sinceHeard := f.Progress[m.Id].SinceHeard; {
		case sinceHeard > f.LostAfter:
			unresponsive++
		case sinceHeard < memberAnswersWithin:
			live++
		}
	}
	after := constants.MemberLostAfter
	if majority(count-unresponsive) < majority(count) {
		after = f.LostAfter
	}
	i := slices.IndexFunc(members.Voters, func(m *schema.Member) bool { return f.Progress[m.Id].SinceHeard > after })
	if i < 0 || live < majority(count-1) {
		return ""
	}
	lost := members.Voters[i].Id
	members.Voters = slices.Delete(members.Voters, i, i+1)
	return "voter " + lost + " is unresponsive"
}

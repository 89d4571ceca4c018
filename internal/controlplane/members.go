package controlplane

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// The leader's plan of who keeps the log and votes: one change at a time, each a record that a majority must have.

// votersLeast (voters) are kept even if some are silent: of fewer none may be lost.
const votersLeast = 3

// replacementOf gives the newer process with a disk that speaks at a voter's address under another identity: the voter's disk is gone, so that it never votes again.
func (c *Machine) replacementOf(m *schema.Member) string {
	if c.routed == nil || m.Id == c.self.Id {
		return ""
	}
	was := c.view.Nodes[m.Id].GetIncarnation()
	if g := c.nodes[m.Id]; g != nil {
		was = max(was, g.node.GetIncarnation())
	}
	for _, id := range slices.Sorted(maps.Keys(c.nodes)) {
		if g := c.nodes[id]; id != m.Id && was > 0 && g.node.GetDisk() && g.node.GetAddress() == m.Address && g.node.GetIncarnation() > was && c.now-g.heard <= constants.NodeLostAfter {
			return id
		}
	}
	return ""
}

// planMembers proposes the next change of members, if one is needed; another one follows once a majority has it.
func (c *Machine) planMembers() {
	members := proto.Clone(c.quorum.Members()).(*schema.Members)
	for _, change := range []func(*schema.Members) string{c.dropReplaced, c.admitMember, c.dropUnresponsiveLearner, c.dropUnresponsiveVoter} {
		reason := change(members)
		if reason == "" {
			continue
		}
		record := &schema.Record{Kind: schema.RecordKind_RECORD_MEMBERS, Members: members, Reason: reason}
		if _, _, err := c.quorum.Propose(c.now, record); err == nil {
			c.log.Info("member change proposed", "reason", reason)
		}
		return
	}
}

func memberAt(list []*schema.Member, id string) int {
	return slices.IndexFunc(list, func(m *schema.Member) bool { return m.Id == id })
}

// dropReplaced takes out a voter whose disk is gone: it never votes again, and each such voter raises the majority that the others must be.
func (c *Machine) dropReplaced(members *schema.Members) string {
	for i, m := range members.Voters {
		if replacement := c.replacementOf(m); replacement != "" {
			members.Voters = slices.Delete(members.Voters, i, i+1)
			return "voter " + m.Id + " has lost its disk and is back as " + replacement
		}
	}
	return ""
}

// admitMember takes a machine with a disk in as a learner, and lets a learner vote that has the whole log on its disk.
func (c *Machine) admitMember(members *schema.Members) string {
	for _, id := range slices.Sorted(maps.Keys(c.nodes)) {
		g := c.nodes[id]
		if !c.isFitNode(g.node) || !g.node.Disk || c.now-g.heard > constants.NodeLostAfter || g.node.State == schema.NodeState_NODE_STOPPING {
			continue
		}
		if i := memberAt(members.Voters, id); i >= 0 {
			if members.Voters[i].Address == g.node.Address {
				continue
			}
			members.Voters[i].Address = g.node.Address
			return "voter " + id + " has a new address"
		}
		i := memberAt(members.Learners, id)
		if i < 0 {
			members.Learners = append(members.Learners, &schema.Member{Id: id, Address: g.node.Address, Zone: g.node.Zone})
			return "disk machine " + id + " joins as learner"
		}
		if c.hasCaughtUp(id) {
			learner := members.Learners[i]
			members.Learners = slices.Delete(members.Learners, i, i+1)
			members.Voters = append(members.Voters, learner)
			return "learner " + id + " has caught up and votes"
		}
	}
	return ""
}

// hasCaughtUp tells whether a learner's disk has all that was committed when the members last changed, its own joining among it, and nearly all
// that was committed since: what was acknowledged before a disk was lost is then as safe as it was.
func (c *Machine) hasCaughtUp(id string) bool {
	match := c.quorum.Match(id)
	return match >= c.quorum.MembershipIndex() && match+constants.LearnerGap >= c.quorum.CommitIndex() && c.now-c.quorum.LastContact(id) < time.Second
}

// silence is how long a member has not answered this leader.
func (c *Machine) sinceHeard(id string) time.Duration {
	if id == c.self.Id {
		return 0
	}
	return c.now - max(c.quorum.LastContact(id), c.electedAt)
}

func (c *Machine) dropUnresponsiveLearner(members *schema.Members) string {
	for i, m := range members.Learners {
		if c.sinceHeard(m.Id) > 2*constants.MemberLostAfter {
			members.Learners = slices.Delete(members.Learners, i, i+1)
			return "learner " + m.Id + " is silent"
		}
	}
	return ""
}

// dropUnresponsiveVoter takes out a voter that has been silent for long. Where the majority of the voters gets smaller without the silent ones, so that
// one more loss is borne, that is done sooner: of four voters three must live, and of three that are left only two.
func (c *Machine) dropUnresponsiveVoter(members *schema.Members) string {
	if len(members.Voters) <= votersLeast {
		return ""
	}
	unresponsive, live := 0, 0
	for _, m := range members.Voters {
		switch sinceHeard := c.sinceHeard(m.Id); {
		case sinceHeard > c.timing.LostAfter:
			unresponsive++
		case sinceHeard < time.Second:
			live++
		}
	}
	after := constants.MemberLostAfter
	if majority(len(members.Voters)-unresponsive) < majority(len(members.Voters)) {
		after = c.timing.LostAfter
	}
	isLost := func(m *schema.Member) bool { return c.sinceHeard(m.Id) > after }
	i := slices.IndexFunc(members.Voters, isLost)
	if i < 0 || live < majority(len(members.Voters)-1) {
		return ""
	}
	lost := members.Voters[i].Id
	members.Voters = slices.Delete(members.Voters, i, i+1)
	return "voter " + lost + " is silent"
}

// majority is how many of so many voters must agree.
func majority(voters int) int { return voters/2 + 1 }

// toleratedLosses is how many more voters may be lost before there is no majority, and the voters that are silent already.
func (c *Machine) toleratedLosses() (borne uint32, unresponsive []string) {
	voters := c.quorum.Members().Voters
	for _, m := range voters {
		if c.sinceHeard(m.Id) > c.timing.LostAfter {
			unresponsive = append(unresponsive, m.Id)
		}
	}
	return uint32(max(0, len(voters)-len(unresponsive)-majority(len(voters)))), unresponsive
}

package raft

import (
	"slices"

	"topazshed/internal/schema"
)

// Members returns the newest membership in the log, committed or not: a change is in force from the moment that it is
// in the log.
func (n *Node) Members() *schema.Members {
	members, _ := n.log.members()
	return members
}

// MembershipIndex returns the index of the entry that made the newest membership; the snapshot's index where none in
// the log did.
func (n *Node) MembershipIndex() Index {
	_, index := n.log.members()
	return index
}

// IsVoter tells whether a member has a vote.
func (n *Node) IsVoter(id string) bool { return containsMember(n.Members().Voters, id) }

func containsMember(members []*schema.Member, id string) bool {
	return slices.ContainsFunc(members, func(member *schema.Member) bool { return member.Id == id })
}

// peers returns the other voters and learners, in the order of the membership.
func (n *Node) peers() []*schema.Member {
	members := n.Members()
	var peers []*schema.Member
	for _, member := range slices.Concat(members.Voters, members.Learners) {
		if member.Id != n.id {
			peers = append(peers, member)
		}
	}
	return peers
}

// checkMembershipChange allows one change at a time, and none before an entry of the leader's own term is committed:
// otherwise two majorities that share no member could decide.
func (n *Node) checkMembershipChange() error {
	if n.MembershipIndex() > n.log.committed || !n.HasCommittedInTerm() {
		return &MembershipChangePendingError{}
	}
	return nil
}

// stepDownIfRemoved ends the leadership of a member once a change that takes its vote is committed.
func (n *Node) stepDownIfRemoved() {
	if !n.IsVoter(n.id) && n.MembershipIndex() <= n.log.committed {
		n.becomeFollower(n.term, "")
	}
}

package raft

import (
	"time"

	"topazshed/internal/schema"
)

// election is a candidate's count of votes.
type election struct {
	// isPreVote says that members are only asked whether they would vote: terms don't rise before a majority would.
	isPreVote bool
	granted   map[string]bool
}

// TransferLeadership asks the voter with the longest log to lead instead, and tells whether a transfer is under way.
// Proposals are refused until it has succeeded or an election timeout has passed.
func (n *Node) TransferLeadership(now time.Duration) bool {
	n.now = now
	if n.role != Leader || n.transferee != "" {
		return n.transferee != ""
	}
	best := ""
	for _, voter := range n.Members().Voters {
		if n.canTakeOver(voter.Id) && (best == "" || n.progress[voter.Id].match > n.progress[best].match) {
			best = voter.Id
		}
	}
	if best == "" {
		return false
	}
	n.transferee, n.transferStartedAt = best, now
	n.send(&schema.Raft{Kind: schema.RaftKind_RAFT_TIMEOUT_NOW, To: best})
	return true
}

// canTakeOver tells whether another member has all committed entries and has answered lately.
func (n *Node) canTakeOver(id string) bool {
	p := n.progress[id]
	return id != n.id && p != nil && p.match >= n.log.committed && n.now-p.heardAt < n.timing.ElectionTimeout
}

// campaign starts a pre-vote, or an election in the next term.
func (n *Node) campaign(isPreVote, isTransfer bool) {
	n.leader = ""
	n.become(Candidate)
	n.election = election{isPreVote: isPreVote, granted: map[string]bool{n.id: true}}
	term := n.term + 1
	kind := schema.RaftKind_RAFT_PREVOTE
	if !isPreVote {
		n.term, n.vote = term, n.id
		kind = schema.RaftKind_RAFT_VOTE
	}
	lastIndex, lastTerm := n.log.lastIndex(), n.log.lastTerm()
	for _, voter := range n.Members().Voters {
		if voter.Id != n.id {
			n.send(&schema.Raft{Kind: kind, To: voter.Id, Term: uint64(term),
				Index: uint64(lastIndex), LogTerm: uint64(lastTerm), Handover: isTransfer})
		}
	}
	n.countVotes()
}

// countVotes goes on from a won pre-vote to the election, and from a won election to leading.
func (n *Node) countVotes() {
	voters := n.Members().Voters
	granted := 0
	for _, voter := range voters {
		if n.election.granted[voter.Id] {
			granted++
		}
	}
	switch {
	case granted <= len(voters)/2:
	case n.election.isPreVote:
		n.campaign(false, false)
	default:
		n.become(Leader)
	}
}

// stepPreVote answers whether this member would vote. It changes neither its term nor its vote.
func (n *Node) stepPreVote(m *schema.Raft) {
	isGranted := Term(m.Term) > n.term && !n.hasLiveLeader() && n.role != Leader && n.isUpToDate(m)
	n.send(&schema.Raft{Kind: schema.RaftKind_RAFT_PREVOTE_RESPONSE, To: m.From, Rejected: !isGranted})
}

func (n *Node) stepPreVoteResponse(m *schema.Raft) {
	if Term(m.Term) > n.term {
		n.becomeFollower(Term(m.Term), "")
	} else if n.role == Candidate && n.election.isPreVote && !m.Rejected {
		n.election.granted[m.From] = true
		n.countVotes()
	}
}

// stepVote grants at most one vote a term, and only to a candidate whose log is at least as new.
func (n *Node) stepVote(m *schema.Raft) {
	isGranted := (n.vote == "" || n.vote == m.From) && n.role == Follower && n.isUpToDate(m)
	if isGranted {
		n.vote = m.From
		n.resetElectionTimer(n.now)
	}
	n.send(&schema.Raft{Kind: schema.RaftKind_RAFT_VOTE_RESPONSE, To: m.From, Rejected: !isGranted})
}

func (n *Node) stepVoteResponse(m *schema.Raft) {
	if n.role == Candidate && !n.election.isPreVote && !m.Rejected {
		n.election.granted[m.From] = true
		n.countVotes()
	}
}

// stepTimeoutNow starts an election at once: the leader wants this member to take over.
func (n *Node) stepTimeoutNow() {
	if n.IsVoter(n.id) && n.role != Leader {
		n.campaign(false, true)
	}
}

// isDisruptive tells whether a vote request must be ignored because a leader is known to be alive; one that the
// leader itself caused is not.
func (n *Node) isDisruptive(m *schema.Raft) bool {
	return m.Kind == schema.RaftKind_RAFT_VOTE && !m.Handover && (n.hasLiveLeader() || n.role == Leader)
}

// hasLiveLeader tells whether a leader was heard within the shortest election timeout.
func (n *Node) hasLiveLeader() bool {
	return n.leader != "" && n.now-n.heardLeaderAt < n.timing.ElectionTimeout
}

// isUpToDate tells whether a candidate's log is at least as new as this member's: by last term, then by length.
func (n *Node) isUpToDate(m *schema.Raft) bool {
	lastTerm := n.log.lastTerm()
	return Term(m.LogTerm) > lastTerm || Term(m.LogTerm) == lastTerm && Index(m.Index) >= n.log.lastIndex()
}

// hasQuorum tells whether a majority of the voters has answered this leader within two election timeouts.
func (n *Node) hasQuorum() bool {
	voters := n.Members().Voters
	active := 0
	for _, voter := range voters {
		p := n.progress[voter.Id]
		if voter.Id == n.id || p != nil && n.now-max(p.heardAt, n.electedAt) < 2*n.timing.ElectionTimeout {
			active++
		}
	}
	return active > len(voters)/2
}

// resetElectionTimer draws the time at which an election starts unless a leader is heard before.
func (n *Node) resetElectionTimer(now time.Duration) {
	jitter := time.Duration(n.options.Draw(int64(n.timing.ElectionJitter)))
	n.electionAt = now + n.timing.ElectionTimeout + jitter
}

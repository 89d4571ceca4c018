package controlplane

import "topazshed/internal/raft"

// electionLog remembers what was logged of this node's elections.
type electionLog struct {
	// elected is the newest term in which this node was elected, ended the newest of these that it has led or lost.
	elected raft.Term
	ended   raft.Term
}

// noteElection logs that this member was elected, and that it leads no more before it has committed a record of its term.
func (c *Machine) noteElection() {
	l := &c.elections
	isElected := c.raft.Role() == raft.Leader
	switch {
	case isElected && l.elected != c.raft.Term():
		c.log.Info("this node is elected", "term", c.raft.Term(), "applied", c.state.Version(), "commit", c.raft.CommitIndex(), "last", c.raft.LastIndex())
		l.elected = c.raft.Term()
	case !isElected && l.ended < l.elected:
		c.log.Warn("this node leads no more and has committed no record of its term", "term", l.elected)
		l.ended = l.elected
	}
	if c.IsLeading() {
		l.ended = c.raft.Term()
	}
}

package controlplane

import (
	"topazshed/internal/leader"
	"topazshed/internal/raft"
)

// newDuties makes the leader's duties; a node that keeps no log has them too, but never leads.
func (c *Machine) newDuties() *leader.Leader {
	options := leader.Options{
		Self:      c.self.Id,
		Epoch:     c.options.Epoch,
		Speaks:    c.speaks,
		RiseAfter: c.options.RiseAfter,
		LostAfter: c.timing.LostAfter,
		Logger:    c.log,
	}
	if c.raft != nil {
		options.Log, options.Proposer = c.raft, c.proposals
	}
	if routes := c.options.Routes; routes != nil {
		options.Routes = &leader.RouteOptions{
			LongestLease: routes.LongestLease,
			ListLag:      routes.ListLag,
			Zones:        routes.Zones,
			ColdRate:     routes.ColdRate,
		}
	}
	return leader.New(options)
}

// leaderState gives the replicated state as it is applied now.
func (c *Machine) leaderState() leader.State {
	return leader.State{Now: c.now, System: c.bootstrap.System(), View: c.state.View(), Table: c.state.Table()}
}

// noteElection logs that this member was elected, and that it leads no more before it has committed a record of its term.
func (c *Machine) noteElection() {
	isElected := c.raft.Role() == raft.Leader
	switch {
	case isElected && c.electedTerm != c.raft.Term():
		c.log.Info("this node is elected", "term", c.raft.Term(), "applied", c.state.Version(), "commit", c.raft.CommitIndex(), "last", c.raft.LastIndex())
		c.electedTerm = c.raft.Term()
	case !isElected && c.electedTerm > 0 && c.settledTerm < c.electedTerm:
		c.log.Warn("this node leads no more and has committed no record of its term", "term", c.electedTerm)
		c.settledTerm = c.electedTerm
	}
	if c.IsLeading() {
		c.settledTerm = c.raft.Term()
	}
}

// lead takes up, performs or gives up the leader's duties.
func (c *Machine) lead() {
	c.noteElection()
	if !c.IsLeading() {
		if c.duties.Resign() {
			c.proposals.Reset()
		}
		return
	}
	if c.duties.Elect(c.leaderState()) {
		c.sendHeartbeat()
	}
	c.leader, c.leaderAt = c.self.Address, c.now
	c.effects.Calls = append(c.effects.Calls, c.duties.Step(c.leaderState())...)
}

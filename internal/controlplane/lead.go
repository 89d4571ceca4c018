package controlplane

import "topazshed/internal/leader"

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
	c.leader.observe(c.self.Address, c.now)
	c.effects.Calls = append(c.effects.Calls, c.duties.Step(c.leaderState())...)
}

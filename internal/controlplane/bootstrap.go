package controlplane

import (
	"slices"
	"time"

	"topazshed/internal/bootstrap"
	"topazshed/internal/schema"
)

func (c *Machine) newBootstrap() *bootstrap.Machine {
	options := bootstrap.Options{
		Self:            c.self,
		Seeds:           c.options.Seeds,
		System:          c.options.System,
		IsRejoin:        c.options.Rejoin,
		WasMember:       c.options.Restart && c.options.HardState.GetId() != "",
		IsRestart:       c.options.Restart,
		MixedSeeds:      c.options.Routes != nil,
		TellsFirstStart: c.options.TellsFirstStart,
		InitialCluster:  c.options.InitialCluster,
		Draw:            c.options.Draw,
		Log:             c.log,
	}
	return bootstrap.New(options, c.peerSampler, fleetView{c})
}

// findSystem asks for a system to join, and founds one if that falls to this node; a node whose log has begun does neither.
func (c *Machine) findSystem() {
	hasLog := c.raft != nil && c.raft.LastIndex() > 0
	if hasLog {
		return
	}
	c.sendAll(c.bootstrap.Ask(c.now))
	if c.raft == nil {
		return
	}
	if record := c.bootstrap.Found(c.now); record != nil {
		c.raft.Bootstrap(c.now, record)
	}
}

// seekMembers asks around for members of the log while this node, which keeps none, has no source of rows.
func (c *Machine) seekMembers() {
	_, isSourceAlive := c.subscription.LiveSource(c.now)
	if isSourceAlive && c.state.View().System != "" {
		return
	}
	c.sendAll(c.bootstrap.SeekMembers(c.now))
}

// answerDiscovery tells a node that looks for a system which one this node belongs to, who leads it and whom to ask further.
func (c *Machine) answerDiscovery(from string, request *schema.DiscoverRequest) {
	response := c.bootstrap.Answer(c.now, request)
	response.Leader = c.leader.address
	response.FleetVersion = c.shownFleet()
	c.send(from, &schema.Frame{Body: &schema.Frame_DiscoverResponse{DiscoverResponse: response}})
}

// SetSeeds takes the seeds of changed settings: a node that knows nobody asks them, and the former ones may all be gone.
func (c *Machine) SetSeeds(now time.Duration, seeds []string) {
	c.now = now
	if len(seeds) == 0 || slices.Equal(seeds, c.options.Seeds) {
		return
	}
	c.options.Seeds = slices.Clone(seeds)
	c.peerSampler.SetSeeds(c.options.Seeds)
	c.subscription.SetSeeds(c.options.Seeds)
	c.bootstrap.SetSeeds(c.options.Seeds)
	c.heartbeats.SetSeeds(c.options.Seeds)
	c.log.Info("other seeds are asked from now on", "seeds", seeds)
}

package controlplane

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/operations"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// LocalResponse answers a local operator's request.
type LocalResponse struct {
	Ticket   operations.Ticket
	Response *schema.OperatorResponse
}

// Operate takes a local operator's request; its response comes as an effect that bears the same ticket. A nil caller waits for ever.
func (c *Machine) Operate(now time.Duration, ticket operations.Ticket, request *schema.OperatorRequest, caller operations.Caller) {
	c.now = now
	c.operations.Operate(now, ticket, request, caller)
}

func newOperations(c *Machine) *operations.Manager {
	host := operatorHost{c}
	options := operations.Options{Log: host, Proposer: c.proposals, State: host, Fleet: host, Sender: host, Logger: c.log}
	if c.options.Routes != nil {
		options.Routes = &operations.RouteOptions{Fits: c.options.Routes.Fits, FitsSnapshot: c.options.Routes.FitsSnapshot}
	}
	return operations.New(options)
}

// operatorHost gives the operators' requests what they need of the machine.
type operatorHost struct{ machine *Machine }

func (h operatorHost) IsLeading() bool { return h.machine.IsLeading() }

func (h operatorHost) ConfirmLeadership(now time.Duration, number uint64) error {
	return h.machine.raft.ReadIndex(now, number)
}

func (h operatorHost) Table() *store.Table { return h.machine.state.Table() }

func (h operatorHost) View() *store.View { return h.machine.state.View() }

func (h operatorHost) Changes() []*schema.FailoverChange { return h.machine.state.Changes() }

func (h operatorHost) Leader() (address string, isReachable bool) {
	c := h.machine
	isOther := c.leader.address != "" && c.leader.address != c.self.Address
	return c.leader.address, isOther && c.leader.isRecent(c.now)
}

func (h operatorHost) ToleratedLosses() (count uint32, unresponsive []string) {
	return h.machine.duties.ToleratedLosses(h.machine.leaderState())
}

func (h operatorHost) Unconfirmed(index raft.Index) []string {
	var zones []string
	for _, node := range h.machine.duties.Fleet().Unreached(h.machine.state.View(), index) {
		if !slices.Contains(zones, node.Zone) {
			zones = append(zones, node.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Reports tell where the newest configuration is in force: where the index of its row was reached.
func (h operatorHost) Reports() []*schema.NodeReport {
	c := h.machine
	head := c.state.Table().Get(store.CatalogHeadKey).GetIndex()
	var reports []*schema.NodeReport
	for _, id := range slices.Sorted(maps.Keys(c.state.View().Nodes)) {
		report := c.reportOf(id)
		report.InForce = head > 0 && report.Index >= head
		reports = append(reports, report)
	}
	return reports
}

func (c *Machine) reportOf(id string) *schema.NodeReport {
	if id == c.self.Id {
		return &schema.NodeReport{Id: id, Index: uint64(c.state.Version())}
	}
	record := c.duties.Fleet().Node(id)
	if record == nil || record.LastHeard == 0 {
		return &schema.NodeReport{Id: id, NeverHeard: true}
	}
	return &schema.NodeReport{Id: id, Index: uint64(record.Version), HeardMs: uint32((c.now - record.LastHeard).Milliseconds())}
}

func (h operatorHost) Send(to string, frame *schema.Frame) { h.machine.send(to, frame) }

func (h operatorHost) Respond(ticket operations.Ticket, response *schema.OperatorResponse) {
	effects := &h.machine.effects
	effects.Responses = append(effects.Responses, LocalResponse{ticket, response})
}

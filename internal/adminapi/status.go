package adminapi

import (
	"net/http"
	"slices"
	"strings"

	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// neverRead, as ListMs, says that the platform's list was never read whole; as HeardMs that the leader heard nothing.
const neverRead = -1

// Kinds of failover assignments.
const (
	kindRegion  = "region"
	kindEntity  = "entity"
	kindService = "service"
)

// showStatus gives the node's Status with the leader's part; it succeeds also while no leader answers.
func (s *Server) showStatus(w http.ResponseWriter, r *http.Request) {
	status := s.Status()
	response, err := s.askLeader(r.Context())
	status.addLeaderPart(response, err, s.numberName(s.options.Local().View))
	write(w, http.StatusOK, status)
}

// Status gathers what this node knows; the leader's part is left out.
func (s *Server) Status() *Status {
	local := s.options.Local()
	view := local.View
	status := s.nodeStatus(local)
	if s.options.Self.Disk {
		status.addDisk(s.options.Disk(), local.Members)
	}
	status.addNodes(view)
	if s.options.Routed != nil {
		s.addRouted(status, view)
	}
	for _, service := range view.Services {
		status.addEntries(view, service)
		s.addBackends(status, service)
	}
	status.sort()
	return status
}

// nodeStatus has the node's own state.
func (s *Server) nodeStatus(local *controlplane.Local) *Status {
	now, view := s.options.Now(), local.View
	status := &Status{
		Node:           s.options.Self.Id,
		System:         local.System,
		Role:           local.Role,
		Term:           local.Term,
		Leader:         local.Leader,
		Index:          uint64(view.Version),
		Rows:           local.Rows,
		Configuration:  view.Head.Version,
		Fleet:          view.FleetVersion,
		Newest:         protocolversion.Newest,
		Fit:            s.isFit(now, local),
		ClockMs:        now.Milliseconds(),
		FreshMs:        (now - local.FreshAt).Milliseconds(),
		StaleResponses: local.StaleResponses,
		LeaseMs:        max(0, local.LeaseUntil-now).Milliseconds(),
		ListMs:         neverRead,
		ListFault:      local.ListFault,
		Suspects:       local.Suspects,
		Results:        s.options.Stats(),
	}
	if local.ListAt > 0 {
		status.ListMs = (now - local.ListAt).Milliseconds()
	}
	if s.options.Replica != nil {
		replica := s.options.Replica()
		status.Replica = &ReplicaStatus{Reservations: replica.Reservations, Member: replica.IsMember, Number: replica.SetNumber, Ready: replica.IsReady}
	}
	if s.options.Exceeded != nil {
		status.Exceeded = s.options.Exceeded()
	}
	if s.options.Resting != nil {
		status.Resting = s.options.Resting()
		slices.Sort(status.Resting)
	}
	return status
}

func (s *Status) addDisk(disk Disk, members *schema.Members) {
	s.Disk = &disk
	for _, member := range members.GetVoters() {
		s.Voters = append(s.Voters, member.Id)
	}
	for _, member := range members.GetLearners() {
		s.Learners = append(s.Learners, member.Id)
	}
}

func (s *Status) addNodes(view *store.View) {
	for _, node := range view.Nodes {
		s.Nodes = append(s.Nodes, newNodeStatus(node))
	}
	for _, zone := range view.Zones {
		s.Zones = append(s.Zones, ZoneStatus{zone.Name, zone.Region, zone.Residue, zone.Emptied, zone.Reason})
	}
}

func newNodeStatus(node *schema.Node) NodeStatus {
	speaks, err := protocolversion.ReadSpan(node.SpeaksLow, node.SpeaksHigh)
	if err != nil {
		speaks = protocolversion.Span{Low: protocolversion.First, High: protocolversion.First}
	}
	return NodeStatus{
		ID:         node.Id,
		Peer:       node.Address,
		Proxy:      node.Proxy,
		Admin:      node.Admin,
		Zone:       node.Zone,
		Region:     node.Region,
		Disk:       node.Disk,
		State:      strings.ToLower(strings.TrimPrefix(node.State.String(), "NODE_")),
		SpeaksLow:  speaks.Low,
		SpeaksHigh: speaks.High,
	}
}

func (s *Status) addEntries(view *store.View, service *store.Service) {
	for _, entry := range service.Entries {
		s.Entries = append(s.Entries, entry.Service+entry.Path)
		for _, row := range service.Assignments[entry.Path] {
			s.Assignments = append(s.Assignments, newAssignment(view, row, kindRegion))
		}
		if row := service.Entities[entry.Path]; row != nil && failover.IsEntity(entry) {
			s.Assignments = append(s.Assignments, newEntityAssignment(view, row))
		}
	}
}

func newAssignment(view *store.View, row *schema.FailoverAssignment, kind string) Assignment {
	return Assignment{
		Service: row.Service,
		Path:    row.Path,
		Kind:    kind,
		Region:  row.Region,
		Active:  failover.EntryOwnerName(view, failover.Number(row.Number)),
		Number:  row.Number,
		Fenced:  row.Fenced,
		Reason:  row.Reason,
	}
}

func newEntityAssignment(view *store.View, row *schema.Entity) Assignment {
	return Assignment{
		Service: row.Service,
		Path:    row.Path,
		Kind:    kindEntity,
		Region:  row.Region,
		Active:  failover.EntryOwnerName(view, failover.Number(row.Number)),
		Number:  row.Number,
		Fenced:  row.Fenced,
		Reason:  row.Reason,
	}
}

func (s *Server) addBackends(status *Status, service *store.Service) {
	for _, backend := range service.Backends {
		state := strings.ToLower(strings.TrimPrefix(backend.State.String(), "BACKEND_"))
		if backend.Failing {
			state += ", failing"
		}
		if backend.Cold && s.options.Routed != nil {
			state += ", cold"
		}
		status.Backends = append(status.Backends,
			BackendStatus{backend.Service, backend.Instance, backend.Address, backend.Zone, state})
	}
}

// sort gives every list its order, since the view's maps have none.
func (s *Status) sort() {
	slices.SortFunc(s.Nodes, func(a, b NodeStatus) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Zones, func(a, b ZoneStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(s.Entries)
	slices.SortFunc(s.Assignments, func(a, b Assignment) int {
		return strings.Compare(a.Service+a.Path+a.Kind+a.Region, b.Service+b.Path+b.Kind+b.Region)
	})
	slices.SortFunc(s.Backends, func(a, b BackendStatus) int {
		return strings.Compare(a.Service+a.Instance, b.Service+b.Instance)
	})
}

// addLeaderPart adds what the leader told, or why it did not.
func (s *Status) addLeaderPart(response *schema.OperatorResponse, err error, name func(number uint64) string) {
	if err != nil {
		s.LeaderUnreachable = err.Error()
		return
	}
	s.Unconfirmed = response.Unconfirmed
	s.ToleratedLosses, s.UnresponsiveVoters = response.ToleratedLosses, response.UnresponsiveVoters
	for _, report := range response.Reports {
		s.addReport(report)
	}
	s.Changes = newChanges(response.Changes, name)
}

func (s *Status) addReport(report *schema.NodeReport) {
	for i := range s.Nodes {
		node := &s.Nodes[i]
		if node.ID != report.Id {
			continue
		}
		node.Index, node.HeardMs, node.InForce = report.Index, int64(report.HeardMs), report.InForce
		if report.NeverHeard {
			node.HeardMs = neverRead
		}
	}
}

package main

import (
	"fmt"
	"io"
	"slices"

	"topazshed/internal/adminapi"
	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
)

// rolloutMachine is a machine's part in an upgrade.
type rolloutMachine struct {
	ID       string `json:"id"`
	Zone     string `json:"district"`
	State    string `json:"state"`
	Speaks   string `json:"speaks"`
	IsVoter  bool   `json:"voter"`
	IsNewest bool   `json:"newest"`
}

// rollout is how far a fleet's upgrade has come, and what the next step must wait for.
type rollout struct {
	InUse    protocolversion.Version   `json:"in_use"`
	Newest   protocolversion.Version   `json:"newest"`
	MayRise  protocolversion.Version   `json:"may_rise_to"`
	Holds    []protocolversion.Blocker `json:"holds"`
	Machines []rolloutMachine          `json:"machines"`
	IsSafe   bool                      `json:"safe"`
	Waits    []string                  `json:"waits"`
}

// wait notes a reason not to upgrade the next machine yet.
func (r *rollout) wait(form string, args ...any) {
	r.Waits = append(r.Waits, fmt.Sprintf(form, args...))
}

// assess reads an upgrade's progress off a node's status.
func assess(s *adminapi.Status) rollout {
	r := rollout{InUse: s.Fleet, Newest: s.Newest, Holds: []protocolversion.Blocker{}, Waits: []string{}}
	r.waitForLog(s)
	readers, able := r.assessMachines(s)
	readers = append(readers, r.assessAbsentMembers(s)...)
	if need := len(s.Voters)/2 + 1; len(s.Voters) > 0 && able-1 < need {
		r.wait("%d of %d voters are well; with one of them away fewer than the %d that must agree would be left", able, len(s.Voters), need)
	}
	for _, zone := range s.Zones {
		if zone.Emptied {
			r.wait("zone %s is emptied; restore it first", zone.Name)
		}
	}
	if s.Routed != nil {
		r.waitForKeys(s.Routed)
	}
	own := protocolversion.Span{Low: protocolversion.First, High: s.Newest}
	next, holds := protocolversion.Rise(s.Fleet, own, readers)
	r.MayRise, r.Holds = next, append(r.Holds, holds...)
	r.IsSafe = len(r.Waits) == 0
	return r
}

func (r *rollout) waitForLog(s *adminapi.Status) {
	if s.LeaderUnreachable != "" {
		r.wait("no leader answers (%s); wait until one does", s.LeaderUnreachable)
	}
	if len(s.Voters) == 0 {
		r.wait("this machine does not know the voters; ask the admin address of one with a disk")
	}
	if len(s.Learners) > 0 {
		r.wait("%d machines are learning the log (%v); wait until they vote", len(s.Learners), s.Learners)
	}
}

// assessMachines notes every machine, and counts the voters that are ready and heard.
func (r *rollout) assessMachines(s *adminapi.Status) (readers []protocolversion.Reader, able int) {
	for _, node := range s.Nodes {
		isVoter := slices.Contains(s.Voters, node.ID)
		isHeard := wasHeard(s, node)
		isReady := node.State == stateReady
		switch {
		case !isReady:
			r.wait("machine %s in %s is %s; wait until it is back, or taken out", node.ID, node.Zone, node.State)
		case !isHeard:
			r.wait("machine %s in %s was not heard of late; look at it first", node.ID, node.Zone)
		case hasReports(s) && !node.InForce:
			r.wait("the newest configuration is not in force at machine %s in %s; wait until it is", node.ID, node.Zone)
		}
		if isVoter && isHeard && isReady {
			able++
		}
		span := protocolversion.Span{Low: node.SpeaksLow, High: node.SpeaksHigh}
		readers = append(readers, protocolversion.Reader{ID: node.ID, Span: span, IsVoter: isVoter, IsHeard: isHeard})
		r.Machines = append(r.Machines, rolloutMachine{node.ID, node.Zone, node.State, span.String(), isVoter, span.Has(s.Newest)})
	}
	return readers, able
}

// hasReports tells whether the status has what the leader knows of each machine.
func hasReports(s *adminapi.Status) bool { return s.Routed != nil && s.LeaderUnreachable == "" }

func wasHeard(s *adminapi.Status, node adminapi.NodeStatus) bool {
	if hasReports(s) {
		return node.HeardMs >= 0 && node.HeardMs <= constants.NodeLostAfter.Milliseconds()
	}
	return node.State == stateReady
}

// assessAbsentMembers gives the members of the log that are none of the machines; they are taken to speak the first version.
func (r *rollout) assessAbsentMembers(s *adminapi.Status) []protocolversion.Reader {
	known := map[string]bool{}
	for _, node := range s.Nodes {
		known[node.ID] = true
	}
	first := protocolversion.Span{Low: protocolversion.First, High: protocolversion.First}
	var readers []protocolversion.Reader
	for _, id := range slices.Concat(s.Voters, s.Learners) {
		if !known[id] {
			readers = append(readers, protocolversion.Reader{ID: id, Span: first, IsVoter: true})
			r.wait("member %s of the log is not among the machines; bring it back, or wait until it is taken out", id)
		}
	}
	return readers
}

func (r *rollout) waitForKeys(routed *adminapi.RoutedStatus) {
	for _, service := range routed.Services {
		if service.Unheld > 0 {
			r.wait("%d keys of %s have no owner; wait until they have", service.Unheld, service.Name)
		}
	}
	moving := 0
	for _, span := range routed.Spans {
		if span.Releasing {
			moving++
		}
	}
	if moving > 0 {
		r.wait("%d ranges of keys are moving; wait until they have moved", moving)
	}
}

func (r rollout) print(w io.Writer) {
	line := func(form string, args ...any) { fmt.Fprintf(w, form+"\n", args...) }
	count := 0
	for _, m := range r.Machines {
		if m.IsNewest {
			count++
		}
	}
	line("version  %d in use; %d of %d machines speak the newest, %d", r.InUse, count, len(r.Machines), r.Newest)
	if r.MayRise > r.InUse {
		line("rise     to version %d by itself once this has stood for %v", r.MayRise, constants.FleetRiseAfter)
	}
	for _, m := range r.Machines {
		role := "reader"
		if m.IsVoter {
			role = "voter"
		}
		line("machine  %s in %-12s %-8s %-6s speaks %s", m.ID, m.Zone, m.State, role, m.Speaks)
	}
	for _, hold := range r.Holds {
		line("held by  %s: %s", hold.ID, hold.Reason)
	}
	for _, reason := range r.Waits {
		line("wait     %s", reason)
	}
	if r.IsSafe {
		line("next     the next machine may be taken")
	}
}

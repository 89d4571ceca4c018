package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"topazshed/internal/adminapi"
	"topazshed/internal/constants"
)

const (
	// statusTimeout bounds one machine's answer to doctor.
	statusTimeout = 3 * time.Second
	// stateReady is the state of nodes and back ends that take requests.
	stateReady = "ready"
	// roleLeader is the role of a node that leads the log.
	roleLeader = "leader"
)

func statusOf(admin string) (*adminapi.Status, error) {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + admin + "/v1/status")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	s := &adminapi.Status{}
	return s, json.NewDecoder(response.Body).Decode(s)
}

// examineFleet asks the machine at admin, and all that it knows, for their status.
func examineFleet(admin string, clockSpan time.Duration) findings {
	var found findings
	first, err := statusOf(admin)
	if err != nil {
		found.add("unreachable-door", "name the admin address of a running node", "%v", err)
		return found
	}
	all := append([]*adminapi.Status{first}, examineNodes(&found, first)...)
	leader := findLeader(all)
	if leader == nil {
		found.add("no-quorum", "bring back disk machines until more than half of the voters run", "no node leads with a majority behind it")
	} else {
		examineLeader(&found, leader)
	}
	newest := newestConfiguration(all)
	for _, s := range all {
		examineStatus(&found, s, newest)
	}
	found = append(found, examineClocks(admin, first, clockSpan)...)
	best := first
	if leader != nil {
		best = leader
	}
	found = append(found, examineRoutes(best, all)...)
	examineEntries(&found, best)
	return found
}

// examineNodes gives the status of every node but the first that is ready and answers.
func examineNodes(found *findings, first *adminapi.Status) []*adminapi.Status {
	var answered []*adminapi.Status
	for _, node := range first.Nodes {
		if node.ID == first.Node {
			continue
		}
		if node.State != stateReady {
			found.add("lost-node", "start the machine again, or leave it: the others have taken over",
				"%s in %s is %s", node.ID, node.Zone, node.State)
			continue
		}
		s, err := statusOf(node.Admin)
		if err != nil {
			found.add("unreachable-node", "look at its log; restart it if it hangs", "%s at %s: %v", node.ID, node.Admin, err)
			continue
		}
		answered = append(answered, s)
	}
	return answered
}

// findLeader gives the status of the leader of the highest term that has fresh state; nil if none leads.
func findLeader(all []*adminapi.Status) *adminapi.Status {
	var leader *adminapi.Status
	for _, s := range all {
		if s.Role == roleLeader && s.Fit && (leader == nil || s.Term > leader.Term) {
			leader = s
		}
	}
	return leader
}

func newestConfiguration(all []*adminapi.Status) uint64 {
	newest := uint64(0)
	for _, s := range all {
		newest = max(newest, s.Configuration)
	}
	return newest
}

func examineLeader(found *findings, leader *adminapi.Status) {
	if leader.LeaderUnreachable == "" && leader.ToleratedLosses == 0 {
		found.add("thin-quorum", "bring a disk machine back, empty if need be; with fewer than three voters, add one",
			"%d of %d voters are unresponsive (%s); one more loss stops changes",
			len(leader.UnresponsiveVoters), len(leader.Voters), strings.Join(leader.UnresponsiveVoters, ", "))
	}
	if len(leader.Unconfirmed) > 0 {
		found.add("unconfirmed-change", "bring their links to the voters back, or end those machines: until then they go on as before",
			"the newest operator's change is not confirmed by every proxy of %s", strings.Join(leader.Unconfirmed, ", "))
	}
	if leader.ListMs < 0 || time.Duration(leader.ListMs)*time.Millisecond > constants.StaleList {
		found.add("stale-list", "check the platform setting and the platform itself; back ends stay as last known",
			"the platform's list was last read whole %d ms ago (%s)", leader.ListMs, leader.ListFault)
	}
}

func examineStatus(found *findings, s *adminapi.Status, newest uint64) {
	if s.Configuration < newest {
		found.add("differing-versions", "wait 2.5 s and look again; then check its links to the disk machines",
			"%s has configuration %d, the newest is %d", s.Node, s.Configuration, newest)
	}
	if !s.Fit {
		found.add("unfit-node", "check its links; it refuses requests meanwhile", "%s has no fresh state (%d ms old)", s.Node, s.FreshMs)
	}
	switch disk := s.Disk; {
	case disk == nil:
	case disk.Fault != "":
		found.add("failing-disk", "replace the disk; the machine may come back empty", "%s: %s", s.Node, disk.Fault)
	case time.Duration(disk.WorstMs)*time.Millisecond > constants.SlowSync:
		found.add("slow-disk", "check the disk; a slow leader hands over by itself",
			"%s: worst sync %d ms, last %d ms", s.Node, disk.WorstMs, disk.LastSyncMs)
	}
}

func examineEntries(found *findings, s *adminapi.Status) {
	hasBackend := map[string]bool{}
	for _, backend := range s.Backends {
		if backend.State == stateReady {
			hasBackend[backend.Service] = true
		}
	}
	for _, entry := range s.Entries {
		service, _, _ := strings.Cut(entry, "/")
		if !hasBackend[service] {
			found.add("entry-without-back-end", "start back ends of "+service+" or take the entry out", "%s has no ready back end", entry)
		}
	}
}

package leader

import (
	"slices"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func TestNextMembers(t *testing.T) {
	const (
		now       = startedAt + time.Minute
		lostAfter = 2 * time.Second
	)
	lost := MemberProgress{SinceHeard: constants.MemberLostAfter + 1}
	suspected := MemberProgress{SinceHeard: lostAfter + 1}
	heard := func(nodes ...*schema.Node) map[string]*NodeRecord {
		records := map[string]*NodeRecord{}
		for _, node := range nodes {
			records[node.Id] = &NodeRecord{Node: node, LastHeard: now}
		}
		return records
	}
	at := func(address string, incarnation uint64) func(*schema.Node) {
		return func(node *schema.Node) { node.Address, node.Incarnation = address, incarnation }
	}
	for _, c := range []struct {
		name              string
		voters, learners  []string
		progress          map[string]MemberProgress
		heard             map[string]*NodeRecord
		rows              []*schema.Node
		isUnfit           bool
		replacesByAddress bool
		wantVoters        []string
		wantLearners      []string
		// reason is a part of the reason; an empty one wants no change.
		reason string
	}{
		{name: "nothing changes while all answer", voters: []string{"a", "b", "c"}},
		{name: "a node with a disk joins as learner", voters: []string{"a"}, heard: heard(readyNode("b", withDisk)), wantVoters: []string{"a"}, wantLearners: []string{"b"}, reason: "joins as learner"},
		{name: "a node without a disk doesn't join", voters: []string{"a"}, heard: heard(readyNode("b"))},
		{name: "a node that is stopping doesn't join", voters: []string{"a"}, heard: heard(readyNode("b", withDisk, isStopping))},
		{name: "a node that speaks no version of the fleet doesn't join", voters: []string{"a"}, heard: heard(readyNode("b", withDisk)), isUnfit: true},
		{name: "a node that was heard of long ago doesn't join", voters: []string{"a"},
			heard: map[string]*NodeRecord{"b": {Node: readyNode("b", withDisk), LastHeard: now - constants.NodeLostAfter - 1}}},
		{name: "one node joins at a time", voters: []string{"a"}, heard: heard(readyNode("c", withDisk), readyNode("b", withDisk)), wantVoters: []string{"a"}, wantLearners: []string{"b"}, reason: "node b"},
		{name: "a learner that is behind doesn't vote", voters: []string{"a"}, learners: []string{"b"}, heard: heard(readyNode("b", withDisk))},
		{name: "a learner that has caught up votes", voters: []string{"a"}, learners: []string{"b"}, heard: heard(readyNode("b", withDisk)),
			progress: map[string]MemberProgress{"b": {HasCaughtUp: true}}, wantVoters: []string{"a", "b"}, reason: "has caught up"},
		{name: "an unresponsive learner is dropped after twice the time of a voter", voters: []string{"a"}, learners: []string{"b"},
			progress: map[string]MemberProgress{"b": {SinceHeard: 2*constants.MemberLostAfter + 1}}, wantVoters: []string{"a"}, reason: "learner b is unresponsive"},
		{name: "a learner is kept before that", voters: []string{"a"}, learners: []string{"b"}, progress: map[string]MemberProgress{"b": lost}},
		{name: "a voter at a new address is noted", voters: []string{"a", "b"}, heard: heard(readyNode("b", withDisk, at("b2", 2))), wantVoters: []string{"a", "b"}, reason: "new address"},
		{name: "three voters are kept", voters: []string{"a", "b", "c"}, progress: map[string]MemberProgress{"c": lost}},
		{name: "of four voters an unresponsive one is dropped soon", voters: []string{"a", "b", "c", "d"}, progress: map[string]MemberProgress{"d": suspected}, wantVoters: []string{"a", "b", "c"}, reason: "voter d"},
		{name: "of five voters one is kept for longer", voters: []string{"a", "b", "c", "d", "e"}, progress: map[string]MemberProgress{"e": suspected}},
		{name: "of five voters one is dropped in the end", voters: []string{"a", "b", "c", "d", "e"}, progress: map[string]MemberProgress{"e": lost}, wantVoters: []string{"a", "b", "c", "d"}, reason: "voter e"},
		{name: "of five voters one of two is dropped soon", voters: []string{"a", "b", "c", "d", "e"}, progress: map[string]MemberProgress{"d": suspected, "e": suspected},
			wantVoters: []string{"a", "b", "c", "e"}, reason: "voter d"},
		{name: "none is dropped if too few of the others are live", voters: []string{"a", "b", "c", "d"},
			progress: map[string]MemberProgress{"c": {SinceHeard: memberAnswersWithin}, "d": lost, "b": {SinceHeard: memberAnswersWithin}}},
		{name: "a voter whose disk is gone is dropped", voters: []string{"a", "b", "c"}, heard: heard(readyNode("x", withDisk, at("b", 2))), rows: []*schema.Node{readyNode("b", withDisk)},
			replacesByAddress: true, wantVoters: []string{"a", "c"}, reason: "back as x"},
		{name: "an older process at its address replaces no voter", voters: []string{"a", "b", "c"}, learners: []string{"x"}, heard: heard(readyNode("x", withDisk, at("b", 1))),
			rows: []*schema.Node{readyNode("b", withDisk, at("b", 2))}, replacesByAddress: true},
		{name: "a process of the same incarnation at its address replaces no voter", voters: []string{"a", "b", "c"}, learners: []string{"x"}, heard: heard(readyNode("x", withDisk, at("b", 2))),
			rows: []*schema.Node{readyNode("b", withDisk, at("b", 2))}, replacesByAddress: true},
		{name: "a voter of unknown incarnation is not replaced", voters: []string{"a", "b", "c"}, learners: []string{"x"}, heard: heard(readyNode("x", withDisk, at("b", 2))), replacesByAddress: true},
		{name: "a fleet of entries replaces none by address", voters: []string{"a", "b", "c"}, learners: []string{"x"}, heard: heard(readyNode("x", withDisk, at("b", 2))),
			rows: []*schema.Node{readyNode("b", withDisk)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			facts := MembershipFacts{
				Now:               now,
				Self:              "a",
				Members:           &schema.Members{Voters: members(c.voters...), Learners: members(c.learners...)},
				Progress:          c.progress,
				Heard:             c.heard,
				Rows:              map[string]*schema.Node{},
				IsFit:             func(*schema.Node) bool { return !c.isUnfit },
				ReplacesByAddress: c.replacesByAddress,
				LostAfter:         lostAfter,
			}
			for _, row := range c.rows {
				facts.Rows[row.Id] = row
			}
			next, reason := NextMembers(facts)
			if c.reason == "" {
				if next != nil || reason != "" {
					t.Fatalf("changes to %v, because %s", next, reason)
				}
				return
			}
			if !strings.Contains(reason, c.reason) {
				t.Errorf("the reason is %q, want %q in it", reason, c.reason)
			}
			if got := memberIDs(next.GetVoters()); !slices.Equal(got, c.wantVoters) {
				t.Errorf("voters %v, want %v", got, c.wantVoters)
			}
			if got := memberIDs(next.GetLearners()); !slices.Equal(got, append([]string{}, c.wantLearners...)) {
				t.Errorf("learners %v, want %v", got, c.wantLearners)
			}
			if len(facts.Members.Voters) != len(c.voters) || len(facts.Members.Learners) != len(c.learners) {
				t.Error("the members in force were changed")
			}
		})
	}
}

func TestToleratedLosses(t *testing.T) {
	unresponsive := MemberProgress{SinceHeard: time.Minute}
	for _, c := range []struct {
		name         string
		voters       []string
		unresponsive []string
		want         uint32
	}{
		{"one voter", []string{"a"}, nil, 0},
		{"three voters", []string{"a", "b", "c"}, nil, 1},
		{"four voters", []string{"a", "b", "c", "d"}, nil, 1},
		{"five voters", []string{"a", "b", "c", "d", "e"}, nil, 2},
		{"five voters, one unresponsive", []string{"a", "b", "c", "d", "e"}, []string{"e"}, 1},
		{"no majority answers", []string{"a", "b", "c"}, []string{"b", "c"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			facts := MembershipFacts{Members: &schema.Members{Voters: members(c.voters...)}, Progress: map[string]MemberProgress{}, LostAfter: time.Second}
			for _, id := range c.unresponsive {
				facts.Progress[id] = unresponsive
			}
			tolerated, named := ToleratedLosses(facts)
			if tolerated != c.want || !slices.Equal(named, c.unresponsive) {
				t.Errorf("%d more with %v unresponsive, want %d with %v", tolerated, named, c.want, c.unresponsive)
			}
		})
	}
}

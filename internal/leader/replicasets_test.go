package leader

import (
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestPlanReplicaSets(t *testing.T) {
	const now = startedAt + time.Minute
	setOf := func(isFenced bool, ids ...string) *schema.ReplicaSet {
		return &schema.ReplicaSet{Region: "r", Number: 4, Members: members(ids...), Fenced: isFenced}
	}
	for _, c := range []struct {
		name    string
		present *schema.ReplicaSet
		nodes   []*schema.Node
		// heardFor is how long each node has been heard of; one that is not named was not.
		heardFor map[string]time.Duration
		// behind are the nodes that don't serve as replicas of the present set yet.
		behind []string
		// isLeased tells that a node which has not applied the set's row still has a lease.
		isLeased bool
		// want is the set that is put, nil is none.
		want *schema.ReplicaSet
	}{
		{name: "no set without nodes"},
		{name: "a first set waits for nodes that have just started", nodes: []*schema.Node{readyNode("a"), readyNode("b")}, heardFor: map[string]time.Duration{"a": time.Minute, "b": replicaSettle - 1}},
		{name: "a first set is open", nodes: []*schema.Node{readyNode("a"), readyNode("b")}, heardFor: map[string]time.Duration{"a": time.Minute, "b": replicaSettle},
			want: &schema.ReplicaSet{Number: 1, Members: members("a", "b"), First: true}},
		{name: "a set stays", present: setOf(false, "a", "b"), nodes: []*schema.Node{readyNode("a"), readyNode("b")}, heardFor: map[string]time.Duration{"a": time.Minute, "b": time.Minute}},
		{name: "a set that grows is fenced", present: setOf(false, "a"), nodes: []*schema.Node{readyNode("a"), readyNode("b")}, heardFor: map[string]time.Duration{"a": time.Minute, "b": time.Minute},
			want: &schema.ReplicaSet{Number: 5, Members: members("a", "b"), Former: members("a"), Fenced: true}},
		{name: "a set doesn't grow while a replica is behind", present: setOf(false, "a"), nodes: []*schema.Node{readyNode("a"), readyNode("b")}, heardFor: map[string]time.Duration{"a": time.Minute, "b": time.Minute}, behind: []string{"a"}},
		{name: "a set doesn't grow while a node has just started", present: setOf(false, "a"), nodes: []*schema.Node{readyNode("a"), readyNode("b"), readyNode("c")},
			heardFor: map[string]time.Duration{"a": time.Minute, "b": time.Minute, "c": 0}},
		{name: "a set shrinks at once", present: setOf(false, "a", "b"), nodes: []*schema.Node{readyNode("a"), readyNode("b", isLost)}, heardFor: map[string]time.Duration{"a": time.Minute}, behind: []string{"a"},
			want: &schema.ReplicaSet{Number: 5, Members: members("a"), Former: members("a", "b"), Fenced: true}},
		{name: "a fenced set stays so while a lease holds", present: setOf(true, "a"), nodes: []*schema.Node{readyNode("a")}, heardFor: map[string]time.Duration{"a": time.Minute}, isLeased: true},
		{name: "a fenced set opens once no lease is left", present: setOf(true, "a"), nodes: []*schema.Node{readyNode("a")}, heardFor: map[string]time.Duration{"a": time.Minute},
			want: &schema.ReplicaSet{Number: 4, Members: members("a")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rows := []*schema.Row{regionRow}
			if c.present != nil {
				rows = append(rows, store.EncodeRow(store.ReplicaSetKey("r"), c.present))
			}
			fleet := NewFleet()
			fleet.Elected(startedAt)
			for _, node := range c.nodes {
				rows = append(rows, nodeRow(node))
				if heardFor, isHeard := c.heardFor[node.Id]; isHeard {
					fleet.Heard(now-heardFor, node, &schema.Heartbeat{ReplicaSet: 4, ReplicaReady: !slices.Contains(c.behind, node.Id)})
				}
				if c.isLeased {
					fleet.GiveLease(now, node.Id, constants.LeaseDuration)
				}
			}
			records := fleet.PlanReplicaSets(newState(t, now, rows...))
			if c.want == nil {
				if len(records) > 0 {
					t.Fatalf("%v", records)
				}
				return
			}
			if len(records) != 1 {
				t.Fatalf("%d records", len(records))
			}
			got := store.DecodeRow[schema.ReplicaSet](records[0].Rows[0])
			isSame := got.Number == c.want.Number && got.Fenced == c.want.Fenced && got.First == c.want.First
			if !isSame || !slices.Equal(memberIDs(got.Members), memberIDs(c.want.Members)) || !slices.Equal(memberIDs(got.Former), memberIDs(c.want.Former)) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

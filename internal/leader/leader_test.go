package leader

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func newTestLeader(log *fakeLog, proposer *fakeProposer, routes *RouteOptions) *Leader {
	return New(Options{Self: "l", LostAfter: 2 * time.Second, Log: log, Proposer: proposer, Logger: slog.New(slog.DiscardHandler), Routes: routes})
}

func TestHeartbeatsAreAcceptedFromKnownNodes(t *testing.T) {
	short := &schema.Node{Id: "n", State: schema.NodeState_NODE_READY, Incarnation: 1}
	for _, c := range []struct {
		name       string
		rows       []*schema.Row
		node       *schema.Node
		isAccepted bool
		// isUrgent tells whether the leader should plan at once.
		isUrgent bool
	}{
		{"no description", []*schema.Row{systemRow}, nil, false, false},
		{"a new node", []*schema.Row{systemRow}, readyNode("n"), true, true},
		{"a known node", []*schema.Row{nodeRow(readyNode("n"))}, readyNode("n"), true, false},
		{"a known node that tells only its state", []*schema.Row{nodeRow(readyNode("n"))}, short, true, false},
		{"a known node in another state", []*schema.Row{nodeRow(readyNode("n"))}, readyNode("n", isStopping), true, true},
		{"an unknown node that tells only its state", []*schema.Row{systemRow}, short, false, false},
		{"a node of an impossible span of versions", []*schema.Row{systemRow}, readyNode("n", speaks(3, 2)), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeader(&fakeLog{}, &fakeProposer{}, nil)
			l.plannedAt = startedAt
			isAccepted := l.TakeHeartbeat(newState(t, startedAt, c.rows...), &schema.Heartbeat{Node: c.node})
			if isAccepted != c.isAccepted || (l.Fleet().Node("n") != nil) != c.isAccepted {
				t.Errorf("accepted: %v", isAccepted)
			}
			if isUrgent := l.plannedAt == 0; isUrgent != c.isUrgent {
				t.Errorf("planned at once: %v", isUrgent)
			}
		})
	}
}

func TestLeasesEndWithTheConfirmationOfLeadership(t *testing.T) {
	const fence = raft.Index(5)
	for _, c := range []struct {
		name        string
		row         *schema.Node
		version     uint64
		confirmedAt time.Duration
		want        time.Duration
	}{
		{"confirmed just now", readyNode("n"), 5, startedAt, constants.LeaseDuration},
		{"confirmed a while ago", readyNode("n"), 5, startedAt - time.Second, constants.LeaseDuration - time.Second},
		{"confirmed too long ago", readyNode("n"), 5, startedAt - constants.LeaseDuration, 0},
		{"behind the newest fence", readyNode("n"), 4, startedAt, 0},
		{"no row yet", nil, 5, startedAt, 0},
		{"a row in another state", readyNode("n", isLost), 5, startedAt, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			rows := []*schema.Row{systemRow}
			if c.row != nil {
				rows = append(rows, nodeRow(c.row))
			}
			l := newTestLeader(&fakeLog{confirmedAt: c.confirmedAt}, &fakeProposer{}, nil)
			state := newState(t, startedAt, rows...)
			l.TakeHeartbeat(state, &schema.Heartbeat{Node: readyNode("n"), Version: c.version})
			if got := l.GrantLease(state, "n", fence); got != c.want {
				t.Errorf("a lease of %v, want %v", got, c.want)
			}
			wantUntil := time.Duration(0)
			if c.want > 0 {
				wantUntil = startedAt + c.want + constants.LeaseClockMargin
			}
			if got := l.Fleet().Node("n").LeaseUntil; got != wantUntil {
				t.Errorf("noted until %v, want %v", got, wantUntil)
			}
		})
	}
}

func TestStepsComeAtTheirPaceOrWhenAskedFor(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  time.Duration
		ask    func(*Leader)
		isStep bool
	}{
		{"too soon", constants.FailoverPlanEvery - 1, func(*Leader) {}, false},
		{"in time", constants.FailoverPlanEvery, func(*Leader) {}, true},
		{"asked for", 1, (*Leader).PlanNow, true},
		{"the list was read", 1, func(l *Leader) { l.Take(startedAt, Listing{}) }, true},
		{"rows of a service have changed", 1, func(l *Leader) { l.RowsApplied([]*schema.Row{{Key: store.ServicePolicyKey("s")}}) }, true},
		{"rows of nodes have changed", 1, func(l *Leader) { l.RowsApplied([]*schema.Row{nodeRow(readyNode("n"))}) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			proposer := &fakeProposer{}
			l := newTestLeader(&fakeLog{members: &schema.Members{Voters: members("l")}}, proposer, &RouteOptions{})
			state := newState(t, startedAt, regionRow)
			l.Elect(state)
			l.Step(state)
			before := len(proposer.records)
			if before == 0 {
				t.Fatal("the first step proposed nothing")
			}
			c.ask(l)
			state.Now += c.after
			l.Step(state)
			if isStep := len(proposer.records) > before; isStep != c.isStep {
				t.Errorf("stepped: %v", isStep)
			}
		})
	}
}

func TestALeaderThatResignsForgets(t *testing.T) {
	for _, c := range []struct {
		name   string
		routes *RouteOptions
	}{{"entries", nil}, {"routes", &RouteOptions{}}} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeader(&fakeLog{members: &schema.Members{Voters: members("l")}}, &fakeProposer{}, c.routes)
			state := newState(t, startedAt, systemRow)
			if l.Resign() {
				t.Error("resigned before it led")
			}
			if !l.Elect(state) || l.Elect(state) {
				t.Error("an election is news once")
			}
			l.TakeHeartbeat(state, &schema.Heartbeat{Node: readyNode("n")})
			if !l.Resign() || l.Resign() {
				t.Error("a resignation is news once")
			}
			if l.Fleet().Node("n") != nil {
				t.Error("a node is remembered")
			}
		})
	}
}

func TestANewLeaderOfEntriesWaitsBeforeItMovesServices(t *testing.T) {
	backend := store.EncodeRow(store.BackendKey("s", "i"), &schema.Backend{Service: "s", Instance: "i", Address: "i", Zone: "z", State: schema.BackendState_BACKEND_READY})
	for _, c := range []struct {
		name  string
		rows  []*schema.Row
		after time.Duration
		plans bool
	}{
		{"no service yet", nil, 0, true},
		{"a service, too soon", []*schema.Row{backend}, constants.FailoverSettle - 1, false},
		{"a service, in time", []*schema.Row{backend}, constants.FailoverSettle, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			node := readyNode("n")
			proposer := &fakeProposer{}
			log := &fakeLog{members: &schema.Members{Voters: members("l")}}
			l := newTestLeader(log, proposer, nil)
			state := newState(t, startedAt, append([]*schema.Row{systemRow, regionRow, zoneRow, nodeRow(node)}, c.rows...)...)
			l.Elect(state)
			l.Fleet().Heard(startedAt-replicaSettle, node, &schema.Heartbeat{})
			state.Now += c.after
			l.Fleet().Heard(state.Now, node, &schema.Heartbeat{})
			l.Step(state)
			hasSet := slices.ContainsFunc(proposer.records, func(r *schema.Record) bool { return r.Rows[0].Key == store.ReplicaSetKey("r") })
			if hasSet != c.plans {
				t.Errorf("a replica set was proposed: %v", hasSet)
			}
		})
	}
}

func TestHealthReportsCountUntilTheirNodeIsLost(t *testing.T) {
	failing := []*schema.HealthReport{{Instance: "i", Failing: true}}
	for _, c := range []struct {
		name string
		// since is how long ago the nodes were heard of.
		since     time.Duration
		isFailing bool
	}{
		{"heard of lately", 0, true},
		{"lost", 5 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			proposer := &fakeProposer{}
			l := newTestLeader(&fakeLog{members: &schema.Members{Voters: members("l")}}, proposer, nil)
			backend := store.EncodeRow(store.BackendKey("s", "i"), &schema.Backend{Service: "s", Instance: "i", Address: "i", Zone: "z", State: schema.BackendState_BACKEND_READY})
			state := newState(t, startedAt, systemRow, regionRow, zoneRow, nodeRow(readyNode("n")), nodeRow(readyNode("m")), backend)
			l.Elect(state)
			for _, id := range []string{"n", "m"} {
				l.TakeHeartbeat(state, &schema.Heartbeat{Node: readyNode(id), Health: failing})
			}
			state.Now += constants.FailoverSettle + c.since
			if c.since == 0 {
				for _, id := range []string{"n", "m"} {
					l.TakeHeartbeat(state, &schema.Heartbeat{Node: readyNode(id), Health: failing})
				}
			}
			l.Step(state)
			isFailing := slices.ContainsFunc(proposer.records, func(r *schema.Record) bool {
				return slices.ContainsFunc(r.Rows, func(row *schema.Row) bool {
					return row.Key == store.BackendKey("s", "i") && store.DecodeRow[schema.Backend](row).GetFailing()
				})
			})
			if isFailing != c.isFailing {
				t.Errorf("the back end is marked as failing: %v", isFailing)
			}
		})
	}
}

func TestProgressOfMembers(t *testing.T) {
	const now = startedAt + time.Minute
	for _, c := range []struct {
		name string
		id   string
		// matched, changedAt and last are indexes: of the member's log, of the newest change of members and of the log.
		matched, changedAt, last raft.Index
		answeredAt               time.Duration
		want                     MemberProgress
	}{
		{"this leader itself", "l", 0, 9, 9, 0, MemberProgress{}},
		{"it has all", "m", 9, 5, 9, now, MemberProgress{HasCaughtUp: true}},
		{"it lacks the newest change of members", "m", 4, 5, 9, now, MemberProgress{}},
		{"it lacks few items", "m", 9, 5, 9 + constants.LearnerGap, now, MemberProgress{HasCaughtUp: true}},
		{"it lacks many items", "m", 9, 5, 10 + constants.LearnerGap, now, MemberProgress{}},
		{"it has not answered lately", "m", 9, 5, 9, now - memberAnswersWithin, MemberProgress{SinceHeard: memberAnswersWithin}},
		{"the time before the election doesn't count", "m", 9, 5, 9, 0, MemberProgress{SinceHeard: time.Minute}},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := &fakeLog{members: &schema.Members{}, matched: c.matched, changedAt: c.changedAt, last: c.last, answeredAt: c.answeredAt}
			l := newTestLeader(log, &fakeProposer{}, nil)
			l.Elect(newState(t, startedAt, systemRow))
			if got := l.progress(now, c.id); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

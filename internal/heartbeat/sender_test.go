package heartbeat

import (
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

const (
	begin    = time.Hour
	interval = 200 * time.Millisecond
)

// fakeFleet is the nodes that a test lets a node know; the rows list them all but for unlisted.
type fakeFleet struct {
	nodes    []*schema.Node
	unlisted []string
}

func (f *fakeFleet) IsListed(id string) bool { return !slices.Contains(f.unlisted, id) }

func (f *fakeFleet) Addresses(isFit func(*schema.Node) bool) []string {
	var addresses []string
	for _, node := range f.nodes {
		if isFit(node) {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

// newSender makes the sender of node n, which knows the member m of the log and the reader r; its draws are 0 and its first serial is 1.
func newSender(t *testing.T, change func(*Options)) (*Sender, *fakeFleet) {
	t.Helper()
	options := Options{
		Self:     &schema.Node{Id: "n", Address: "n", Zone: "z", State: schema.NodeState_NODE_READY},
		Seeds:    []string{"seed"},
		Draw:     func(int64) int64 { return 0 },
		Interval: interval,
	}
	if change != nil {
		change(&options)
	}
	fleet := &fakeFleet{nodes: []*schema.Node{{Id: "r", Address: "r"}, {Id: "m", Address: "m", Disk: true}}}
	return NewSender(options, fleet), fleet
}

func relayed(options *Options) { options.IsRelayed = true }

func TestHeartbeatsAreDueAtTheirIntervalAndWhenHastened(t *testing.T) {
	sender, _ := newSender(t, nil)
	if !sender.IsDue(begin) {
		t.Fatal("the first heartbeat is not due")
	}
	sender.Send(begin, Facts{})
	if sender.IsDue(begin+interval-1) || !sender.IsDue(begin+interval) {
		t.Fatal("the next heartbeat is not due after the interval")
	}
	sender.Hasten()
	if !sender.IsDue(begin + 1) {
		t.Fatal("a hastened heartbeat is not due")
	}
}

func TestWhereAHeartbeatGoes(t *testing.T) {
	seen := Leader{Address: "l", SeenAt: begin}
	doubted := Leader{Address: "l", SeenAt: begin - leaderDoubtedAfter - 1}
	lost := Leader{Address: "l", SeenAt: begin - constants.NodeLostAfter - 1}
	for _, c := range []struct {
		name   string
		change func(*Options)
		facts  Facts
		// unlisted says that the rows don't have this node yet; noMembers that it knows no member of the log.
		unlisted  bool
		noMembers bool
		odd, even string
	}{
		{"to the leader", nil, Facts{Leader: seen}, false, false, "l", "l"},
		{"to a member if no leader is known", nil, Facts{}, false, false, "m", "m"},
		{"to a seed if no member is known either", nil, Facts{}, false, true, "seed", "seed"},
		{"every second one to a member while the leader is doubted", nil, Facts{Leader: doubted}, false, false, "l", "m"},
		{"to a member if this node was the leader", nil, Facts{Leader: Leader{Address: "n", SeenAt: begin}}, false, false, "m", "m"},
		{"to itself while it leads", nil, Facts{Leader: Leader{Address: "n", SeenAt: begin}, IsLeader: true}, false, false, "", ""},
		{"relayed: to the relay", relayed, Facts{Leader: seen, Relay: "relay"}, false, false, "relay", "relay"},
		{"relayed: to the leader without a relay", relayed, Facts{Leader: seen}, false, false, "l", "l"},
		{"relayed: to a member if there is no sign of the leader", relayed, Facts{Leader: lost}, false, false, "m", "m"},
		{"relayed: every second one to the leader while the rows lack this node", relayed, Facts{Leader: seen, Relay: "relay"}, true, false, "relay", "l"},
		{"relayed: to itself while it leads", relayed, Facts{Leader: Leader{Address: "n", SeenAt: begin}, IsLeader: true}, false, false, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			sender, fleet := newSender(t, c.change)
			if c.unlisted {
				fleet.unlisted = []string{"n"}
			}
			if c.noMembers {
				fleet.nodes = nil
			}
			c.facts.Node = &schema.Node{Id: "n", Address: "n"}
			odd := sender.Send(begin, c.facts)
			even := sender.Send(begin, c.facts)
			if odd.Heartbeat.Serial != 1 || even.Heartbeat.Serial != 2 {
				t.Fatalf("numbered %d and %d", odd.Heartbeat.Serial, even.Heartbeat.Serial)
			}
			if odd.To != c.odd || even.To != c.even {
				t.Fatalf("sent to %q and %q, want %q and %q", odd.To, even.To, c.odd, c.even)
			}
		})
	}
}

func TestAHeartbeatCarriesWhatTheNodeReports(t *testing.T) {
	sender, _ := newSender(t, nil)
	sender.SetHealthReports([]*schema.HealthReport{{Instance: "i-0"}})
	sender.SetReservationReplica(4, true)
	sender.SetOldestIndex(5)
	heartbeat := sender.Send(begin, Facts{Node: &schema.Node{Id: "n"}, Version: 6, Suspects: []string{"s"}}).Heartbeat
	if len(heartbeat.Health) != 1 || heartbeat.ReplicaSet != 4 || !heartbeat.ReplicaReady || heartbeat.OldestIndex != 5 ||
		heartbeat.Version != 6 || len(heartbeat.Suspects) != 1 || heartbeat.Node.Id != "n" {
		t.Fatalf("heartbeat %v", heartbeat)
	}
}

func TestTheLoadIsReportedOnceInAWhile(t *testing.T) {
	spans := []time.Duration{}
	sender, _ := newSender(t, func(options *Options) {
		options.IsRelayed = true
		options.Load = func(since time.Duration) []*schema.ShardLoad {
			spans = append(spans, since)
			return []*schema.ShardLoad{{}}
		}
	})
	for i := range 3 {
		now := begin + time.Duration(i)*constants.LoadEvery/2
		isReported := len(sender.Send(now, Facts{}).Heartbeat.Load) > 0
		if isReported != (i%2 == 0) {
			t.Errorf("heartbeat %d reports the load: %v", i, isReported)
		}
	}
	if len(spans) != 2 || spans[1] != constants.LoadEvery {
		t.Errorf("spans %v", spans)
	}
}

func TestALeaseCountsFromItsHeartbeat(t *testing.T) {
	const lease = time.Second
	for _, c := range []struct {
		name    string
		from    string
		serial  uint64
		isOwn   bool
		isStale bool
	}{
		{"granted by the node that was asked", "l", 1, true, false},
		{"from another node", "x", 1, false, true},
		{"for a heartbeat that was never sent", "l", 7, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sender, _ := newSender(t, nil)
			sender.Send(begin, Facts{Leader: Leader{Address: "l", SeenAt: begin}})
			now := begin + 300*time.Millisecond
			response := &schema.HeartbeatResponse{Accepted: true, Serial: c.serial, LeaseMs: uint32(lease.Milliseconds())}
			leader := sender.TakeResponse(now, c.from, response, "l")
			if leader == nil || *leader != (Leader{Address: c.from, SeenAt: now}) {
				t.Errorf("leader %v", leader)
			}
			want := time.Duration(0)
			if c.isOwn {
				want = begin + lease
			}
			if sender.LeaseUntil() != want {
				t.Errorf("lease until %v, want %v", sender.LeaseUntil(), want)
			}
			if isStale := sender.StaleResponses() > 0; isStale != c.isStale {
				t.Errorf("counted as stale: %v, want %v", isStale, c.isStale)
			}
		})
	}
}

func TestALeaseNeverGetsShorter(t *testing.T) {
	sender, _ := newSender(t, nil)
	facts := Facts{Leader: Leader{Address: "l", SeenAt: begin}}
	sender.Send(begin, facts)
	sender.Send(begin+interval, facts)
	sender.TakeResponse(begin+interval, "l", &schema.HeartbeatResponse{Accepted: true, Serial: 2, LeaseMs: 1000}, "l")
	sender.TakeResponse(begin+interval, "l", &schema.HeartbeatResponse{Accepted: true, Serial: 1, LeaseMs: 1000}, "l")
	if want := begin + interval + time.Second; sender.LeaseUntil() != want {
		t.Fatalf("lease until %v, want %v", sender.LeaseUntil(), want)
	}
}

func TestAnotherLeaderIsTakenFromWhoRefuses(t *testing.T) {
	for _, c := range []struct {
		name  string
		named string
		isNew bool
	}{
		{"a leader that was not known", "new", true},
		{"the known one", "l", false},
		{"the one who answers", "x", false},
		{"none", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sender, _ := newSender(t, nil)
			sender.Send(begin, Facts{})
			leader := sender.TakeResponse(begin, "x", &schema.HeartbeatResponse{Leader: c.named, Serial: 1, LeaseMs: 1000}, "l")
			if isNew := leader != nil; isNew != c.isNew || isNew && leader.Address != c.named {
				t.Fatalf("leader %v, want %q", leader, c.named)
			}
			if sender.IsDue(begin+1) != c.isNew || sender.LeaseUntil() != 0 {
				t.Fatalf("due %v, lease until %v", sender.IsDue(begin+1), sender.LeaseUntil())
			}
		})
	}
}

func TestOtherSeedsAreUsedOnceTheyAreSet(t *testing.T) {
	sender, fleet := newSender(t, nil)
	fleet.nodes = nil
	sender.SetSeeds([]string{"new"})
	if to := sender.Send(begin, Facts{}).To; to != "new" {
		t.Fatalf("sent to %q", to)
	}
}

package heartbeat

import (
	"fmt"
	"testing"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func peer(address string, state schema.NodeState) *schema.Node {
	return &schema.Node{Id: "b", Address: address, Zone: "z", Region: "r", State: state}
}

func TestARelayJoinsTheReportsOfOneNode(t *testing.T) {
	sender, _ := newSender(t, relayed)
	ready := peer("b", schema.NodeState_NODE_READY)
	for _, instance := range []string{"i-1", "i-2"} {
		sender.Relay(&schema.Heartbeat{Node: ready, Health: []*schema.HealthReport{{Instance: instance, Failing: true}}})
	}
	sender.Relay(&schema.Heartbeat{Node: ready})
	heartbeats := sender.Send(begin, Facts{}).Heartbeat.Relayed
	if len(heartbeats) != 1 || len(heartbeats[0].Health) != 2 {
		t.Fatalf("the relay passes on %v", heartbeats)
	}
	if again := sender.Send(begin, Facts{}).Heartbeat.Relayed; len(again) > 0 {
		t.Fatalf("passed on twice: %v", again)
	}
}

func TestAnAbridgedHeartbeatKeepsWhatAnEarlierOneTold(t *testing.T) {
	const ready, stopping = schema.NodeState_NODE_READY, schema.NodeState_NODE_STOPPING
	load := func(service string) []*schema.ShardLoad { return []*schema.ShardLoad{{Service: service}} }
	for _, c := range []struct {
		name    string
		earlier *schema.Heartbeat
		later   *schema.Heartbeat
		address string
		load    string
	}{
		{"the description", &schema.Heartbeat{Node: peer("b", ready)}, &schema.Heartbeat{Node: peer("", ready)}, "b", ""},
		{"not one of another state", &schema.Heartbeat{Node: peer("b", ready)}, &schema.Heartbeat{Node: peer("", stopping)}, "", ""},
		{"not one that is told anew", &schema.Heartbeat{Node: peer("b", ready)}, &schema.Heartbeat{Node: peer("b2", ready)}, "b2", ""},
		{"the load", &schema.Heartbeat{Node: peer("b", ready), Load: load("old")}, &schema.Heartbeat{Node: peer("b", ready)}, "b", "old"},
		{"not a load that is told anew", &schema.Heartbeat{Node: peer("b", ready), Load: load("old")}, &schema.Heartbeat{Node: peer("b", ready), Load: load("new")}, "b", "new"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sender, _ := newSender(t, relayed)
			sender.Relay(c.earlier)
			sender.Relay(c.later)
			heartbeats := sender.Send(begin, Facts{}).Heartbeat.Relayed
			if len(heartbeats) != 1 {
				t.Fatalf("passed on %v", heartbeats)
			}
			service := ""
			if len(heartbeats[0].Load) > 0 {
				service = heartbeats[0].Load[0].Service
			}
			if heartbeats[0].Node.Address != c.address || service != c.load {
				t.Fatalf("passed on %v, want address %q and load %q", heartbeats[0], c.address, c.load)
			}
		})
	}
}

func TestRelayedHeartbeatsOfRelaysAreFlattened(t *testing.T) {
	sender, _ := newSender(t, relayed)
	sender.Relay(&schema.Heartbeat{Node: &schema.Node{Id: "d"}, Relayed: []*schema.Heartbeat{{Node: &schema.Node{Id: "c"}}}})
	sender.Relay(&schema.Heartbeat{Node: &schema.Node{Id: "a"}})
	ids := []string{}
	for _, heartbeat := range sender.Send(begin, Facts{}).Heartbeat.Relayed {
		ids = append(ids, heartbeat.Node.Id)
		if len(heartbeat.Relayed) > 0 {
			t.Errorf("%s still carries others", heartbeat.Node.Id)
		}
	}
	if got := fmt.Sprint(ids); got != "[a c d]" {
		t.Fatalf("passed on %s", got)
	}
}

func TestUrgentHeartbeatsArePassedOnAtOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		node     *schema.Node
		unlisted []string
		isUrgent bool
	}{
		{"a node that stops", peer("", schema.NodeState_NODE_STOPPING), nil, true},
		{"a node that the rows lack", peer("b", schema.NodeState_NODE_READY), []string{"b"}, true},
		{"not one of which only the id is known", peer("", schema.NodeState_NODE_READY), []string{"b"}, false},
		{"not a listed node", peer("b", schema.NodeState_NODE_READY), nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sender, fleet := newSender(t, relayed)
			fleet.unlisted = c.unlisted
			sender.Send(begin, Facts{})
			sender.Relay(&schema.Heartbeat{Node: c.node})
			if sender.IsDue(begin+1) != c.isUrgent {
				t.Fatalf("due at once: %v, want %v", sender.IsDue(begin+1), c.isUrgent)
			}
		})
	}
}

func TestTheDescriptionIsAbridgedMostOfTheTime(t *testing.T) {
	const rounds = 2 * constants.FullHeartbeatEvery
	for _, c := range []struct {
		name string
		// disturb changes something before the heartbeat of that number.
		disturb func(serial int, self *schema.Node, facts *Facts)
		want    func(serial int) bool
	}{
		{"full at first and once in a while", func(int, *schema.Node, *Facts) {}, func(int) bool { return false }},
		{"full to another target", func(serial int, _ *schema.Node, facts *Facts) {
			if serial >= 3 {
				facts.Relay = "other"
			}
		}, func(serial int) bool { return serial == 3 }},
		{"full in another state", func(serial int, self *schema.Node, _ *Facts) {
			if serial >= 3 {
				self.State = schema.NodeState_NODE_STOPPING
			}
		}, func(serial int) bool { return serial == 3 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			sender, _ := newSender(t, relayed)
			facts := Facts{Relay: "relay"}
			for serial := 1; serial <= rounds; serial++ {
				c.disturb(serial, sender.options.Self, &facts)
				facts.Node = &schema.Node{Id: "n", Address: "n"}
				node := sender.Send(begin, facts).Heartbeat.Node
				isFull := node.Address != ""
				if want := serial%constants.FullHeartbeatEvery == 1 || c.want(serial); isFull != want {
					t.Errorf("heartbeat %d is full: %v, want %v", serial, isFull, want)
				}
			}
		})
	}
}

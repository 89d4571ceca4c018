package membership

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func TestViewsStayPartialAndReachAll(t *testing.T) {
	for seed := range int64(5) {
		random := rand.New(rand.NewSource(seed))
		nodes := map[string]*Sampler{}
		for i := range 60 {
			name := fmt.Sprintf("n%02d", i)
			nodes[name] = New(Options{Self: &schema.Node{Id: name, Address: name}, Seeds: []string{"n00", "n01", "n02"}, Draw: random.Int63n})
		}
		met := map[string]map[string]bool{}
		for now := time.Hour; now < time.Hour+60*time.Second; now += 250 * time.Millisecond {
			for i := range 60 {
				name := fmt.Sprintf("n%02d", i)
				var deliver func(from string, sends []Send)
				deliver = func(from string, sends []Send) {
					for _, s := range sends {
						to := nodes[s.To]
						to.Heard(now, from)
						nodes[from].Heard(now, s.To)
						if shuffle := s.Frame.GetShuffle(); shuffle != nil {
							deliver(s.To, to.Shuffle(from, shuffle))
						}
					}
				}
				deliver(name, nodes[name].Tick(now))
				if met[name] == nil {
					met[name] = map[string]bool{}
				}
				for _, known := range nodes[name].Known() {
					met[name][known.Id] = true
				}
				if n := len(nodes[name].Known()); n > constants.ActiveView+constants.PassiveView {
					t.Fatalf("%s knows %d nodes", name, n)
				}
			}
		}
		for name, known := range met {
			if len(known) < 50 {
				t.Errorf("seed %d: %s met only %d of 59 others", seed, name, len(known))
			}
		}
	}
}

func TestSuspicion(t *testing.T) {
	self := &schema.Node{Id: "a", Address: "a", Incarnation: 5}
	n := New(Options{Self: self, Seeds: []string{"a", "b", "c"}, Draw: func(int64) int64 { return 0 }})
	n.Learn(&schema.Node{Id: "b", Address: "b", Incarnation: 1})
	now := time.Hour
	n.Tick(now)
	n.Tick(now + constants.ProbeWait + time.Second)
	if got := n.Suspects(); len(got) != 1 || got[0] != "b" {
		t.Fatalf("suspects %v", got)
	}
	n.Heard(now, "b")
	if len(n.Suspects()) != 0 {
		t.Fatal("a node that spoke is still suspected")
	}
	n.Learn(&schema.Node{Id: "a", Incarnation: 9, State: schema.NodeState_NODE_LOST})
	if self.Incarnation != 10 {
		t.Fatalf("called lost at 9, it raised its incarnation to %d", self.Incarnation)
	}
}

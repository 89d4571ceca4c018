package membership

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/frame"
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
				var deliver func(from string, sends []frame.Envelope)
				deliver = func(from string, sends []frame.Envelope) {
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

func TestAPeerThatDoesNotAnswerIsSuspectedUntilItSpeaks(t *testing.T) {
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

const (
	lost  = schema.NodeState_NODE_LOST
	ready = schema.NodeState_NODE_READY
	begin = time.Hour
)

func newSampler(t *testing.T, change func(*Options)) *Sampler {
	t.Helper()
	options := Options{Self: &schema.Node{Id: "self", Address: "self", Region: "home", Incarnation: 5}, Seeds: []string{"seed"}, Draw: func(int64) int64 { return 0 }}
	if change != nil {
		change(&options)
	}
	return New(options)
}

func TestWhatIsLearnedOfANode(t *testing.T) {
	for _, c := range []struct {
		name string
		// isActive says that the node is in the active view when it is told of anew.
		isActive bool
		earlier  *schema.Node
		later    *schema.Node
		want     string
	}{
		{"a new one", false, nil, &schema.Node{Id: "b", Address: "b"}, "b at b, incarnation 0"},
		{"none without an address", false, nil, &schema.Node{Id: "b"}, ""},
		{"none without an id", false, nil, &schema.Node{Address: "b"}, ""},
		{"not this node itself", false, nil, &schema.Node{Id: "self", Address: "x"}, ""},
		{"none that is lost", false, nil, &schema.Node{Id: "b", Address: "b", State: lost}, ""},
		{"a newer incarnation", false, &schema.Node{Id: "b", Address: "b", Incarnation: 1}, &schema.Node{Id: "b", Address: "b2", Incarnation: 2}, "b at b2, incarnation 2"},
		{"no older incarnation", false, &schema.Node{Id: "b", Address: "b", Incarnation: 2}, &schema.Node{Id: "b", Address: "b2", Incarnation: 1}, "b at b, incarnation 2"},
		{"that it is lost", false, &schema.Node{Id: "b", Address: "b", Incarnation: 1}, &schema.Node{Id: "b", Address: "b", Incarnation: 1, State: lost}, ""},
		{"not that an older incarnation is lost", false, &schema.Node{Id: "b", Address: "b", Incarnation: 2}, &schema.Node{Id: "b", Address: "b", Incarnation: 1, State: lost}, "b at b, incarnation 2"},
		{"a newer incarnation of an active one", true, &schema.Node{Id: "b", Address: "b", Incarnation: 1}, &schema.Node{Id: "b", Address: "b2", Incarnation: 2}, "b at b2, incarnation 2"},
		{"no older incarnation of an active one", true, &schema.Node{Id: "b", Address: "b", Incarnation: 2}, &schema.Node{Id: "b", Address: "b2", Incarnation: 1}, "b at b, incarnation 2"},
		{"not that an active one is lost", true, &schema.Node{Id: "b", Address: "b", Incarnation: 1}, &schema.Node{Id: "b", Address: "b", Incarnation: 1, State: lost}, "b at b, incarnation 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sampler := newSampler(t, nil)
			if c.earlier != nil {
				sampler.Learn(c.earlier)
			}
			if c.isActive {
				sampler.refill(begin)
			}
			sampler.Learn(c.later)
			got := ""
			for _, node := range sampler.Known() {
				got += fmt.Sprintf("%s at %s, incarnation %d", node.Id, node.Address, node.Incarnation)
			}
			if got != c.want {
				t.Fatalf("known: %q, want %q", got, c.want)
			}
		})
	}
}

func TestANodeRefutesThatItIsLost(t *testing.T) {
	for _, c := range []struct {
		name  string
		rumor *schema.Node
		want  uint64
	}{
		{"in this incarnation", &schema.Node{Id: "self", Incarnation: 5, State: lost}, 6},
		{"in a later incarnation", &schema.Node{Id: "self", Incarnation: 9, State: lost}, 10},
		{"an earlier incarnation may be lost", &schema.Node{Id: "self", Incarnation: 4, State: lost}, 5},
		{"nothing is to be refuted", &schema.Node{Id: "self", Incarnation: 9, State: ready}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			sampler := newSampler(t, nil)
			sampler.Learn(c.rumor)
			if got := sampler.Self().Incarnation; got != c.want {
				t.Fatalf("incarnation %d, want %d", got, c.want)
			}
		})
	}
}

func TestProbesAreSentAtTheirInterval(t *testing.T) {
	sampler := newSampler(t, nil)
	sampler.Learn(&schema.Node{Id: "b", Address: "b"})
	probes := 0
	for now := begin; now < begin+4*constants.ProbeEvery; now += constants.ProbeEvery / 5 {
		for _, envelope := range sampler.Tick(now) {
			if probe := envelope.Frame.GetProbe(); probe != nil {
				probes++
				if envelope.To != "b" || probe.Subject != "b" || probe.Serial != uint64(probes) {
					t.Fatalf("probe %d: %v to %s", probes, probe, envelope.To)
				}
			}
		}
		sampler.Heard(now, "b")
	}
	if probes != 4 {
		t.Fatalf("%d probes in 4 intervals", probes)
	}
}

func TestASuspicionIsForgottenAfterAWhile(t *testing.T) {
	sampler := newSampler(t, nil)
	sampler.Learn(&schema.Node{Id: "b", Address: "b"})
	sampler.Tick(begin)
	suspectedAt := begin + constants.ProbeWait + 1
	sampler.Tick(suspectedAt)
	sampler.Tick(suspectedAt + suspectedFor*constants.ProbeWait)
	if len(sampler.Suspects()) != 1 {
		t.Fatal("the suspicion was forgotten too soon")
	}
	sampler.Tick(suspectedAt + suspectedFor*constants.ProbeWait + 1)
	if len(sampler.Suspects()) != 0 {
		t.Fatal("the suspicion is not forgotten")
	}
}

func TestTheOwnRegionIsProbedFirst(t *testing.T) {
	node := func(id, region string) *schema.Node { return &schema.Node{Id: id, Address: id, Region: region} }
	nodes := []*schema.Node{node("a", "away"), node("b", "away"), node("h", "home")}
	for _, c := range []struct {
		name        string
		prefersHome bool
		nodes       []*schema.Node
		want        string
	}{
		{"all at home, and few of other regions", true, nodes, "[a h]"},
		{"few of other regions if none is at home", true, nodes[:2], "[a]"},
		{"all where no region is preferred", false, nodes, "[a b h]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sampler := newSampler(t, func(options *Options) { options.PrefersHome = c.prefersHome })
			sampler.Learn(c.nodes...)
			sampler.refill(begin)
			if got := fmt.Sprint(slices.Sorted(maps.Keys(sampler.active))); got != c.want {
				t.Fatalf("active %s, want %s", got, c.want)
			}
		})
	}
}

func TestShufflesAreSentAtTheirInterval(t *testing.T) {
	long := Timing{ProbeInterval: time.Hour, ProbeTimeout: time.Hour, ShuffleInterval: 10 * constants.ShuffleEvery}
	for _, c := range []struct {
		name  string
		known int
		want  int
	}{
		{"the longer one once enough nodes are known", constants.ShuffleSample, 2},
		{"the shorter one before", constants.ShuffleSample - 1, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			sampler := newSampler(t, func(options *Options) { options.Timing = long })
			for i := range c.known {
				id := fmt.Sprintf("n%d", i)
				sampler.Learn(&schema.Node{Id: id, Address: id})
			}
			shuffles := 0
			for now := begin; now < begin+2*long.ShuffleInterval; now += constants.ShuffleEvery / 2 {
				for _, envelope := range sampler.Tick(now) {
					if envelope.Frame.GetShuffle() != nil {
						shuffles++
					}
				}
			}
			if shuffles != c.want {
				t.Fatalf("%d shuffles, want %d", shuffles, c.want)
			}
		})
	}
}

func TestAShuffleIsAnsweredOnce(t *testing.T) {
	for _, isReply := range []bool{false, true} {
		sampler := newSampler(t, nil)
		envelopes := sampler.Shuffle("b", &schema.Shuffle{Reply: isReply, Nodes: []*schema.Node{{Id: "b", Address: "b"}}})
		if len(sampler.Known()) != 1 {
			t.Errorf("reply %v: the sample was not learned", isReply)
		}
		if isAnswered := len(envelopes) == 1; isAnswered == isReply {
			t.Errorf("reply %v: answered %v", isReply, isAnswered)
		}
		for _, envelope := range envelopes {
			if shuffle := envelope.Frame.GetShuffle(); envelope.To != "b" || !shuffle.Reply || len(shuffle.Nodes) != 1 {
				t.Errorf("answered %v to %s", shuffle, envelope.To)
			}
		}
	}
}

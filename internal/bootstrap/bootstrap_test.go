package bootstrap

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

const (
	begin = time.Hour
	tick  = 20 * time.Millisecond
)

// fakePeers are the nodes that a test lets a node know.
type fakePeers struct {
	self  *schema.Node
	known []*schema.Node
}

func (p *fakePeers) Self() *schema.Node { return p.self }

func (p *fakePeers) Known() []*schema.Node { return append([]*schema.Node(nil), p.known...) }

func (p *fakePeers) Sample() []*schema.Node { return append([]*schema.Node{p.self}, p.known...) }

// fakeFleet is the ready nodes with a disk, by region.
type fakeFleet map[string][]*schema.Node

func (f fakeFleet) ReadyDiskNodes(region string) []*schema.Node { return f[region] }

func diskNode(address string) *schema.Node {
	return &schema.Node{Id: "id-" + address, Address: address, Zone: "z", Disk: true}
}

func disklessNode(address string) *schema.Node {
	return &schema.Node{Id: "id-" + address, Address: address, Zone: "z"}
}

// newMachine makes the machine of a node whose draws are 0, in a fleet whose seeds may lack a disk.
func newMachine(t *testing.T, self *schema.Node, seeds []string, change func(*Options), known ...*schema.Node) *Machine {
	t.Helper()
	options := Options{
		Self:       self,
		Seeds:      seeds,
		MixedSeeds: true,
		Draw:       func(int64) int64 { return 0 },
		Log:        slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	if change != nil {
		change(&options)
	}
	return New(options, &fakePeers{self: self, known: known}, fakeFleet{})
}

// asked gives the addresses that a machine asks in the given count of rounds.
func asked(m *Machine, rounds int) string {
	addresses := []string{}
	for round := range rounds {
		for _, envelope := range m.Ask(begin + time.Duration(round)*constants.DiscoverEvery) {
			if envelope.Frame.GetDiscoverRequest() != nil {
				addresses = append(addresses, envelope.To)
			}
		}
	}
	return fmt.Sprint(addresses)
}

func TestWhoIsAskedForASystem(t *testing.T) {
	seeds := []string{"a", "b"}
	for _, c := range []struct {
		name   string
		self   *schema.Node
		change func(*Options)
		known  []*schema.Node
		want   string
	}{
		{"all seeds by a node with a disk", diskNode("n"), nil, nil, "[a b a b]"},
		{"all seeds by a seed", disklessNode("a"), nil, nil, "[a b a b]"},
		{"all seeds once the system was founded", disklessNode("n"), func(o *Options) { o.IsRejoin = true }, nil, "[a b a b]"},
		{"one seed after another by the others", disklessNode("n"), nil, nil, "[b a]"},
		{"one more node that is known", disklessNode("n"), nil, []*schema.Node{diskNode("a"), diskNode("x")}, "[b x a x]"},
		{"nobody once there is a system", diskNode("n"), func(o *Options) { o.System = "s" }, nil, "[]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(t, c.self, seeds, c.change, c.known...)
			if got := asked(m, 2); got != c.want {
				t.Fatalf("asked %s, want %s", got, c.want)
			}
		})
	}
}

func TestNodesAreAskedOnceInAWhile(t *testing.T) {
	m := newMachine(t, diskNode("n"), []string{"a"}, nil)
	count := 0
	for now := begin; now < begin+4*constants.DiscoverEvery; now += constants.DiscoverEvery / 5 {
		count += len(m.Ask(now))
	}
	if count != 4 {
		t.Fatalf("asked %d times in 4 intervals", count)
	}
}

func TestASystemIsAdoptedOnceAndKept(t *testing.T) {
	m := newMachine(t, diskNode("n"), []string{"a", "b"}, nil)
	m.TakeAnswer(begin, "a", &schema.DiscoverResponse{})
	if m.System() != "" {
		t.Fatalf("adopted %q from a node that has none", m.System())
	}
	m.TakeAnswer(begin, "b", &schema.DiscoverResponse{System: "first"})
	m.Adopt("second")
	if m.System() != "first" {
		t.Fatalf("system %q, want the first one", m.System())
	}
}

func TestOtherSeedsAreAskedOnceTheyAreSet(t *testing.T) {
	m := newMachine(t, diskNode("n"), []string{"old"}, nil)
	m.SetSeeds([]string{"new"})
	if got := asked(m, 1); got != "[new]" {
		t.Fatalf("asked %s", got)
	}
}

func TestMembersAreSoughtWhereSeedsMayLackADisk(t *testing.T) {
	for _, c := range []struct {
		name       string
		mixedSeeds bool
		known      []*schema.Node
		want       string
	}{
		{"a seed", true, nil, "a"},
		{"a known node if the draw says so", true, []*schema.Node{diskNode("x")}, "x"},
		{"nobody where the seeds have disks", false, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(t, disklessNode("n"), []string{"a"}, func(o *Options) { o.MixedSeeds, o.System = c.mixedSeeds, "s" }, c.known...)
			to := ""
			for _, envelope := range m.SeekMembers(begin) {
				to += envelope.To
			}
			if to != c.want {
				t.Fatalf("asked %q, want %q", to, c.want)
			}
			if again := m.SeekMembers(begin + tick); len(again) > 0 {
				t.Fatal("asked again at once")
			}
		})
	}
}

func TestAnAnswerIntroducesNodesOfTheAskersRegion(t *testing.T) {
	self := diskNode("n")
	near, far := diskNode("near"), diskNode("far")
	for _, c := range []struct {
		name       string
		mixedSeeds bool
		want       string
	}{
		{"those with a disk where seeds may lack one", true, "[n known near]"},
		{"a sample only elsewhere", false, "[n known]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(t, self, []string{"a"}, func(o *Options) { o.MixedSeeds, o.System, o.IsRestart = c.mixedSeeds, "s", true }, diskNode("known"))
			m.fleet = fakeFleet{"home": {near, m.peers.Known()[0]}, "remote": {far}}
			response := m.Answer(begin, &schema.DiscoverRequest{Node: &schema.Node{Region: "home"}})
			addresses := []string{}
			for _, node := range response.Nodes {
				addresses = append(addresses, node.Address)
			}
			if got := fmt.Sprint(addresses); got != c.want || response.System != "s" || !response.Disk || !response.Founding {
				t.Fatalf("introduced %s of %v, want %s", got, response, c.want)
			}
		})
	}
}

package bootstrap

import (
	"slices"
	"testing"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

var initialSeeds = []string{"a", "b", "c"}

func initialVoter(o *Options) {
	o.TellsFirstStart = true
	o.InitialCluster = &InitialCluster{Seeds: initialSeeds}
}

func voterAnswer() *schema.DiscoverResponse {
	return &schema.DiscoverResponse{Disk: true, InitialMembership: schema.InitialMembership_INITIAL_MEMBERSHIP_VOTER}
}

func rejoinsAnswer(hasDisk bool) *schema.DiscoverResponse {
	return &schema.DiscoverResponse{Disk: hasDisk, InitialMembership: schema.InitialMembership_INITIAL_MEMBERSHIP_NONE}
}

func TestWhoTheInitialVotersAre(t *testing.T) {
	for _, c := range []struct {
		name    string
		self    string
		answers map[string]*schema.DiscoverResponse
		want    []string
	}{
		{"all seeds", "a", map[string]*schema.DiscoverResponse{"b": voterAnswer(), "c": voterAnswer()}, []string{"a", "b", "c"}},
		{"the same at a higher seed", "c", map[string]*schema.DiscoverResponse{"a": voterAnswer(), "b": voterAnswer()}, []string{"a", "b", "c"}},
		{"one that has lost its disk counts", "b", map[string]*schema.DiscoverResponse{"a": rejoinsAnswer(true), "c": voterAnswer()}, []string{"a", "b", "c"}},
		{"one without a disk does not", "b", map[string]*schema.DiscoverResponse{"a": rejoinsAnswer(false), "c": voterAnswer()}, []string{"b", "c"}},
		{"only one has a disk", "c", map[string]*schema.DiscoverResponse{"a": rejoinsAnswer(false), "b": rejoinsAnswer(false)}, []string{"c"}},
		{"none while a seed is silent", "a", map[string]*schema.DiscoverResponse{"b": voterAnswer()}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(t, diskNode(c.self), initialSeeds, initialVoter)
			for from, response := range c.answers {
				m.TakeAnswer(begin, from, response)
			}
			var voters []string
			for _, voter := range m.Found(begin).GetMembers().GetVoters() {
				voters = append(voters, voter.Address)
				if voter.Id != InitialMemberID(initialSeeds, voter.Address) {
					t.Errorf("voter %v", voter)
				}
			}
			if !slices.Equal(voters, c.want) {
				t.Fatalf("voters %v, want %v", voters, c.want)
			}
			if c.want != nil && m.System() != InitialSystem([]string{"c", "b", "a"}) {
				t.Fatalf("system %q", m.System())
			}
		})
	}
}

// A seed of an earlier version lets the lowest seed found alone, so that all must do so: else there were two systems.
func TestBesideAnEarlierVersionTheLowestSeedFoundsAlone(t *testing.T) {
	earlier := &schema.DiscoverResponse{Disk: true}
	for _, c := range []struct {
		self, other string
		isOne       bool
	}{{"a", "b", true}, {"b", "a", false}} {
		m := newMachine(t, diskNode(c.self), initialSeeds, initialVoter)
		_, isOne := foundedAfter(m, map[string]*schema.DiscoverResponse{c.other: earlier, "c": voterAnswer()}, 0)
		if isOne != c.isOne {
			t.Errorf("seed %s founded: %v", c.self, isOne)
		}
	}
}

// The name of a system brings no log: a voter that takes only the name could be left without any member to elect.
func TestAnInitialVoterFoundsItsSystemInPlaceOfAdoptingIt(t *testing.T) {
	m := newMachine(t, diskNode("b"), initialSeeds, initialVoter)
	m.NoteAsked("a")
	founded := voterAnswer()
	founded.System = InitialSystem(initialSeeds)
	m.TakeAnswer(begin, "a", founded)
	if m.System() != "" {
		t.Fatalf("adopted %q", m.System())
	}
	m.TakePart(InitialSystem(initialSeeds))
	if m.System() == "" || len(m.Ask(begin+constants.DiscoverEvery)) == 0 {
		t.Fatal("a voter that is sent the log's messages takes part, and still asks for the others")
	}
	m.TakeAnswer(begin, "c", voterAnswer())
	if m.Found(begin) == nil || m.Found(begin) != nil {
		t.Fatal("the first record is given once")
	}
}

// Guards against a voter that lost its disk and votes twice because its settings still say that this is the first start.
func TestAnInitialVoterWhoseSystemRunsWithoutItTakesNoPart(t *testing.T) {
	m := newMachine(t, diskNode("b"), initialSeeds, initialVoter)
	founded := voterAnswer()
	founded.System = InitialSystem(initialSeeds)
	m.TakeAnswer(begin, "a", founded)
	m.TakeAnswer(begin, "c", founded)
	m.TakePart(InitialSystem(initialSeeds))
	if m.System() != "" || m.Found(begin) != nil {
		t.Fatalf("took part in %q", m.System())
	}
	again := newMachine(t, diskNode("b"), initialSeeds, func(o *Options) {
		initialVoter(o)
		o.InitialCluster.IsFromEarlierProcess = true
	})
	again.TakePart(InitialSystem(initialSeeds))
	if again.System() == "" {
		t.Fatal("a voter that goes on from its disk takes part")
	}
}

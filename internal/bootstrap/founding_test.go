package bootstrap

import (
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// foundedAfter lets the other nodes answer at every tick and gives when the machine founds; it tells false if it does not within a while.
func foundedAfter(m *Machine, answers map[string]*schema.DiscoverResponse, answersFrom time.Duration) (time.Duration, bool) {
	for now := begin; now < begin+8*constants.FoundingWait; now += tick {
		if now >= begin+answersFrom {
			for from, response := range answers {
				m.TakeAnswer(now, from, response)
			}
		}
		if m.Found(now) != nil {
			return now - begin, true
		}
	}
	return 0, false
}

func TestWhoFoundsASystem(t *testing.T) {
	withDisk := &schema.DiscoverResponse{Disk: true}
	withoutDisk := &schema.DiscoverResponse{}
	for _, c := range []struct {
		name    string
		self    string
		change  func(*Options)
		answers map[string]*schema.DiscoverResponse
		isOne   bool
	}{
		{"the lowest seed", "a", nil, map[string]*schema.DiscoverResponse{"b": withDisk}, true},
		{"not while another seed is silent", "a", nil, nil, false},
		{"not while another seed has a system", "a", nil, map[string]*schema.DiscoverResponse{"b": {System: "s"}}, false},
		{"not a higher seed", "b", nil, map[string]*schema.DiscoverResponse{"a": withDisk}, false},
		{"a higher seed if the lower ones have no disk", "b", nil, map[string]*schema.DiscoverResponse{"a": withoutDisk}, true},
		{"not a higher seed where all seeds have disks", "b", func(o *Options) { o.MixedSeeds = false }, map[string]*schema.DiscoverResponse{"a": withoutDisk}, false},
		{"the lowest seed where all seeds have disks", "a", func(o *Options) { o.MixedSeeds = false }, map[string]*schema.DiscoverResponse{"b": withDisk}, true},
		{"the node that the lowest seed names", "x", nil, map[string]*schema.DiscoverResponse{"a": {Founder: "x"}, "b": withoutDisk}, true},
		{"not a node that another seed names", "x", nil, map[string]*schema.DiscoverResponse{"a": withoutDisk, "b": {Founder: "x"}}, false},
		{"not a node that is named while a seed has a disk", "x", nil, map[string]*schema.DiscoverResponse{"a": {Founder: "x"}, "b": withDisk}, false},
		{"not a node that is to rejoin", "a", func(o *Options) { o.IsRejoin = true }, map[string]*schema.DiscoverResponse{"b": withDisk}, false},
		{"not a node that was a member before", "a", func(o *Options) { o.WasMember = true }, map[string]*schema.DiscoverResponse{"b": withDisk}, false},
		{"not a node that has a system", "a", func(o *Options) { o.System = "s" }, map[string]*schema.DiscoverResponse{"b": withDisk}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(t, diskNode(c.self), []string{"b", "a"}, c.change)
			if _, isOne := foundedAfter(m, c.answers, 0); isOne != c.isOne {
				t.Fatalf("founded: %v, want %v", isOne, c.isOne)
			}
		})
	}
}

func TestFoundingWaitsUntilTheOtherSeedsHaveBeenEmptyForAWhile(t *testing.T) {
	for _, late := range []time.Duration{0, time.Second} {
		m := newMachine(t, diskNode("a"), []string{"a", "b"}, nil)
		after, isFounded := foundedAfter(m, map[string]*schema.DiscoverResponse{"b": {}}, late)
		if least := late + constants.FoundingWait; !isFounded || after < least || after > least+tick {
			t.Errorf("answers from %v on: founded %v after %v, want %v", late, isFounded, after, least)
		}
	}
}

func TestASeedThatFallsSilentBeginsTheWaitAnew(t *testing.T) {
	m := newMachine(t, diskNode("a"), []string{"a", "b"}, nil)
	m.TakeAnswer(begin, "b", &schema.DiscoverResponse{})
	m.Found(begin)
	if m.Found(begin+answerValidFor+1) != nil || m.emptySince != 0 {
		t.Fatal("an answer that is too old still counts")
	}
	again := begin + constants.FoundingWait
	m.TakeAnswer(again, "b", &schema.DiscoverResponse{})
	if m.Found(again) != nil || m.emptySince != again {
		t.Fatalf("the wait did not begin anew: %v", m.emptySince)
	}
}

func TestTheFoundingRecordNamesTheFounderAsOnlyVoter(t *testing.T) {
	m := newMachine(t, diskNode("a"), []string{"a"}, func(o *Options) { o.Draw = func(int64) int64 { return 0x1f } })
	if m.Found(begin) != nil {
		t.Fatal("founded at once")
	}
	record := m.Found(begin + constants.FoundingWait)
	voters := record.GetMembers().GetVoters()
	if record.GetKind() != schema.RecordKind_RECORD_MEMBERS || len(voters) != 1 || voters[0].Id != "id-a" || voters[0].Address != "a" || voters[0].Zone != "z" {
		t.Fatalf("record %v", record)
	}
	if m.System() != "id-a-0000001f" {
		t.Fatalf("system %q", m.System())
	}
	if m.Found(begin+10*constants.FoundingWait) != nil {
		t.Fatal("founded twice")
	}
}

func TestTheLowestSeedNamesAFounderIfNoSeedHasADisk(t *testing.T) {
	for _, c := range []struct {
		name    string
		self    *schema.Node
		change  func(*Options)
		answers map[string]*schema.DiscoverResponse
		want    string
	}{
		{"the lowest known node with a disk", disklessNode("a"), nil, map[string]*schema.DiscoverResponse{"b": {}}, "x"},
		{"none while a seed is silent", disklessNode("a"), nil, nil, ""},
		{"none if a seed has a disk", disklessNode("a"), nil, map[string]*schema.DiscoverResponse{"b": {Disk: true}}, ""},
		{"none by a higher seed", disklessNode("b"), nil, map[string]*schema.DiscoverResponse{"a": {}}, ""},
		{"none by a seed with a disk", diskNode("a"), nil, map[string]*schema.DiscoverResponse{"b": {}}, ""},
		{"none by a node that is to rejoin", disklessNode("a"), func(o *Options) { o.IsRejoin = true }, map[string]*schema.DiscoverResponse{"b": {}}, ""},
		{"none where all seeds have disks", disklessNode("a"), func(o *Options) { o.MixedSeeds = false }, map[string]*schema.DiscoverResponse{"b": {}}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(t, c.self, []string{"b", "a"}, c.change, diskNode("y"), diskNode("x"), disklessNode("c"))
			for from, response := range c.answers {
				m.TakeAnswer(begin, from, response)
			}
			if early := m.Answer(begin, &schema.DiscoverRequest{}).Founder; early != "" {
				t.Fatalf("named %q at once", early)
			}
			m.Answer(begin, &schema.DiscoverRequest{})
			if got := m.Answer(begin+constants.FoundingWait, &schema.DiscoverRequest{}).Founder; got != c.want {
				t.Fatalf("named %q, want %q", got, c.want)
			}
			m.peers.(*fakePeers).known = []*schema.Node{diskNode("d")}
			if got := m.Answer(begin+2*constants.FoundingWait, &schema.DiscoverRequest{}).Founder; got != c.want {
				t.Fatalf("named %q later, want %q still", got, c.want)
			}
		})
	}
}

package controlplane_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"topazshed/internal/operations"
	"topazshed/internal/schema"
	"topazshed/internal/sim"
	"topazshed/internal/testseeds"
)

// tolerated is what a fleet must bear at once, again and again.
type tolerated struct {
	voters, machines int
	stateSync        time.Duration
	hasZones         bool
}

// lossKind is how machines are lost and come back.
type lossKind int

const (
	lostForAWhile lossKind = iota
	lostWithDisk
	lostPower
	cutOffFromAll
	replacedAfterLoss
	replacedByPlan
	allKilled
	lossKinds
)

func (k lossKind) String() string {
	return [...]string{"down for a while", "back with empty disks", "without power", "cut off", "replaced after a loss", "replaced by plan", "all killed"}[k]
}

// add starts a machine with an empty disk at another address in a zone.
func (w *world) add(zone, region string) *machine {
	w.added++
	m := &machine{w: w, name: fmt.Sprintf("n%02d", w.added), zone: zone, region: region, isDisk: true, isFounded: true, disk: sim.NewDisk(), answers: map[operations.Ticket]func(*schema.OperatorResponse){}}
	w.machines = append(w.machines, m)
	m.start()
	return m
}

// remove takes a machine away for good.
func (w *world) remove(m *machine) {
	if m.isUp {
		m.kill()
	}
	w.machines = slices.DeleteFunc(w.machines, func(other *machine) bool { return other == m })
}

// lose draws the machines of one tolerated loss: some machines, a zone or a region.
func (w *world) lose(bears tolerated) []*machine {
	disks := w.disks()
	if !bears.hasZones || w.random.Intn(3) > 0 {
		w.random.Shuffle(len(disks), func(a, b int) { disks[a], disks[b] = disks[b], disks[a] })
		if leader := w.leader(); leader != nil && w.random.Intn(2) == 0 {
			disks = append([]*machine{leader}, slices.DeleteFunc(disks, func(m *machine) bool { return m == leader })...)
		}
		return disks[:1+w.random.Intn(bears.machines)]
	}
	place := disks[w.random.Intn(len(disks))]
	isZone := w.random.Intn(2) == 0
	return slices.DeleteFunc(disks, func(m *machine) bool {
		return m.region != place.region || isZone && m.zone != place.zone
	})
}

// acknowledged has the fleet take one more configuration within the time that operators are promised.
func (w *world) acknowledged(o *operators, version uint64, within time.Duration) bool {
	taken := o.taken
	o.give(putOrRead{generation: version + 1, base: version, text: fmt.Sprint("of-", version+1)})
	for until := w.now + within; w.now < until && o.taken == taken; {
		w.run(50 * time.Millisecond)
	}
	return o.taken > taken
}

// After each loss that a fleet must bear, and again as soon as it must bear the next one, it has a majority that takes orders, and everything
// that was acknowledged is there.
func TestLossesOneAfterTheOther(t *testing.T) {
	const (
		quiet     = 4 * time.Second
		ackWithin = 4 * time.Second
		rounds    = 9
	)
	for _, bears := range []tolerated{
		{3, 1, 4 * time.Second, false},
		{4, 1, 4 * time.Second, false},
		{5, 1, 4 * time.Second, false},
		{6, 1, 4 * time.Second, true},
		{6, 2, 6 * time.Second, true},
		{7, 2, 6 * time.Second, true},
		{9, 2, 6 * time.Second, true},
	} {
		t.Run(fmt.Sprintf("%d voters that bear the loss of %d", bears.voters, bears.machines), func(t *testing.T) {
			t.Parallel()
			testseeds.Each(t, 3, func(t *testing.T, seed int64) {
				w := newWorld(t, seed, bears.voters, 0)
				o := &operators{w: w}
				version := uint64(0)
				var story []string
				fail := func(what string) {
					t.Fatalf("seed %d: %s, after\n%s\n%s", seed, what, strings.Join(story, "\n"), w.status())
				}
				take := func(what string) {
					if !w.acknowledged(o, version, ackWithin) {
						fail("no order is taken " + what)
					}
					version++
				}
				take("at the start")
				for range rounds {
					kind := lossKind(w.random.Intn(int(lossKinds)))
					lost := w.lose(bears)
					span := w.between(500*time.Millisecond, 14*time.Second)
					story = append(story, fmt.Sprintf("%v: %s %v for %v", w.now-time.Hour, kind, names(lost), span))
					back := w.strike(kind, lost)
					if kind != allKilled {
						w.run(quiet)
						take("while machines are lost")
					}
					w.run(span)
					back()
					w.run(bears.stateSync)
					story = append(story, fmt.Sprintf("%v: all are back", w.now-time.Hour))
					take("once all are back")
					if newest := w.newest(); newest != version {
						fail(fmt.Sprintf("version %d is in force, %d was acknowledged", newest, version))
					}
				}
			})
		})
	}
}

func names(machines []*machine) []string {
	var list []string
	for _, m := range machines {
		list = append(list, m.name)
	}
	return list
}

// strike brings a loss about and gives what ends it.
func (w *world) strike(kind lossKind, lost []*machine) (end func()) {
	switch kind {
	case cutOffFromAll:
		for _, m := range lost {
			w.isolate(m, true)
		}
		return func() {
			for _, m := range lost {
				w.isolate(m, false)
			}
		}
	case replacedByPlan:
		for _, m := range lost {
			w.add(m.zone, m.region)
		}
		w.run(2 * time.Second)
		for _, m := range lost {
			m.control.Stop(m.clock())
			m.perform()
		}
		return func() {
			for _, m := range lost {
				w.remove(m)
			}
		}
	case allKilled:
		for _, m := range w.machines {
			m.kill()
		}
		return func() {
			for _, m := range w.machines {
				w.after(w.between(0, time.Second), m.start)
			}
			w.run(2 * time.Second)
		}
	}
	for _, m := range lost {
		if kind == lostPower {
			m.cutPower()
		} else {
			m.kill()
		}
	}
	return func() {
		for _, m := range lost {
			switch kind {
			case lostWithDisk:
				m.wipe()
				m.start()
			case replacedAfterLoss:
				w.remove(m)
				w.add(m.zone, m.region)
			default:
				m.start()
			}
		}
	}
}

// status tells what each machine with a disk thinks of the agreement.
func (w *world) status() string {
	var text strings.Builder
	for _, m := range w.disks() {
		if !m.isUp {
			fmt.Fprintf(&text, "%s is down\n", m.name)
			continue
		}
		local := m.control.Local()
		var voters, learners []string
		for _, v := range local.Members.GetVoters() {
			voters = append(voters, v.Id)
		}
		for _, l := range local.Members.GetLearners() {
			learners = append(learners, l.Id)
		}
		fmt.Fprintf(&text, "%s %s %s: %s, term %d, commit %d, version %d, voters %v, learners %v\n", m.name, m.zone, m.region, local.Role, local.Term, local.Commit, local.View.Head.GetVersion(), voters, learners)
	}
	return text.String()
}

// The leader tells how many more voters may be lost, and why no more.
func TestTheLeaderTellsWhatIsBorne(t *testing.T) {
	w := newWorld(t, 1, 6, 0)
	ask := func() (response *schema.OperatorResponse) {
		w.operate(w.leader(), &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_STATUS}, func(o *schema.OperatorResponse) { response = o })
		w.run(time.Second)
		return response
	}
	if got := ask(); got.GetToleratedLosses() != 2 || len(got.GetUnresponsiveVoters()) != 0 {
		t.Fatalf("of six voters: %v", got)
	}
	lost := 0
	for _, m := range w.disks() {
		if m != w.leader() && lost < 2 {
			m.kill()
			lost++
		}
	}
	w.run(2200 * time.Millisecond)
	if got := ask(); got.GetToleratedLosses() != 1 {
		t.Fatalf("with two of six lost: %v", got)
	}
}

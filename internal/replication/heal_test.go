package replication

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/frame"
	"topazshed/internal/schema"
	"topazshed/internal/testseeds"
)

// healing is a reader among members that it can't reach until an instant. A link that is dialled before that instant carries
// nothing until the dial has failed, and what was sent meanwhile is dropped. Some members are down, others go on with rows
// that no majority confirms.
type healing struct {
	reader   *reader
	random   *rand.Rand
	healedAt time.Duration
	// busyUntil is how long a dial that began before the links healed holds each link up.
	busyUntil map[string]time.Duration
	isDown    map[string]bool
	isBehind  map[string]bool
	inFlight  []arrival
}

// arrival is a delta on its way to the reader.
type arrival struct {
	at     time.Duration
	from   string
	serial uint64
	age    time.Duration
	// isProbe says that it answers a probe, without rows.
	isProbe bool
}

func (h *healing) send(now time.Duration, to string, request *schema.Subscribe) {
	if now < h.healedAt {
		if now >= h.busyUntil[to] {
			h.busyUntil[to] = now + constants.DialWait
		}
		return
	}
	if now < h.busyUntil[to] || h.isDown[to] {
		return
	}
	age := time.Duration(h.random.Intn(300)) * time.Millisecond
	if h.isBehind[to] {
		age = constants.SourceTimeout + time.Second
	}
	const farLink = 70 * time.Millisecond
	h.inFlight = append(h.inFlight, arrival{now + farLink, to, request.Serial, age, request.Probe})
}

func (h *healing) sendAll(now time.Duration, envelopes []frame.Envelope) {
	for _, envelope := range envelopes {
		if request := envelope.Frame.GetSubscribe(); request != nil {
			h.send(now, envelope.To, request)
		}
	}
}

// step ticks the reader and delivers what has arrived; it tells whether confirmed rows have come.
func (h *healing) step(now time.Duration) bool {
	h.sendAll(now, h.reader.Tick(now))
	var later []arrival
	var subscribed []frame.Envelope
	for _, a := range h.inFlight {
		if a.at > now {
			later = append(later, a)
			continue
		}
		if a.isProbe {
			answer := &schema.Delta{Serial: a.serial, AgeMs: schema.AgeMs(a.age), Probe: true}
			subscribed = append(subscribed, h.reader.TakeDelta(now, a.from, answer).Sends...)
			continue
		}
		h.reader.answer(now, a.from, a.serial, a.age)
	}
	h.inFlight = later
	h.sendAll(now, subscribed)
	return now >= h.healedAt && h.reader.source.isConfirmed(now)
}

// Guards against a node that goes by rows from before a cut although its links have healed (EVAC, CONFIG, FAILBACK): each
// member of the log was waited for up to 1.8 s, one after the other, and the node counts as undisturbed after 3 s.
func TestAReaderFindsConfirmedRowsSoonAfterItsLinksHaveHealed(t *testing.T) {
	const (
		recoveryBound = 3 * time.Second
		// answered is left of the bound for a request that is decided by the new rows.
		answered = time.Second
	)
	for _, c := range []struct {
		name string
		// down and behind are how many of the six members don't run, or have lost touch with the majority.
		down, behind int
	}{
		{"all members are well", 0, 0},
		{"a member is down", 1, 0},
		{"two members are cut off from the others", 0, 2},
		{"one is down and one behind", 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			testseeds.Each(t, 60, func(t *testing.T, seed int64) {
				random := rand.New(rand.NewSource(seed))
				var nodes []*schema.Node
				for i := range 6 {
					region := remoteRegion
					if i < 2 {
						region = homeRegion
					}
					nodes = append(nodes, member(fmt.Sprint("m", i), region))
				}
				h := &healing{random: random, busyUntil: map[string]time.Duration{}, isDown: map[string]bool{}, isBehind: map[string]bool{}}
				for i, at := range random.Perm(len(nodes))[:c.down+c.behind] {
					if i < c.down {
						h.isDown[nodes[at].Address] = true
					} else {
						h.isBehind[nodes[at].Address] = true
					}
				}
				h.reader = newReader(t, func(options *SubscriptionOptions) {
					options.Draw = random.Int63n
					options.RenewEvery = constants.RoutedSubscribe
					options.RemoteAfter = 1500 * time.Millisecond
				}, nodes...)
				h.healedAt = begin + 4*time.Second + time.Duration(random.Intn(8000))*time.Millisecond
				now := begin
				for ; !h.step(now); now += constants.RoutedTick {
					if now > h.healedAt+time.Minute {
						t.Fatalf("seed %d: no confirmed rows for a minute", seed)
					}
				}
				if took := now - h.healedAt; took > recoveryBound-answered {
					t.Errorf("seed %d: confirmed rows came %v after the links had healed, want %v at the most", seed, took, recoveryBound-answered)
				}
			})
		})
	}
}

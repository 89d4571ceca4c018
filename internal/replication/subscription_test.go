package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

const tick = 20 * time.Millisecond

func TestTheFirstSourceIsChosenFromTheNearestCandidates(t *testing.T) {
	for _, c := range []struct {
		name        string
		hasState    bool
		nodes       []*schema.Node
		prefersHome bool
		draw        int64
		want        string
	}{
		{"a member of the own region", true, []*schema.Node{member("r", remoteRegion), member("h", homeRegion)}, true, 0, "h"},
		{"no node without a disk", true, []*schema.Node{{Id: "d", Address: "d", Region: homeRegion}, member("h", homeRegion)}, true, 0, "h"},
		{"a remote member if there is none at home", true, []*schema.Node{member("r", remoteRegion)}, true, 0, "r"},
		{"a seed if no member is known", false, nil, true, 0, "seed"},
		{"without preference, a remote one if the draw says so", true, []*schema.Node{member("r", remoteRegion), member("h", homeRegion)}, false, 0, "r"},
		{"without preference, one at home if the draw says so", true, []*schema.Node{member("r", remoteRegion), member("h", homeRegion)}, false, 1, "h"},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := newReader(t, func(options *SubscriptionOptions) {
				options.PrefersHome = c.prefersHome
				options.Draw = func(n int64) int64 { return c.draw % n }
			}, c.nodes...)
			reader.fleet.hasState = c.hasState
			if to, _ := subscribeRequest(t, reader.Tick(begin)); to != c.want || reader.Source() != c.want {
				t.Fatalf("subscribed to %q with source %q, want %q", to, reader.Source(), c.want)
			}
		})
	}
}

func TestNothingIsSubscribedBeforeASystemIsJoined(t *testing.T) {
	reader := newReader(t, nil, member("h", homeRegion))
	reader.fleet.isWithoutSystem = true
	if envelopes := reader.Want(begin, "checkout"); len(envelopes) > 0 {
		t.Fatalf("%d envelopes are sent", len(envelopes))
	}
}

// A source is left once it has been silent, or without confirmed rows, for constants.SourceTimeout.
func TestAFailingSourceIsLeft(t *testing.T) {
	for _, c := range []struct {
		name string
		// answersUntil is how long the source answers at all; age is that of its rows.
		answersUntil time.Duration
		age          time.Duration
		leftAfter    time.Duration
	}{
		{"it never answers", 0, 0, constants.SourceTimeout},
		{"it stops answering", time.Second, 0, time.Second - tick + constants.SourceTimeout},
		{"no majority confirms its rows", time.Hour, constants.SourceTimeout, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := newReader(t, nil, member("a", homeRegion), member("b", homeRegion))
			serial := uint64(0)
			leftAt := time.Duration(0)
			for now := begin; now < begin+5*time.Second && leftAt == 0; now += tick {
				for _, envelope := range reader.Tick(now) {
					if subscribe := envelope.Frame.GetSubscribe(); subscribe != nil {
						serial = subscribe.Serial
					}
				}
				if reader.Source() != "a" {
					leftAt = now
				} else if now < begin+c.answersUntil {
					reader.answer(now, "a", serial, c.age)
				}
			}
			least := begin + c.leftAfter
			most := least + constants.SourceTryPause + tick
			if leftAt < least || leftAt > most {
				t.Fatalf("the source was left after %v, want between %v and %v", leftAt-begin, least-begin, most-begin)
			}
		})
	}
}

func TestARemoteSourceIsTakenOnlyAfterAWhile(t *testing.T) {
	reader := newReader(t, nil, member("h1", homeRegion), member("h2", homeRegion), member("r", remoteRegion))
	tried := []string{}
	remoteAt := time.Duration(0)
	for now := begin; now < begin+8*time.Second && remoteAt == 0; now += tick {
		reader.Tick(now)
		if source := reader.Source(); len(tried) == 0 || tried[len(tried)-1] != source {
			tried = append(tried, source)
		}
		if reader.Source() == "r" {
			remoteAt = now
		}
	}
	firstLost := begin + constants.SourceTimeout
	if remoteAt <= firstLost+2500*time.Millisecond || !slices.Contains(tried, "h1") || !slices.Contains(tried, "h2") {
		t.Fatalf("the remote source was taken after %v; tried %v", remoteAt-begin, tried)
	}
}

func TestTriesAreSpacedWhileNoSourceAnswers(t *testing.T) {
	reader := newReader(t, nil, member("a", homeRegion), member("b", homeRegion), member("c", homeRegion))
	chosenAt := []time.Duration{}
	last := ""
	for now := begin; now < begin+time.Minute; now += tick {
		reader.Tick(now)
		if reader.Source() != last {
			last = reader.Source()
			chosenAt = append(chosenAt, now)
		}
	}
	for i := 14; i < len(chosenAt); i++ {
		if pause := chosenAt[i] - chosenAt[i-1]; pause < constants.MaxSourceTryPause {
			t.Fatalf("try %d came %v after the one before, want at least %v", i, pause, constants.MaxSourceTryPause)
		}
	}
}

func TestADeltaIsTakenOnlyFromWhoWasAskedAndMayAnswer(t *testing.T) {
	confirmed, old := time.Duration(0), constants.SourceTimeout
	for _, c := range []struct {
		name     string
		from     string
		serial   uint64
		age      time.Duration
		isSilent bool
		isTaken  bool
		isStale  bool
		source   string
	}{
		{"confirmed rows of the source", "a", 1, confirmed, false, true, false, "a"},
		{"old rows of the source", "a", 1, old, false, true, false, "a"},
		{"a number that was never sent", "a", 9, confirmed, false, false, true, "a"},
		{"a node that was not asked by that number", "b", 1, confirmed, false, false, true, "a"},
		{"confirmed rows of a former source while this one is good", "b", 2, confirmed, false, false, false, "a"},
		{"confirmed rows of a former source once this one is silent", "b", 2, confirmed, true, true, false, "b"},
		{"old rows of a former source once this one is silent", "b", 2, old, true, false, false, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := newReader(t, nil, member("a", homeRegion), member("b", homeRegion))
			now := begin
			reader.newRequest(now, "a")
			reader.newRequest(now, "b")
			reader.source.confirm(now, "a")
			if c.isSilent {
				now += constants.SourceTimeout + tick
			}
			effects := reader.answer(now, c.from, c.serial, c.age)
			if effects.IsInstalled != c.isTaken || reader.table.Version() > 0 != c.isTaken {
				t.Errorf("installed: %v at version %d, want %v", effects.IsInstalled, reader.table.Version(), c.isTaken)
			}
			if isStale := reader.StaleResponses() > 0; isStale != c.isStale {
				t.Errorf("counted as stale: %v, want %v", isStale, c.isStale)
			}
			if reader.Source() != c.source {
				t.Errorf("source %q, want %q", reader.Source(), c.source)
			}
		})
	}
}

func TestASourceAtHomeReplacesARemoteOne(t *testing.T) {
	for _, c := range []struct {
		name        string
		prefersHome bool
		want        string
	}{
		{"where the own region is preferred", true, "h"},
		{"not where it makes no difference", false, "r"},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := newReader(t, func(options *SubscriptionOptions) { options.PrefersHome = c.prefersHome }, member("r", remoteRegion), member("h", homeRegion))
			reader.source.confirm(begin, "r")
			askedHome := 0
			for now := begin; now < begin+2*constants.HomeSourceEvery; now += tick {
				for _, envelope := range reader.Tick(now) {
					if subscribe := envelope.Frame.GetSubscribe(); subscribe != nil {
						reader.answer(now, envelope.To, subscribe.Serial, 0)
						if envelope.To == "h" && reader.Source() == "r" {
							askedHome++
						}
					}
				}
				reader.source.confirm(now, reader.Source())
			}
			if reader.Source() != c.want || askedHome > 0 {
				t.Fatalf("source %q, want %q; asked %d times at home in vain", reader.Source(), c.want, askedHome)
			}
		})
	}
}

func TestADeltaWithAGapIsAskedForAgain(t *testing.T) {
	for _, c := range []struct {
		name    string
		from    uint64
		to      uint64
		isAsked bool
	}{
		{"one that begins after the table's version", 5, 6, true},
		{"one that is older than the table", 1, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := newReader(t, nil, member("a", homeRegion))
			_, request := subscribeRequest(t, reader.Tick(begin))
			for range 3 {
				reader.answer(begin, "a", request.Serial, 0)
			}
			effects := reader.TakeDelta(begin, "a", &schema.Delta{From: c.from, To: c.to, Serial: request.Serial})
			if effects.IsInstalled || reader.table.Version() != 3 {
				t.Fatalf("installed: %v, version %d", effects.IsInstalled, reader.table.Version())
			}
			if isAsked := len(effects.Sends) > 0; isAsked != c.isAsked {
				t.Fatalf("asked again: %v, want %v", isAsked, c.isAsked)
			}
		})
	}
}

func TestADeltaTellsHowFreshTheRowsAreAndWhoLeads(t *testing.T) {
	for _, c := range []struct {
		name     string
		age      time.Duration
		leader   string
		freshAt  time.Duration
		isHinted bool
	}{
		{"counted from the subscription", 100 * time.Millisecond, "l", begin - 100*time.Millisecond, true},
		{"no leader is told", 0, "", begin, false},
		{"never confirmed, or a minute ago", maxReportedAge, "l", 0, false},
		{"the leader was seen too long ago", constants.NodeLostAfter, "l", begin - constants.NodeLostAfter, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := newReader(t, nil, member("a", homeRegion))
			_, request := subscribeRequest(t, reader.Tick(begin))
			now := begin + 30*time.Millisecond
			effects := reader.TakeDelta(now, "a", &schema.Delta{To: 1, Serial: request.Serial, AgeMs: uint32(c.age.Milliseconds()), Leader: c.leader})
			if reader.FreshAt() != c.freshAt {
				t.Errorf("fresh at %v, want %v", reader.FreshAt(), c.freshAt)
			}
			if isHinted := effects.Leader != nil; isHinted != c.isHinted {
				t.Fatalf("a leader is told: %v, want %v", isHinted, c.isHinted)
			}
			if c.isHinted && *effects.Leader != (LeaderHint{Address: c.leader, SeenAt: now - c.age}) {
				t.Errorf("leader %+v", *effects.Leader)
			}
		})
	}
}

func TestWantedServicesAreSubscribedHeldAndDropped(t *testing.T) {
	reader := newReader(t, nil, member("a", homeRegion))
	reader.Tick(begin)
	_, request := subscribeRequest(t, reader.Want(begin, "checkout"))
	if got := fmt.Sprint(request.Prefixes, request.Wanted); got != "[] [node/ s/checkout/]" {
		t.Fatalf("subscribed to %s", got)
	}
	row := &schema.Row{Key: "s/checkout/policy", Index: 1, Value: []byte("v")}
	reader.TakeDelta(begin, "a", &schema.Delta{To: 1, Serial: request.Serial, Whole: request.Wanted, Rows: []*schema.Row{row}})
	if !reader.Held()["s/checkout/"] || len(reader.Want(begin, "checkout")) > 0 {
		t.Fatal("a service whose rows are there is asked for again")
	}
	held := reader.Held()
	if effects := reader.DropUnwanted(begin + wantedFor); effects.IsInstalled {
		t.Fatal("a service that was wanted lately is dropped")
	}
	effects := reader.DropUnwanted(begin + wantedFor + 1)
	if !effects.IsInstalled || len(effects.Changed) != 1 || !effects.Changed[0].Gone || reader.Held()["s/checkout/"] {
		t.Fatalf("dropped rows: %v, held: %v", effects.Changed, reader.Held())
	}
	if !held["s/checkout/"] {
		t.Fatal("a map that was given out has changed")
	}
}

func TestDifferingRangesAreFetchedAgain(t *testing.T) {
	for _, c := range []struct {
		name      string
		from      string
		differing []string
		isFetched bool
	}{
		{"ranges that differ", "a", []string{"node/"}, true},
		{"none differ", "a", nil, false},
		{"another node than the source says so", "b", []string{"node/"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := newReader(t, nil, member("a", homeRegion))
			_, request := subscribeRequest(t, reader.Tick(begin))
			reader.TakeDelta(begin, "a", &schema.Delta{To: 1, Serial: request.Serial, Whole: request.Wanted})
			envelopes := reader.TakeDigests(begin, c.from, &schema.DigestResponse{Version: 1, Differing: c.differing})
			if isFetched := len(envelopes) > 0; isFetched != c.isFetched {
				t.Fatalf("fetched again: %v, want %v", isFetched, c.isFetched)
			}
			if c.isFetched {
				if _, again := subscribeRequest(t, envelopes); !slices.Equal(again.Wanted, c.differing) {
					t.Fatalf("wanted again: %v", again.Wanted)
				}
			}
		})
	}
}

func TestDigestsAreComparedOnceInAWhile(t *testing.T) {
	reader := newReader(t, nil, member("a", homeRegion))
	compared := []time.Duration{}
	for now := begin; now <= begin+5*time.Second; now += tick {
		for _, envelope := range reader.Tick(now) {
			subscribe := envelope.Frame.GetSubscribe()
			if subscribe.GetProbe() {
				answered := reader.TakeDelta(now, "a", &schema.Delta{Serial: subscribe.Serial, Probe: true})
				_, subscribe = subscribeRequest(t, answered.Sends)
			}
			if subscribe != nil {
				reader.TakeDelta(now, "a", &schema.Delta{To: 1, Serial: subscribe.Serial, Whole: subscribe.Wanted})
			}
			if digests := envelope.Frame.GetDigestRequest(); digests != nil {
				compared = append(compared, now-begin)
				if len(digests.Ranges) != 1 || digests.Ranges[0].Prefix != "node/" || digests.Version != 1 {
					t.Fatalf("compared %v", digests)
				}
			}
		}
	}
	if len(compared) != 2 || compared[1]-compared[0] < 2*time.Second {
		t.Fatalf("digests were compared at %v", compared)
	}
}

func TestOtherSeedsReplaceASourceOnlyBeforeThereAreRows(t *testing.T) {
	for _, c := range []struct {
		name     string
		hasState bool
		want     string
	}{
		{"before there are rows", false, "new"},
		{"once there are rows", true, "seed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := newReader(t, nil)
			reader.fleet.hasState = c.hasState
			reader.Tick(begin)
			reader.SetSeeds([]string{"new"})
			if to, _ := subscribeRequest(t, reader.Tick(begin+time.Second)); to != c.want {
				t.Fatalf("subscribed to %q, want %q", to, c.want)
			}
		})
	}
}

// Guards against sending by old rows to back ends that turned cold meanwhile (FAILBACK): the age of rows must be small in the calm, grow with that of
// the source's rows, and not be taken for small by a delta that was held up on its way.
func TestRowsCountAsConfirmedByTheNewestWordOfTheirSource(t *testing.T) {
	for _, c := range []struct {
		name string
		// age is that of the source's rows, heldUp how long after the question the delta comes, want how old the rows count as then.
		age, heldUp, want time.Duration
	}{
		{"a delta that comes at once", 300 * time.Millisecond, 10 * time.Millisecond, 300 * time.Millisecond},
		{"the last delta before the renewal", 300 * time.Millisecond, 900 * time.Millisecond, 300 * time.Millisecond},
		{"the source's rows get old", 800 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond},
		{"held up on its way", 300 * time.Millisecond, 3 * time.Second, 3300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := newReader(t, nil, member("a", homeRegion))
			_, request := subscribeRequest(t, reader.Tick(begin))
			now := begin + c.heldUp
			reader.answer(now, "a", request.Serial, c.age)
			if got := now - reader.ConfirmedAt(); got != c.want {
				t.Errorf("rows count as %v old, want %v", got, c.want)
			}
			if reader.FreshAt() > reader.ConfirmedAt() {
				t.Error("the promise is newer than the estimate")
			}
		})
	}
}

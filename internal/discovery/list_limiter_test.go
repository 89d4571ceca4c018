package discovery

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// A list of many pages under a small rate used to be read in one burst: its last pages were refused at each read, and so never seen.
func TestCallsStayWithinTheRate(t *testing.T) {
	for _, c := range []struct {
		name  string
		rate  float64
		pages int
		least time.Duration
		most  time.Duration
	}{
		{"a large rate", 43, 6, 0, 0},
		{"no bound", 0, 900, 0, 0},
		{"more pages than calls a second", 6, 12, time.Second, 3 * time.Second},
		{"less than a call a second", 0.5, 3, 4 * time.Second, 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter, now := NewListLimiter(c.rate), time.Hour
			var calls []time.Duration
			for range c.pages {
				wait, err := limiter.Reserve(now, 0)
				if err != nil {
					t.Fatal(err)
				}
				now += wait
				calls = append(calls, now)
			}
			if took := now - time.Hour; took < c.least || took > c.most {
				t.Errorf("a read takes %v, want %v to %v", took, c.least, c.most)
			}
			for i, from := range calls {
				count := 0
				for _, at := range calls[i:] {
					if at-from < time.Second {
						count++
					}
				}
				if c.rate > 0 && float64(count) > max(1, c.rate) {
					t.Errorf("%d calls in a second, the list takes %v", count, c.rate)
				}
			}
		})
	}
}

func TestARefusedPageIsAskedForAgain(t *testing.T) {
	limiter := NewListLimiter(10)
	last := time.Duration(0)
	for refusals := 1; refusals <= constants.ListRefusals; refusals++ {
		wait, err := limiter.Reserve(time.Hour, refusals)
		if err != nil || wait <= last {
			t.Fatalf("%d refusals: wait of %v after %v, %v", refusals, wait, last, err)
		}
		last = wait
	}
	var busy *BusyError
	if _, err := limiter.Reserve(time.Hour, constants.ListRefusals+1); !errors.As(err, &busy) {
		t.Fatalf("no end: %v", err)
	}
}

// A read of eleven pages at fifteen calls a second takes two seconds over a far link; a back end that left on a page just read was known only
// at the end of the next read.
func TestPagesOfALongReadAreTakenAsTheyCome(t *testing.T) {
	for _, c := range []struct {
		name  string
		rate  float64
		pages int
		call  time.Duration
		parts int
		most  time.Duration
	}{
		{"a short read is taken whole", 43, 6, 80 * time.Millisecond, 0, time.Second},
		{"a long list over a far link", 15, 11, 80 * time.Millisecond, 3, 2 * time.Second},
		{"a long list, few calls", 6, 12, 10 * time.Millisecond, 7, 3400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter, now := NewListLimiter(c.rate), time.Hour
			known := map[int]time.Duration{}
			worst := time.Duration(0)
			for range 3 {
				limiter.BeginRead(now)
				parts, read := 0, map[int]time.Duration{}
				take := func() {
					for page, at := range read {
						if before, isKnown := known[page]; isKnown {
							worst = max(worst, now-before)
						}
						known[page] = at
					}
				}
				for page := range c.pages {
					if _, isDue := limiter.Partial(now, make([]Listed, page)); isDue {
						parts++
						take()
					}
					wait, err := limiter.Reserve(now, 0)
					if err != nil {
						t.Fatal(err)
					}
					now += wait
					read[page] = now
					now += c.call
				}
				take()
				if parts < c.parts || c.parts == 0 && parts > 0 {
					t.Errorf("%d parts, want %d", parts, c.parts)
				}
			}
			if worst > c.most {
				t.Errorf("a page's change is known after up to %v, want %v", worst, c.most)
			}
		})
	}
}

// Guards against requests to a back end that leaves (DRAIN): one on the first page was known only once the last page was read.
func TestABackEndThatBeginsToDrainIsTakenWithItsPage(t *testing.T) {
	const pages, perPage = 6, 3
	page := func(number, draining int) []Listed {
		var items []Listed
		for i := range perPage {
			items = append(items, Listed{Service: "s", Instance: fmt.Sprint(number, "-", i), IsDraining: number == draining && i == 1})
		}
		return items
	}
	for draining := range pages {
		limiter := NewListLimiter(0)
		for read, now := range []time.Duration{time.Hour, time.Hour + time.Second, time.Hour + 2*time.Second} {
			limiter.BeginRead(now)
			var items []Listed
			var taken []int
			for number := range pages {
				if read > 0 {
					items = append(items, page(number, draining)...)
				} else {
					items = append(items, page(number, -1)...)
				}
				if _, isDue := limiter.Partial(now, items); isDue {
					taken = append(taken, number)
				}
			}
			want := []int{draining}
			if read != 1 {
				want = nil
			}
			if !slices.Equal(taken, want) {
				t.Errorf("draining on page %d, read %d: taken after pages %v, want %v", draining, read, taken, want)
			}
		}
	}
}

func TestAPartOfAReadKeepsWhatAnOlderReadHadBeside(t *testing.T) {
	older := Listing{Items: []Listed{{Service: "s", Instance: "a"}, {Service: "s", Instance: "b", IsDraining: true}}, IsComplete: true}
	part := Listing{Items: []Listed{{Service: "s", Instance: "a", IsDraining: true}}, BegunAt: time.Hour}
	merged := part.WithOlder(older)
	if len(merged.Items) != 2 || !merged.Items[0].IsDraining || merged.Items[1].Instance != "b" || merged.IsComplete || merged.BegunAt != time.Hour {
		t.Errorf("%+v", merged)
	}
	if len(part.Items) != 1 {
		t.Error("the part has changed")
	}
}

// Guards against ending a slow start too early (FAILBACK): what a page says of it was counted from the begin of a read of many pages.
func TestWhatAPageSaysOfASlowStartCountsFromItsAnswer(t *testing.T) {
	limiter := NewListLimiter(0)
	limiter.BeginRead(time.Hour)
	first := limiter.Stamp(time.Hour+100*time.Millisecond, []Listed{cold("a", time.Second)})
	whole := limiter.Stamp(time.Hour+700*time.Millisecond, []Listed{cold("a", time.Second), cold("b", time.Second)})
	if first[0].ReadAt != time.Hour+100*time.Millisecond || whole[0].ReadAt != first[0].ReadAt || whole[1].ReadAt != time.Hour+700*time.Millisecond {
		t.Fatalf("%v, %v", first, whole)
	}
	w := newWatchTest(t, 3)
	w.now = time.Hour + 700*time.Millisecond
	w.watch.Plan(WatchFacts{Now: w.now, View: store.Compile(w.table), Table: w.table, ColdRate: func(*schema.ServicePolicy) int { return 4 },
		Listing: &Listing{Items: whole, BegunAt: time.Hour, IsComplete: true}})
	for id, want := range map[string]time.Duration{"a": 1100 * time.Millisecond, "b": 1700 * time.Millisecond} {
		if until := w.watch.coldUntil[newBackendID("copper", id)]; until < time.Hour+want {
			t.Errorf("%s counts as cold until %v, want at least %v", id, until-time.Hour, want)
		}
	}
	limiter.BeginRead(2 * time.Hour)
	if again := limiter.Stamp(2*time.Hour, []Listed{cold("c", 0)}); len(again) != 1 || again[0].Instance != "c" {
		t.Errorf("the next read has %v", again)
	}
}

package controlplane_test

import (
	"fmt"
	"testing"
	"time"

	"topazshed/internal/testseeds"
)

// changeOften has operators put a change on the newest configuration every now and then, as long as the world runs.
func (w *world) changeOften(least, most time.Duration) {
	o := &operators{w: w}
	var change func()
	change = func() {
		if o.open < 4 {
			newest := w.newest()
			o.give(putOrRead{generation: newest + 1, base: newest, text: fmt.Sprint("t", w.random.Intn(1000))})
		}
		w.after(w.between(least, most), change)
	}
	change()
}

// Guards against a route of an acknowledged version that is answered 404 after a restart (CONFIG): a leader that had committed
// nothing in its term, and its followers, called the rows of their disks confirmed.
func TestNoRowsAreConfirmedByALeaderThatHasCommittedNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		isSlow bool
		end    func(*machine)
	}{
		{"all are killed", false, (*machine).kill},
		{"all are killed, their disks are slow", true, (*machine).kill},
		{"all lose power", false, (*machine).cutPower},
		{"all lose power, their disks are slow", true, (*machine).cutPower},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testseeds.Each(t, 8, func(t *testing.T, seed int64) {
				w := newWorld(t, seed, 5, 3)
				o := &operators{w: w}
				version := uint64(0)
				for range 4 {
					for range 3 {
						if !w.acknowledged(o, version, 20*time.Second) {
							t.Fatalf("no change is taken after version %d\n%s", version, w.status())
						}
						version++
					}
					w.run(3 * time.Second)
					for _, m := range w.machines {
						c.end(m)
						if c.isSlow {
							m.syncTime = w.between(100*time.Millisecond, 700*time.Millisecond)
						}
						w.after(w.between(0, time.Second), m.start)
					}
					w.run(5 * time.Second)
					for _, m := range w.machines {
						m.syncTime = 0
					}
					w.run(5 * time.Second)
				}
			})
		})
	}
}

// Guards against a route of an acknowledged version that is answered 404 after a freeze or a cut (CONFIG): a leader's message that was held up
// made old rows look confirmed when it was read.
func TestNoRowsAreConfirmedByMessagesThatWereHeldUp(t *testing.T) {
	for _, c := range []struct {
		name     string
		troubles []trouble
	}{
		{"machines stand still", []trouble{freeze}},
		{"machines are cut off", []trouble{cutOff, splitOff, cutOneWay}},
		{"anything", []trouble{cutOff, cutOneWay, splitOff, freeze, killOne, powerOne, stallDisk}},
	} {
		for _, holdsFrames := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cuts hold frames up %v", c.name, holdsFrames), func(t *testing.T) {
				t.Parallel()
				testseeds.Each(t, 8, func(t *testing.T, seed int64) {
					w := newWorld(t, seed, 5, 3)
					w.holdsFrames = holdsFrames
					w.changeOften(50*time.Millisecond, 900*time.Millisecond)
					for range 30 {
						c.troubles[w.random.Intn(len(c.troubles))](w)
						w.run(w.between(500*time.Millisecond, 4*time.Second))
					}
				})
			})
		}
	}
}

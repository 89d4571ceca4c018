package main

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"
)

// The dose of the trouble: "garble", "extra late", as the small sites have it.
const (
	garbleShare = 0.6
	garbleOf    = 0.03
	garbleFor   = 5 * time.Second
	// drainAfter is when servers begin to leave, counted from the beginning of the trouble; drainShare (scale_in) leave.
	drainAfter = 1500 * time.Millisecond
	drainShare = 0.13
)

// playSurplus: servers send a second copy of some answers late, in the place where the next answer on the connection is due, while
// servers of the service leave in order.
func playSurplus(f *fleet, hasTrouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := class{name: "berth-sched-read", host: "hulo84.example", prefix: "/berth/", method: "GET", deadline: 4 * time.Second, perSecond: 300, sharded: true}
	const count = 16
	for i := range count {
		if _, err := f.addBackend("berthboard", zones[i%len(zones)], true, skewed(190*time.Millisecond)); err != nil {
			return err
		}
	}
	// A third of the requests are about 200 keys that sit close to one another.
	key := func() int {
		if rand.Float64() < 0.33 {
			return 20000 + rand.IntN(200)
		}
		return rand.IntN(keys)
	}
	text := config(map[string]bool{"berthboard": true}, []class{k}, map[string]string{k.name: "berthboard"})
	if err := begin(ctx, f, 2, text, []class{k}, key); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	for round := range 6 {
		if f.isBroken() {
			break
		}
		all := f.serving("berthboard")
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		inTrouble := all[:int(garbleShare*float64(len(all)))]
		f.note("round %d: trouble on %d of %d servers: %v", round, len(inTrouble), len(all), hasTrouble)
		if hasTrouble {
			for _, b := range inTrouble {
				b.beginSurplus()
			}
		}
		time.Sleep(drainAfter)
		leaving := inTrouble[:max(1, int(drainShare*float64(len(all))))]
		for _, b := range leaving {
			f.drain(b)
		}
		time.Sleep(garbleFor - drainAfter)
		for _, b := range inTrouble {
			b.endSurplus()
		}
		// Servers that leave serve on for drain-deadline-ms and a little longer; others take their place.
		for range leaving {
			if _, err := f.addBackend("berthboard", zones[rand.IntN(len(zones))], true, skewed(190*time.Millisecond)); err != nil {
				return err
			}
		}
		time.Sleep(4 * time.Second)
		for _, b := range leaving {
			f.end(b)
		}
		time.Sleep(4 * time.Second)
	}
	return nil
}

// beginSurplus lets a server send a second copy of answers about its keys, of garbleOf of all its answers at most.
func (b *backend) beginSurplus() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.answers, b.spoilt = 0, 0
	b.spoil = func(path string) bool {
		return strings.HasPrefix(path, "/grant") && float64(b.spoilt+1) <= garbleOf*float64(b.answers)
	}
}

func (b *backend) endSurplus() {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.spoil != nil {
		b.fleet.note("trouble of %s ends: %d of %d answers had a second copy", b.id, b.spoilt, b.answers)
	}
	b.spoil = nil
}

// isBroken tells whether the rule was broken.
func (f *fleet) isBroken() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return len(f.violations) > 0
}

// serving are the backends of a service that neither leave nor have ended.
func (f *fleet) serving(service string) []*backend {
	f.lock.Lock()
	defer f.lock.Unlock()
	var found []*backend
	for _, l := range f.list {
		if l.backend.service == service && l.draining.IsZero() && l.gone.IsZero() {
			found = append(found, l.backend)
		}
	}
	return found
}

// drain marks a backend as leaving in the platform's list.
func (f *fleet) drain(b *backend) {
	f.lock.Lock()
	f.lineOf(b).draining = time.Now()
	f.lock.Unlock()
	f.note("backend %s leaves", b.id)
}

// end ends a backend's process.
func (f *fleet) end(b *backend) {
	f.lock.Lock()
	f.lineOf(b).gone = time.Now()
	f.lock.Unlock()
	b.listener.Close()
	b.lock.Lock()
	for conn := range b.conns {
		conn.Close()
	}
	b.lock.Unlock()
	f.note("backend %s has ended", b.id)
}
